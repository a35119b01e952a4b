//! Compares the units that were billed with the units that nodes counted. Neither number comes from an ingress.

use chalkgap_ledger::entry::Batch;
use chalkgap_ledger::Periods;
use chalkgap_testbed::node::Usage;
use prost::Message;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Units by account and period.
pub type Units = BTreeMap<(String, u64), i64>;

/// Result of comparing counted and billed units.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Billing {
    /// Units that nodes counted, each request counted once.
    pub counted: i64,
    /// Units in the consumer's batches.
    pub billed: i64,
    /// Number of pairs of account and period with counted or billed units.
    pub sums: usize,
    /// One text for each pair whose units differ, or the error of an invalid batch; empty if everything matches.
    pub differences: Vec<String>,
}

/// Why a consumer's batch is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// The batch cannot be decoded.
    #[error("batch {number} of stream {stream}: {error}")]
    Decode {
        /// The stream of the batch.
        stream: String,
        /// The number of the batch in the stream.
        number: u64,
        /// The decoding error.
        error: prost::DecodeError,
    },
    /// The batch contains another stream or number than the one that it is stored under.
    #[error("batch {number} of stream {stream}: contains number {found_number} and stream {found_stream}")]
    Misplaced {
        /// The stream of the batch.
        stream: String,
        /// The number of the batch in the stream.
        number: u64,
        /// The stream that the batch contains.
        found_stream: String,
        /// The number that the batch contains.
        found_number: u64,
    },
}

/// Returns the units that nodes counted. A request counts once, even if it ran more than once or on several nodes.
pub fn counted(tallies: impl IntoIterator<Item = BTreeMap<String, Usage>>, periods: Periods) -> Units {
    let mut requests = BTreeMap::new();
    tallies.into_iter().for_each(|tally| requests.extend(tally));
    let mut sums = Units::new();
    for used in requests.into_values() {
        let units = i64::try_from(used.units).unwrap_or(i64::MAX);
        *sums.entry((used.account, periods.of(used.entered))).or_default() += units;
    }
    sums.retain(|_, units| *units != 0);
    sums
}

/// Returns the units in a consumer's batches, given by stream in order of their numbers.
///
/// # Errors
/// [`BatchError`] if a batch cannot be decoded, or if its stream or number differs from its place.
pub fn billed(streams: &BTreeMap<String, Vec<bytes::Bytes>>) -> Result<Units, BatchError> {
    let mut sums = Units::new();
    for (stream, batches) in streams {
        for (number, encoded) in (1..).zip(batches) {
            let batch = decode(stream, number, encoded)?;
            for line in batch.lines {
                *sums.entry((line.account, line.period)).or_default() += line.units;
            }
        }
    }
    sums.retain(|_, units| *units != 0);
    Ok(sums)
}

fn decode(stream: &str, number: u64, encoded: &bytes::Bytes) -> Result<Batch, BatchError> {
    let stream = stream.to_owned();
    match Batch::decode(encoded.clone()) {
        Ok(batch) if batch.stream == stream && batch.number == number => Ok(batch),
        Ok(batch) => {
            let Batch { stream: found_stream, number: found_number, .. } = batch;
            Err(BatchError::Misplaced { stream, number, found_stream, found_number })
        }
        Err(error) => Err(BatchError::Decode { stream, number, error }),
    }
}

/// Compares counted and billed units by account and period.
pub fn compare(counted: &Units, billed: &Units) -> Billing {
    let keys: BTreeSet<&(String, u64)> = counted.keys().chain(billed.keys()).collect();
    let mut differences = Vec::new();
    for key in &keys {
        let counted = counted.get(*key).copied().unwrap_or_default();
        let billed = billed.get(*key).copied().unwrap_or_default();
        if counted != billed {
            let (account, period) = key;
            differences.push(format!(
                "account {account:?}, period {period}: nodes counted {counted}, billed {billed}"
            ));
        }
    }
    Billing { counted: counted.values().sum(), billed: billed.values().sum(), sums: keys.len(), differences }
}

#[cfg(test)]
mod tests;
