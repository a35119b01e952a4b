//! Decodes a backend's reply to one command. Performs no I/O.

use bytes::{Bytes, BytesMut};
use chalkgap_core::{LoadReport, Outcome};
use chalkgap_resp::{decode_reply, Limits, Value};

/// Limits of a reply, which is an array of a value, an element that is ignored, and a load report. The protocol allows
/// values of up to 64 KiB. As backends exceed that, longer values are accepted as well and passed to the client. The memory of
/// all replies is limited by a [`MemoryBudget`](chalkgap_transport::MemoryBudget).
pub const REPLY_LIMITS: Limits = Limits {
    max_elements: 4,
    max_depth: 2,
    max_bulk_bytes: 1 << 20,
    max_line_bytes: 512,
    max_item_bytes: (1 << 20) + 4096,
};
/// Maximum length of a load report, in bytes.
const MAX_LOAD_REPORT_BYTES: usize = 256;

/// The result of an attempt, according to the backend's reply.
#[derive(Debug, PartialEq)]
pub struct BackendReply {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The value for the client; empty unless the outcome is [`Outcome::Ok`].
    pub value: Bytes,
    /// The load report of the reply, if it has a valid one.
    pub load_report: Option<LoadReport>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl BackendReply {
    /// Creates the result of an attempt that got no usable reply, on a connection that cannot be reused.
    pub fn without_value(outcome: Outcome) -> BackendReply {
        BackendReply { outcome, value: Bytes::new(), load_report: None, reusable: false }
    }
}

/// Takes a reply off the front of a buffer. Returns `None` if more bytes are needed. `load_report_fields` are the names of the
/// values in a load report.
///
/// The outcome of a malformed reply is [`Outcome::Reset`]: the request may have run, and the connection cannot be reused.
pub fn decode_backend_reply(buffer: &mut BytesMut, load_report_fields: &[String]) -> Option<BackendReply> {
    let value = match decode_reply(buffer, &REPLY_LIMITS) {
        Ok(None) => return None,
        Ok(Some(value)) => value,
        Err(_) => return Some(BackendReply::without_value(Outcome::Reset)),
    };
    let Some(mut reply) = interpret(value, load_report_fields) else {
        return Some(BackendReply::without_value(Outcome::Reset));
    };
    // Bytes behind a complete reply belong to no request. They are discarded, and the connection is closed.
    reply.reusable = reply.reusable && buffer.is_empty();
    Some(reply)
}

fn interpret(value: Value, load_report_fields: &[String]) -> Option<BackendReply> {
    match value {
        Value::Array(Some(elements)) => {
            let mut elements = elements.into_iter();
            let Some(Value::Bulk(Some(value))) = elements.next() else { return None };
            // The value is valid even if the second element or the load report is malformed.
            let load_report = match elements.nth(1) {
                Some(Value::Bulk(Some(text))) => parse_load_report(&text, load_report_fields),
                _ => None,
            };
            Some(BackendReply { outcome: Outcome::Ok, value, load_report, reusable: true })
        }
        Value::Error(text) => {
            let mut words = text.split(|byte| *byte == b' ');
            let outcome = match words.next() {
                Some(b"BUSY") => Outcome::Rejected,
                Some(b"ERR") => Outcome::Error,
                // Other error codes are not part of the protocol and do not tell whether the request ran.
                _ => return None,
            };
            let load_report = words.next_back().and_then(|word| parse_load_report(word, load_report_fields));
            Some(BackendReply { outcome, value: Bytes::new(), load_report, reusable: true })
        }
        _ => None,
    }
}

/// Parses `NAME=NUMBER` pairs that are separated by commas. Returns `None` unless all of them are valid.
fn parse_load_report(text: &[u8], fields: &[String]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok().filter(|text| text.len() <= MAX_LOAD_REPORT_BYTES)?;
    let parse_pair = |item: &'_ str| {
        let (name, number) = item.split_once('=')?;
        let number = number.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0)?;
        let field = fields.iter().find(|field| *field == name)?;
        Some((field.as_str(), number))
    };
    let values: Vec<(&str, f64)> = text.split(',').map(parse_pair).collect::<Option<_>>()?;
    Some(chalkgap_deployment_config::report(values))
}
