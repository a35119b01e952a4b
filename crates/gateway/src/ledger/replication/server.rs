//! Answers calls of other ingresses: lists the entries that this ingress has, and returns requested entries.

use super::authentication::{Authenticator, Direction};
use super::{MAX_ANSWER_BYTES, MAX_ENTRIES, MAX_RANGES};
use crate::ledger::{lock, LedgerHandle};
use crate::telemetry::add;
use bytes::Bytes;
use chalkgap_ledger::entry::{self, Entry, EntryId};
use chalkgap_ledger::{store, IncarnationId, SequenceRange};
use chalkgap_transport::unary;
use chalkgap_wire::fleet::{Entries, Range, Ranges, FETCH, HAVE};
use chalkgap_wire::grpc::{self, Code, Status};
use prost::Message;
use std::sync::{Arc, Mutex};

/// Bytes of an answer reserved for everything but the entries.
const ANSWER_OVERHEAD_BYTES: usize = 4096;
/// Maximum number of bytes that an answer uses for an entry in addition to the encoded entry.
const ENTRY_OVERHEAD_BYTES: usize = 8;

/// Creates the handler for calls of other ingresses.
pub(super) fn handler(ledger: Arc<LedgerHandle>, authenticator: Arc<Authenticator>) -> unary::Handler {
    let server = Arc::new(Server { ledger, authenticator, cache: Mutex::new(None) });
    Arc::new(move |path, message| {
        let server = server.clone();
        Box::pin(async move {
            let answer = server.answer(&path, message).await;
            if answer.is_err() {
                add(&server.ledger.telemetry.ledger_peer_refused);
            }
            answer
        })
    })
}

/// The entries of a segment, in memory.
#[derive(Clone)]
struct CachedSegment {
    number: u64,
    entries: Arc<Vec<Entry>>,
}

struct Server {
    ledger: Arc<LedgerHandle>,
    authenticator: Arc<Authenticator>,
    /// The segment that was read last. An ingress that catches up fetches a segment in several calls.
    cache: Mutex<Option<CachedSegment>>,
}

/// The entries of an answer, up to its maximum size.
#[derive(Default)]
struct EntriesAnswer {
    encoded: Vec<Bytes>,
    bytes: usize,
    count: u64,
}

impl EntriesAnswer {
    /// Adds entries until one does not fit. Returns whether all fit.
    fn add_all<'a>(&mut self, entries: impl IntoIterator<Item = &'a Entry>) -> bool {
        entries.into_iter().all(|entry| self.add(entry))
    }

    fn add(&mut self, entry: &Entry) -> bool {
        let encoded = Bytes::from(entry.encode());
        self.bytes += encoded.len() + ENTRY_OVERHEAD_BYTES;
        self.count += 1;
        let fits = self.bytes < MAX_ANSWER_BYTES - ANSWER_OVERHEAD_BYTES && self.count <= MAX_ENTRIES;
        if fits {
            self.encoded.push(encoded);
        }
        fits
    }
}

impl Server {
    async fn answer(&self, path: &str, message: Bytes) -> Result<Bytes, Status> {
        if path != HAVE && path != FETCH {
            return Err(Status::new(Code::Unimplemented, format!("expected {HAVE} or {FETCH}")));
        }
        let rejected = || Status::new(Code::Unauthenticated, "not by a holder of the group's key");
        let question = self.authenticator.open(path, Direction::Question, message).ok_or_else(rejected)?;
        let sender = u16::try_from(question.from).map_err(|_| rejected())?;
        let body = if path == HAVE {
            Ranges { ranges: self.list() }.encode_to_vec()
        } else {
            let invalid = |error| Status::new(Code::InvalidArgument, format!("ranges: {error}"));
            let requested = Ranges::decode(question.body).map_err(invalid)?;
            Entries { entries: self.fetch(&requested.ranges).await? }.encode_to_vec()
        };
        let answer = self.authenticator.seal(path, Direction::Answer, sender, question.nonce, body.into());
        Ok(grpc::frame(&answer))
    }

    /// Lists the entries that can be fetched here: those that are durable and not compacted.
    fn list(&self) -> Vec<Range> {
        let index = lock(&self.ledger.index);
        let mut ranges = Vec::new();
        for (id, numbers) in index.numbers() {
            let listed = numbers.as_slice().iter().map(|numbers| entry::Range::new(id, *numbers));
            ranges.extend(listed.map(|range| super::to_wire(&range)));
        }
        ranges.truncate(MAX_RANGES);
        ranges
    }

    /// Returns the requested entries, from memory or from the segments, up to the maximum size of an answer.
    async fn fetch(&self, ranges: &[Range]) -> Result<Vec<Bytes>, Status> {
        let mut answer = EntriesAnswer::default();
        for range in ranges.iter().take(MAX_ENTRIES as usize) {
            let Ok(ingress) = u16::try_from(range.ingress) else { continue };
            if range.from > range.to {
                continue;
            }
            let id = IncarnationId { ingress, incarnation: range.incarnation };
            let numbers = SequenceRange::new(range.from, range.to);
            if !self.fetch_range(id, numbers, &mut answer).await? {
                break;
            }
        }
        Ok(answer.encoded)
    }

    /// Adds the entries of a range to the answer. Returns whether all fit.
    async fn fetch_range(
        &self,
        id: IncarnationId,
        numbers: SequenceRange,
        answer: &mut EntriesAnswer,
    ) -> Result<bool, Status> {
        let first = id.entry(numbers.first);
        let last = id.entry(numbers.last);
        let recent = lock(&self.ledger.recent).range(first, last, MAX_ENTRIES);
        if let Some(recent) = recent {
            return Ok(answer.add_all(&recent));
        }
        // If any entry is not in memory, the whole range is read from the segments.
        let segments = lock(&self.ledger.index).segments_with(id, numbers);
        for number in segments {
            let entries = self.segment(number, last).await?;
            let requested = entries.iter().filter(|entry| (first..=last).contains(&entry.id));
            if !answer.add_all(requested) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Returns the entries of a segment. The cache is used only if it contains `last`, as the current segment grows.
    async fn segment(&self, number: u64, last: EntryId) -> Result<Arc<Vec<Entry>>, Status> {
        let cached = lock(&self.cache).clone().filter(|cached| cached.number == number);
        if let Some(cached) = cached.filter(|cached| cached.entries.iter().any(|entry| entry.id == last)) {
            return Ok(cached.entries);
        }
        let read = store::read_segment(&self.ledger.runtime, &self.ledger.settings.folder, number).await;
        let entries = read.map_err(|error| Status::new(Code::DataLoss, error.to_string()))?;
        let entries = Arc::new(entries);
        *lock(&self.cache) = Some(CachedSegment { number, entries: entries.clone() });
        Ok(entries)
    }
}
