//! Checks of a message's fields (RFC 9113, sections 8.2 and 8.3).

use super::super::hpack::Field;
use bytes::Bytes;

/// What of a message's fields matters to the connection.
#[derive(Clone, Copy)]
pub(super) struct CheckedFields {
    /// The content length, if it is stated.
    pub(super) content_length: Option<u64>,
    /// An interim response (1xx).
    pub(super) informational: bool,
}

/// What kind of message fields belong to.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum MessageKind {
    Request,
    Response,
    Trailers,
}

/// Pseudo-header fields that were seen.
#[derive(Default)]
struct PseudoFields<'a> {
    methods: u32,
    schemes: u32,
    paths: u32,
    status: Option<&'a Bytes>,
}

/// Checks the fields of a message.
///
/// # Errors
/// What is wrong, for those who read the code: the peer gets PROTOCOL_ERROR.
pub(super) fn check(fields: &[Field], kind: MessageKind) -> Result<CheckedFields, &'static str> {
    let mut regular_seen = false;
    let mut content_length = None;
    let mut pseudo = PseudoFields::default();
    for field in fields {
        check_characters(field)?;
        if field.name[0] == b':' {
            if regular_seen || kind == MessageKind::Trailers {
                return Err("a pseudo-header after others, or in trailers");
            }
            pseudo.add(field, kind)?;
            continue;
        }
        regular_seen = true;
        if let Some(length) = check_regular(field)? {
            if content_length.replace(length).is_some_and(|earlier| earlier != length) {
                return Err("two lengths");
            }
        }
    }
    let informational = pseudo.check(kind)?;
    Ok(CheckedFields { content_length, informational })
}

fn check_characters(field: &Field) -> Result<(), &'static str> {
    let is_forbidden = |byte: &u8| byte.is_ascii_uppercase() || *byte <= b' ' || *byte >= 0x7f;
    if field.name.is_empty() || field.name.iter().any(is_forbidden) {
        return Err("a name with characters that names cannot have");
    }
    if field.value.iter().any(|byte| matches!(byte, 0 | b'\r' | b'\n')) {
        return Err("a value with NUL, CR or LF");
    }
    Ok(())
}

/// Checks a regular field; gives the content length if it is one.
fn check_regular(field: &Field) -> Result<Option<u64>, &'static str> {
    match &field.name[..] {
        b"connection" | b"proxy-connection" | b"keep-alive" | b"transfer-encoding" | b"upgrade" => {
            Err("a field of a connection of HTTP/1")
        }
        b"te" if field.value != "trailers" => Err("te of other than trailers"),
        b"content-length" => {
            let text = std::str::from_utf8(&field.value).ok();
            let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
            let length = digits.and_then(|digits| digits.parse().ok());
            length.map(Some).ok_or("content-length that is no number")
        }
        _ => Ok(None),
    }
}

impl<'a> PseudoFields<'a> {
    fn add(&mut self, field: &'a Field, kind: MessageKind) -> Result<(), &'static str> {
        match (&field.name[..], kind) {
            (b":method", MessageKind::Request) => self.methods += 1,
            (b":scheme", MessageKind::Request) => self.schemes += 1,
            // An empty path is as wrong as two of them.
            (b":path", MessageKind::Request) => self.paths += if field.value.is_empty() { 2 } else { 1 },
            (b":authority", MessageKind::Request) => {}
            (b":status", MessageKind::Response) if self.status.is_none() => self.status = Some(&field.value),
            _ => return Err("a pseudo-header that has no place here"),
        }
        Ok(())
    }

    /// Whether all that are needed are there; gives whether the response is an interim one.
    fn check(&self, kind: MessageKind) -> Result<bool, &'static str> {
        match kind {
            MessageKind::Trailers => Ok(false),
            MessageKind::Request => {
                let is_complete = self.methods == 1 && self.schemes == 1 && self.paths == 1;
                is_complete.then_some(false).ok_or("a request needs one method, scheme and path")
            }
            MessageKind::Response => {
                let is_code = |status: &&Bytes| status.len() == 3 && status.iter().all(u8::is_ascii_digit);
                let code = self.status.filter(is_code);
                Ok(code.ok_or("an answer needs one status of three digits")?[0] == b'1')
            }
        }
    }
}
