//! HPACK header compression (RFC 7541). The dynamic tables and the decoded size of a header block are limited in bytes;
//! limits are checked before memory is allocated.

use super::huffman;
use bytes::Bytes;
use std::collections::VecDeque;

/// A header field. Names and values from the tables are shared, not copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name in lower case. Names of pseudo-headers begin with a colon.
    pub name: Bytes,
    /// The value.
    pub value: Bytes,
}

impl Field {
    /// Creates a field from static strings.
    pub const fn constant(name: &'static str, value: &'static str) -> Field {
        Field { name: Bytes::from_static(name.as_bytes()), value: Bytes::from_static(value.as_bytes()) }
    }

    /// Creates a field with a static name.
    pub fn new(name: &'static str, value: impl Into<Bytes>) -> Field {
        Field { name: Bytes::from_static(name.as_bytes()), value: value.into() }
    }

    /// Returns the size of the field as an entry of the dynamic table (section 4.1).
    pub fn size(&self) -> usize {
        self.name.len() + self.value.len() + 32
    }
}

/// Why a header block cannot be decoded. Such an error ends the connection, because the dynamic tables of both sides
/// may differ afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum HpackError {
    #[error("the header block ends within a field")]
    Truncated,
    #[error("an integer exceeds 32 bits")]
    Integer,
    #[error("index {0} is in neither the static nor the dynamic table")]
    Index(u32),
    #[error("invalid Huffman encoding of a string")]
    Huffman,
    #[error("dynamic table size {0} exceeds the limit of {1}")]
    TableSize(u32, u32),
    #[error("dynamic table size update after a field")]
    LateTableSize,
    #[error("the decoded fields exceed {0} bytes")]
    TooLarge(usize),
}

/// The static table (appendix A).
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

/// A dynamic table (section 2.3.2).
#[derive(Default)]
struct Table {
    /// Entries, the newest first.
    entries: VecDeque<Field>,
    size: usize,
    max_size: usize,
}

impl Table {
    /// Evicts the oldest entries until the table has at most `size` bytes (section 4.3).
    fn evict_to(&mut self, size: usize) {
        while self.size > size {
            let Some(evicted) = self.entries.pop_back() else { return };
            self.size -= evicted.size();
        }
    }

    fn resize(&mut self, max_size: usize) {
        self.max_size = max_size;
        self.evict_to(max_size);
    }

    fn add(&mut self, field: Field) {
        let size = field.size();
        if size > self.max_size {
            return self.evict_to(0); // not an error, but the table is empty afterwards (section 4.4)
        }
        self.evict_to(self.max_size - size);
        self.size += size;
        self.entries.push_front(field);
    }
}

/// Decodes header blocks.
pub struct Decoder {
    table: Table,
    /// Maximum table size that the peer may choose, in bytes.
    max_table_size: u32,
    scratch: Vec<u8>,
}

impl Decoder {
    /// Creates a decoder whose dynamic table may have up to `max_table_size` bytes.
    pub fn new(max_table_size: u32) -> Self {
        let table = Table { max_size: max_table_size as usize, ..Table::default() };
        Decoder { table, max_table_size, scratch: Vec::new() }
    }

    /// Returns the size of the dynamic table in bytes (section 4.1).
    pub fn table_size(&self) -> usize {
        self.table.size
    }

    /// Decodes a complete header block. `max_size` limits the total size of its fields, as defined by [`Field::size`].
    ///
    /// # Errors
    /// See [`HpackError`]. The decoder must not be used afterwards.
    pub fn decode(&mut self, mut block: &[u8], max_size: usize) -> Result<Vec<Field>, HpackError> {
        let mut fields = Vec::with_capacity(16.min(block.len()));
        let mut size = 0;
        while let Some(first) = block.first().copied() {
            let field = if first & 0x80 != 0 {
                let index = integer(&mut block, 7)?;
                self.indexed(index)?
            } else if first & 0xe0 == 0x20 {
                let table_size = integer(&mut block, 5)?;
                if !fields.is_empty() {
                    return Err(HpackError::LateTableSize);
                }
                if table_size > self.max_table_size {
                    return Err(HpackError::TableSize(table_size, self.max_table_size));
                }
                self.table.resize(table_size as usize);
                continue;
            } else {
                let is_indexed = first & 0x40 != 0; // section 6.2.1
                let index = integer(&mut block, if is_indexed { 6 } else { 4 })?;
                let remaining = max_size - size;
                let name = match index {
                    0 => self.string(&mut block, remaining, max_size)?,
                    _ => self.indexed(index)?.name,
                };
                let value = self.string(&mut block, remaining, max_size)?;
                let field = Field { name, value };
                if is_indexed {
                    self.table.add(field.clone());
                }
                field
            };
            size += field.size();
            if size > max_size {
                return Err(HpackError::TooLarge(max_size));
            }
            fields.push(field);
        }
        Ok(fields)
    }

    /// Returns the field with this index in the static or the dynamic table (section 2.3.3).
    fn indexed(&self, index: u32) -> Result<Field, HpackError> {
        let position = (index as usize).checked_sub(1).ok_or(HpackError::Index(0))?;
        match STATIC.get(position) {
            Some((name, value)) => Ok(Field::constant(name, value)),
            None => {
                let field = self.table.entries.get(position - STATIC.len());
                field.cloned().ok_or(HpackError::Index(index))
            }
        }
    }

    /// Reads a string literal of at most `remaining` decoded bytes (section 5.2). `max_size` is the limit to report.
    fn string(&mut self, block: &mut &[u8], remaining: usize, max_size: usize) -> Result<Bytes, HpackError> {
        let is_huffman = block.first().ok_or(HpackError::Truncated)? & 0x80 != 0;
        let len = integer(block, 7)? as usize;
        if len > block.len() {
            return Err(HpackError::Truncated);
        }
        let (text, rest) = block.split_at(len);
        *block = rest;
        if !is_huffman {
            if len > remaining {
                return Err(HpackError::TooLarge(max_size));
            }
            return Ok(Bytes::copy_from_slice(text));
        }
        self.scratch.clear();
        // The shortest code has five bits, which bounds the decoded length.
        self.scratch.reserve((len * 8 / 5 + 1).min(remaining));
        match huffman::decode(text, remaining, &mut self.scratch) {
            Some(()) => Ok(Bytes::copy_from_slice(&self.scratch)),
            None if self.scratch.len() >= remaining => Err(HpackError::TooLarge(max_size)),
            None => Err(HpackError::Huffman),
        }
    }
}

/// Reads an integer with a prefix of `prefix_bits` (section 5.1).
fn integer(block: &mut &[u8], prefix_bits: u32) -> Result<u32, HpackError> {
    let (first, mut rest) = block.split_first().ok_or(HpackError::Truncated)?;
    let mask = (1u32 << prefix_bits) - 1;
    let mut value = u64::from(u32::from(*first) & mask);
    if value == u64::from(mask) {
        let mut shift = 0;
        loop {
            let (byte, tail) = rest.split_first().ok_or(HpackError::Truncated)?;
            rest = tail;
            value += u64::from(byte & 0x7f) << shift;
            shift += 7;
            if byte & 0x80 == 0 {
                break;
            }
            if shift > 28 {
                return Err(HpackError::Integer); // also limits the number of bytes with value 0
            }
        }
    }
    *block = rest;
    u32::try_from(value).map_err(|_| HpackError::Integer)
}

/// Appends an integer with a prefix of `prefix_bits`; the other bits of the first byte are those of `first_byte`.
fn put_integer(out: &mut Vec<u8>, first_byte: u8, prefix_bits: u32, mut value: u32) {
    let mask = (1u32 << prefix_bits) - 1;
    if value < mask {
        return out.push(first_byte | value as u8);
    }
    out.push(first_byte | mask as u8);
    value -= mask;
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

/// Appends a string literal, Huffman-encoded if that is shorter.
fn put_string(out: &mut Vec<u8>, text: &[u8]) {
    let encoded_len = huffman::encoded_len(text);
    if encoded_len < text.len() {
        put_integer(out, 0x80, 7, encoded_len as u32);
        huffman::encode(text, out);
    } else {
        put_integer(out, 0, 7, text.len() as u32);
        out.extend_from_slice(text);
    }
}

/// How a literal field is indexed (section 6.2).
#[derive(Clone, Copy, PartialEq, Eq)]
enum Indexing {
    /// The field is added to the dynamic table.
    Incremental,
    /// The field is not added: its value changes with each request, so that it would only evict other entries.
    Without,
    /// The field is secret and must not be indexed, neither here nor by intermediaries (section 7.1.3).
    Never,
}

fn indexing(name: &[u8]) -> Indexing {
    match name {
        b"authorization" | b"cookie" => Indexing::Never,
        b"grpc-timeout"
        | b"idempotency-key"
        | b"content-length"
        | b"grpc-message"
        | b"endpoint-load-metrics"
        | b"retry-after"
        | b"x-request-id" => Indexing::Without,
        _ => Indexing::Incremental,
    }
}

/// Encodes header blocks.
pub struct Encoder {
    table: Table,
    /// A new table size, which the next block has to announce first (section 4.2).
    resized: Option<usize>,
}

/// Maximum size of an encoder's dynamic table in bytes, even if the peer allows more: the table is searched linearly.
const MAX_ENCODER_TABLE_BYTES: usize = 2048;

impl Default for Encoder {
    fn default() -> Self {
        let table = Table { max_size: MAX_ENCODER_TABLE_BYTES, ..Table::default() };
        Encoder { table, resized: Some(MAX_ENCODER_TABLE_BYTES) }
    }
}

impl Encoder {
    /// Applies the table size that the peer allows, in bytes (SETTINGS_HEADER_TABLE_SIZE).
    pub fn allow(&mut self, peer_max_size: u32) {
        let max_size = (peer_max_size as usize).min(MAX_ENCODER_TABLE_BYTES);
        if max_size != self.table.max_size {
            self.table.resize(max_size);
            self.resized = Some(max_size);
        }
    }

    /// Appends the header block of these fields to `out`.
    pub fn encode(&mut self, fields: &[Field], out: &mut Vec<u8>) {
        if let Some(size) = self.resized.take() {
            put_integer(out, 0x20, 5, size as u32);
        }
        for field in fields {
            self.field(field, out);
        }
    }

    fn field(&mut self, field: &Field, out: &mut Vec<u8>) {
        let indexing = indexing(&field.name);
        let mut name_index = None;
        for (index, (name, value)) in (1u32..).zip(&STATIC) {
            if name.as_bytes() == field.name {
                if value.as_bytes() == field.value && indexing != Indexing::Never {
                    return put_integer(out, 0x80, 7, index);
                }
                name_index = name_index.or(Some(index));
            }
        }
        if indexing == Indexing::Incremental {
            for (index, entry) in (STATIC.len() as u32 + 1..).zip(&self.table.entries) {
                if entry.name == field.name {
                    if entry.value == field.value {
                        return put_integer(out, 0x80, 7, index);
                    }
                    name_index = name_index.or(Some(index));
                }
            }
        }
        let (first_byte, prefix_bits) = match indexing {
            Indexing::Incremental => (0x40, 6),
            Indexing::Without => (0, 4),
            Indexing::Never => (0x10, 4),
        };
        put_integer(out, first_byte, prefix_bits, name_index.unwrap_or(0));
        if name_index.is_none() {
            put_string(out, &field.name);
        }
        put_string(out, &field.value);
        if indexing == Indexing::Incremental {
            self.table.add(field.clone());
        }
    }
}
