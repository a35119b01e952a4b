//! The auditor: checks the five rules against the journal that the test clients, test nodes and the drill write. It does
//! not use the ingresses' own counters.
//!
//! Nodes record an attempt when it arrives, a little after the ingress sent it. Rules that compare such times with times
//! of the sender allow for [`AuditConfig::tolerance`]. Answers are compared with their deadlines without a tolerance,
//! because the client records both.

use crate::fleet::Statement;
use crate::ledger::Billing;
use chalkgap_runtime::Micros;
use chalkgap_testbed::journal::{Answer, Entry, Seen};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Number of the rule that a call gets exactly one final answer, by its deadline, and OK only if a node served it. Frontends
/// keep to their protocol.
const RULE_ONE_FINAL_ANSWER: u8 = 1;
/// Number of the rule that a request is sent and run again only as its class allows ([`Repeat`]), and is not refused after it
/// was sent unless it is safe to repeat. Every attempt names its ingress.
const RULE_SAFE_REPEATS: u8 = 2;
/// Number of the rule that an ingress sends no new requests to a node that accepts none, after [`AuditConfig::drain_grace`].
const RULE_DRAINING: u8 = 3;
/// Number of the rule that nodes are not overloaded during their slow start.
const RULE_SLOW_START: u8 = 4;
/// Number of the rule that accounts do not exceed the ceiling of their plan by more than its slack.
const RULE_CEILING: u8 = 5;

/// When a request may be sent to a node again after its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// At any time, to any node.
    Safe,
    /// Only to nodes in the cell of the first attempt, and for this many microseconds after it.
    Cell(Micros),
    /// Never.
    Once,
}

/// Rates and limits of a plan.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Quota as a token bucket: (units per second, burst in units). A rate of 0 means no quota.
    pub quota: (f64, f64),
    /// Ceiling as a token bucket: (units per second, burst in units). A rate of 0 means no ceiling.
    pub ceiling: (f64, f64),
    /// Units by which an account may exceed the ceiling.
    pub slack: f64,
}

/// Parameters of an audit.
#[derive(Clone, Debug, Default)]
pub struct AuditConfig {
    /// Repeat rule of each class, by class name.
    pub classes: HashMap<String, Repeat>,
    /// Plan of each account, by account name.
    pub accounts: HashMap<String, Plan>,
    /// Plan of the accounts that are not in `accounts`.
    pub default_plan: Plan,
    /// Maximum time in which an ingress may still send new requests to a node after it learned that the node drains, in
    /// microseconds.
    pub drain_grace: Micros,
    /// Maximum time from sending an attempt to its arrival at the node, and from sending an update of the node list to
    /// the ingress reading it, in microseconds.
    pub tolerance: Micros,
    /// Calls with a shorter timeout than this, in microseconds, may be answered late because of the test machine alone.
    /// They are counted in [`Verdict::hopeless`] and are no violations.
    pub min_timeout: Micros,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Number of the rule, from 1 to 5.
    pub rule: u8,
    /// Time of the violation in microseconds.
    pub at: Micros,
    /// Description of the violation.
    pub what: String,
}

/// Result of an audit: violations and totals.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Violations in order of time; empty if all rules were kept.
    pub violations: Vec<Violation>,
    /// Number of calls that clients sent.
    pub calls: u64,
    /// Number of calls answered with OK.
    pub served: u64,
    /// Number of refused calls.
    pub refused: u64,
    /// Number of failed calls, by gRPC status code.
    pub failed: BTreeMap<u32, u64>,
    /// Number of calls that no ingress accepted.
    pub not_taken: u64,
    /// Number of calls that an ingress held when it was killed.
    pub lost_with_ingress: u64,
    /// Number of calls answered late, or not at all, because the process of their ingress was stopped at their deadline.
    pub stalled: u64,
    /// Number of calls answered late whose timeout was shorter than [`AuditConfig::min_timeout`].
    pub hopeless: u64,
    /// Number of attempts that arrived at nodes.
    pub attempts: u64,
    /// Units of all calls that reached a node, each call counted once.
    pub units: f64,
    /// Part of `units` that exceeded the quota of its account.
    pub beyond_quota: f64,
    /// Latency of served calls in microseconds: 50th, 99th and 99.9th percentile.
    pub served_us: [u64; 3],
    /// Latency of refused calls in microseconds: 50th, 99th and 99.9th percentile.
    pub refused_us: [u64; 3],
    /// Comparison of billed and counted units; `None` if the ingresses keep no ledgers.
    pub billing: Option<Billing>,
    /// Checks of the fleet's membership views; `None` if the day has no `fleet`.
    pub views: Option<Vec<Statement>>,
}

/// A call as its client sent it.
struct SentCall<'j> {
    at: Micros,
    ingress: u16,
    account: &'j str,
    class: &'j str,
    units: f64,
    deadline: Micros,
}

/// Token buckets of an account.
struct AccountBuckets {
    plan: Plan,
    /// Units left in the quota.
    quota: f64,
    /// Units left in the ceiling; negative if it was exceeded.
    ceiling: f64,
    updated_at: Micros,
}

/// Returns the 50th, 99th and 99.9th percentile; 0 if there are no times.
fn percentiles(mut times: Vec<u64>) -> [u64; 3] {
    times.sort_unstable();
    let at = |share: f64| times.get(((times.len() as f64 * share) as usize).min(times.len().max(1) - 1));
    [0.5, 0.99, 0.999].map(|share| at(share).copied().unwrap_or(0))
}

/// Checks a journal, which has to be sorted by time. The drill has to wait for all calls first: a call that is still open
/// at the end of the journal counts as unanswered.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
pub fn judge(journal: &[Entry], config: &AuditConfig) -> Verdict {
    let mut verdict = Verdict::default();
    let mut calls: BTreeMap<u64, SentCall> = BTreeMap::new();
    let mut answers: BTreeMap<u64, Vec<(Micros, &Answer)>> = BTreeMap::new();
    let mut arrived: BTreeMap<u64, Vec<(Micros, SocketAddr, &str)>> = BTreeMap::new();
    let mut ran: BTreeMap<u64, u64> = BTreeMap::new();
    // Time and ingress of each kill.
    let mut killed: Vec<(Micros, u16)> = Vec::new();
    // Start, end and ingress of each stall.
    let mut stalls: Vec<(Micros, Micros, u16)> = Vec::new();
    // Time at which each ingress was informed that a node accepts no new requests, by ingress and node.
    let mut closed: HashMap<(u16, SocketAddr), Micros> = HashMap::new();
    let mut buckets: HashMap<&str, AccountBuckets> = HashMap::new();
    let mut violations: Vec<Violation> = Vec::new();
    let mut report = |rule: u8, at: Micros, what: String| violations.push(Violation { rule, at, what });
    for (at, seen) in journal {
        match seen {
            Seen::Asked { call, ingress, account, class, units, deadline, .. } => {
                let units = f64::from(*units);
                let sent_call =
                    SentCall { at: *at, ingress: *ingress, account, class, units, deadline: *deadline };
                calls.insert(*call, sent_call);
            }
            Seen::Answered { call, answer } => answers.entry(*call).or_default().push((*at, answer)),
            Seen::Arrived { node, cell, call, request, .. } => {
                let attempts = arrived.entry(*call).or_default();
                let is_first_attempt = attempts.is_empty();
                attempts.push((*at, *node, cell));
                let ingress = request.split('-').next().and_then(|n| n.parse().ok());
                let Some(ingress): Option<u16> = ingress else {
                    report(
                        RULE_SAFE_REPEATS,
                        *at,
                        format!(
                            "call {call}: attempt without an ingress number in its request id ({request:?})"
                        ),
                    );
                    continue;
                };
                let closed_at = closed.get(&(ingress, *node)).copied();
                if closed_at.is_some_and(|t| *at > t + config.drain_grace + config.tolerance) {
                    let late_ms = (*at - closed_at.unwrap_or(*at)) / 1000;
                    report(
                        RULE_DRAINING,
                        *at,
                        format!(
                            "ingress {ingress} sent call {call} to {node} {late_ms} ms after it was informed that \
                             the node accepts no new requests"
                        ),
                    );
                }
                let Some(sent_call) = calls.get(call).filter(|_| is_first_attempt) else { continue };
                let plan = config.accounts.get(sent_call.account).copied().unwrap_or(config.default_plan);
                let bucket = buckets.entry(sent_call.account).or_insert(AccountBuckets {
                    plan,
                    quota: plan.quota.1,
                    ceiling: plan.ceiling.1,
                    updated_at: *at,
                });
                let elapsed_s = at.saturating_sub(bucket.updated_at) as f64 / 1e6;
                bucket.updated_at = *at;
                bucket.quota = (bucket.quota + elapsed_s * bucket.plan.quota.0).min(bucket.plan.quota.1);
                bucket.ceiling = (bucket.ceiling + elapsed_s * bucket.plan.ceiling.0)
                    .min(bucket.plan.ceiling.1)
                    - sent_call.units;
                verdict.units += sent_call.units;
                if plan.quota.0 > 0.0 {
                    if bucket.quota + 1e-9 >= sent_call.units {
                        bucket.quota -= sent_call.units;
                    } else {
                        verdict.beyond_quota += sent_call.units;
                    }
                }
                // Attempts sent over a span of up to `tolerance` can arrive at the same time.
                let delayed_units = plan.ceiling.0 * config.tolerance as f64 / 1e6;
                if plan.ceiling.0 > 0.0 && bucket.ceiling < -(plan.slack + delayed_units + 1e-9) {
                    report(
                        RULE_CEILING,
                        *at,
                        format!(
                            "account {}: ceiling exceeded by {:.2} units, call {call}",
                            sent_call.account, -bucket.ceiling
                        ),
                    );
                }
            }
            Seen::Ran { call, .. } => *ran.entry(*call).or_default() += 1,
            Seen::Fell { node } => {
                report(RULE_SLOW_START, *at, format!("node {node} was overloaded during its slow start"))
            }
            Seen::Told { ingress, node, ready } => {
                if *ready {
                    closed.remove(&(*ingress, *node));
                } else {
                    closed.entry((*ingress, *node)).or_insert(*at);
                }
            }
            Seen::Broke { ingress, what } => {
                report(RULE_ONE_FINAL_ANSWER, *at, format!("ingress {ingress} broke the protocol: {what}"))
            }
            Seen::Stalled { ingress, until } => stalls.push((*at, *until, *ingress)),
            Seen::Killed { ingress } => {
                killed.push((*at, *ingress));
                closed.retain(|(informed, _), _| informed != ingress); // a restarted ingress gets the node list again
            }
        }
    }
    verdict.attempts = arrived.values().map(|l| l.len() as u64).sum();
    let mut served = Vec::new();
    let mut refused = Vec::new();
    for (call, sent_call) in &calls {
        verdict.calls += 1;
        let call_answers = answers.get(call).map(Vec::as_slice).unwrap_or_default();
        let attempts = arrived.get(call).map(Vec::as_slice).unwrap_or_default();
        let finals = call_answers
            .iter()
            .filter(|l| matches!(l.1, Answer::Served | Answer::Refused { .. } | Answer::Failed { .. }));
        let finals: Vec<&(Micros, &Answer)> = finals.collect();
        if finals.len() > 1 {
            report(
                RULE_ONE_FINAL_ANSWER,
                finals[1].0,
                format!("call {call}: {} final answers", finals.len()),
            );
        }
        let repeat = config.classes.get(sent_call.class).copied().unwrap_or(Repeat::Once);
        match finals.first() {
            None => {
                let not_taken = call_answers.iter().any(|l| *l.1 == Answer::NotTaken);
                let end = call_answers.first().map_or(Micros::MAX, |l| l.0);
                let ingress_killed = killed.iter().any(|&(killed_at, ingress)| {
                    ingress == sent_call.ingress
                        && killed_at + config.tolerance >= sent_call.at
                        && killed_at <= end
                });
                if not_taken && attempts.is_empty() {
                    verdict.not_taken += 1;
                } else if stalls.iter().any(|&(stall_start, stall_end, ingress)| {
                    ingress == sent_call.ingress && sent_call.at <= stall_end && end >= stall_start
                }) && sent_call.deadline < end
                {
                    verdict.stalled += 1; // the client gave up before the ingress resumed
                } else if ingress_killed {
                    verdict.lost_with_ingress += 1;
                } else {
                    let received = call_answers
                        .first()
                        .map(|l| format!("{:?}", l.1))
                        .unwrap_or_else(|| "nothing".into());
                    report(
                        RULE_ONE_FINAL_ANSWER,
                        end.min(sent_call.deadline),
                        format!("call {call}: no final answer, its client received {received}"),
                    );
                }
            }
            Some((at, answer)) => {
                if *at > sent_call.deadline {
                    // A stopped process cannot answer. A call that was sent, or reached its deadline, while the ingress
                    // was stopped is no violation if the ingress answers it as soon as it resumes.
                    let delayed_by = |&(stall_start, stall_end, ingress): &(Micros, Micros, u16)| {
                        ingress == sent_call.ingress
                            && sent_call.at <= stall_end
                            && sent_call.deadline + config.min_timeout >= stall_start
                            && *at <= stall_end + config.tolerance
                    };
                    if stalls.iter().any(delayed_by) {
                        verdict.stalled += 1;
                    } else if sent_call.deadline - sent_call.at < config.min_timeout {
                        verdict.hopeless += 1;
                    } else {
                        let late = *at - sent_call.deadline;
                        let SentCall { class, ingress, .. } = sent_call;
                        let timeout_ms = (sent_call.deadline - sent_call.at) / 1000;
                        let arrivals: Vec<u64> =
                            attempts.iter().map(|t| t.0.saturating_sub(sent_call.at) / 1000).collect();
                        let what = format!(
                            "call {call} (class {class}, ingress {ingress}, timeout {timeout_ms} ms, attempts arrived \
                             after {arrivals:?} ms): answered {late} us after its deadline, {answer:?}"
                        );
                        report(RULE_ONE_FINAL_ANSWER, *at, what);
                    }
                }
                match answer {
                    Answer::Served => {
                        verdict.served += 1;
                        served.push(at - sent_call.at);
                        if attempts.is_empty() {
                            report(
                                RULE_ONE_FINAL_ANSWER,
                                *at,
                                format!("call {call}: served, but it arrived at no node"),
                            );
                        }
                    }
                    Answer::Refused { .. } => {
                        verdict.refused += 1;
                        refused.push(at - sent_call.at);
                        if !attempts.is_empty() && repeat != Repeat::Safe {
                            report(
                                RULE_SAFE_REPEATS,
                                *at,
                                format!(
                                    "call {call}: refused after it was sent to a node (class {})",
                                    sent_call.class
                                ),
                            );
                        }
                    }
                    Answer::Failed { code } => *verdict.failed.entry(*code).or_default() += 1,
                    Answer::Broken | Answer::NotTaken | Answer::Left => {}
                }
            }
        }
        let Some((first_at, _, cell)) = attempts.first() else { continue };
        match repeat {
            Repeat::Safe => {}
            Repeat::Once => {
                if attempts.len() > 1 {
                    report(
                        RULE_SAFE_REPEATS,
                        attempts[1].0,
                        format!("call {call}: must run once, sent {} times", attempts.len()),
                    );
                }
                if ran.get(call).is_some_and(|n| *n > 1) {
                    report(
                        RULE_SAFE_REPEATS,
                        sent_call.at,
                        format!("call {call}: must run once, ran more than once"),
                    );
                }
            }
            Repeat::Cell(window) => {
                let cells: BTreeSet<&str> = attempts.iter().map(|t| t.2).collect();
                if cells.len() > 1 {
                    report(
                        RULE_SAFE_REPEATS,
                        attempts[1].0,
                        format!("call {call}: keyed, sent outside of cell {cell}"),
                    );
                }
                if let Some(late) = attempts.iter().find(|t| t.0 > first_at + window + config.tolerance) {
                    report(
                        RULE_SAFE_REPEATS,
                        late.0,
                        format!("call {call}: keyed, sent again after its window"),
                    );
                }
                if ran.get(call).is_some_and(|n| *n > 1) {
                    report(
                        RULE_SAFE_REPEATS,
                        sent_call.at,
                        format!("call {call}: keyed, ran {} times", ran[call]),
                    );
                }
            }
        }
    }
    verdict.served_us = percentiles(served);
    verdict.refused_us = percentiles(refused);
    violations.sort_by_key(|v| v.at);
    verdict.violations = violations;
    verdict
}
