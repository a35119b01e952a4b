//! Property tests over arbitrary sequences of events, valid and malformed, from a fixed seed.

use chalkgap_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const START: Micros = 50_000_000;

fn settings() -> Settings {
    let class = |retry_safety| RequestClass {
        latency_objective: 500_000,
        objective_per_work: 0.0,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        retry_safety,
        streaming: false,
    };
    let plan = |hard_limit_rate, hard_limit_burst| Plan {
        quota_rate: 20.0,
        quota_burst: 40.0,
        max_in_flight: 0,
        hard_limit_rate,
        hard_limit_burst,
        hard_limit_slack: 1.0,
        priority_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_penalty: 1.0,
    };
    let keyed = RetrySafety::IdempotencyKey { scope: DeduplicationScope::Cell, window: 1_000_000 };
    Settings {
        gateways: 3,
        tick: 4_000,
        classes: vec![class(RetrySafety::Idempotent), class(keyed), class(RetrySafety::NotIdempotent)],
        plans: vec![plan(0.0, 0.0), plan(30.0, 60.0)],
        limits: Limits {
            max_attempts: 3,
            hedging: false,
            cancellation: true,
            gossip: true,
            gossip_receive_rate: 50.0,
            retry_after: true,
            max_retry_after: 1_000_000,
            ..Limits::default()
        },
        rules: Rules {
            slow_start_min_capacity: 0.2,
            slow_start_window: 5_000_000,
            overload_factor: 3.0,
            overload_window: 1_000_000,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

/// One step of a sequence. Indexes and numbers may refer to nothing that exists.
#[derive(Clone, Debug)]
enum Step {
    /// A request with `time_left` microseconds until its deadline.
    Request { class: u8, plan: u16, customer: u64, units: f64, gateway_count: f64, time_left: Micros },
    /// The end of the attempt in flight with index `pick`, or of an attempt that the gateway does not know.
    FinishAttempt { pick: usize, outcome: usize, unknown: bool },
    /// A client cancels the request with this id.
    ClientLeaves(usize),
    /// Arbitrary bytes, received as gossip.
    Gossip { from: u16, bytes: Vec<u8> },
    /// A peer, and whether it is reachable.
    Reachability(u16, bool),
    /// An endpoint list. `kind` is an index of an update kind; if `starting`, the endpoints have just started.
    Endpoints { kind: u8, states: Vec<u8>, starting: bool },
    /// This many timer events, 20 ms apart.
    Advance(u64),
    /// Events that the gateway did not ask for, with this number as their ids and values.
    Unexpected(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let units = prop_oneof![Just(1.0), Just(4.0), Just(0.0), Just(f64::NAN), Just(-3.0), Just(1e300)];
    let gateway_count = prop_oneof![Just(3.0), Just(2.0), Just(0.0), Just(f64::INFINITY)];
    prop_oneof![
        8 => (0u8..4, 0u16..3, 0u64..6, units, gateway_count, 0u64..2_000_000).prop_map(
            |(class, plan, customer, units, gateway_count, time_left)| Step::Request { class, plan, customer, units, gateway_count, time_left }
        ),
        8 => (0usize..50, 0usize..7, prop::bool::weighted(0.05)).prop_map(|(pick, outcome, unknown)| Step::FinishAttempt {
            pick,
            outcome,
            unknown
        }),
        1 => (0usize..50).prop_map(Step::ClientLeaves),
        2 => (0u16..5, prop::collection::vec(prop_oneof![0u8..4, any::<u8>()], 0..60))
            .prop_map(|(from, bytes)| Step::Gossip { from, bytes }),
        1 => (0u16..5, any::<bool>()).prop_map(|(peer, reachable)| Step::Reachability(peer, reachable)),
        1 => (0u8..4, prop::collection::vec(0u8..3, 0..6), any::<bool>())
            .prop_map(|(kind, states, starting)| Step::Endpoints { kind, states, starting }),
        6 => (1u64..30).prop_map(Step::Advance),
        1 => any::<u64>().prop_map(Step::Unexpected),
    ]
}

/// State of the simulated host, from which it checks that the gateway keeps its rules.
#[derive(Default)]
struct Host {
    deadlines: BTreeMap<RequestId, Micros>,
    /// 0: idempotent, 1: with an idempotency key, 2: not idempotent.
    classes: BTreeMap<RequestId, u8>,
    /// Requests that have their final answer or whose client has left.
    ended: BTreeSet<RequestId>,
    /// Number of attempts started for each request.
    attempts: BTreeMap<RequestId, u16>,
    in_flight: Vec<(RequestId, u16, BackendId)>,
    /// Number of attempts of each request that ran or may have run.
    may_have_run: BTreeMap<RequestId, u16>,
    /// Endpoints that are not listed as ready.
    unavailable: BTreeSet<BackendId>,
    /// Units sent for each customer with a hard limit.
    hard_limit_use: BTreeMap<u64, f64>,
    /// Plan, customer and units of each request.
    customers: BTreeMap<RequestId, (u16, u64, f64)>,
    log: Vec<String>,
}

impl Host {
    /// Records the actions of one call and asserts that each of them is permitted.
    fn check(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            self.log.push(format!("{now} {action:?}"));
            match action {
                Action::StartAttempt { id, backend, .. } => {
                    assert!(!self.ended.contains(id), "an attempt after the final answer");
                    assert!(
                        !self.unavailable.contains(backend),
                        "an attempt at an endpoint that is draining or gone"
                    );
                    assert!(!self.in_flight.iter().any(|attempt| attempt.0 == *id), "two attempts at once");
                    let attempt = self.attempts.entry(*id).or_insert(0);
                    assert!(*attempt < 3, "more attempts than allowed");
                    let may_have_run = self.may_have_run.entry(*id).or_insert(0);
                    assert!(
                        self.classes[id] != 2 || *may_have_run == 0,
                        "a retry of a request that is not idempotent"
                    );
                    *may_have_run += 1;
                    self.in_flight.push((*id, *attempt, *backend));
                    *attempt += 1;
                    let (plan, customer, units) = self.customers[id];
                    if plan == 1 && *attempt == 1 {
                        *self.hard_limit_use.entry(customer).or_insert(0.0) += units;
                    }
                }
                Action::Reject { id, .. } => {
                    assert!(self.ended.insert(*id), "a second final answer");
                    let may_have_run = self.may_have_run.get(id).copied().unwrap_or(0);
                    assert!(
                        self.classes[id] == 0 || may_have_run == 0,
                        "rejected a request that may have run"
                    );
                }
                Action::Fail(id) => assert!(self.ended.insert(*id), "a second final answer"),
                Action::CheckHealth(_) | Action::AddToCounter { .. } => {
                    panic!("these settings do not permit {action:?}")
                }
                _ => {}
            }
        }
        // This gateway may send at most the whole hard limit of plan 1: 30 units a second, and a burst of 60. Its own
        // share is a third of that, or a half for customers of two gateways, and its bucket starts empty.
        let uptime_s = (now - START) as f64 / 1e6;
        for used in self.hard_limit_use.values() {
            assert!(
                *used <= 30.0 * uptime_s + 60.0 + 1e-6,
                "{used} units in {uptime_s} s exceed the hard limit"
            );
        }
    }
}

/// Runs the steps against a new gateway and returns the log of its actions.
#[expect(clippy::too_many_lines, reason = "one arm for each kind of step")]
fn run(steps: &[Step]) -> Vec<String> {
    let mut gateway = Gateway::new(settings(), 3, START);
    let mut host = Host::default();
    let mut now = START;
    let mut next_request = 0;
    let outcomes = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::TimedOut,
        Outcome::Cancelled,
    ];
    let mut handle = |host: &mut Host, now: Micros, event: Event| {
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        host.check(now, &actions);
    };
    let endpoint = |number: u64, state: u8, started_at: Micros| Endpoint {
        backend: BackendId(number),
        zone: (number % 2) as u8,
        cell: (number % 2) as u16,
        availability: [Availability::Ready, Availability::Draining, Availability::Gone][usize::from(state)],
        weight: 1.0,
        started_at,
        ..Endpoint::default()
    };
    handle(
        &mut host,
        now,
        Event::Endpoints(EndpointUpdate::Cached, (0..5).map(|n| endpoint(n, 0, 0)).collect()),
    );
    for step in steps.iter().cloned() {
        match step {
            Step::Request { class, plan, customer, units, gateway_count, time_left } => {
                let id = RequestId(next_request);
                next_request += 1;
                let deadline = now + time_left;
                host.deadlines.insert(id, deadline);
                host.classes.insert(id, if class < 3 { class } else { 0 });
                host.customers.insert(id, (plan, customer, units));
                let customer = CustomerId(customer);
                let request =
                    Request { id, class, plan, customer, deadline, units, gateway_count, first_gateway: 0.0 };
                handle(&mut host, now, Event::Request(request));
            }
            Step::FinishAttempt { pick, outcome, unknown } => {
                let outcome = outcomes[outcome];
                let index = if host.in_flight.is_empty() { None } else { Some(pick % host.in_flight.len()) };
                let (id, attempt, backend) = match index.filter(|_| !unknown) {
                    Some(index) => host.in_flight.swap_remove(index),
                    None => (RequestId(1 << 40), 7, BackendId(77)),
                };
                if outcome.never_ran() {
                    host.may_have_run.entry(id).and_modify(|n| *n -= 1);
                }
                let answered = outcome == Outcome::Ok || host.ended.contains(&id);
                if outcome == Outcome::Ok {
                    host.ended.insert(id);
                }
                handle(
                    &mut host,
                    now,
                    Event::AttemptFinished {
                        id,
                        attempt,
                        backend,
                        outcome,
                        answered,
                        elapsed: 50_000,
                        metered: None,
                        charged_units: None,
                        report: None,
                    },
                );
            }
            Step::ClientLeaves(pick) => {
                let id = RequestId(pick as u64);
                if id.0 < next_request {
                    host.ended.insert(id);
                }
                handle(&mut host, now, Event::ClientCancelled(id));
            }
            Step::Gossip { from, bytes } => {
                handle(&mut host, now, Event::GossipReceived { from: GatewayId(from), bytes })
            }
            Step::Reachability(peer, reachable) => {
                handle(&mut host, now, Event::PeerReachability { peer: GatewayId(peer), reachable });
            }
            Step::Endpoints { kind, states, starting } => {
                let kind = [
                    EndpointUpdate::Delta,
                    EndpointUpdate::Snapshot,
                    EndpointUpdate::Cached,
                    EndpointUpdate::Failed,
                ][usize::from(kind)];
                let list: Vec<_> = (0..)
                    .zip(&states)
                    .map(|(n, state)| endpoint(n, *state, if starting { now } else { 0 }))
                    .collect();
                if kind == EndpointUpdate::Snapshot || kind == EndpointUpdate::Cached {
                    host.unavailable = (0..6).map(BackendId).collect();
                }
                if kind != EndpointUpdate::Failed {
                    for listed in &list {
                        host.unavailable.remove(&listed.backend);
                        if listed.availability != Availability::Ready {
                            host.unavailable.insert(listed.backend);
                        }
                    }
                }
                handle(&mut host, now, Event::Endpoints(kind, list));
            }
            Step::Advance(ticks) => {
                for _ in 0..ticks {
                    now += 20_000;
                    handle(&mut host, now, Event::Timer(0));
                }
            }
            Step::Unexpected(n) => {
                handle(&mut host, now, Event::Timer(n as u32));
                handle(&mut host, now, Event::FirstByte { id: RequestId(n), attempt: n as u16 });
                let report = Some(LoadReport { queued: Some(f64::NAN), ..LoadReport::default() });
                let (backend, outcome) = (BackendId(n), Outcome::Ok);
                handle(&mut host, now, Event::HealthChecked { backend, outcome, elapsed: n, report });
                handle(&mut host, now, Event::CounterUpdated { name: n, outcome, total: f64::NAN });
            }
        }
    }
    // Finally all attempts in flight time out, and every request must have its final answer.
    for _ in 0..150 {
        now += 20_000;
        handle(&mut host, now, Event::Timer(0));
        for (id, attempt, backend) in std::mem::take(&mut host.in_flight) {
            let answered = host.ended.contains(&id);
            let outcome = Outcome::TimedOut;
            handle(
                &mut host,
                now,
                Event::AttemptFinished {
                    id,
                    attempt,
                    backend,
                    outcome,
                    answered,
                    elapsed: 1,
                    metered: None,
                    charged_units: None,
                    report: None,
                },
            );
        }
    }
    for id in host.deadlines.keys() {
        assert!(host.ended.contains(id), "{id:?} got no final answer");
    }
    host.log
}

#[test]
fn rules_hold_under_arbitrary_events_and_equal_events_give_equal_actions() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(run(&steps), run(&steps));
            Ok(())
        })
        .unwrap();
}
