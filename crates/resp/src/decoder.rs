//! Decodes commands and replies from the front of a buffer that the caller fills.
//!
//! Decoding is attempted from the item's first byte each time, and keeps no state in between: an attempt costs a few lines,
//! whatever the sizes of the values, as bulk strings are skipped.

use crate::error::DecodeError;
use crate::limits::Limits;
use crate::value::{Command, Value};
use bytes::{Bytes, BytesMut};
use std::ops::Range;

/// Digits of an integer: fewer than overflow an `i64`.
const MAX_INTEGER_DIGITS: usize = 18;

/// The least length of a value that may be null, which is encoded as a length of -1.
const NULLABLE: i64 = -1;

/// Why decoding stops.
enum Stop {
    /// More bytes are needed.
    Incomplete,
    Error(DecodeError),
}

impl From<DecodeError> for Stop {
    fn from(error: DecodeError) -> Stop {
        Stop::Error(error)
    }
}

/// A value by its places in the buffer.
enum Shape {
    Simple(Range<usize>),
    Error(Range<usize>),
    Integer(i64),
    Bulk(Option<Range<usize>>),
    Array(Option<Vec<Shape>>),
}

impl Shape {
    fn into_value(self, item: &Bytes) -> Value {
        match self {
            Shape::Simple(range) => Value::Simple(item.slice(range)),
            Shape::Error(range) => Value::Error(item.slice(range)),
            Shape::Integer(number) => Value::Integer(number),
            Shape::Bulk(range) => Value::Bulk(range.map(|range| item.slice(range))),
            Shape::Array(elements) => Value::Array(
                elements.map(|elements| elements.into_iter().map(|shape| shape.into_value(item)).collect()),
            ),
        }
    }
}

/// Takes a command off the front of a buffer; none if more bytes are needed.
///
/// # Errors
/// See [`DecodeError`]. The buffer is unchanged, and nothing behind the error can be trusted to begin a command.
pub fn decode_command(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<Command>, DecodeError> {
    let decoded = take_item(buffer, limits, |cursor| cursor.arguments())?;
    Ok(decoded.map(|(item, arguments)| Command {
        arguments: arguments.into_iter().map(|argument| item.slice(argument)).collect(),
    }))
}

/// Takes a reply off the front of a buffer; none if more bytes are needed.
///
/// # Errors
/// See [`DecodeError`]. The buffer is unchanged, and nothing behind the error can be trusted to begin a reply.
pub fn decode_reply(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<Value>, DecodeError> {
    let decoded = take_item(buffer, limits, |cursor| cursor.shape(0))?;
    Ok(decoded.map(|(item, shape)| shape.into_value(&item)))
}

/// Takes an item off the buffer if it is complete; returns its bytes and what `decode` made of them.
fn take_item<T>(
    buffer: &mut BytesMut,
    limits: &Limits,
    decode: impl FnOnce(&mut Cursor<'_>) -> Result<T, Stop>,
) -> Result<Option<(Bytes, T)>, DecodeError> {
    let too_long = DecodeError::ItemTooLong { max: limits.max_item_bytes };
    let mut cursor = Cursor { bytes: buffer, position: 0, limits };
    let decoded = match decode(&mut cursor) {
        Ok(decoded) => decoded,
        Err(Stop::Error(error)) => return Err(error),
        // The item can only grow further past the limit.
        Err(Stop::Incomplete) if buffer.len() > limits.max_item_bytes => return Err(too_long),
        Err(Stop::Incomplete) => return Ok(None),
    };
    let end = cursor.position;
    if end > limits.max_item_bytes {
        return Err(too_long);
    }
    Ok(Some((buffer.split_to(end).freeze(), decoded)))
}

/// Walks over an item.
struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
    limits: &'a Limits,
}

impl Cursor<'_> {
    fn type_byte(&mut self) -> Result<u8, Stop> {
        let type_byte = self.bytes.get(self.position).copied().ok_or(Stop::Incomplete)?;
        self.position += 1;
        Ok(type_byte)
    }

    /// The place of a line, without its end.
    fn line(&mut self) -> Result<Range<usize>, Stop> {
        let start = self.position;
        let max = self.limits.max_line_bytes;
        let invalid = Stop::Error(DecodeError::InvalidLine { at: start, max });
        let rest = &self.bytes[start..];
        let searched = &rest[..rest.len().min(max + 2)];
        let Some(length) = searched.iter().position(|byte| *byte == b'\r' || *byte == b'\n') else {
            return Err(if rest.len() > max { invalid } else { Stop::Incomplete });
        };
        if length > max || searched[length] == b'\n' {
            return Err(invalid);
        }
        match rest.get(length + 1) {
            None => Err(Stop::Incomplete),
            Some(b'\n') => {
                self.position = start + length + 2;
                Ok(start..start + length)
            }
            Some(_) => Err(invalid),
        }
    }

    fn integer(&mut self) -> Result<i64, Stop> {
        let at = self.position;
        let line = self.line()?;
        let text = &self.bytes[line];
        let digits = text.strip_prefix(b"-").unwrap_or(text);
        // Digits only: a plus sign, spaces and an empty line are no integer.
        let all_digits = digits.iter().all(u8::is_ascii_digit);
        if digits.is_empty() || digits.len() > MAX_INTEGER_DIGITS || !all_digits {
            return Err(DecodeError::InvalidInteger { at }.into());
        }
        let magnitude = digits.iter().fold(0i64, |number, digit| number * 10 + i64::from(digit - b'0'));
        let is_negative = digits.len() < text.len();
        Ok(if is_negative { -magnitude } else { magnitude })
    }

    fn length(&mut self, min: i64, max: usize) -> Result<i64, Stop> {
        let at = self.position;
        let found = self.integer()?;
        let max = max as i64;
        if (min..=max).contains(&found) {
            return Ok(found);
        }
        Err(DecodeError::LengthOutOfRange { at, min, max, found }.into())
    }

    /// The place of a bulk string; none if it is null, which needs a `min_length` of [`NULLABLE`].
    fn bulk(&mut self, min_length: i64) -> Result<Option<Range<usize>>, Stop> {
        let length = self.length(min_length, self.limits.max_bulk_bytes)?;
        let Ok(length) = usize::try_from(length) else { return Ok(None) };
        let start = self.position;
        let end = start + length;
        match self.bytes.get(end..).unwrap_or_default() {
            [] | [b'\r'] => Err(Stop::Incomplete),
            [b'\r', b'\n', ..] => {
                self.position = end + 2;
                Ok(Some(start..end))
            }
            _ => Err(DecodeError::MissingTerminator { at: end, length }.into()),
        }
    }

    /// The places of a command's arguments.
    fn arguments(&mut self) -> Result<Vec<Range<usize>>, Stop> {
        self.expect_type(b'*', "an array")?;
        let count = self.length(1, self.limits.max_elements)?;
        let mut arguments = Vec::with_capacity(count as usize);
        for _ in 0..count {
            self.expect_type(b'$', "a bulk string")?;
            arguments.extend(self.bulk(0)?);
        }
        Ok(arguments)
    }

    fn expect_type(&mut self, type_byte: u8, expected: &'static str) -> Result<(), Stop> {
        let at = self.position;
        let found = self.type_byte()?;
        if found == type_byte {
            return Ok(());
        }
        Err(DecodeError::UnexpectedType { at, expected, found }.into())
    }

    /// A reply, `depth` arrays deep.
    fn shape(&mut self, depth: usize) -> Result<Shape, Stop> {
        let at = self.position;
        match self.type_byte()? {
            b'+' => Ok(Shape::Simple(self.line()?)),
            b'-' => Ok(Shape::Error(self.line()?)),
            b':' => Ok(Shape::Integer(self.integer()?)),
            b'$' => Ok(Shape::Bulk(self.bulk(NULLABLE)?)),
            b'*' if depth >= self.limits.max_depth => {
                Err(DecodeError::TooDeep { at, max: self.limits.max_depth }.into())
            }
            b'*' => {
                let count = self.length(NULLABLE, self.limits.max_elements)?;
                let Ok(count) = usize::try_from(count) else { return Ok(Shape::Array(None)) };
                let mut elements = Vec::with_capacity(count);
                for _ in 0..count {
                    elements.push(self.shape(depth + 1)?);
                }
                Ok(Shape::Array(Some(elements)))
            }
            found => Err(DecodeError::UnexpectedType { at, expected: "an answer", found }.into()),
        }
    }
}
