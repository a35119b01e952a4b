//! Protobuf encoding of usage totals, which a snapshot of the ledger contains in place of old segments.

use super::accounts::AccountPlan;
use super::export_state::{ExportedUsage, Stream};
use super::incarnation::Incarnation;
use super::request::Request;
use super::{ranges_of, ClosedPeriod, Sum, SumKey, UsageTotals};
use crate::entry::{checked_ingress, EntryError, IncarnationId, LogPosition, Range};
use crate::period::Periods;
use crate::sequence_ranges::SequenceRange;
use prost::Message;
use std::collections::BTreeSet;

#[derive(Clone, PartialEq, Message)]
struct EncodedSum {
    #[prost(uint64, tag = "1")]
    period: u64,
    #[prost(string, tag = "2")]
    account: String,
    #[prost(string, tag = "3")]
    plan: String,
    #[prost(sint64, tag = "4")]
    units: i64,
    #[prost(uint64, tag = "5")]
    requests: u64,
    #[prost(uint64, tag = "6")]
    presumed: u64,
    #[prost(sint64, tag = "7")]
    exported_units: i64,
    #[prost(sint64, tag = "8")]
    exported_requests: i64,
}

#[derive(Clone, PartialEq, Message)]
struct EncodedIncarnation {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<Range>,
    /// The previous incarnation; 0 for none.
    #[prost(uint64, tag = "2")]
    previous_incarnation: u64,
    /// The last number of the previous incarnation.
    #[prost(uint64, tag = "3")]
    previous_number: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct EncodedIngress {
    #[prost(uint32, tag = "1")]
    ingress: u32,
    #[prost(uint64, tag = "2")]
    last_written_at: u64,
    #[prost(uint64, optional, tag = "3")]
    closed_period: Option<u64>,
    /// Incarnation of the entry that closed the period.
    #[prost(uint64, tag = "4")]
    incarnation: u64,
    /// Number of the entry that closed the period.
    #[prost(uint64, tag = "5")]
    number: u64,
}

#[derive(Clone, PartialEq, Message)]
struct EncodedOpenRequest {
    /// The open entry, as a range of one number.
    #[prost(message, optional, tag = "1")]
    entry: Option<Range>,
    #[prost(string, tag = "2")]
    account: String,
    #[prost(string, tag = "3")]
    plan: String,
    #[prost(uint64, tag = "4")]
    period: u64,
    #[prost(uint64, tag = "5")]
    units: u64,
    #[prost(bool, tag = "6")]
    corrected: bool,
}

#[derive(Clone, PartialEq, Message)]
struct EncodedStream {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    acknowledged: u64,
    #[prost(uint64, optional, tag = "3")]
    covered_until: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct EncodedTotals {
    #[prost(uint64, tag = "1")]
    dropped_before: u64,
    #[prost(message, repeated, tag = "2")]
    sums: Vec<EncodedSum>,
    #[prost(message, repeated, tag = "3")]
    incarnations: Vec<EncodedIncarnation>,
    #[prost(message, repeated, tag = "4")]
    ingresses: Vec<EncodedIngress>,
    #[prost(message, repeated, tag = "5")]
    streams: Vec<EncodedStream>,
    #[prost(message, repeated, tag = "6")]
    basis: Vec<Range>,
    #[prost(uint64, tag = "7")]
    unmatched_updates: u64,
    #[prost(message, repeated, tag = "8")]
    open_requests: Vec<EncodedOpenRequest>,
}

fn decode_range(range: &Range) -> Result<(IncarnationId, SequenceRange), EntryError> {
    if range.from == 0 || range.from > range.to || range.to == u64::MAX {
        return Err(EntryError::Value("range end", range.to, "at least the range start, which is 1 or more"));
    }
    let ingress = checked_ingress(range.ingress)?;
    Ok((IncarnationId { ingress, incarnation: range.incarnation }, range.numbers()))
}

impl EncodedIncarnation {
    fn new(id: IncarnationId, incarnation: &Incarnation) -> Self {
        let previous = incarnation.previous.unwrap_or_default();
        EncodedIncarnation {
            entries: ranges_of(id, &incarnation.numbers).collect(),
            previous_incarnation: previous.incarnation,
            previous_number: previous.number,
        }
    }

    fn previous(&self) -> Option<LogPosition> {
        let previous = LogPosition { incarnation: self.previous_incarnation, number: self.previous_number };
        (previous.incarnation > 0).then_some(previous)
    }
}

impl EncodedStream {
    fn new(name: &str, stream: &Stream) -> Self {
        let name = name.to_owned();
        EncodedStream { name, acknowledged: stream.acknowledged, covered_until: stream.covered_until }
    }
}

impl UsageTotals {
    /// Encodes the totals, with the requests that are open.
    ///
    /// Returns `None` if the totals contain what the encoding cannot represent: settled requests that were not dropped,
    /// updates without an open entry, batches without an acknowledgement or acknowledgements without a batch.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        let requests = || self.incarnations.values().flat_map(|incarnation| incarnation.requests.values());
        if requests().any(|request| request.settled.is_some()) || !self.early_updates.is_empty() {
            return None;
        }
        if self.exports.streams.values().any(Stream::is_unfinished) {
            return None;
        }
        let sums = self.sums.keys();
        let keys: BTreeSet<&SumKey> = sums.chain(self.exports.exported.keys()).collect();
        let incarnations = self.incarnations.iter();
        let streams = self.exports.streams.iter();
        let basis = self.exports.basis.iter();
        let encoded = EncodedTotals {
            dropped_before: self.dropped_before,
            sums: keys.into_iter().map(|key| self.encode_sum(key)).collect(),
            incarnations: incarnations.map(|(id, log)| EncodedIncarnation::new(*id, log)).collect(),
            ingresses: self.last_written_at.keys().map(|ingress| self.encode_ingress(*ingress)).collect(),
            streams: streams.map(|(name, stream)| EncodedStream::new(name, stream)).collect(),
            basis: basis.flat_map(|(id, numbers)| ranges_of(*id, numbers)).collect(),
            unmatched_updates: self.unmatched_updates,
            open_requests: self.encode_open_requests(),
        };
        Some(encoded.encode_to_vec())
    }

    fn encode_sum(&self, key: &SumKey) -> EncodedSum {
        let AccountPlan { account, plan } = self.account_plans.get(key.account_plan).clone();
        let sum = self.sums.get(key).copied().unwrap_or_default();
        let exported = self.exports.exported.get(key).copied().unwrap_or_default();
        EncodedSum {
            period: key.period,
            account,
            plan,
            units: sum.units,
            requests: sum.requests,
            presumed: sum.presumed,
            exported_units: exported.units,
            exported_requests: exported.requests,
        }
    }

    fn encode_ingress(&self, ingress: u16) -> EncodedIngress {
        let closed = self.closed_periods.get(&ingress);
        let closed_by = closed.map(|closed| closed.closed_by).unwrap_or_default();
        EncodedIngress {
            ingress: ingress.into(),
            last_written_at: self.last_written_at.get(&ingress).copied().unwrap_or(0),
            closed_period: closed.map(|closed| closed.period),
            incarnation: closed_by.incarnation,
            number: closed_by.number,
        }
    }

    fn encode_open_requests(&self) -> Vec<EncodedOpenRequest> {
        let mut list = Vec::new();
        for (id, incarnation) in &self.incarnations {
            for (number, request) in &incarnation.requests {
                let AccountPlan { account, plan } = self.account_plans.get(request.key.account_plan).clone();
                list.push(EncodedOpenRequest {
                    entry: Some(Range::new(*id, SequenceRange::new(*number, *number))),
                    account,
                    plan,
                    period: request.key.period,
                    units: request.units,
                    corrected: request.corrected,
                });
            }
        }
        list
    }

    /// Decodes totals that [`UsageTotals::snapshot`] has encoded.
    ///
    /// # Errors
    /// [`EntryError::Form`] if the bytes are not protobuf of the expected schema; [`EntryError::Value`] if an ingress
    /// or a range is out of range.
    pub fn restore(periods: Periods, bytes: &[u8]) -> Result<UsageTotals, EntryError> {
        let encoded = EncodedTotals::decode(bytes)?;
        let mut totals = UsageTotals::new(periods);
        for sum in encoded.sums {
            totals.restore_sum(&sum);
        }
        for incarnation in &encoded.incarnations {
            totals.restore_incarnation(incarnation)?;
        }
        for ingress in &encoded.ingresses {
            totals.restore_ingress(ingress)?;
        }
        for stream in encoded.streams {
            let EncodedStream { name, acknowledged, covered_until } = stream;
            totals.exports.streams.insert(name, Stream::new(acknowledged, covered_until));
        }
        for range in &encoded.basis {
            let (id, numbers) = decode_range(range)?;
            totals.exports.basis.entry(id).or_default().insert_range(numbers);
        }
        for request in &encoded.open_requests {
            totals.restore_open_request(request)?;
        }
        totals.dropped_before = encoded.dropped_before;
        totals.unmatched_updates = encoded.unmatched_updates;
        totals.prune_changed_sums();
        Ok(totals)
    }

    fn restore_sum(&mut self, encoded: &EncodedSum) {
        let account_plan = self.account_plans.index_of(&encoded.account, &encoded.plan);
        let key = SumKey { period: encoded.period, account_plan };
        let EncodedSum { units, requests, presumed, exported_units, exported_requests, .. } = *encoded;
        self.sums.insert(key, Sum { units, requests, presumed, open: 0 });
        let exported = ExportedUsage { units: exported_units, requests: exported_requests };
        self.exports.exported.insert(key, exported);
        self.exports.changed.insert(key);
    }

    fn restore_incarnation(&mut self, encoded: &EncodedIncarnation) -> Result<(), EntryError> {
        for range in &encoded.entries {
            let (id, numbers) = decode_range(range)?;
            let incarnation = self.incarnations.entry(id).or_default();
            incarnation.numbers.insert_range(numbers);
            incarnation.previous = encoded.previous();
        }
        Ok(())
    }

    fn restore_ingress(&mut self, encoded: &EncodedIngress) -> Result<(), EntryError> {
        let ingress = checked_ingress(encoded.ingress)?;
        self.last_written_at.insert(ingress, encoded.last_written_at);
        if let Some(period) = encoded.closed_period {
            let closed_by = LogPosition { incarnation: encoded.incarnation, number: encoded.number };
            self.closed_periods.insert(ingress, ClosedPeriod { period, closed_by });
        }
        Ok(())
    }

    fn restore_open_request(&mut self, encoded: &EncodedOpenRequest) -> Result<(), EntryError> {
        let (id, numbers) = decode_range(&encoded.entry.unwrap_or_default())?;
        let account_plan = self.account_plans.index_of(&encoded.account, &encoded.plan);
        let key = SumKey { period: encoded.period, account_plan };
        let request = Request { key, units: encoded.units, settled: None, corrected: encoded.corrected };
        self.insert_request(id.entry(numbers.first), request);
        Ok(())
    }
}
