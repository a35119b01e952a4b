//! Decodes commands and replies from the front of a buffer that the caller fills.
//!
//! Each attempt starts at the first byte of the item and keeps no state for the next one. An attempt is cheap for values of
//! any size, because it parses only the lines with types and lengths and skips the contents of bulk strings.

use crate::error::DecodeError;
use crate::limits::Limits;
use crate::value::{Command, Value};
use bytes::{Bytes, BytesMut};
use std::ops::Range;

/// Maximum number of digits of an integer. 18 digits cannot overflow an `i64`.
const MAX_INTEGER_DIGITS: usize = 18;

/// Minimum length of a bulk string or array that may be null: null is encoded as length -1.
const NULL_LENGTH: i64 = -1;

/// Why an attempt to decode ended without an item.
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

/// A decoded value whose strings are ranges of the buffer.
enum ParsedValue {
    Simple(Range<usize>),
    Error(Range<usize>),
    Integer(i64),
    Bulk(Option<Range<usize>>),
    Array(Option<Vec<ParsedValue>>),
}

impl ParsedValue {
    fn into_value(self, item: &Bytes) -> Value {
        match self {
            ParsedValue::Simple(range) => Value::Simple(item.slice(range)),
            ParsedValue::Error(range) => Value::Error(item.slice(range)),
            ParsedValue::Integer(number) => Value::Integer(number),
            ParsedValue::Bulk(range) => Value::Bulk(range.map(|range| item.slice(range))),
            ParsedValue::Array(elements) => Value::Array(
                elements
                    .map(|elements| elements.into_iter().map(|element| element.into_value(item)).collect()),
            ),
        }
    }
}

/// Takes a command off the front of a buffer. Returns `None` if more bytes are needed.
///
/// # Errors
/// Returns a [`DecodeError`] if the bytes are not a command within `limits`. The buffer is unchanged then, and decoding
/// cannot continue, as the start of the next command is unknown.
pub fn decode_command(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<Command>, DecodeError> {
    let decoded = take_item(buffer, limits, |cursor| cursor.arguments())?;
    Ok(decoded.map(|(item, arguments)| Command {
        arguments: arguments.into_iter().map(|argument| item.slice(argument)).collect(),
    }))
}

/// Where a command is in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandPosition {
    /// The length of the command, which begins at the first byte.
    pub length: usize,
    /// The ranges of its arguments.
    pub arguments: Vec<Range<usize>>,
}

/// Finds the command at the front of a buffer. Returns `None` if more bytes are needed.
///
/// # Errors
/// Returns a [`DecodeError`] if the bytes are not a command within `limits`.
pub fn find_command(buffer: &[u8], limits: &Limits) -> Result<Option<CommandPosition>, DecodeError> {
    let found = find_item(buffer, limits, |cursor| cursor.arguments())?;
    Ok(found.map(|(length, arguments)| CommandPosition { length, arguments }))
}

/// Takes a reply off the front of a buffer. Returns `None` if more bytes are needed.
///
/// # Errors
/// Returns a [`DecodeError`] if the bytes are not a reply within `limits`. The buffer is unchanged then, and decoding
/// cannot continue, as the start of the next reply is unknown.
pub fn decode_reply(buffer: &mut BytesMut, limits: &Limits) -> Result<Option<Value>, DecodeError> {
    let decoded = take_item(buffer, limits, |cursor| cursor.value(0))?;
    Ok(decoded.map(|(item, value)| value.into_value(&item)))
}

/// Takes an item off the buffer if it is complete. Returns its bytes and the result of `decode`.
fn take_item<T>(
    buffer: &mut BytesMut,
    limits: &Limits,
    decode: impl FnOnce(&mut Cursor<'_>) -> Result<T, Stop>,
) -> Result<Option<(Bytes, T)>, DecodeError> {
    let found = find_item(buffer, limits, decode)?;
    Ok(found.map(|(length, decoded)| (buffer.split_to(length).freeze(), decoded)))
}

/// Finds the item at the front of a buffer if it is complete. Returns its length and the result of `decode`.
fn find_item<T>(
    buffer: &[u8],
    limits: &Limits,
    decode: impl FnOnce(&mut Cursor<'_>) -> Result<T, Stop>,
) -> Result<Option<(usize, T)>, DecodeError> {
    let too_long = DecodeError::ItemTooLong { max: limits.max_item_bytes };
    let mut cursor = Cursor { bytes: buffer, position: 0, limits };
    let decoded = match decode(&mut cursor) {
        Ok(decoded) => decoded,
        Err(Stop::Error(error)) => return Err(error),
        // The item is longer than the limit already, so it need not be complete to be rejected.
        Err(Stop::Incomplete) if buffer.len() > limits.max_item_bytes => return Err(too_long),
        Err(Stop::Incomplete) => return Ok(None),
    };
    let end = cursor.position;
    if end > limits.max_item_bytes {
        return Err(too_long);
    }
    Ok(Some((end, decoded)))
}

/// A read position in an item.
struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
    limits: &'a Limits,
}

impl Cursor<'_> {
    /// Reads the byte that identifies the type of an item or element.
    fn type_byte(&mut self) -> Result<u8, Stop> {
        let type_byte = self.bytes.get(self.position).copied().ok_or(Stop::Incomplete)?;
        self.position += 1;
        Ok(type_byte)
    }

    /// Reads a line and returns its range, without CR LF.
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

    /// Reads a line that holds an integer.
    fn integer(&mut self) -> Result<i64, Stop> {
        let at = self.position;
        let line = self.line()?;
        let text = &self.bytes[line];
        let digits = text.strip_prefix(b"-").unwrap_or(text);
        // Only digits after an optional minus sign: a plus sign, spaces and an empty line are invalid.
        let all_digits = digits.iter().all(u8::is_ascii_digit);
        if digits.is_empty() || digits.len() > MAX_INTEGER_DIGITS || !all_digits {
            return Err(DecodeError::InvalidInteger { at }.into());
        }
        let magnitude = digits.iter().fold(0i64, |number, digit| number * 10 + i64::from(digit - b'0'));
        let is_negative = digits.len() < text.len();
        Ok(if is_negative { -magnitude } else { magnitude })
    }

    /// Reads a line that holds a length from `min` to `max`.
    fn length(&mut self, min: i64, max: usize) -> Result<i64, Stop> {
        let at = self.position;
        let found = self.integer()?;
        let max = max as i64;
        if (min..=max).contains(&found) {
            return Ok(found);
        }
        Err(DecodeError::LengthOutOfRange { at, min, max, found }.into())
    }

    /// Reads the length and contents of a bulk string and returns the range of the contents. Returns `None` for null, which
    /// is accepted if `min_length` is [`NULL_LENGTH`].
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

    /// Reads a command and returns the ranges of its arguments.
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

    /// Reads a type byte and checks it; `expected` names the type in the error.
    fn expect_type(&mut self, type_byte: u8, expected: &'static str) -> Result<(), Stop> {
        let at = self.position;
        let found = self.type_byte()?;
        if found == type_byte {
            return Ok(());
        }
        Err(DecodeError::UnexpectedType { at, expected, found }.into())
    }

    /// Reads a value that is nested in `depth` arrays.
    fn value(&mut self, depth: usize) -> Result<ParsedValue, Stop> {
        let at = self.position;
        match self.type_byte()? {
            b'+' => Ok(ParsedValue::Simple(self.line()?)),
            b'-' => Ok(ParsedValue::Error(self.line()?)),
            b':' => Ok(ParsedValue::Integer(self.integer()?)),
            b'$' => Ok(ParsedValue::Bulk(self.bulk(NULL_LENGTH)?)),
            b'*' if depth >= self.limits.max_depth => {
                Err(DecodeError::TooDeep { at, max: self.limits.max_depth }.into())
            }
            b'*' => {
                let count = self.length(NULL_LENGTH, self.limits.max_elements)?;
                let Ok(count) = usize::try_from(count) else { return Ok(ParsedValue::Array(None)) };
                let mut elements = Vec::with_capacity(count);
                for _ in 0..count {
                    elements.push(self.value(depth + 1)?);
                }
                Ok(ParsedValue::Array(Some(elements)))
            }
            found => Err(DecodeError::UnexpectedType { at, expected: "a reply", found }.into()),
        }
    }
}
