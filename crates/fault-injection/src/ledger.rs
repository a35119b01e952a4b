//! Compares what was billed with what nodes counted: both are seen from outside of the ingresses.

use chalkgap_ledger::entry::Batch;
use chalkgap_ledger::Periods;
use chalkgap_testbed::node::Usage;
use prost::Message;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Units by account and period.
pub type Units = BTreeMap<(String, u64), i64>;

/// How the two compare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Billing {
    /// Units that nodes counted, each request once.
    pub counted: i64,
    /// Units in the consumer's batches.
    pub billed: i64,
    /// Pairs of account and period with any use.
    pub sums: usize,
    /// Where they differ; empty if all is well.
    pub differences: Vec<String>,
}

/// Why a consumer's batch is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// It cannot be decoded.
    #[error("{stream} {number}: {error}")]
    Decode {
        /// Its stream.
        stream: String,
        /// Its number in the stream.
        number: u64,
        /// The reason.
        error: prost::DecodeError,
    },
    /// It names another stream or number than those that it is stored under.
    #[error("{stream} {number}: it says {found_stream} {found_number}")]
    Misplaced {
        /// Its stream.
        stream: String,
        /// Its number in the stream.
        number: u64,
        /// The stream that it names.
        found_stream: String,
        /// The number that it names.
        found_number: u64,
    },
}

/// What nodes counted: each request once, wherever and however often it ran.
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

/// What a consumer has been sent, by its batches of each stream.
///
/// # Errors
/// See [`BatchError`].
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

/// Compares them by account and period.
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
