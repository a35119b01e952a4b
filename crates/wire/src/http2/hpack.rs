//! Header compression (RFC 7541). Both tables are bounded by bytes, and a block by the bytes and fields it unpacks
//! to: limits are checked before memory is taken.

use super::huffman;
use bytes::Bytes;
use std::collections::VecDeque;

/// A header field: a lower-case name and a value. Names and values of the tables are shared, not copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name, lower-case; pseudo-headers begin with a colon.
    pub name: Bytes,
    /// The value.
    pub value: Bytes,
}

impl Field {
    /// A field of constant text.
    pub const fn constant(name: &'static str, value: &'static str) -> Field {
        Field { name: Bytes::from_static(name.as_bytes()), value: Bytes::from_static(value.as_bytes()) }
    }

    /// A field whose value was made here.
    pub fn new(name: &'static str, value: impl Into<Bytes>) -> Field {
        Field { name: Bytes::from_static(name.as_bytes()), value: value.into() }
    }

    /// Its size as the RFC counts it (section 4.1).
    pub fn size(&self) -> usize {
        self.name.len() + self.value.len() + 32
    }
}

/// Why a block cannot be read. It ends the connection: the tables of both sides no longer agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum HpackError {
    #[error("the block ends inside a field")]
    Truncated,
    #[error("an integer does not fit 32 bits")]
    Integer,
    #[error("index {0} is in neither table")]
    Index(u32),
    #[error("a string's Huffman code is broken")]
    Huffman,
    #[error("table size {0} is over the {1} that was allowed")]
    TableSize(u32, u32),
    #[error("a table size change stands after a field")]
    LateTableSize,
    #[error("the fields unpack to more than {0} bytes")]
    TooLarge(usize),
}

const STATIC: [(&str, &str); 61] = [
    (":authority", ""),
    (":method", "GET"),
    (":method", "POST"),
    (":path", "/"),
    (":path", "/index.html"),
    (":scheme", "http"),
    (":scheme", "https"),
    (":status", "200"),
    (":status", "204"),
    (":status", "206"),
    (":status", "304"),
    (":status", "400"),
    (":status", "404"),
    (":status", "500"),
    ("accept-charset", ""),
    ("accept-encoding", "gzip, deflate"),
    ("accept-language", ""),
    ("accept-ranges", ""),
    ("accept", ""),
    ("access-control-allow-origin", ""),
    ("age", ""),
    ("allow", ""),
    ("authorization", ""),
    ("cache-control", ""),
    ("content-disposition", ""),
    ("content-encoding", ""),
    ("content-language", ""),
    ("content-length", ""),
    ("content-location", ""),
    ("content-range", ""),
    ("content-type", ""),
    ("cookie", ""),
    ("date", ""),
    ("etag", ""),
    ("expect", ""),
    ("expires", ""),
    ("from", ""),
    ("host", ""),
    ("if-match", ""),
    ("if-modified-since", ""),
    ("if-none-match", ""),
    ("if-range", ""),
    ("if-unmodified-since", ""),
    ("last-modified", ""),
    ("link", ""),
    ("location", ""),
    ("max-forwards", ""),
    ("proxy-authenticate", ""),
    ("proxy-authorization", ""),
    ("range", ""),
    ("referer", ""),
    ("refresh", ""),
    ("retry-after", ""),
    ("server", ""),
    ("set-cookie", ""),
    ("strict-transport-security", ""),
    ("transfer-encoding", ""),
    ("user-agent", ""),
    ("vary", ""),
    ("via", ""),
    ("www-authenticate", ""),
];

#[derive(Default)]
struct Table {
    entries: VecDeque<Field>,
    size: usize,
    most: usize,
}

impl Table {
    fn shrink(&mut self, to: usize) {
        while self.size > to {
            let Some(old) = self.entries.pop_back() else { return };
            self.size -= old.size();
        }
    }

    fn resize(&mut self, most: usize) {
        self.most = most;
        self.shrink(most);
    }

    fn add(&mut self, field: Field) {
        let size = field.size();
        if size > self.most {
            return self.shrink(0); // section 4.4: not an error, the table is empty afterwards
        }
        self.shrink(self.most - size);
        self.size += size;
        self.entries.push_front(field);
    }
}

/// Reads blocks.
pub struct Decoder {
    table: Table,
    allowed: u32,
    scratch: Vec<u8>,
}

impl Decoder {
    /// A decoder that lets the peer use a table of `allowed` bytes.
    pub fn new(allowed: u32) -> Self {
        Decoder { table: Table { most: allowed as usize, ..Table::default() }, allowed, scratch: Vec::new() }
    }

    /// Reads a whole block into at most `most` bytes of fields, counted as the RFC counts them.
    ///
    /// # Errors
    /// See [`HpackError`]; the decoder is of no use afterwards.
    pub fn decode(&mut self, mut block: &[u8], most: usize) -> Result<Vec<Field>, HpackError> {
        let (mut fields, mut size) = (Vec::with_capacity(16.min(block.len())), 0);
        while let Some(first) = block.first().copied() {
            let field = if first & 0x80 != 0 {
                let index = integer(&mut block, 7)?;
                self.indexed(index)?
            } else if first & 0xe0 == 0x20 {
                let to = integer(&mut block, 5)?;
                if !fields.is_empty() {
                    return Err(HpackError::LateTableSize);
                }
                if to > self.allowed {
                    return Err(HpackError::TableSize(to, self.allowed));
                }
                self.table.resize(to as usize);
                continue;
            } else {
                let keep = first & 0x40 != 0;
                let index = integer(&mut block, if keep { 6 } else { 4 })?;
                let room = most - size;
                let name = match index {
                    0 => self.string(&mut block, room, most)?,
                    _ => self.indexed(index)?.name,
                };
                let value = self.string(&mut block, room, most)?;
                let field = Field { name, value };
                if keep {
                    self.table.add(field.clone());
                }
                field
            };
            size += field.size();
            if size > most {
                return Err(HpackError::TooLarge(most));
            }
            fields.push(field);
        }
        Ok(fields)
    }

    fn indexed(&self, index: u32) -> Result<Field, HpackError> {
        let at = (index as usize).checked_sub(1).ok_or(HpackError::Index(0))?;
        match STATIC.get(at) {
            Some((name, value)) => Ok(Field::constant(name, value)),
            None => {
                let field = self.table.entries.get(at - STATIC.len());
                field.cloned().ok_or(HpackError::Index(index))
            }
        }
    }

    fn string(&mut self, block: &mut &[u8], room: usize, most: usize) -> Result<Bytes, HpackError> {
        let coded = block.first().ok_or(HpackError::Truncated)? & 0x80 != 0;
        let len = integer(block, 7)? as usize;
        if len > block.len() {
            return Err(HpackError::Truncated);
        }
        let (text, rest) = block.split_at(len);
        *block = rest;
        if !coded {
            if len > room {
                return Err(HpackError::TooLarge(most));
            }
            return Ok(Bytes::copy_from_slice(text));
        }
        self.scratch.clear();
        // The shortest code has five bits: more than this cannot come of it.
        self.scratch.reserve((len * 8 / 5 + 1).min(room));
        match huffman::decode(text, room, &mut self.scratch) {
            Some(()) => Ok(Bytes::copy_from_slice(&self.scratch)),
            None if self.scratch.len() >= room => Err(HpackError::TooLarge(most)),
            None => Err(HpackError::Huffman),
        }
    }
}

/// Reads an integer with a prefix of `bits` (section 5.1).
fn integer(block: &mut &[u8], bits: u32) -> Result<u32, HpackError> {
    let (first, mut rest) = block.split_first().ok_or(HpackError::Truncated)?;
    let mask = (1u32 << bits) - 1;
    let mut value = u64::from(u32::from(*first) & mask);
    if value == u64::from(mask) {
        let mut shift = 0;
        loop {
            let (b, tail) = rest.split_first().ok_or(HpackError::Truncated)?;
            rest = tail;
            value += u64::from(b & 0x7f) << shift;
            shift += 7;
            if b & 0x80 == 0 {
                break;
            }
            if shift > 28 {
                return Err(HpackError::Integer); // also bounds how many noughts may follow
            }
        }
    }
    *block = rest;
    u32::try_from(value).map_err(|_| HpackError::Integer)
}

fn put_integer(out: &mut Vec<u8>, head: u8, bits: u32, mut value: u32) {
    let mask = (1u32 << bits) - 1;
    if value < mask {
        return out.push(head | value as u8);
    }
    out.push(head | mask as u8);
    value -= mask;
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

fn put_string(out: &mut Vec<u8>, text: &[u8]) {
    let coded = huffman::encoded_len(text);
    if coded < text.len() {
        put_integer(out, 0x80, 7, coded as u32);
        huffman::encode(text, out);
    } else {
        put_integer(out, 0, 7, text.len() as u32);
        out.extend_from_slice(text);
    }
}

/// How a field is written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Keep {
    /// Kept in the table.
    Yes,
    /// Changes with each request: keeping it would only push others out.
    No,
    /// Secret: never kept, here or by anybody between (section 7.1.3).
    Never,
}

fn keep(name: &[u8]) -> Keep {
    match name {
        b"authorization" | b"cookie" => Keep::Never,
        b"grpc-timeout"
        | b"idempotency-key"
        | b"content-length"
        | b"grpc-message"
        | b"endpoint-load-metrics"
        | b"retry-after"
        | b"x-request-id" => Keep::No,
        _ => Keep::Yes,
    }
}

/// Writes blocks.
pub struct Encoder {
    table: Table,
    /// A size change that the next block has to begin with.
    resized: Option<usize>,
}

/// The largest table that an encoder uses, whatever the peer would allow: it is searched in order.
const MOST_TABLE: usize = 2048;

impl Default for Encoder {
    fn default() -> Self {
        Encoder { table: Table { most: MOST_TABLE, ..Table::default() }, resized: Some(MOST_TABLE) }
    }
}

impl Encoder {
    /// The peer allows a table of `most` bytes.
    pub fn allow(&mut self, most: u32) {
        let most = (most as usize).min(MOST_TABLE);
        if most != self.table.most {
            self.table.resize(most);
            self.resized = Some(most);
        }
    }

    /// Appends the block of these fields.
    pub fn encode(&mut self, fields: &[Field], out: &mut Vec<u8>) {
        if let Some(size) = self.resized.take() {
            put_integer(out, 0x20, 5, size as u32);
        }
        for f in fields {
            self.field(f, out);
        }
    }

    fn field(&mut self, f: &Field, out: &mut Vec<u8>) {
        let keep = keep(&f.name);
        let mut named = None;
        for (i, (name, value)) in (1u32..).zip(&STATIC) {
            if name.as_bytes() == f.name {
                if value.as_bytes() == f.value && keep != Keep::Never {
                    return put_integer(out, 0x80, 7, i);
                }
                named = named.or(Some(i));
            }
        }
        if keep == Keep::Yes {
            for (i, e) in (STATIC.len() as u32 + 1..).zip(&self.table.entries) {
                if e.name == f.name {
                    if e.value == f.value {
                        return put_integer(out, 0x80, 7, i);
                    }
                    named = named.or(Some(i));
                }
            }
        }
        let (head, bits) = match keep {
            Keep::Yes => (0x40, 6),
            Keep::No => (0, 4),
            Keep::Never => (0x10, 4),
        };
        put_integer(out, head, bits, named.unwrap_or(0));
        if named.is_none() {
            put_string(out, &f.name);
        }
        put_string(out, &f.value);
        if keep == Keep::Yes {
            self.table.add(f.clone());
        }
    }
}
