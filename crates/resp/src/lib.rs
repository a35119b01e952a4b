//! RESP2, free of I/O: commands as clients send them (arrays of bulk strings) and answers as servers give them.
//!
//! Both are read from the front of a buffer that the caller fills: [`command`] and [`answer`] look at what is there and
//! either take one whole item off it, say that more bytes are needed, or say what is wrong and where. A length is judged
//! before anything is kept for it, so a buffer never has to hold more than [`Limits`] allow. Nothing is remembered
//! between two looks: a look costs a few lines, whatever the values' sizes, as bulk strings are stepped over.

use bytes::{Bytes, BytesMut};

/// What an item may have.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Elements of an array.
    pub elements: usize,
    /// Arrays within arrays, the outer one counted.
    pub depth: usize,
    /// Bytes of a bulk string.
    pub bulk: usize,
    /// Bytes of a line without its end.
    pub line: usize,
    /// Bytes of the whole item.
    pub whole: usize,
}

/// Why bytes are no item. `at` counts from the item's first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// The item or element begins with a byte that begins none here.
    #[error("byte {at}: expected {expected}, found 0x{found:02x}")]
    Kind {
        /// Where.
        at: usize,
        /// What may stand there.
        expected: &'static str,
        /// What does.
        found: u8,
    },
    /// A line has no end.
    #[error("byte {at}: expected a line of at most {most} bytes")]
    Line {
        /// Where it begins.
        at: usize,
        /// The limit.
        most: usize,
    },
    /// A length is no number.
    #[error("byte {at}: expected a length")]
    Number {
        /// Where it begins.
        at: usize,
    },
    /// A length is out of range.
    #[error("byte {at}: expected a length from {least} to {most}, found {found}")]
    Length {
        /// Where it begins.
        at: usize,
        /// The least.
        least: i64,
        /// The most.
        most: i64,
        /// What was there.
        found: i64,
    },
    /// A bulk string is longer or shorter than it says.
    #[error("byte {at}: expected the end of a value of {length} bytes")]
    End {
        /// Where its end should be.
        at: usize,
        /// What it says.
        length: usize,
    },
    /// Arrays within too many arrays.
    #[error("byte {at}: arrays nested deeper than {most}")]
    Depth {
        /// Where.
        at: usize,
        /// The limit.
        most: usize,
    },
    /// The whole item is too long.
    #[error("an item of more than {most} bytes")]
    Whole {
        /// The limit.
        most: usize,
    },
}

/// A command: its words in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The words.
    pub words: Vec<Bytes>,
}

/// An answer, or an element of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// `+`: a simple string.
    Simple(Bytes),
    /// `-`: an error.
    Error(Bytes),
    /// `:`: an integer.
    Integer(i64),
    /// `$`: a bulk string; none is null.
    Bulk(Option<Bytes>),
    /// `*`: an array; none is null.
    Array(Option<Vec<Value>>),
}

/// What a look found.
enum Look<T> {
    Whole(T),
    More,
}

macro_rules! whole {
    ($look:expr) => {
        match $look? {
            Look::Whole(found) => found,
            Look::More => return Ok(Look::More),
        }
    };
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    limits: &'a Limits,
}

/// Where something lies in the buffer.
type Range = (usize, usize);

/// A value as it lies in the buffer.
enum Shape {
    Simple(Range),
    Error(Range),
    Integer(i64),
    Bulk(Option<Range>),
    Array(Option<Vec<Shape>>),
}

impl Reader<'_> {
    fn kind(&mut self) -> Option<u8> {
        let kind = self.bytes.get(self.at).copied()?;
        self.at += 1;
        Some(kind)
    }

    /// A line's place, without its end.
    fn line(&mut self) -> Result<Look<Range>, Bad> {
        let (from, most) = (self.at, self.limits.line);
        let rest = &self.bytes[from..];
        let seen = &rest[..rest.len().min(most + 2)];
        let Some(end) = seen.iter().position(|b| *b == b'\r' || *b == b'\n') else {
            return if rest.len() > most { Err(Bad::Line { at: from, most }) } else { Ok(Look::More) };
        };
        if end > most || seen[end] == b'\n' {
            return Err(Bad::Line { at: from, most });
        }
        match rest.get(end + 1) {
            None => Ok(Look::More),
            Some(b'\n') => {
                self.at = from + end + 2;
                Ok(Look::Whole((from, from + end)))
            }
            Some(_) => Err(Bad::Line { at: from, most }),
        }
    }

    fn integer(&mut self) -> Result<Look<i64>, Bad> {
        let at = self.at;
        let (from, to) = whole!(self.line());
        let text = &self.bytes[from..to];
        let digits = text.strip_prefix(b"-").unwrap_or(text);
        // Plain digits only: a sign of plus, spaces or an empty line are nobody's length.
        if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
            return Err(Bad::Number { at });
        }
        let number = digits.iter().fold(0i64, |n, d| n * 10 + i64::from(d - b'0'));
        Ok(Look::Whole(if digits.len() == text.len() { number } else { -number }))
    }

    fn length(&mut self, least: i64, most: usize) -> Result<Look<i64>, Bad> {
        let at = self.at;
        let found = whole!(self.integer());
        let most = most as i64;
        if (least..=most).contains(&found) {
            Ok(Look::Whole(found))
        } else {
            Err(Bad::Length { at, least, most, found })
        }
    }

    /// A bulk string's place; none where it is null, which is allowed where `least` is -1.
    fn bulk(&mut self, least: i64) -> Result<Look<Option<Range>>, Bad> {
        let length = whole!(self.length(least, self.limits.bulk));
        let Ok(length) = usize::try_from(length) else { return Ok(Look::Whole(None)) };
        let end = self.at + length;
        let mut tail = self.bytes.get(end..).unwrap_or_default().iter();
        match (tail.next(), tail.next()) {
            (None, _) | (Some(b'\r'), None) => Ok(Look::More),
            (Some(b'\r'), Some(b'\n')) => {
                let range = (self.at, end);
                self.at = end + 2;
                Ok(Look::Whole(Some(range)))
            }
            _ => Err(Bad::End { at: end, length }),
        }
    }

    fn words(&mut self) -> Result<Look<Vec<Range>>, Bad> {
        let Some(kind) = self.kind() else { return Ok(Look::More) };
        if kind != b'*' {
            return Err(Bad::Kind { at: 0, expected: "an array", found: kind });
        }
        let count = whole!(self.length(1, self.limits.elements));
        let mut words = Vec::with_capacity(count as usize);
        for _ in 0..count {
            let at = self.at;
            let Some(kind) = self.kind() else { return Ok(Look::More) };
            if kind != b'$' {
                return Err(Bad::Kind { at, expected: "a bulk string", found: kind });
            }
            words.extend(whole!(self.bulk(0)));
        }
        Ok(Look::Whole(words))
    }

    fn shape(&mut self, depth: usize) -> Result<Look<Shape>, Bad> {
        let at = self.at;
        let Some(kind) = self.kind() else { return Ok(Look::More) };
        Ok(Look::Whole(match kind {
            b'+' => Shape::Simple(whole!(self.line())),
            b'-' => Shape::Error(whole!(self.line())),
            b':' => Shape::Integer(whole!(self.integer())),
            b'$' => Shape::Bulk(whole!(self.bulk(-1))),
            b'*' => {
                let most = self.limits.depth;
                if depth >= most {
                    return Err(Bad::Depth { at, most });
                }
                let count = whole!(self.length(-1, self.limits.elements));
                let Ok(count) = usize::try_from(count) else { return Ok(Look::Whole(Shape::Array(None))) };
                let mut list = Vec::with_capacity(count);
                for _ in 0..count {
                    list.push(whole!(self.shape(depth + 1)));
                }
                Shape::Array(Some(list))
            }
            found => return Err(Bad::Kind { at, expected: "an answer", found }),
        }))
    }
}

/// Takes what a look found off the buffer.
fn take<T>(
    buffer: &mut BytesMut,
    limits: &Limits,
    look: impl FnOnce(&mut Reader<'_>) -> Result<Look<T>, Bad>,
) -> Result<Option<(Bytes, T)>, Bad> {
    let mut reader = Reader { bytes: buffer, at: 0, limits };
    let (found, end) = match look(&mut reader)? {
        Look::Whole(found) => (found, reader.at),
        // What is not whole by now and can only grow past the limit is not waited for.
        Look::More if buffer.len() > limits.whole => return Err(Bad::Whole { most: limits.whole }),
        Look::More => return Ok(None),
    };
    if end > limits.whole {
        return Err(Bad::Whole { most: limits.whole });
    }
    Ok(Some((buffer.split_to(end).freeze(), found)))
}

/// Takes a command off the front of a buffer; none: more bytes are needed.
///
/// # Errors
/// See [`Bad`]; the buffer is as it was, and nothing behind can be trusted to be a command's beginning.
pub fn command(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<Command>, Bad> {
    let found = take(buffer, limits, |r| r.words())?;
    Ok(found.map(|(raw, words)| Command { words: words.iter().map(|w| raw.slice(w.0..w.1)).collect() }))
}

/// Takes an answer off the front of a buffer; none: more bytes are needed.
///
/// # Errors
/// See [`Bad`]; the buffer is as it was, and nothing behind can be trusted to be an answer's beginning.
pub fn answer(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<Value>, Bad> {
    let found = take(buffer, limits, |r| r.shape(0))?;
    Ok(found.map(|(raw, shape)| value(&raw, shape)))
}

fn value(raw: &Bytes, shape: Shape) -> Value {
    let slice = |r: Range| raw.slice(r.0..r.1);
    match shape {
        Shape::Simple(r) => Value::Simple(slice(r)),
        Shape::Error(r) => Value::Error(slice(r)),
        Shape::Integer(n) => Value::Integer(n),
        Shape::Bulk(r) => Value::Bulk(r.map(slice)),
        Shape::Array(list) => Value::Array(list.map(|l| l.into_iter().map(|s| value(raw, s)).collect())),
    }
}

fn head(out: &mut BytesMut, kind: u8, number: usize) {
    // Digits from the last one: no allocation, as each request writes several of these.
    let mut digits = [0; 20];
    let (mut at, mut rest) = (digits.len(), number);
    loop {
        at -= 1;
        digits[at] = b'0' + (rest % 10) as u8;
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    out.extend_from_slice(&[kind]);
    out.extend_from_slice(&digits[at..]);
    out.extend_from_slice(b"\r\n");
}

/// Writes an array's head: its elements follow.
pub fn put_array(out: &mut BytesMut, elements: usize) {
    head(out, b'*', elements);
}

/// Writes a bulk string.
pub fn put_bulk(out: &mut BytesMut, bytes: &[u8]) {
    head(out, b'$', bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Writes a null bulk string.
pub fn put_null(out: &mut BytesMut) {
    out.extend_from_slice(b"$-1\r\n");
}

/// Writes a simple string (`+`) or an error (`-`). Ends of lines in the text become spaces: it stays one line.
pub fn put_line(out: &mut BytesMut, kind: u8, text: &str) {
    out.extend_from_slice(&[kind]);
    out.extend(text.bytes().map(|b| if b == b'\r' || b == b'\n' { b' ' } else { b }));
    out.extend_from_slice(b"\r\n");
}

/// Writes a whole command.
pub fn put_command(out: &mut BytesMut, words: &[&[u8]]) {
    put_array(out, words.len());
    words.iter().for_each(|w| put_bulk(out, w));
}
