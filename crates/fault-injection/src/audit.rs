//! The auditor. It sees the journal of clients and nodes alone and judges the five rules from it; what ingresses count
//! of themselves is not asked.
//!
//! Where two clocks meet there is a tolerance, stated in [`Law`]: an attempt is seen when it arrives, a little after it
//! was sent. Clients' answers are judged without any.

use crate::fleet::Statement;
use crate::ledger::Billing;
use chalkgap_runtime::Micros;
use chalkgap_testbed::journal::{Answer, Entry, Seen};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Always.
    Safe,
    /// Within the cell of the first node, for this long after the first attempt.
    Cell(Micros),
    /// Never.
    Once,
}

/// A plan's figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Units a second and at once, within the quota; a rate of 0: none.
    pub quota: (f64, f64),
    /// The same of the ceiling.
    pub ceiling: (f64, f64),
    /// Units by which the ceiling may be passed.
    pub slack: f64,
}

/// What is judged by.
#[derive(Clone, Debug, Default)]
pub struct Law {
    /// Classes by name.
    pub classes: HashMap<String, Repeat>,
    /// Plans by account.
    pub accounts: HashMap<String, Plan>,
    /// The plan of all other accounts.
    pub others: Plan,
    /// New work to a draining node ends within this.
    pub drain_grace: Micros,
    /// An attempt arrives at most this long after it was sent, and news of a node is read within it.
    pub tolerance: Micros,
    /// Calls with less time than this can get their answer late on this machine: they are counted apart.
    pub least: Micros,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule, from 1 to 5.
    pub rule: u8,
    /// When.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

/// What a journal says.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Broken rules; empty on a good day.
    pub violations: Vec<Violation>,
    /// Calls that were sent.
    pub calls: u64,
    /// Answered OK.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, by gRPC status.
    pub failed: BTreeMap<u32, u64>,
    /// Never taken by an ingress.
    pub not_taken: u64,
    /// Held by an ingress that was killed.
    pub lost_with_ingress: u64,
    /// Answered late because their ingress's process was stopped when their time ran out.
    pub stalled: u64,
    /// Answered late, but with less time from the start than the law's least.
    pub hopeless: u64,
    /// Attempts that arrived at nodes.
    pub attempts: u64,
    /// Units first sent on, and those of them beyond their account's quota.
    pub units: f64,
    /// See `units`.
    pub beyond_quota: f64,
    /// Times of served calls in microseconds: half, 99 and 99.9 of 100 were faster.
    pub served_us: [u64; 3],
    /// The same of refusals.
    pub refused_us: [u64; 3],
    /// What was billed, where ingresses have ledgers.
    pub billing: Option<Billing>,
    /// What was stated of the fleet's views, where ingresses have them.
    pub views: Option<Vec<Statement>>,
}

struct Asked<'j> {
    at: Micros,
    ingress: u16,
    account: &'j str,
    class: &'j str,
    units: f64,
    deadline: Micros,
}

struct Store {
    plan: Plan,
    quota: f64,
    ceiling: f64,
    at: Micros,
}

fn percentiles(mut times: Vec<u64>) -> [u64; 3] {
    times.sort_unstable();
    let at = |share: f64| times.get(((times.len() as f64 * share) as usize).min(times.len().max(1) - 1));
    [0.5, 0.99, 0.999].map(|share| at(share).copied().unwrap_or(0))
}

/// Judges a journal, sorted by time. Calls still open at its end are those of a drill that was cut short: it is for
/// the drill to wait for all.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
pub fn judge(journal: &[Entry], law: &Law) -> Verdict {
    let mut v = Verdict::default();
    let mut asked: BTreeMap<u64, Asked> = BTreeMap::new();
    let mut answers: BTreeMap<u64, Vec<(Micros, &Answer)>> = BTreeMap::new();
    let mut arrived: BTreeMap<u64, Vec<(Micros, SocketAddr, &str)>> = BTreeMap::new();
    let mut ran: BTreeMap<u64, u64> = BTreeMap::new();
    let mut killed: Vec<(Micros, u16)> = Vec::new();
    let mut stalls: Vec<(Micros, Micros, u16)> = Vec::new();
    // By ingress and node: since when it has known that the node takes nothing.
    let mut closed: HashMap<(u16, SocketAddr), Micros> = HashMap::new();
    let mut stores: HashMap<&str, Store> = HashMap::new();
    let mut broken: Vec<Violation> = Vec::new();
    let mut say = |rule: u8, at: Micros, what: String| broken.push(Violation { rule, at, what });
    for (at, seen) in journal {
        match seen {
            Seen::Asked { call, ingress, account, class, units, deadline, .. } => {
                let units = f64::from(*units);
                let a = Asked { at: *at, ingress: *ingress, account, class, units, deadline: *deadline };
                asked.insert(*call, a);
            }
            Seen::Answered { call, answer } => answers.entry(*call).or_default().push((*at, answer)),
            Seen::Arrived { node, cell, call, request, .. } => {
                let list = arrived.entry(*call).or_default();
                let first = list.is_empty();
                list.push((*at, *node, cell));
                let ingress = request.split('-').next().and_then(|n| n.parse().ok());
                let Some(ingress): Option<u16> = ingress else {
                    say(2, *at, format!("call {call}: attempt without a name ({request:?})"));
                    continue;
                };
                let since = closed.get(&(ingress, *node)).copied();
                if since.is_some_and(|s| *at > s + law.drain_grace + law.tolerance) {
                    let late = (*at - since.unwrap_or(*at)) / 1000;
                    say(
                        3,
                        *at,
                        format!("ingress {ingress} sent call {call} to {node} {late} ms after it was told"),
                    );
                }
                let Some(a) = asked.get(call).filter(|_| first) else { continue };
                let plan = law.accounts.get(a.account).copied().unwrap_or(law.others);
                let s = stores.entry(a.account).or_insert(Store {
                    plan,
                    quota: plan.quota.1,
                    ceiling: plan.ceiling.1,
                    at: *at,
                });
                let span = at.saturating_sub(s.at) as f64 / 1e6;
                s.at = *at;
                s.quota = (s.quota + span * s.plan.quota.0).min(s.plan.quota.1);
                s.ceiling = (s.ceiling + span * s.plan.ceiling.0).min(s.plan.ceiling.1) - a.units;
                v.units += a.units;
                if plan.quota.0 > 0.0 {
                    if s.quota + 1e-9 >= a.units {
                        s.quota -= a.units;
                    } else {
                        v.beyond_quota += a.units;
                    }
                }
                // What was sent a moment ago arrives bunched up: as much may seem to come at once.
                let bunched = plan.ceiling.0 * law.tolerance as f64 / 1e6;
                if plan.ceiling.0 > 0.0 && s.ceiling < -(plan.slack + bunched + 1e-9) {
                    say(
                        5,
                        *at,
                        format!("{}: ceiling passed by {:.2} units, call {call}", a.account, -s.ceiling),
                    );
                }
            }
            Seen::Ran { call, .. } => *ran.entry(*call).or_default() += 1,
            Seen::Fell { node } => say(4, *at, format!("cold node {node} was pushed over")),
            Seen::Told { ingress, node, ready } => {
                if *ready {
                    closed.remove(&(*ingress, *node));
                } else {
                    closed.entry((*ingress, *node)).or_insert(*at);
                }
            }
            Seen::Broke { ingress, what } => {
                say(1, *at, format!("ingress {ingress} broke the protocol: {what}"))
            }
            Seen::Stalled { ingress, until } => stalls.push((*at, *until, *ingress)),
            Seen::Killed { ingress } => {
                killed.push((*at, *ingress));
                closed.retain(|k, _| k.0 != *ingress); // its next life is told anew
            }
        }
    }
    v.attempts = arrived.values().map(|l| l.len() as u64).sum();
    let (mut served, mut refused) = (Vec::new(), Vec::new());
    for (call, a) in &asked {
        v.calls += 1;
        let list = answers.get(call).map(Vec::as_slice).unwrap_or_default();
        let tries = arrived.get(call).map(Vec::as_slice).unwrap_or_default();
        let finals = list
            .iter()
            .filter(|l| matches!(l.1, Answer::Served | Answer::Refused { .. } | Answer::Failed { .. }));
        let finals: Vec<&(Micros, &Answer)> = finals.collect();
        if finals.len() > 1 {
            say(1, finals[1].0, format!("call {call}: {} final answers", finals.len()));
        }
        let repeat = law.classes.get(a.class).copied().unwrap_or(Repeat::Once);
        match finals.first() {
            None => {
                let not_taken = list.iter().any(|l| *l.1 == Answer::NotTaken);
                let end = list.first().map_or(Micros::MAX, |l| l.0);
                let dead =
                    killed.iter().any(|k| k.1 == a.ingress && k.0 + law.tolerance >= a.at && k.0 <= end);
                if not_taken && tries.is_empty() {
                    v.not_taken += 1;
                } else if stalls.iter().any(|s| s.2 == a.ingress && a.at <= s.1 && end >= s.0)
                    && a.deadline < end
                {
                    v.stalled += 1; // its client had left before it went on
                } else if dead {
                    v.lost_with_ingress += 1;
                } else {
                    let told = list.first().map(|l| format!("{:?}", l.1)).unwrap_or_else(|| "nothing".into());
                    say(
                        1,
                        end.min(a.deadline),
                        format!("call {call}: no final answer, its client saw {told}"),
                    );
                }
            }
            Some((at, answer)) => {
                if *at > a.deadline {
                    // Nobody answers while stopped. What was asked or ran out in that time is not the ingress's fault,
                    // but it owes the answer as soon as it goes on.
                    let stopped = |s: &&(Micros, Micros, u16)| {
                        s.2 == a.ingress
                            && a.at <= s.1
                            && a.deadline + law.least >= s.0
                            && *at <= s.1 + law.tolerance
                    };
                    if stalls.iter().any(|s| stopped(&s)) {
                        v.stalled += 1;
                    } else if a.deadline - a.at < law.least {
                        v.hopeless += 1;
                    } else {
                        let late = *at - a.deadline;
                        let (class, ingress, had) = (a.class, a.ingress, (a.deadline - a.at) / 1000);
                        let tries: Vec<u64> = tries.iter().map(|t| t.0.saturating_sub(a.at) / 1000).collect();
                        let what = format!(
                            "call {call} ({class}, ingress {ingress}, {had} ms, tries arrived at {tries:?}): answered \
                             {late} us after its time, {answer:?}"
                        );
                        say(1, *at, what);
                    }
                }
                match answer {
                    Answer::Served => {
                        v.served += 1;
                        served.push(at - a.at);
                        if tries.is_empty() {
                            say(1, *at, format!("call {call}: served, and no node ever saw it"));
                        }
                    }
                    Answer::Refused { .. } => {
                        v.refused += 1;
                        refused.push(at - a.at);
                        if !tries.is_empty() && repeat != Repeat::Safe {
                            say(2, *at, format!("call {call}: refused, but it may have run ({})", a.class));
                        }
                    }
                    Answer::Failed { code } => *v.failed.entry(*code).or_default() += 1,
                    Answer::Broken | Answer::NotTaken | Answer::Left => {}
                }
            }
        }
        let Some((first_at, _, cell)) = tries.first() else { continue };
        match repeat {
            Repeat::Safe => {}
            Repeat::Once => {
                if tries.len() > 1 {
                    say(2, tries[1].0, format!("call {call}: unsafe, sent {} times", tries.len()));
                }
                if ran.get(call).is_some_and(|n| *n > 1) {
                    say(2, a.at, format!("call {call}: unsafe, ran twice"));
                }
            }
            Repeat::Cell(window) => {
                let cells: BTreeSet<&str> = tries.iter().map(|t| t.2).collect();
                if cells.len() > 1 {
                    say(2, tries[1].0, format!("call {call}: keyed, sent outside of cell {cell}"));
                }
                if let Some(late) = tries.iter().find(|t| t.0 > first_at + window + law.tolerance) {
                    say(2, late.0, format!("call {call}: keyed, sent again after its window"));
                }
                if ran.get(call).is_some_and(|n| *n > 1) {
                    say(2, a.at, format!("call {call}: keyed, its effect is there {} times", ran[call]));
                }
            }
        }
    }
    v.served_us = percentiles(served);
    v.refused_us = percentiles(refused);
    broken.sort_by_key(|b| b.at);
    v.violations = broken;
    v
}
