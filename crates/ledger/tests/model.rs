//! Model of export and reconciliation, checked exhaustively within its bounds: two exporters of one stream, crashes,
//! and a network that loses, repeats and delays messages. Faulty variants of the protocol show that the invariants
//! detect them.

use stateright::{Checker, HasDiscoveries, Model, Property};

/// A set of entries, as bits. Entry `n` records `1 << n` units, so that a sum identifies the entries in it.
type Entries = u8;
const ALL_ENTRIES: Entries = 0b111;

/// The sender of the consumer's messages; exporters are 0 and 1.
const CONSUMER: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Batch {
    /// Number of the batch in the stream, from 1.
    number: u8,
    /// Units of the entries that earlier batches do not contain.
    units: i8,
    /// Entries from which the batch was computed.
    basis: Entries,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Exporter {
    /// Durable entries.
    entries: Entries,
    /// Durable batches that the consumer has acknowledged.
    acknowledged: Vec<Batch>,
    /// The durable batch that was written and is not acknowledged.
    pending: Option<Batch>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// To the consumer.
    Send(Batch),
    /// To an exporter, in reply to the batch `sent`: the batch that the consumer has stored with this number.
    Reply { to: usize, sent: Batch, stored: Batch },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    exporters: Vec<Exporter>,
    /// The batches that the consumer has stored.
    consumer: Vec<Batch>,
    /// Messages that were sent, with their senders: each may be delivered any number of times or never. Sorted, without
    /// duplicates, so that equal sets are equal states.
    network: Vec<(usize, Message)>,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// An exporter writes its next batch to its ledger.
    Write(usize),
    /// An exporter sends its pending batch to the consumer.
    Send(usize),
    /// The message at an index of the network is delivered; it may be delivered again.
    Deliver(usize),
    /// An exporter fetches an entry that the other one has.
    Fetch(usize, u8),
    /// An exporter writes a new entry.
    Record(usize),
    /// An exporter crashes and loses what is not durable.
    Crash(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// An exporter takes a reply as the acknowledgement of its own batch, without comparing it with the stored batch.
    NumberOnly,
    /// An exporter writes a batch although entries are missing from which earlier batches were computed.
    NoBasis,
    /// An exporter sends a batch before it is durable: after a crash it sends a different batch with the same number.
    SendBeforeWrite,
    /// The consumer stores a second batch with the same number.
    StoredTwice,
}

/// Names of the properties that hold in some reachable state, unlike the invariants.
const EVERY_ENTRY_BILLED: &str = "every entry is billed";
const ACKNOWLEDGED_AFTER_CRASH: &str = "both exporters know several acknowledged batches after a crash";

/// The protocol of export and reconciliation, with a fault or without.
struct Export {
    fault: Fault,
}

fn units(entries: Entries) -> i8 {
    entries as i8
}

impl Export {
    /// Returns the batch that an exporter writes next.
    fn next_batch(&self, exporter: &Exporter) -> Option<Batch> {
        let exported: i8 = exporter.acknowledged.iter().map(|batch| batch.units).sum();
        let basis = exporter.acknowledged.iter().fold(0, |all, batch| all | batch.basis);
        if self.fault != Fault::NoBasis && basis & !exporter.entries != 0 {
            return None;
        }
        let unexported = units(exporter.entries) - exported;
        let number = exporter.acknowledged.len() as u8 + 1;
        (unexported != 0).then_some(Batch { number, units: unexported, basis: exporter.entries })
    }
}

impl Model for Export {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let exporter = |entries| Exporter { entries, acknowledged: Vec::new(), pending: None };
        // The first exporter has recorded two entries, the second one will record the third.
        vec![State {
            exporters: vec![exporter(0b011), exporter(0)],
            consumer: Vec::new(),
            network: Vec::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (index, exporter) in state.exporters.iter().enumerate() {
            match exporter.pending {
                None if self.next_batch(exporter).is_some() => actions.push(Step::Write(index)),
                Some(batch) if !state.network.contains(&(index, Message::Send(batch))) => {
                    actions.push(Step::Send(index));
                }
                _ => {}
            }
            let missing = state.exporters[1 - index].entries & !exporter.entries;
            let fetched = (0..3).filter(|entry| missing >> entry & 1 == 1);
            actions.extend(fetched.map(|entry| Step::Fetch(index, entry)));
            if state.crashes < 2 {
                actions.push(Step::Crash(index));
            }
        }
        if state.exporters[1].entries & 0b100 == 0 {
            actions.push(Step::Record(1));
        }
        actions.extend((0..state.network.len()).map(Step::Deliver));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let send = |state: &mut State, from: usize, message: Message| {
            if let Err(position) = state.network.binary_search(&(from, message)) {
                state.network.insert(position, (from, message));
            }
        };
        match step {
            Step::Write(index) => state.exporters[index].pending = self.next_batch(&state.exporters[index]),
            Step::Send(index) => {
                let batch = state.exporters[index].pending?;
                send(&mut state, index, Message::Send(batch));
            }
            Step::Fetch(index, entry) => state.exporters[index].entries |= 1 << entry,
            Step::Record(index) => state.exporters[index].entries |= 0b100,
            Step::Crash(index) => {
                state.crashes += 1;
                // Without this fault, everything in an exporter's state is durable.
                if self.fault == Fault::SendBeforeWrite {
                    state.exporters[index].pending = None;
                }
            }
            Step::Deliver(position) => match state.network[position] {
                (from, Message::Send(batch)) => {
                    let next = state.consumer.len() as u8 + 1;
                    if batch.number == next || (self.fault == Fault::StoredTwice && batch.number < next) {
                        state.consumer.push(batch);
                    }
                    let stored = *state.consumer.get(usize::from(batch.number) - 1)?;
                    send(&mut state, CONSUMER, Message::Reply { to: from, sent: batch, stored });
                }
                (_, Message::Reply { to, sent, stored }) => {
                    let exporter = &mut state.exporters[to];
                    if usize::from(sent.number) != exporter.acknowledged.len() + 1 {
                        return None; // a reply to a batch that is already acknowledged
                    }
                    let by_number = matches!(self.fault, Fault::NumberOnly | Fault::SendBeforeWrite);
                    // With these faults, the exporter takes its own batch as the stored one.
                    let own = exporter.pending.filter(|_| by_number);
                    exporter.acknowledged.push(own.unwrap_or(stored));
                    exporter.pending = None;
                }
            },
        }
        (state != *last).then_some(state)
    }

    /// Bounds the state space, which is infinite for the faulty variants.
    fn within_boundary(&self, state: &State) -> bool {
        state.consumer.len() <= 4 && state.network.len() <= 12
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(
                "billed units are those of existing entries, each billed once",
                |_, state| {
                    let billed: i8 = state.consumer.iter().map(|batch| batch.units).sum();
                    let basis = state.consumer.iter().fold(0, |all, batch| all | batch.basis);
                    billed == units(basis) && basis & !ALL_ENTRIES == 0
                },
            ),
            Property::<Self>::always("no batch takes back billed units", |_, state| {
                state.consumer.iter().all(|batch| batch.units > 0)
            }),
            Property::<Self>::always(
                "the consumer has all batches that exporters take as acknowledged",
                |_, state| {
                    state.exporters.iter().all(|exporter| state.consumer.starts_with(&exporter.acknowledged))
                },
            ),
            Property::<Self>::sometimes(EVERY_ENTRY_BILLED, |_, state| {
                state.consumer.iter().map(|batch| batch.units).sum::<i8>() == units(ALL_ENTRIES)
            }),
            Property::<Self>::sometimes(ACKNOWLEDGED_AFTER_CRASH, |_, state| {
                let acknowledged = state.exporters.iter().all(|exporter| exporter.acknowledged.len() > 1);
                state.crashes > 0 && state.consumer.len() > 1 && acknowledged
            }),
        ]
    }
}

fn check(fault: Fault) -> impl Checker<Export> {
    Export { fault }.checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

#[test]
fn no_order_of_events_loses_an_entry_or_bills_it_twice() {
    let checked = check(Fault::None);
    checked.assert_properties();
    assert!(checked.unique_state_count() > 10_000, "{} states", checked.unique_state_count());
}

#[test]
fn faulty_variants_violate_an_invariant() {
    for fault in [Fault::NumberOnly, Fault::NoBasis, Fault::SendBeforeWrite, Fault::StoredTwice] {
        let discoveries = check(fault).discoveries();
        let reachable = [EVERY_ENTRY_BILLED, ACKNOWLEDGED_AFTER_CRASH];
        let violated = discoveries.keys().filter(|name| !reachable.contains(name));
        assert!(violated.count() > 0, "{fault:?} violates no invariant");
    }
}
