//! Attempts that a whole fleet sends to backends that have just started. In each window of the slow-start rule the
//! sum over all gateways is compared with what the settings allow, plus a margin for chance.

use chalkgap_core::*;
use common::{endpoint, settings, SECOND, START as GATEWAY_START};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

mod common;

const BACKENDS: u64 = 12;
/// Requests of mean work that a warm backend serves per second.
const BACKEND_REQUESTS_PER_SECOND: f64 = 20.0;
const SERVICE_TIME: Micros = 150_000;
const OVERLOAD_WINDOW: Micros = 2 * SECOND;
const OVERLOAD_FACTOR: f64 = 3.0;
/// Share of its capacity that a backend has when it starts.
const SLOW_START_MIN_CAPACITY: f64 = 0.2;
const SLOW_START_WINDOW: Micros = 10 * SECOND;
/// When the first backend restarts.
const FIRST_BACKEND_START: Micros = GATEWAY_START + 6 * SECOND;

fn fleet_settings(gateways: u16, number: u16) -> Settings {
    let rules = Rules {
        overload_factor: OVERLOAD_FACTOR,
        overload_window: OVERLOAD_WINDOW,
        slow_start_min_capacity: SLOW_START_MIN_CAPACITY,
        slow_start_window: SLOW_START_WINDOW,
        ..settings().rules
    };
    Settings { gateways, self_id: GatewayId(number), rules, ..settings() }
}

fn endpoint_started_at(number: u64, started_at: Micros) -> Endpoint {
    Endpoint { started_at, ..endpoint(number) }
}

/// Returns the share of its capacity that a backend has; `started_at` is 0 for a backend that started long ago.
fn capacity_share(started_at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started_at).min(SLOW_START_WINDOW) as f64 / SLOW_START_WINDOW as f64;
    if started_at == 0 {
        1.0
    } else {
        SLOW_START_MIN_CAPACITY + (1.0 - SLOW_START_MIN_CAPACITY) * age
    }
}

/// Pseudo-random number generator (splitmix64); holds its state.
struct Random(u64);

impl Random {
    /// Returns a number from 0 up to and without 1.
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns an exponentially distributed delay, for events at `rate` per second.
    fn exponential(&mut self, rate: f64) -> Micros {
        (-(1.0 - self.unit()).ln() / rate * 1e6) as Micros
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The settings of one gateway say that it is the only one.
    SingleGatewaySettings,
    /// Half of the gateways are killed and restarted while endpoints are warming up.
    Restarts,
    /// The endpoints that start are listed as started long ago. The test must detect this.
    StartsNotAnnounced,
}

/// What happens at a scheduled time. A gateway is named by its number.
enum SimulationEvent {
    /// The request with this number arrives.
    Arrive(u64),
    /// An attempt of a gateway in this incarnation succeeds.
    FinishAttempt(usize, u32, RequestId, u16, BackendId),
    /// A message reaches a gateway; its sender is the second field.
    Message(usize, GatewayId, Vec<u8>),
    /// A gateway's timer fires.
    Wake(usize),
    /// A backend restarts.
    Start(u64),
    /// A gateway is killed and restarted.
    Restart(usize),
}

/// Simulates a fleet. Returns, for each attempt at a warming endpoint, the number of attempts in the window that ends
/// with it and the number that the rule allows there.
#[expect(clippy::too_many_lines, reason = "one arm for each kind of event")]
fn simulate(gateways: u16, load: f64, seed: u64, fault: Fault) -> Vec<(f64, f64)> {
    let mut random = Random(seed);
    let settings_of = |number: u16| {
        let alone = fault == Fault::SingleGatewaySettings && number == 0;
        fleet_settings(if alone { 1 } else { gateways }, if alone { 0 } else { number })
    };
    let mut fleet: Vec<Gateway> = (0..gateways)
        .map(|number| Gateway::new(settings_of(number), seed * 1000 + u64::from(number), GATEWAY_START))
        .collect();
    let mut incarnations = vec![0u32; fleet.len()];
    // Traffic is uneven: some gateways get several times the mean.
    let weights: Vec<f64> = (0..gateways).map(|_| -(1.0 - random.unit()).ln() + 0.1).collect();
    let total_weight: f64 = weights.iter().sum();
    let request_rate = BACKENDS as f64 * BACKEND_REQUESTS_PER_SECOND * load;
    let mut started: BTreeMap<u64, Micros> = (0..BACKENDS).map(|n| (n, 0)).collect();
    let mut heap = BinaryHeap::new();
    let mut events = Vec::new();
    let push = |heap: &mut BinaryHeap<Reverse<(Micros, usize)>>,
                events: &mut Vec<Option<SimulationEvent>>,
                at,
                event| {
        events.push(Some(event));
        heap.push(Reverse((at, events.len() - 1)));
    };
    for number in 0..fleet.len() {
        push(
            &mut heap,
            &mut events,
            GATEWAY_START + 1000 + number as u64 * 600,
            SimulationEvent::Wake(number),
        );
    }
    push(&mut heap, &mut events, GATEWAY_START + 30_000, SimulationEvent::Arrive(0));
    for n in 0..3 {
        push(&mut heap, &mut events, FIRST_BACKEND_START + n * 400_000, SimulationEvent::Start(n));
    }
    if fault == Fault::Restarts {
        for number in (0..fleet.len()).step_by(2) {
            let at = FIRST_BACKEND_START + SECOND + number as u64 * 20_000;
            push(&mut heap, &mut events, at, SimulationEvent::Restart(number));
        }
    }
    let mut sent: BTreeMap<u64, Vec<Micros>> = BTreeMap::new();
    let mut windows = Vec::new();
    let list = |started: &BTreeMap<u64, Micros>| -> Vec<Endpoint> {
        started
            .iter()
            .map(|(number, started_at)| {
                let announced = fault != Fault::StartsNotAnnounced;
                endpoint_started_at(*number, if announced { *started_at } else { 0 })
            })
            .collect()
    };
    for gateway in &mut fleet {
        gateway.handle(
            GATEWAY_START,
            Event::Endpoints(EndpointUpdate::Snapshot, list(&started)),
            &mut Vec::new(),
        );
    }
    while let Some(Reverse((now, index))) = heap.pop() {
        if now > FIRST_BACKEND_START + SLOW_START_WINDOW {
            break;
        }
        let Some(event) = events[index].take() else { continue };
        let mut actions = Vec::new();
        let mut gateway = 0;
        match event {
            SimulationEvent::Arrive(request_number) => {
                let mut remaining = random.unit() * total_weight;
                gateway = weights
                    .iter()
                    .position(|weight| {
                        remaining -= weight;
                        remaining < 0.0
                    })
                    .unwrap_or(0);
                let customer = CustomerId((random.unit() * 300.0) as u64);
                let request = Request {
                    id: RequestId(request_number),
                    class: 0,
                    plan: 0,
                    customer,
                    deadline: now + 4 * SECOND,
                    units: 1.0,
                    gateway_count: f64::from(gateways.min(3)),
                    first_gateway: (customer.0 % u64::from(gateways)) as f64,
                };
                fleet[gateway].handle(now, Event::Request(request), &mut actions);
                let next = now + random.exponential(request_rate);
                push(&mut heap, &mut events, next, SimulationEvent::Arrive(request_number + 1));
            }
            SimulationEvent::FinishAttempt(number, incarnation, id, attempt, backend) => {
                gateway = number;
                if incarnations[number] == incarnation {
                    let event = Event::AttemptFinished {
                        id,
                        attempt,
                        backend,
                        outcome: Outcome::Ok,
                        answered: true,
                        elapsed: SERVICE_TIME,
                        metered: None,
                        charged_units: None,
                        report: None,
                    };
                    fleet[number].handle(now, event, &mut actions);
                }
            }
            SimulationEvent::Message(to, from, bytes) => {
                gateway = to;
                fleet[to].handle(now, Event::GossipReceived { from, bytes }, &mut actions);
            }
            SimulationEvent::Wake(number) => {
                gateway = number;
                fleet[number].handle(now, Event::Timer(0), &mut actions);
                push(&mut heap, &mut events, now + 20_000, SimulationEvent::Wake(number));
            }
            SimulationEvent::Start(backend) => {
                started.insert(backend, now);
                let listed_start = if fault == Fault::StartsNotAnnounced { 0 } else { now };
                let delta = vec![endpoint_started_at(backend, listed_start)];
                for (number, gateway) in fleet.iter_mut().enumerate() {
                    let mut actions = Vec::new();
                    gateway.handle(now, Event::Endpoints(EndpointUpdate::Delta, delta.clone()), &mut actions);
                    assert!(
                        actions.iter().all(|a| !matches!(a, Action::Fail(_))),
                        "gateway {number} failed a request"
                    );
                }
            }
            SimulationEvent::Restart(number) => {
                incarnations[number] += 1;
                fleet[number] = Gateway::new(settings_of(number as u16), seed * 77 + now, now);
                fleet[number].handle(
                    now,
                    Event::Endpoints(EndpointUpdate::Snapshot, list(&started)),
                    &mut actions,
                );
            }
        }
        for action in actions {
            match action {
                Action::StartAttempt { id, backend, .. } => {
                    let started_at = started[&backend.0];
                    if started_at > 0 {
                        let sends = sent.entry(backend.0).or_default();
                        sends.push(now);
                        let recent = sends
                            .iter()
                            .rev()
                            .take_while(|sent_at| **sent_at + OVERLOAD_WINDOW > now)
                            .count();
                        // Capacity grows during the window; the allowance uses that of its middle.
                        let span_s = OVERLOAD_WINDOW.min(now - started_at + 1) as f64 / 1e6;
                        let middle = now - ((span_s / 2.0) * 1e6) as Micros;
                        windows.push((
                            recent as f64,
                            OVERLOAD_FACTOR
                                * capacity_share(started_at, middle)
                                * BACKEND_REQUESTS_PER_SECOND
                                * OVERLOAD_WINDOW as f64
                                / 1e6,
                        ));
                    }
                    // A warming endpoint answers as fast as a warm one, so that no gateway avoids it for its latency.
                    let finish =
                        SimulationEvent::FinishAttempt(gateway, incarnations[gateway], id, 0, backend);
                    push(&mut heap, &mut events, now + SERVICE_TIME, finish);
                }
                Action::SendGossip { to: Some(to), bytes } if random.unit() > 0.05 => {
                    let at = now + 3_000 + (random.unit() * 25_000.0) as Micros;
                    push(
                        &mut heap,
                        &mut events,
                        at,
                        SimulationEvent::Message(usize::from(to.0), GatewayId(gateway as u16), bytes),
                    );
                }
                _ => {}
            }
        }
    }
    windows
}

/// Returns the largest excess of a window over its allowance N plus 2, in multiples of √N.
fn worst_excess(windows: &[(f64, f64)]) -> f64 {
    windows.iter().map(|(sent, allowed)| (sent - allowed - 2.0) / allowed.sqrt()).fold(f64::MIN, f64::max)
}

/// A warming endpoint gets at most N + 2·√N + 2 attempts in a window, where the settings allow N and the rest is a
/// margin for chance. This holds for fleets of any size, with gateways that restart during the warm-up, and with a
/// gateway whose settings say that it is the only one.
#[test]
fn slow_start_holds_for_the_sum_of_all_gateways() {
    for gateways in [3, 20, 30] {
        for fault in [Fault::None, Fault::SingleGatewaySettings, Fault::Restarts] {
            for seed in 0..20 {
                let load = 0.5 + 0.35 * (seed % 3) as f64;
                let windows = simulate(gateways, load, seed, fault);
                let attempts = windows.len();
                assert!(
                    attempts > 20,
                    "{gateways} gateways, seed {seed}: {attempts} attempts at warming endpoints"
                );
                let worst = worst_excess(&windows);
                assert!(
                    worst <= 2.0,
                    "{gateways} gateways, seed {seed}, load {load}: excess of {worst} roots"
                );
            }
        }
    }
}

/// The check above detects a fleet that violates the rule because discovery does not announce which endpoints have
/// just started.
#[test]
fn a_fleet_that_does_not_know_of_starts_is_detected() {
    let exceeds = |seed: &u64| worst_excess(&simulate(30, 1.2, *seed, Fault::StartsNotAnnounced)) > 2.0;
    let detected = (0..20).filter(exceeds).count();
    assert!(detected > 10, "detected with {detected} of 20 seeds");
}
