//! Happening a whole fleet sends to backends that have just started: the sum over all gateways in every window of the rule, beside
//! what the settings allow and chance excuses.

use chalkgap_core::*;
use common::{listed, settings, S, T0};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

mod common;

const BACKENDS: u64 = 12;
/// Requests of mean work that a warm backend does in a second.
const CAPACITY: f64 = 20.0;
const WORK: Micros = 150_000;
const WINDOW: Micros = 2 * S;
const FACTOR: f64 = 3.0;
const SLOW_START: (f64, Micros) = (0.2, 10 * S);
const START: Micros = T0 + 6 * S;

fn fleet_settings(gateways: u16, me: u16) -> Settings {
    let rules = Rules {
        overload_factor: FACTOR,
        overload_window: WINDOW,
        slow_start_min_capacity: SLOW_START.0,
        slow_start_window: SLOW_START.1,
        ..settings().rules
    };
    Settings { gateways, self_id: GatewayId(me), rules, ..settings() }
}

fn listed_since(n: u64, started: Micros) -> Endpoint {
    Endpoint { started_at: started, ..listed(n) }
}

fn warmth(started: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started).min(SLOW_START.1) as f64 / SLOW_START.1 as f64;
    if started == 0 {
        1.0
    } else {
        SLOW_START.0 + (1.0 - SLOW_START.0) * age
    }
}

/// A stream of numbers for a seed (splitmix64).
struct Random(u64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, rate: f64) -> Micros {
        (-(1.0 - self.unit()).ln() / rate * 1e6) as Micros
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// One gateway's settings say that it is the only one.
    Alone,
    /// Half of the gateways are killed and start anew while endpoints are warming up.
    Restarts,
    /// To test the test: the endpoints that start are listed as started long ago.
    StartsNotAnnounced,
}

enum Happening {
    Arrive(u64),
    FinishAttempt(usize, u32, RequestId, u16, BackendId),
    Message(usize, GatewayId, Vec<u8>),
    Wake(usize),
    Start(u64),
    Restart(usize),
}

/// Plays a fleet; gives, for each warming endpoint and each send to it, how many came in the window that ends with it, and what
/// the rule allows then.
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn play(gateways: u16, load: f64, seed: u64, fault: Fault) -> Vec<(f64, f64)> {
    let mut random = Random(seed);
    let settings_of = |g: u16| {
        let alone = fault == Fault::Alone && g == 0;
        fleet_settings(if alone { 1 } else { gateways }, if alone { 0 } else { g })
    };
    let mut fleet: Vec<Gateway> =
        (0..gateways).map(|g| Gateway::new(settings_of(g), seed * 1000 + u64::from(g), T0)).collect();
    let mut incarnations = vec![0u32; fleet.len()];
    // Traffic is uneven: some get several times the mean.
    let weights: Vec<f64> = (0..gateways).map(|_| -(1.0 - random.unit()).ln() + 0.1).collect();
    let total: f64 = weights.iter().sum();
    let rate = BACKENDS as f64 * CAPACITY * load;
    let mut started: BTreeMap<u64, Micros> = (0..BACKENDS).map(|n| (n, 0)).collect();
    let mut heap = BinaryHeap::new();
    let mut events = Vec::new();
    let push = |heap: &mut BinaryHeap<Reverse<(Micros, usize)>>,
                events: &mut Vec<Option<Happening>>,
                at,
                happening| {
        events.push(Some(happening));
        heap.push(Reverse((at, events.len() - 1)));
    };
    for g in 0..fleet.len() {
        push(&mut heap, &mut events, T0 + 1000 + g as u64 * 600, Happening::Wake(g));
    }
    push(&mut heap, &mut events, T0 + 30_000, Happening::Arrive(0));
    for n in 0..3 {
        push(&mut heap, &mut events, START + n * 400_000, Happening::Start(n));
    }
    if fault == Fault::Restarts {
        for g in (0..fleet.len()).step_by(2) {
            push(&mut heap, &mut events, START + S + g as u64 * 20_000, Happening::Restart(g));
        }
    }
    let mut sent: BTreeMap<u64, Vec<Micros>> = BTreeMap::new();
    let mut found = Vec::new();
    let list = |started: &BTreeMap<u64, Micros>| -> Vec<Endpoint> {
        started
            .iter()
            .map(|(n, at)| listed_since(*n, if fault == Fault::StartsNotAnnounced { 0 } else { *at }))
            .collect()
    };
    for gateway in &mut fleet {
        gateway.handle(T0, Event::Endpoints(EndpointUpdate::Snapshot, list(&started)), &mut Vec::new());
    }
    while let Some(Reverse((now, n))) = heap.pop() {
        if now > START + SLOW_START.1 {
            break;
        }
        let Some(happening) = events[n].take() else { continue };
        let (mut actions, mut gateway) = (Vec::new(), 0);
        match happening {
            Happening::Arrive(n) => {
                let mut at = random.unit() * total;
                gateway = weights
                    .iter()
                    .position(|w| {
                        at -= w;
                        at < 0.0
                    })
                    .unwrap_or(0);
                let customer = CustomerId((random.unit() * 300.0) as u64);
                let request = Request {
                    id: RequestId(n),
                    class: 0,
                    plan: 0,
                    customer,
                    deadline: now + 4 * S,
                    units: 1.0,
                    gateway_count: f64::from(gateways.min(3)),
                    first_gateway: (customer.0 % u64::from(gateways)) as f64,
                };
                fleet[gateway].handle(now, Event::Request(request), &mut actions);
                let next = now + random.exponential(rate);
                push(&mut heap, &mut events, next, Happening::Arrive(n + 1));
            }
            Happening::FinishAttempt(g, incarnation, id, attempt, backend) => {
                gateway = g;
                if incarnations[g] == incarnation {
                    let event = Event::AttemptFinished {
                        id,
                        attempt,
                        backend,
                        outcome: Outcome::Ok,
                        answered: true,
                        elapsed: WORK,
                        metered: None,
                        charged_units: None,
                        report: None,
                    };
                    fleet[g].handle(now, event, &mut actions);
                }
            }
            Happening::Message(to, from, bytes) => {
                gateway = to;
                fleet[to].handle(now, Event::GossipReceived { from, bytes }, &mut actions);
            }
            Happening::Wake(g) => {
                gateway = g;
                fleet[g].handle(now, Event::Timer(0), &mut actions);
                push(&mut heap, &mut events, now + 20_000, Happening::Wake(g));
            }
            Happening::Start(n) => {
                started.insert(n, now);
                let delta = vec![listed_since(n, if fault == Fault::StartsNotAnnounced { 0 } else { now })];
                for (g, gateway) in fleet.iter_mut().enumerate() {
                    let mut actions = Vec::new();
                    gateway.handle(now, Event::Endpoints(EndpointUpdate::Delta, delta.clone()), &mut actions);
                    assert!(actions.iter().all(|a| !matches!(a, Action::Fail(_))), "{g}");
                }
            }
            Happening::Restart(g) => {
                incarnations[g] += 1;
                fleet[g] = Gateway::new(settings_of(g as u16), seed * 77 + now, now);
                fleet[g].handle(
                    now,
                    Event::Endpoints(EndpointUpdate::Snapshot, list(&started)),
                    &mut actions,
                );
            }
        }
        for action in actions {
            match action {
                Action::StartAttempt { id, backend, .. } => {
                    let at = started[&backend.0];
                    if at > 0 {
                        let sends = sent.entry(backend.0).or_default();
                        sends.push(now);
                        let recent = sends.iter().rev().take_while(|t| **t + WINDOW > now).count();
                        // Capacity grows over the window: what it was in the middle, at the least.
                        let span = WINDOW.min(now - at + 1) as f64 / 1e6;
                        let middle = now - ((span / 2.0) * 1e6) as Micros;
                        found.push((
                            recent as f64,
                            FACTOR * warmth(at, middle) * CAPACITY * WINDOW as f64 / 1e6,
                        ));
                    }
                    // As fast as a warm one: slowness alone keeps nobody away.
                    let settle = Happening::FinishAttempt(gateway, incarnations[gateway], id, 0, backend);
                    push(&mut heap, &mut events, now + WORK, settle);
                }
                Action::SendGossip { to: Some(to), bytes } if random.unit() > 0.05 => {
                    let at = now + 3_000 + (random.unit() * 25_000.0) as Micros;
                    push(
                        &mut heap,
                        &mut events,
                        at,
                        Happening::Message(usize::from(to.0), GatewayId(gateway as u16), bytes),
                    );
                }
                _ => {}
            }
        }
    }
    found
}

/// The farthest that a window went beyond what is allowed, in multiples of the root of N, after the 2 that go with it.
fn beyond(found: &[(f64, f64)]) -> f64 {
    found.iter().map(|(sent, n)| (sent - n - 2.0) / n.sqrt()).fold(f64::MIN, f64::max)
}

/// Beyond the N that the settings allow only twice its root and two more are put down to chance, whatever the size of the
/// fleet, with gateways that start anew in the middle, and with one that believes itself alone.
#[test]
fn slow_start_holds_for_the_sum_of_all_gateways() {
    for gateways in [3, 20, 30] {
        for fault in [Fault::None, Fault::Alone, Fault::Restarts] {
            for seed in 0..20 {
                let load = 0.5 + 0.35 * (seed % 3) as f64;
                let found = play(gateways, load, seed, fault);
                assert!(found.len() > 20, "{gateways} gateways, seed {seed}: warming endpoints take part");
                let worst = beyond(&found);
                assert!(worst <= 2.0, "{gateways} gateways, seed {seed}, load {load}: {worst} roots beyond");
            }
        }
    }
}

/// The measure finds a fleet that does not know of starts.
#[test]
fn a_fleet_that_does_not_know_of_starts_is_found() {
    let over = (0..20).filter(|seed| beyond(&play(30, 1.2, *seed, Fault::StartsNotAnnounced)) > 2.0).count();
    assert!(over > 10, "{over} of 20");
}
