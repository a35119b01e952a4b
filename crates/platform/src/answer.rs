//! What a backend's answer says, free of I/O.

use bytes::{Bytes, BytesMut};
use chalkgap_core::{LoadReport, Outcome};
use chalkgap_resp::{answer, Limits, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What an answer may have: an array of a value, figures and a report. The protocol says 64 KiB of a value; backends were
/// seen to give four times as much, and it is their clients' to judge. What all answers together may take of the memory
/// is bounded by [`Budget`].
pub const ANSWERS: Limits =
    Limits { elements: 4, depth: 2, bulk: 1 << 20, line: 512, whole: (1 << 20) + 4096 };

/// How many bytes of answers may be held at once by all connections to backends.
pub struct Budget {
    most: usize,
    held: AtomicUsize,
}

/// A part of a [`Budget`], given back when it is dropped.
pub struct Share {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    /// A budget of `most` bytes.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Budget { most, held: AtomicUsize::new(0) })
    }

    /// A share that holds nothing yet.
    pub fn share(self: &Arc<Self>) -> Share {
        Share { budget: self.clone(), bytes: 0 }
    }
}

impl Share {
    /// Holds so many bytes more; false, and none more, where that is over the budget.
    pub fn take(&mut self, bytes: usize) -> bool {
        let room = |held: usize| held.checked_add(bytes).filter(|h| *h <= self.budget.most);
        let taken = self.budget.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, room).is_ok();
        self.bytes += if taken { bytes } else { 0 };
        taken
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A whole answer.
#[derive(Debug, PartialEq)]
pub struct Answered {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The value, with [`Outcome::Ok`].
    pub value: Bytes,
    /// The load report that came along and could be read.
    pub report: Option<LoadReport>,
    /// The connection may carry another request.
    pub usable: bool,
}

/// Takes an answer off a buffer; none: more bytes are needed. What is spoilt ends as a reset: it may have run, and its
/// connection is of no further use.
pub fn take(buffer: &mut BytesMut, names: &[String]) -> Option<Answered> {
    let spoilt = Answered { outcome: Outcome::Reset, value: Bytes::new(), report: None, usable: false };
    match answer(buffer, &ANSWERS) {
        Ok(None) => None,
        Ok(Some(value)) => {
            let found = read(value, names);
            // What lies behind a whole answer belongs to nobody: it is dropped, with its connection.
            Some(found.map_or(spoilt, |f| Answered { usable: f.usable && buffer.is_empty(), ..f }))
        }
        Err(_) => Some(spoilt),
    }
}

fn read(value: Value, names: &[String]) -> Option<Answered> {
    match value {
        Value::Array(Some(list)) => {
            let mut list = list.into_iter();
            let Some(Value::Bulk(Some(value))) = list.next() else { return None };
            // A figure or a report that cannot be read takes nothing from the answer.
            let report = match list.nth(1) {
                Some(Value::Bulk(Some(text))) => load(&text, names),
                _ => None,
            };
            Some(Answered { outcome: Outcome::Ok, value, report, usable: true })
        }
        Value::Error(text) => {
            let mut words = text.split(|b| *b == b' ');
            let outcome = match words.next() {
                Some(b"BUSY") => Outcome::Rejected,
                Some(b"ERR") => Outcome::Error,
                // Not of the protocol: nobody knows what it says of the request.
                _ => return None,
            };
            let report = words.next_back().and_then(|w| load(w, names));
            Some(Answered { outcome, value: Bytes::new(), report, usable: true })
        }
        _ => None,
    }
}

/// Reads `name=number` pairs, joined by commas; none unless all of it is of that form.
fn load(text: &[u8], names: &[String]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok().filter(|t| t.len() <= 256)?;
    let pair = |item: &'_ str| {
        let (name, number) = item.split_once('=')?;
        let number = number.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)?;
        Some((names.iter().find(|n| *n == name)?.as_str(), number))
    };
    let values: Vec<(&str, f64)> = text.split(',').map(pair).collect::<Option<_>>()?;
    Some(chalkgap_deployment_config::report(values))
}
