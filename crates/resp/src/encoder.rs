//! Encodes commands and replies.

use bytes::BytesMut;

/// Number of decimal digits of the largest 64-bit `usize`.
const MAX_DIGITS: usize = 20;

/// Writes a type byte, a number and CR LF. Does not allocate, because every request writes several headers.
fn put_header(out: &mut BytesMut, type_byte: u8, number: usize) {
    let mut digits = [0; MAX_DIGITS];
    let mut start = digits.len();
    let mut rest = number;
    loop {
        start -= 1;
        digits[start] = b'0' + (rest % 10) as u8;
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    out.extend_from_slice(&[type_byte]);
    out.extend_from_slice(&digits[start..]);
    out.extend_from_slice(b"\r\n");
}

/// Writes a type byte, a text and CR LF. CR and LF in the text are replaced by spaces, so that it stays on one line.
fn put_line(out: &mut BytesMut, type_byte: u8, text: &str) {
    out.extend_from_slice(&[type_byte]);
    out.extend(text.bytes().map(|byte| if byte == b'\r' || byte == b'\n' { b' ' } else { byte }));
    out.extend_from_slice(b"\r\n");
}

/// Writes the header of an array. The caller must write `elements` items after it.
pub fn put_array_header(out: &mut BytesMut, elements: usize) {
    put_header(out, b'*', elements);
}

/// Writes the header of a bulk string. The caller must write `length` bytes and CR LF after it.
pub fn put_bulk_header(out: &mut BytesMut, length: usize) {
    put_header(out, b'$', length);
}

/// Writes a bulk string.
pub fn put_bulk(out: &mut BytesMut, bytes: &[u8]) {
    put_bulk_header(out, bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Writes a null bulk string.
pub fn put_null(out: &mut BytesMut) {
    out.extend_from_slice(b"$-1\r\n");
}

/// Writes a simple string. CR and LF in `text` are replaced by spaces.
pub fn put_simple_string(out: &mut BytesMut, text: &str) {
    put_line(out, b'+', text);
}

/// Writes an error. CR and LF in `text` are replaced by spaces.
pub fn put_error(out: &mut BytesMut, text: &str) {
    put_line(out, b'-', text);
}

/// Writes a command as an array of bulk strings. The first argument is the command's name.
pub fn put_command(out: &mut BytesMut, arguments: &[&[u8]]) {
    put_array_header(out, arguments.len());
    arguments.iter().for_each(|argument| put_bulk(out, argument));
}
