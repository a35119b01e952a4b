//! Export and reconciling as a model: two exporters of one stream, a network that loses, repeats and delays, crashes.
//! Every state within the bounds is visited. Broken variants are kept, to show that the invariants would find them.

use stateright::{Checker, HasDiscoveries, Model, Property};

/// Use: entry `n` is `1 << n` units, so that a sum names the entries in it.
type Entries = u8;
const ALL: Entries = 0b111;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Batch {
    number: u8,
    units: i8,
    basis: Entries,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Exporter {
    /// Durable: entries, batches that the consumer has, and the one that was written and not acknowledged.
    have: Entries,
    done: Vec<Batch>,
    pending: Option<Batch>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Hand(Batch),
    /// To an exporter: the batch that is there under a number. `asked` is the one that the answer is for.
    There {
        to: usize,
        asked: Batch,
        there: Batch,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    exporters: Vec<Exporter>,
    consumer: Vec<Batch>,
    /// Sent and perhaps delivered: any of them may come now, again or never. In order, as a set is.
    network: Vec<(usize, Message)>,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// An exporter writes the next batch down.
    Write(usize),
    /// It hands it to the consumer.
    Hand(usize),
    /// A message comes; it may come again.
    Deliver(usize),
    /// An exporter gets an entry that the other has.
    Fetch(usize, u8),
    /// It writes an entry of its own.
    Use(usize),
    /// It crashes: what is not durable is gone.
    Crash(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// An acknowledgement is taken by its number alone: whatever is there, it is mine.
    NumberOnly,
    /// A batch is added up without looking whether all that the ones before had is here.
    NoBasis,
    /// A batch is handed over before it is written: after a crash another one goes under its number.
    HandFirst,
    /// The consumer takes a number again.
    TakenTwice,
}

struct Export(Fault);

fn units(entries: Entries) -> i8 {
    entries as i8
}

impl Export {
    /// What an exporter would write next.
    fn next(&self, e: &Exporter) -> Option<Batch> {
        let told: i8 = e.done.iter().map(|b| b.units).sum();
        let basis = e.done.iter().fold(0, |all, b| all | b.basis);
        if self.0 != Fault::NoBasis && basis & !e.have != 0 {
            return None;
        }
        let more = units(e.have) - told;
        (more != 0).then_some(Batch { number: e.done.len() as u8 + 1, units: more, basis: e.have })
    }
}

impl Model for Export {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let exporter = |have| Exporter { have, done: Vec::new(), pending: None };
        // One has used two entries, the other is about to use the third.
        vec![State {
            exporters: vec![exporter(0b011), exporter(0)],
            consumer: Vec::new(),
            network: Vec::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        for (n, e) in s.exporters.iter().enumerate() {
            if e.pending.is_none() && self.next(e).is_some() {
                actions.push(Step::Write(n));
            }
            if e.pending.is_some() && e.pending.is_some_and(|b| !s.network.contains(&(n, Message::Hand(b)))) {
                actions.push(Step::Hand(n));
            }
            let other = s.exporters[1 - n].have;
            actions.extend((0..3).filter(|i| (other & !e.have) >> i & 1 == 1).map(|i| Step::Fetch(n, i)));
            if s.crashes < 2 {
                actions.push(Step::Crash(n));
            }
        }
        if s.exporters[1].have & 0b100 == 0 {
            actions.push(Step::Use(1));
        }
        actions.extend((0..s.network.len()).map(Step::Deliver));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let send = |s: &mut State, from: usize, m: Message| {
            if let Err(at) = s.network.binary_search(&(from, m)) {
                s.network.insert(at, (from, m));
            }
        };
        match step {
            Step::Write(n) => s.exporters[n].pending = self.next(&s.exporters[n]),
            Step::Hand(n) => {
                let batch = s.exporters[n].pending?;
                send(&mut s, n, Message::Hand(batch));
            }
            Step::Fetch(n, i) => s.exporters[n].have |= 1 << i,
            Step::Use(n) => s.exporters[n].have |= 0b100,
            Step::Crash(n) => {
                s.crashes += 1;
                if self.0 == Fault::HandFirst {
                    s.exporters[n].pending = None;
                }
            }
            Step::Deliver(at) => match s.network[at] {
                (from, Message::Hand(batch)) => {
                    let next = s.consumer.len() as u8 + 1;
                    if batch.number == next || (self.0 == Fault::TakenTwice && batch.number < next) {
                        s.consumer.push(batch);
                    }
                    let there = *s.consumer.get(usize::from(batch.number) - 1)?;
                    send(&mut s, 2, Message::There { to: from, asked: batch, there });
                }
                (_, Message::There { to, asked, there }) => {
                    let e = &mut s.exporters[to];
                    if usize::from(asked.number) != e.done.len() + 1 {
                        return None; // known
                    }
                    let by_number = matches!(self.0, Fault::NumberOnly | Fault::HandFirst);
                    e.done.push(if by_number { e.pending.unwrap_or(there) } else { there });
                    e.pending = None;
                }
            },
        }
        (s != *last).then_some(s)
    }

    /// Broken variants would go on for ever.
    fn within_boundary(&self, s: &State) -> bool {
        s.consumer.len() <= 4 && s.network.len() <= 12
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no entry is billed twice, and none that nobody has", |_, s| {
                let billed: i8 = s.consumer.iter().map(|b| b.units).sum();
                let basis = s.consumer.iter().fold(0, |all, b| all | b.basis);
                billed == units(basis) && basis & !ALL == 0
            }),
            Property::<Self>::always("what was billed stays billed", |_, s| {
                s.consumer.iter().all(|b| b.units > 0)
            }),
            Property::<Self>::always("nobody believes what the consumer does not have", |_, s| {
                s.exporters.iter().all(|e| s.consumer.starts_with(&e.done))
            }),
            Property::<Self>::sometimes("all is billed", |_, s| {
                s.consumer.iter().map(|b| b.units).sum::<i8>() == units(ALL)
            }),
            Property::<Self>::sometimes(
                "all is billed after both exporters had a batch taken and one crashed",
                |_, s| s.crashes > 0 && s.consumer.len() > 1 && s.exporters.iter().all(|e| e.done.len() > 1),
            ),
        ]
    }
}

fn check(fault: Fault) -> impl Checker<Export> {
    Export(fault).checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join()
}

#[test]
fn no_order_of_events_loses_or_doubles_an_entry() {
    let checked = check(Fault::None);
    checked.assert_properties();
    assert!(checked.unique_state_count() > 10_000, "{} states", checked.unique_state_count());
}

#[test]
fn broken_variants_are_found() {
    for fault in [Fault::NumberOnly, Fault::NoBasis, Fault::HandFirst, Fault::TakenTwice] {
        let found = check(fault).discoveries();
        let broken: Vec<&str> = found.keys().copied().filter(|name| !name.starts_with("all is")).collect();
        assert!(!broken.is_empty(), "{fault:?} was not found");
    }
}
