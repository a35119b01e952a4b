//! Decodes a backend's reply to one command, free of I/O.

use bytes::{Bytes, BytesMut};
use chalkgap_core::{LoadReport, Outcome};
use chalkgap_resp::{decode_reply, Limits, Value};

/// Limits of a reply: an array of a value, figures and a load report. The protocol allows values of 64 KiB, but backends
/// exceed that, and whether the value is of use is for the client to judge. The memory that all replies take together is
/// bounded by [`MemoryBudget`](crate::memory_budget::MemoryBudget).
pub const REPLY_LIMITS: Limits = Limits {
    max_elements: 4,
    max_depth: 2,
    max_bulk_bytes: 1 << 20,
    max_line_bytes: 512,
    max_item_bytes: (1 << 20) + 4096,
};
/// Bytes of a load report.
const MAX_LOAD_REPORT_BYTES: usize = 256;

/// How an attempt ended, as far as its reply says.
#[derive(Debug, PartialEq)]
pub struct BackendReply {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The value; empty unless the outcome is [`Outcome::Ok`].
    pub value: Bytes,
    /// The load report that came with it, if it could be read.
    pub load_report: Option<LoadReport>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl BackendReply {
    /// No reply, on a connection that cannot be reused.
    pub fn without_value(outcome: Outcome) -> BackendReply {
        BackendReply { outcome, value: Bytes::new(), load_report: None, reusable: false }
    }
}

/// Takes a reply off the front of a buffer; none if more bytes are needed. `load_report_fields` are the names of the
/// values in a load report.
///
/// A malformed reply gives [`Outcome::Reset`]: the request may have run, and the connection is of no further use.
pub fn decode_backend_reply(buffer: &mut BytesMut, load_report_fields: &[String]) -> Option<BackendReply> {
    let value = match decode_reply(buffer, &REPLY_LIMITS) {
        Ok(None) => return None,
        Ok(Some(value)) => value,
        Err(_) => return Some(BackendReply::without_value(Outcome::Reset)),
    };
    let Some(mut reply) = interpret(value, load_report_fields) else {
        return Some(BackendReply::without_value(Outcome::Reset));
    };
    // Bytes behind a complete reply belong to no request: they are dropped together with the connection.
    reply.reusable = reply.reusable && buffer.is_empty();
    Some(reply)
}

fn interpret(value: Value, load_report_fields: &[String]) -> Option<BackendReply> {
    match value {
        Value::Array(Some(elements)) => {
            let mut elements = elements.into_iter();
            let Some(Value::Bulk(Some(value))) = elements.next() else { return None };
            // Figures or a load report that cannot be read do not invalidate the value.
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
                // Not part of the protocol: it does not say whether the request ran.
                _ => return None,
            };
            let load_report = words.next_back().and_then(|word| parse_load_report(word, load_report_fields));
            Some(BackendReply { outcome, value: Bytes::new(), load_report, reusable: true })
        }
        _ => None,
    }
}

/// Parses `NAME=NUMBER` pairs joined by commas; none unless all of them are valid.
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
