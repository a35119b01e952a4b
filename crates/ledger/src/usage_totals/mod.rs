//! Usage totals: sums of ledger entries by account, plan and billing period.
//!
//! Entries of this ingress and of others may be added in any order and any number of copies; the same set of entries
//! always gives the same totals. The totals also track which usage is exported, according to the consumer's
//! acknowledgements, and which periods are complete.

mod accounts;
mod export_state;
mod incarnation;
mod request;
mod snapshot;

pub use export_state::StreamPosition;

use crate::entry::{Correction, Entry, EntryBody, EntryId, IncarnationId, LogPosition, Range, RequestOpened};
use crate::period::Periods;
use crate::sequence_ranges::{SequenceRange, SequenceRanges};
use crate::Micros;
use accounts::{AccountPlanIndex, AccountPlans};
use export_state::ExportState;
use incarnation::Incarnation;
use request::{Request, RequestUpdate, Settled, Settling};
use std::collections::BTreeMap;

/// The usage of an account under a plan in a billing period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Units of settled requests, with corrections.
    pub units: i64,
    /// Requests that used any units.
    pub requests: u64,
    /// Requests whose outcome is presumed and was not corrected.
    pub presumed: u64,
    /// Units of requests that are still open.
    pub open: u64,
}

/// What [`UsageTotals::add`] did with an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddOutcome {
    /// The entry was added.
    Added,
    /// A copy of the entry was added before. Nothing changed.
    Duplicate,
    /// A different entry with the same id was added before: an ingress used a sequence number twice. Nothing changed.
    Conflict,
}

/// Key of a sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SumKey {
    period: u64,
    account_plan: AccountPlanIndex,
}

/// The latest period that an ingress has closed, and the position of the entry that closed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ClosedPeriod {
    period: u64,
    closed_by: LogPosition,
}

/// Usage by account, plan and billing period, with the state of the export.
pub struct UsageTotals {
    periods: Periods,
    incarnations: BTreeMap<IncarnationId, Incarnation>,
    account_plans: AccountPlans,
    sums: BTreeMap<SumKey, Sum>,
    /// Number of open requests, by period. Contains no zeros.
    open_requests: BTreeMap<u64, u64>,
    /// Updates that were added before the open entry of their request.
    early_updates: BTreeMap<EntryId, Vec<RequestUpdate>>,
    closed_periods: BTreeMap<u16, ClosedPeriod>,
    exports: ExportState,
    /// Settled requests of periods before this one were dropped.
    dropped_before: u64,
    unmatched_updates: u64,
    /// The latest time of any entry, by ingress.
    last_written_at: BTreeMap<u16, Micros>,
}

impl UsageTotals {
    /// Creates totals without entries.
    pub fn new(periods: Periods) -> Self {
        UsageTotals {
            periods,
            incarnations: BTreeMap::new(),
            account_plans: AccountPlans::default(),
            sums: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            early_updates: BTreeMap::new(),
            closed_periods: BTreeMap::new(),
            exports: ExportState::default(),
            dropped_before: 0,
            unmatched_updates: 0,
            last_written_at: BTreeMap::new(),
        }
    }

    /// Adds an entry.
    pub fn add(&mut self, entry: &Entry) -> AddOutcome {
        let incarnation = self.incarnations.entry(entry.id.incarnation_id()).or_default();
        let outcome = incarnation.register(entry);
        if outcome != AddOutcome::Added {
            return outcome;
        }
        let last_written_at = self.last_written_at.entry(entry.id.ingress).or_default();
        *last_written_at = (*last_written_at).max(entry.at);
        self.apply(entry);
        AddOutcome::Added
    }

    fn apply(&mut self, entry: &Entry) {
        let id = entry.id;
        match &entry.body {
            EntryBody::RequestOpened(opened) => self.open_request(id, self.periods.of(entry.at), opened),
            EntryBody::RequestSettled(settled) => {
                let update =
                    Settled { settled_by: id.position(), units: settled.units, presumed: settled.presumed };
                self.update_request(settled.opened_by(id), RequestUpdate::Settled(update));
            }
            EntryBody::Correction(correction) => self.correct(correction),
            EntryBody::AttemptAdded(_) => {}
            EntryBody::IncarnationStarted(started) => {
                if let Some(incarnation) = self.incarnations.get_mut(&id.incarnation_id()) {
                    let previous = LogPosition { incarnation: started.incarnation, number: started.number };
                    incarnation.previous = (started.incarnation > 0).then_some(previous);
                }
            }
            EntryBody::PeriodClosed(closed) => {
                let new = ClosedPeriod { period: closed.period, closed_by: id.position() };
                let latest = self.closed_periods.entry(id.ingress).or_insert(new);
                *latest = (*latest).max(new);
            }
            EntryBody::BatchPrepared(batch) => {
                self.exports.add_batch(batch);
                self.exports.apply_acknowledged(&batch.stream, &mut self.account_plans);
            }
            EntryBody::BatchAcknowledged(acknowledged) => {
                self.exports.add_acknowledgement(acknowledged);
                self.exports.apply_acknowledged(&acknowledged.stream, &mut self.account_plans);
            }
        }
    }

    fn open_request(&mut self, id: EntryId, period: u64, opened: &RequestOpened) {
        let account_plan = self.account_plans.index_of(&opened.account, &opened.plan);
        let key = SumKey { period, account_plan };
        self.insert_request(id, Request { key, units: opened.units, settled: None, corrected: false });
        for update in self.early_updates.remove(&id).unwrap_or_default() {
            self.update_request(id, update);
        }
    }

    fn insert_request(&mut self, id: EntryId, request: Request) {
        let sum = self.sums.entry(request.key).or_default();
        sum.open = sum.open.saturating_add(request.units);
        *self.open_requests.entry(request.key.period).or_default() += 1;
        let incarnation = self.incarnations.entry(id.incarnation_id()).or_default();
        incarnation.requests.insert(id.number, request);
    }

    fn correct(&mut self, correction: &Correction) {
        let account_plan = self.account_plans.index_of(&correction.account, &correction.plan);
        let key = SumKey { period: correction.period, account_plan };
        let sum = self.sums.entry(key).or_default();
        sum.units = sum.units.saturating_add(correction.units);
        self.exports.changed.insert(key);
        self.update_request(correction.opened_by(), RequestUpdate::Corrected);
    }

    /// Updates a request, or keeps the update until the request's open entry is added.
    fn update_request(&mut self, id: EntryId, update: RequestUpdate) {
        let incarnation = self.incarnations.get_mut(&id.incarnation_id());
        let entry_added = incarnation.as_ref().is_some_and(|log| log.numbers.contains(id.number));
        let Some(request) = incarnation.and_then(|log| log.requests.get_mut(&id.number)) else {
            if entry_added {
                self.unmatched_updates += 1; // the request was dropped, or the entry is not an open entry
            } else {
                self.early_updates.entry(id).or_default().push(update);
            }
            return;
        };
        let key = request.key;
        let sum = self.sums.entry(key).or_default();
        match update {
            RequestUpdate::Corrected => request.correct(sum),
            RequestUpdate::Settled(settled) => match request.settle(settled, sum) {
                Settling::Superseded => {}
                Settling::Replaced => {
                    self.exports.changed.insert(key);
                }
                Settling::First => {
                    self.count_settled(key.period);
                    self.exports.changed.insert(key);
                }
            },
        }
    }

    fn count_settled(&mut self, period: u64) {
        let Some(open) = self.open_requests.get_mut(&period) else { return };
        *open -= 1;
        if *open == 0 {
            self.open_requests.remove(&period);
        }
    }

    /// Returns the mapping of times to billing periods.
    pub fn periods(&self) -> Periods {
        self.periods
    }

    /// Returns the latest incarnation of an ingress, the last number in it, and the latest time of any entry of the
    /// ingress. Zeros if the ingress has no entries.
    pub fn latest(&self, ingress: u16) -> (u64, u64, Micros) {
        let latest = self.incarnations.range(IncarnationId::all_of(ingress)).next_back();
        let (incarnation, number) =
            latest.map_or((0, 0), |(id, log)| (id.incarnation, log.numbers.last().unwrap_or(0)));
        (incarnation, number, self.last_written_at.get(&ingress).copied().unwrap_or(0))
    }

    /// Returns whether an entry was added.
    pub fn contains(&self, id: EntryId) -> bool {
        let incarnation = self.incarnations.get(&id.incarnation_id());
        incarnation.is_some_and(|log| log.numbers.contains(id.number))
    }

    /// Returns the usage of an account in a period, under all plans.
    pub fn sum(&self, account: &str, period: u64) -> Sum {
        let mut total = Sum::default();
        for (sum_account, _, sum_period, sum) in self.sums() {
            if sum_account == account && sum_period == period {
                total.units = total.units.saturating_add(sum.units);
                total.requests += sum.requests;
                total.presumed += sum.presumed;
                total.open += sum.open;
            }
        }
        total
    }

    /// Returns all sums with their account, plan and period, sorted by these.
    pub fn sums(&self) -> impl Iterator<Item = (&str, &str, u64, Sum)> {
        let mut list: Vec<_> = self
            .sums
            .iter()
            .map(|(key, sum)| {
                let account_plan = self.account_plans.get(key.account_plan);
                (account_plan.account.as_str(), account_plan.plan.as_str(), key.period, *sum)
            })
            .collect();
        list.sort_unstable_by_key(|(account, plan, period, _)| (*account, *plan, *period));
        list.into_iter()
    }

    /// Returns the open requests of all incarnations of an ingress.
    pub fn open_requests(&self, ingress: u16) -> Vec<EntryId> {
        let mut open = Vec::new();
        for (id, incarnation) in self.incarnations.range(IncarnationId::all_of(ingress)) {
            open.extend(incarnation.open_requests().map(|number| id.entry(number)));
        }
        open
    }

    /// Returns the numbers of the entries that were added, by incarnation.
    pub fn numbers(&self) -> impl Iterator<Item = (IncarnationId, &SequenceRanges)> {
        let with_entries = self.incarnations.iter().filter(|(_, log)| !log.numbers.is_empty());
        with_entries.map(|(id, log)| (*id, &log.numbers))
    }

    /// Returns the entries that were added, as a list of ranges.
    pub fn ranges(&self) -> Vec<Range> {
        self.numbers().flat_map(|(id, numbers)| ranges_of(id, numbers)).collect()
    }

    /// Returns the numbers of the entries of an incarnation that were added.
    pub fn numbers_of(&self, id: IncarnationId) -> &[SequenceRange] {
        self.incarnations.get(&id).map(|log| log.numbers.as_slice()).unwrap_or_default()
    }

    /// Returns the numbers in `wanted` whose entries of an incarnation were not added, at most `limit` of them.
    pub fn missing_from(
        &self,
        id: IncarnationId,
        wanted: &[SequenceRange],
        limit: u64,
    ) -> Vec<SequenceRange> {
        match self.incarnations.get(&id) {
            Some(log) => log.numbers.missing_from(wanted, limit),
            None => SequenceRanges::default().missing_from(wanted, limit),
        }
    }

    /// Returns the latest period that an ingress has closed; `None` if it has closed none, or if an entry is missing
    /// here that it wrote before it closed the period.
    pub fn last_complete_period(&self, ingress: u16) -> Option<u64> {
        let ClosedPeriod { period, closed_by } = *self.closed_periods.get(&ingress)?;
        let mut end = closed_by;
        // The number of iterations is bounded, as a faulty entry may name its own or a later incarnation as the
        // previous one.
        for _ in 0..=self.incarnations.len() {
            let incarnation =
                self.incarnations.get(&IncarnationId { ingress, incarnation: end.incarnation })?;
            if !incarnation.numbers.contains_all_up_to(end.number) {
                return None;
            }
            match incarnation.previous {
                Some(previous) => end = previous,
                None => return Some(period),
            }
        }
        None
    }

    /// Returns the first period with open requests.
    pub fn first_open_period(&self) -> Option<u64> {
        self.open_requests.keys().next().copied()
    }

    /// Drops the settled requests of periods before `period`. Their sums and open requests are kept.
    pub fn drop_settled_before(&mut self, period: u64) {
        self.dropped_before = self.dropped_before.max(period);
        for incarnation in self.incarnations.values_mut() {
            incarnation
                .requests
                .retain(|_, request| request.key.period >= period || request.settled.is_none());
        }
    }

    /// Returns the number of settlements and corrections that were applied to no request, as the request was dropped or
    /// the entry to which they refer does not open a request.
    pub fn unmatched_updates(&self) -> u64 {
        self.unmatched_updates
    }
}

fn ranges_of(id: IncarnationId, numbers: &SequenceRanges) -> impl Iterator<Item = Range> + '_ {
    numbers.as_slice().iter().map(move |range| Range::new(id, *range))
}
