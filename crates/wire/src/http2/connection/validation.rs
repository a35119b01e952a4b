//! Validation of a message's fields (RFC 9113, sections 8.2 and 8.3).

use super::super::hpack::Field;
use bytes::Bytes;

/// Values of a message's fields that the connection uses.
#[derive(Clone, Copy)]
pub(super) struct CheckedFields {
    /// Value of `content-length`.
    pub(super) content_length: Option<u64>,
    /// The message is an interim response (1xx).
    pub(super) informational: bool,
}

/// The part of a message that the fields belong to.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum MessageKind {
    Request,
    Response,
    Trailers,
}

/// Pseudo-header fields of a message.
#[derive(Default)]
struct PseudoFields<'a> {
    methods: u32,
    schemes: u32,
    paths: u32,
    status: Option<&'a Bytes>,
}

/// Validates the fields of a message.
///
/// # Errors
/// A description of the violated rule, which documents the check; the peer receives only PROTOCOL_ERROR.
pub(super) fn check(fields: &[Field], kind: MessageKind) -> Result<CheckedFields, &'static str> {
    let mut regular_seen = false;
    let mut content_length = None;
    let mut pseudo = PseudoFields::default();
    for field in fields {
        check_characters(field)?;
        if field.name[0] == b':' {
            if regular_seen || kind == MessageKind::Trailers {
                return Err("pseudo-header after a regular field or in trailers");
            }
            pseudo.add(field, kind)?;
            continue;
        }
        regular_seen = true;
        if let Some(length) = check_regular(field)? {
            if content_length.replace(length).is_some_and(|earlier| earlier != length) {
                return Err("contradicting content-length fields");
            }
        }
    }
    let informational = pseudo.check(kind)?;
    Ok(CheckedFields { content_length, informational })
}

fn check_characters(field: &Field) -> Result<(), &'static str> {
    let is_forbidden = |byte: &u8| byte.is_ascii_uppercase() || *byte <= b' ' || *byte >= 0x7f;
    if field.name.is_empty() || field.name.iter().any(is_forbidden) {
        return Err("forbidden character in a field name");
    }
    if field.value.iter().any(|byte| matches!(byte, 0 | b'\r' | b'\n')) {
        return Err("NUL, CR or LF in a field value");
    }
    Ok(())
}

/// Validates a regular field. Returns its value if it is `content-length`.
fn check_regular(field: &Field) -> Result<Option<u64>, &'static str> {
    match &field.name[..] {
        b"connection" | b"proxy-connection" | b"keep-alive" | b"transfer-encoding" | b"upgrade" => {
            Err("connection-specific field")
        }
        b"te" if field.value != "trailers" => Err("te: expected \"trailers\""),
        b"content-length" => {
            let text = std::str::from_utf8(&field.value).ok();
            let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
            let length = digits.and_then(|digits| digits.parse().ok());
            length.map(Some).ok_or("content-length: expected a number")
        }
        _ => Ok(None),
    }
}

impl<'a> PseudoFields<'a> {
    fn add(&mut self, field: &'a Field, kind: MessageKind) -> Result<(), &'static str> {
        match (&field.name[..], kind) {
            (b":method", MessageKind::Request) => self.methods += 1,
            (b":scheme", MessageKind::Request) => self.schemes += 1,
            // An empty path is invalid: counting it twice fails the check for exactly one path.
            (b":path", MessageKind::Request) => self.paths += if field.value.is_empty() { 2 } else { 1 },
            (b":authority", MessageKind::Request) => {}
            (b":status", MessageKind::Response) if self.status.is_none() => self.status = Some(&field.value),
            _ => return Err("unexpected or duplicate pseudo-header"),
        }
        Ok(())
    }

    /// Checks that the required pseudo-headers are present. Returns whether the message is an interim response.
    fn check(&self, kind: MessageKind) -> Result<bool, &'static str> {
        match kind {
            MessageKind::Trailers => Ok(false),
            MessageKind::Request => {
                let is_complete = self.methods == 1 && self.schemes == 1 && self.paths == 1;
                is_complete.then_some(false).ok_or("request: expected one :method, :scheme and :path")
            }
            MessageKind::Response => {
                let is_code = |status: &&Bytes| status.len() == 3 && status.iter().all(u8::is_ascii_digit);
                let code = self.status.filter(is_code);
                Ok(code.ok_or("response: expected one :status of three digits")?[0] == b'1')
            }
        }
    }
}
