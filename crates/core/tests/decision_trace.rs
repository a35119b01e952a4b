//! Regression test: the decisions of simulated fleets hash to digests recorded before the code was restructured.
//!
//! Each scenario runs a fleet of gateways against simulated backends, over a network that delays, loses, duplicates
//! and reorders messages. Backends start cold, drain, fail, stop responding and are removed; gateways are killed,
//! stopped gracefully and restarted. Every [`Event`] occurs. Each [`Action`] that a gateway returns is encoded by
//! this file and hashed. Names of types and the words of log lines are not encoded, so that a digest depends on the
//! decisions alone.
//!
//! A digest that differs means that the code decides differently. A change that is meant to decide differently
//! records new digests, and its commit says so.

use chalkgap_core::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;

/// The size of a fleet, its traffic and its settings.
struct Scenario {
    gateways: u16,
    backends: u64,
    customers: u64,
    /// Requests per second, summed over all gateways.
    request_rate: f64,
    /// Gossip messages per second that one gateway may receive. Where this is low for the size of the fleet, two
    /// owners keep the quota of each customer, instead of all gateways that its requests come to.
    gossip_receive_rate: f64,
    /// Simulated time, in microseconds.
    duration: Micros,
    settings: SettingsKind,
    seed: u64,
}

/// Which features the settings enable.
#[derive(Clone, Copy, PartialEq)]
enum SettingsKind {
    /// Endpoint lists are pushed, requests are hedged, and weights are capacities.
    Hedging,
    /// Endpoint lists are polled, units are charged after the attempt, and attempts are cancelled but not hedged.
    Polling,
    /// Cancellation, hedging, gossip and Retry-After are all disabled.
    Restricted,
}

/// Pseudo-random number generator (splitmix64); holds its state.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns an integer from 0 up to and without `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Returns true once in `one_in` calls on average.
    fn chance(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }

    /// Returns a number from 0 up to and without 1.
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A simulated backend: its capacity, its load and its present faults.
struct Backend {
    zone: u8,
    cell: u16,
    capacity: f64,
    started: Micros,
    availability: Availability,
    in_flight: u32,
    /// Factor on service times.
    slowdown: f64,
    /// One attempt in `failing` fails; 0: no attempt fails.
    failing: u64,
    /// Attempts get no response and time out.
    silent: bool,
    /// Connections fail.
    unreachable: bool,
}

/// What happens at a scheduled time. `incarnation` is that of the gateway when the event was scheduled; events of an
/// earlier incarnation do not reach the gateway.
enum SimulationEvent {
    Arrival,
    AttemptEnd {
        gateway: usize,
        incarnation: u32,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        sent: Micros,
        outcome: Outcome,
    },
    FirstByte {
        gateway: usize,
        incarnation: u32,
        id: RequestId,
        attempt: u16,
    },
    ClientLeaves {
        gateway: usize,
        incarnation: u32,
        id: RequestId,
    },
    Message {
        from: u16,
        to: usize,
        bytes: Vec<u8>,
    },
    Timer {
        gateway: usize,
        incarnation: u32,
        token: u32,
    },
    EndpointList {
        gateway: usize,
        kind: EndpointUpdate,
    },
    Incident,
    Restart {
        gateway: usize,
    },
}

/// An attempt that has started and has not ended.
struct InFlight {
    backend: BackendId,
    sent: Micros,
}

/// A simulated fleet with its clock, its scheduled events and the digest of its actions.
struct Fleet {
    scenario: Scenario,
    random: Random,
    now: Micros,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    scheduled: BTreeMap<u64, SimulationEvent>,
    /// The gateways by number; `None` while a gateway is down.
    gateways: Vec<Option<Gateway>>,
    /// Incarnation of each gateway; grows when it is killed or restarted.
    incarnations: Vec<u32>,
    stopping: Vec<bool>,
    attempts: Vec<BTreeMap<(RequestId, u16), InFlight>>,
    /// Attempts started per request, by gateway.
    attempt_counts: Vec<BTreeMap<RequestId, u16>>,
    /// Requests without a final answer, by gateway.
    unanswered: Vec<BTreeSet<RequestId>>,
    backends: BTreeMap<u64, Backend>,
    /// Backends that an incident drained, readied or removed; deltas list them.
    changed: BTreeSet<u64>,
    next_request: u64,
    digest: blake3::Hasher,
    /// How often each kind of event and action occurred.
    occurrences: BTreeMap<&'static str, u64>,
}

fn request_class(
    retry_safety: RetrySafety,
    latency_objective: Micros,
    deadline: Micros,
    streaming: bool,
) -> RequestClass {
    RequestClass {
        latency_objective,
        objective_per_work: 0.0,
        deadline,
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        retry_safety,
        streaming,
    }
}

fn plan(quota_rate: f64, quota_burst: f64, priority_factor: f64) -> Plan {
    Plan {
        quota_rate,
        quota_burst,
        max_in_flight: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        priority_factor,
        over_quota_weight: 0.0,
        over_quota_penalty: 1.0,
    }
}

fn settings(scenario: &Scenario, gateway: u16) -> Settings {
    let kind = scenario.settings;
    let keyed = |scope| RetrySafety::IdempotencyKey { scope, window: SECOND };
    let classes = vec![
        request_class(RetrySafety::Idempotent, 400_000, 2 * SECOND, false),
        request_class(keyed(DeduplicationScope::Cell), 700_000, 3 * SECOND, false),
        request_class(RetrySafety::NotIdempotent, 600_000, 2 * SECOND, false),
        request_class(keyed(DeduplicationScope::Zone), 500_000, 2 * SECOND, true),
        request_class(keyed(DeduplicationScope::Fleet), 300_000, SECOND, false),
    ];
    let hard_limited = Plan { hard_limit_rate: 6.0, hard_limit_burst: 10.0, ..plan(12.0, 20.0, 1.0) };
    let capped = Plan { max_in_flight: 4, ..plan(0.0, 0.0, 1.3) };
    let plans = vec![plan(2.0, 6.0, 0.5), plan(15.0, 30.0, 1.0), hard_limited, capped, plan(40.0, 80.0, 1.6)];
    Settings {
        gateways: scenario.gateways,
        self_id: GatewayId(gateway),
        zone: (gateway % 3) as u8,
        tick: 4_000,
        classes,
        plans,
        limits: Limits {
            max_attempts: 3,
            hedging: kind == SettingsKind::Hedging,
            cancellation: kind != SettingsKind::Restricted,
            health_checks: false,
            gossip: kind != SettingsKind::Restricted,
            gossip_receive_rate: scenario.gossip_receive_rate,
            retry_after: kind != SettingsKind::Restricted,
            max_retry_after: 2 * SECOND,
            shared_counter: false,
            max_in_flight: 10_000,
        },
        rules: Rules {
            answer_grace: 16_000,
            drain_grace: 250_000,
            slow_start_min_capacity: 0.2,
            slow_start_window: 8 * SECOND,
            overload_factor: 3.0,
            overload_window: SECOND,
            max_poll_interval: 4 * SECOND,
        },
        discovery: if kind == SettingsKind::Polling { Discovery::Poll } else { Discovery::Push },
        weight_meaning: if kind == SettingsKind::Restricted {
            WeightMeaning::None
        } else {
            WeightMeaning::Capacity
        },
        meter_period: 0,
        post_paid: kind == SettingsKind::Polling,
        max_customers: 0,
    }
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let mut random = Random(scenario.seed);
        let backend = |n: u64| Backend {
            zone: (n % 3) as u8,
            cell: (n % 5) as u16,
            capacity: 1.0 + (n % 2) as f64,
            started: if n % 4 == 0 { START - SECOND } else { 0 },
            availability: Availability::Ready,
            in_flight: 0,
            slowdown: 1.0,
            failing: 0,
            silent: false,
            unreachable: false,
        };
        let count = usize::from(scenario.gateways);
        let gateways = (0..scenario.gateways)
            .map(|n| Some(Gateway::new(settings(&scenario, n), random.next(), START)))
            .collect();
        Fleet {
            backends: (0..scenario.backends).map(|n| (n, backend(n))).collect(),
            random,
            now: START,
            sequence: 0,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            gateways,
            incarnations: vec![0; count],
            stopping: vec![false; count],
            attempts: (0..count).map(|_| BTreeMap::new()).collect(),
            attempt_counts: (0..count).map(|_| BTreeMap::new()).collect(),
            unanswered: (0..count).map(|_| BTreeSet::new()).collect(),
            changed: BTreeSet::new(),
            next_request: 1,
            digest: blake3::Hasher::new(),
            occurrences: BTreeMap::new(),
            scenario,
        }
    }

    /// Schedules an event `delay` microseconds from now.
    fn schedule(&mut self, delay: Micros, event: SimulationEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    /// Runs the scenario. Returns the digest and how often each kind of event and action occurred.
    fn run(mut self) -> (String, BTreeMap<&'static str, u64>) {
        for gateway in 0..self.gateways.len() {
            let kind = if gateway % 2 == 0 { EndpointUpdate::Snapshot } else { EndpointUpdate::Cached };
            self.schedule(1_000 + gateway as u64 * 700, SimulationEvent::EndpointList { gateway, kind });
        }
        self.schedule(50_000, SimulationEvent::Arrival);
        self.schedule(2 * SECOND, SimulationEvent::Incident);
        let end = START + self.scenario.duration;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.scheduled.remove(&sequence).expect("scheduled once");
            self.dispatch(event);
        }
        (self.digest.finalize().to_hex().to_string(), self.occurrences)
    }

    fn dispatch(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.arrival(),
            SimulationEvent::AttemptEnd { gateway, incarnation, id, attempt, backend, sent, outcome } => {
                if self.incarnations[gateway] == incarnation {
                    self.attempt_ends(gateway, id, attempt, backend, sent, outcome);
                } else if let Some(model) = self.backends.get_mut(&backend.0) {
                    model.in_flight = model.in_flight.saturating_sub(1);
                }
            }
            SimulationEvent::FirstByte { gateway, incarnation, id, attempt } => {
                if self.incarnations[gateway] == incarnation
                    && self.attempts[gateway].contains_key(&(id, attempt))
                {
                    self.handle(gateway, Event::FirstByte { id, attempt });
                }
            }
            SimulationEvent::ClientLeaves { gateway, incarnation, id } => {
                if self.incarnations[gateway] == incarnation && self.unanswered[gateway].remove(&id) {
                    self.handle(gateway, Event::ClientCancelled(id));
                }
            }
            SimulationEvent::Message { from, to, bytes } => {
                self.handle(to, Event::GossipReceived { from: GatewayId(from), bytes });
            }
            SimulationEvent::Timer { gateway, incarnation, token } => {
                if self.incarnations[gateway] == incarnation {
                    self.handle(gateway, Event::Timer(token));
                }
            }
            SimulationEvent::EndpointList { gateway, kind } => self.endpoint_list(gateway, kind),
            SimulationEvent::Incident => self.incident(),
            SimulationEvent::Restart { gateway } => self.restart(gateway),
        }
    }

    fn arrival(&mut self) {
        let mean = 1e6 / self.scenario.request_rate;
        let delay = (-(1.0 - self.random.unit()).ln() * mean) as Micros;
        self.schedule(delay.max(1), SimulationEvent::Arrival);
        let customer =
            self.random.below(self.scenario.customers).min(self.random.below(self.scenario.customers));
        let gateways = u64::from(self.scenario.gateways);
        let gateway_count = 1 + customer % gateways;
        let first_gateway = customer * 7 % gateways;
        let gateway = ((first_gateway + self.random.below(gateway_count)) % gateways) as usize;
        if self.gateways[gateway].is_none() || self.stopping[gateway] {
            return;
        }
        let class = self.random.below(5) as u8;
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let wait_limit = [2, 3, 2, 2, 1][usize::from(class)] * SECOND;
        let deadline_divisor = if self.random.chance(50) { 20 } else { 1 };
        let request = Request {
            id,
            class,
            plan: (customer % 5) as u16,
            customer: CustomerId(customer + 1),
            deadline: self.now + wait_limit / deadline_divisor,
            units: [1.0, 1.0, 1.5, 2.25][self.random.below(4) as usize],
            gateway_count: gateway_count as f64,
            first_gateway: first_gateway as f64,
        };
        self.unanswered[gateway].insert(id);
        if self.random.chance(25) {
            let delay = self.random.below(SECOND);
            let incarnation = self.incarnations[gateway];
            self.schedule(delay, SimulationEvent::ClientLeaves { gateway, incarnation, id });
        }
        self.handle(gateway, Event::Request(request));
        if self.random.chance(200) {
            self.handle(gateway, Event::Request(request));
        }
    }

    fn attempt_ends(
        &mut self,
        gateway: usize,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        sent: Micros,
        outcome: Outcome,
    ) {
        if self.attempts[gateway].remove(&(id, attempt)).is_none() {
            return;
        }
        let Some(model) = self.backends.get_mut(&backend.0) else { return };
        model.in_flight = model.in_flight.saturating_sub(1);
        let queue = f64::from(model.in_flight.saturating_sub(4));
        let report =
            (backend.0 % 2 == 0).then(|| LoadReport { queued: Some(queue), ..LoadReport::default() });
        let answered = outcome == Outcome::Ok;
        if answered {
            self.unanswered[gateway].remove(&id);
        }
        let charged = self.random.chance(4).then(|| 1.0 + self.random.below(3) as f64);
        let elapsed = self.now - sent;
        let finished = Event::AttemptFinished {
            id,
            attempt,
            backend,
            outcome,
            answered,
            elapsed,
            metered: None,
            charged_units: charged,
            report,
        };
        self.handle(gateway, finished);
    }

    fn endpoint_list(&mut self, gateway: usize, kind: EndpointUpdate) {
        let list: Vec<Endpoint> = match kind {
            EndpointUpdate::Failed => Vec::new(),
            EndpointUpdate::Delta => self.changed.iter().map(|n| self.endpoint(*n)).collect(),
            EndpointUpdate::Snapshot | EndpointUpdate::Cached => {
                let present = |n: &&u64| self.backends[*n].availability != Availability::Gone;
                self.backends.keys().filter(present).map(|n| self.endpoint(*n)).collect()
            }
        };
        self.handle(gateway, Event::Endpoints(kind, list));
    }

    fn endpoint(&self, number: u64) -> Endpoint {
        let model = &self.backends[&number];
        Endpoint {
            backend: BackendId(number),
            zone: model.zone,
            cell: model.cell,
            kind: 0,
            availability: model.availability,
            weight: model.capacity,
            started_at: model.started,
        }
    }

    /// Starts or ends one random fault; occurs every 300 ms on average.
    fn incident(&mut self) {
        let delay = 100_000 + self.random.below(400_000);
        self.schedule(delay, SimulationEvent::Incident);
        let number = self.random.below(self.scenario.backends);
        let gateway = self.random.below(u64::from(self.scenario.gateways)) as usize;
        let choice = self.random.below(14);
        let now = self.now;
        let Some(model) = self.backends.get_mut(&number) else { return };
        match choice {
            0 => model.slowdown = 6.0,
            1 => model.failing = 2,
            2 => model.silent = true,
            3 => model.unreachable = true,
            4..=6 => {
                (model.slowdown, model.failing) = (1.0, 0);
                (model.silent, model.unreachable) = (false, false);
            }
            7 | 8 => {
                model.availability = Availability::Draining;
                self.changed.insert(number);
                self.announce();
            }
            9 | 10 => {
                model.availability = Availability::Ready;
                model.started = now;
                (model.slowdown, model.failing) = (1.0, 0);
                (model.silent, model.unreachable) = (false, false);
                self.changed.insert(number);
                self.announce();
            }
            11 => {
                model.availability = Availability::Gone;
                self.changed.insert(number);
                self.announce();
            }
            12 => self.stop(gateway),
            _ => {
                let reachable = self.random.chance(2);
                let peer = GatewayId(self.random.below(u64::from(self.scenario.gateways) + 1) as u16);
                self.handle(gateway, Event::PeerReachability { peer, reachable });
                let backend = BackendId(number);
                let probed =
                    Event::HealthChecked { backend, outcome: Outcome::Ok, elapsed: 900, report: None };
                self.handle(gateway, probed);
                self.handle(gateway, Event::CounterUpdated { name: 7, outcome: Outcome::Ok, total: 3.0 });
            }
        }
    }

    /// Schedules an endpoint update for every gateway, 5 to 305 ms from now: mostly a delta, sometimes a whole list,
    /// and sometimes a failed call with a whole list 500 ms later.
    fn announce(&mut self) {
        for gateway in 0..self.gateways.len() {
            let delay = 5_000 + self.random.below(300_000);
            let kind = match self.random.below(8) {
                0 => EndpointUpdate::Snapshot,
                1 => EndpointUpdate::Failed,
                _ => EndpointUpdate::Delta,
            };
            self.schedule(delay, SimulationEvent::EndpointList { gateway, kind });
            if kind == EndpointUpdate::Failed {
                self.schedule(
                    delay + 500_000,
                    SimulationEvent::EndpointList { gateway, kind: EndpointUpdate::Snapshot },
                );
            }
        }
    }

    /// Either drains a gateway, which then accepts no new requests, or kills it. It restarts 0.4 to 1.4 s later.
    fn stop(&mut self, gateway: usize) {
        if self.gateways[gateway].is_none() || self.stopping[gateway] {
            return;
        }
        if self.random.chance(2) {
            self.stopping[gateway] = true;
        } else {
            self.gateways[gateway] = None;
            self.incarnations[gateway] += 1;
        }
        let delay = 400_000 + self.random.below(SECOND);
        self.schedule(delay, SimulationEvent::Restart { gateway });
    }

    fn restart(&mut self, gateway: usize) {
        self.incarnations[gateway] += 1;
        self.stopping[gateway] = false;
        self.attempts[gateway].clear();
        self.attempt_counts[gateway].clear();
        self.unanswered[gateway].clear();
        let settings = settings(&self.scenario, gateway as u16);
        self.gateways[gateway] = Some(Gateway::new(settings, self.random.next(), self.now));
        self.endpoint_list(gateway, EndpointUpdate::Cached);
        self.schedule(200_000, SimulationEvent::EndpointList { gateway, kind: EndpointUpdate::Snapshot });
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        let name = event_name(&event);
        let Some(module) = self.gateways[gateway].as_mut() else { return };
        *self.occurrences.entry(name).or_default() += 1;
        let mut actions = Vec::new();
        module.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(gateway, &action);
            self.carry_out(gateway, action);
        }
    }

    fn record(&mut self, gateway: usize, action: &Action) {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&(gateway as u16).to_le_bytes());
        bytes.extend_from_slice(&self.now.to_le_bytes());
        *self.occurrences.entry(encode(action, &mut bytes)).or_default() += 1;
        self.digest.update(&(bytes.len() as u32).to_le_bytes());
        self.digest.update(&bytes);
    }

    fn carry_out(&mut self, gateway: usize, action: Action) {
        match action {
            Action::StartAttempt { id, backend, .. } => self.start_attempt(gateway, id, backend),
            Action::Reject { id, .. } | Action::Fail(id) => {
                self.unanswered[gateway].remove(&id);
            }
            Action::Cancel { id, attempt } => self.cancel(gateway, id, attempt),
            Action::SetTimer { delay, token } => {
                // One timer in two hundred fires 200 ms late, as after a stall of the process.
                let stall = if self.random.chance(200) { 200_000 } else { 0 };
                let incarnation = self.incarnations[gateway];
                self.schedule(delay + stall, SimulationEvent::Timer { gateway, incarnation, token });
            }
            Action::SendGossip { to, bytes } => self.deliver(gateway, to, bytes),
            Action::WatchEndpoints(_) | Action::FetchEndpoints => {
                let kind =
                    if self.random.chance(4) { EndpointUpdate::Failed } else { EndpointUpdate::Snapshot };
                self.schedule(20_000, SimulationEvent::EndpointList { gateway, kind });
            }
            Action::CheckHealth(_) | Action::CloseIdle(_) | Action::AddToCounter { .. } | Action::Log(_) => {}
        }
    }

    fn start_attempt(&mut self, gateway: usize, id: RequestId, backend: BackendId) {
        let count = self.attempt_counts[gateway].entry(id).or_default();
        let attempt = *count;
        *count += 1;
        self.attempts[gateway].insert((id, attempt), InFlight { backend, sent: self.now });
        let draw = self.random.below(1_000);
        let service_factor = 0.4 - 1.2 * (1.0 - self.random.unit()).ln();
        let overload = self.overload();
        let Some(model) = self.backends.get_mut(&backend.0) else { return };
        model.in_flight += 1;
        let load_factor = (f64::from(model.in_flight) / (4.0 * model.capacity)).max(1.0);
        let service = (25_000.0 * service_factor * load_factor * model.slowdown * overload) as Micros;
        let (delay, outcome) = if model.unreachable || model.availability == Availability::Gone {
            (2_000, Outcome::ConnectFailed)
        } else if model.silent {
            (1_500_000, Outcome::TimedOut)
        } else if model.failing > 0 && draw % model.failing == 0 {
            (service / 4, if draw % 3 == 0 { Outcome::Reset } else { Outcome::Error })
        } else if f64::from(model.in_flight) > 14.0 * model.capacity {
            (1_000, Outcome::Rejected)
        } else if draw == 999 {
            (500, Outcome::NotSent)
        } else {
            (service, Outcome::Ok)
        };
        let (incarnation, sent) = (self.incarnations[gateway], self.now);
        if outcome == Outcome::Ok && draw % 5 == 0 {
            self.schedule(delay / 2, SimulationEvent::FirstByte { gateway, incarnation, id, attempt });
        }
        let end = SimulationEvent::AttemptEnd { gateway, incarnation, id, attempt, backend, sent, outcome };
        self.schedule(delay.max(200), end);
    }

    /// Returns the factor on all service times: 12 in the second quarter of a scenario, so that alerts rise and end.
    fn overload(&self) -> f64 {
        let quarter = (self.now - START) * 4 / self.scenario.duration;
        if quarter == 1 {
            12.0
        } else {
            1.0
        }
    }

    fn cancel(&mut self, gateway: usize, id: RequestId, attempt: u16) {
        if let Some(attempt_in_flight) = self.attempts[gateway].get(&(id, attempt)) {
            let InFlight { backend, sent } = *attempt_in_flight;
            let incarnation = self.incarnations[gateway];
            let outcome = Outcome::Cancelled;
            let end =
                SimulationEvent::AttemptEnd { gateway, incarnation, id, attempt, backend, sent, outcome };
            self.schedule(300, end);
        }
    }

    /// Schedules the delivery of a message. One in 12 is lost, one in 30 is duplicated, and one copy in 15 is delayed
    /// by up to 400 ms instead of 3 ms.
    fn deliver(&mut self, from: usize, to: Option<GatewayId>, bytes: Vec<u8>) {
        let Some(to) = to.map(|to| usize::from(to.0)).filter(|to| *to < self.gateways.len()) else { return };
        if self.random.chance(12) {
            return;
        }
        let copies = if self.random.chance(30) { 2 } else { 1 };
        for _ in 0..copies {
            let late = if self.random.chance(15) { 400_000 } else { 3_000 };
            let delay = 500 + self.random.below(late);
            let bytes = bytes.clone();
            self.schedule(delay, SimulationEvent::Message { from: from as u16, to, bytes });
        }
    }
}

fn event_name(event: &Event) -> &'static str {
    match event {
        Event::Endpoints(EndpointUpdate::Snapshot, _) => "event: snapshot",
        Event::Endpoints(EndpointUpdate::Delta, _) => "event: delta",
        Event::Endpoints(EndpointUpdate::Cached, _) => "event: cached list",
        Event::Endpoints(EndpointUpdate::Failed, _) => "event: failed poll",
        Event::Request(_) => "event: request",
        Event::AttemptFinished { .. } => "event: attempt ended",
        Event::FirstByte { .. } => "event: first byte",
        Event::ClientCancelled(_) => "event: client left",
        Event::Timer(_) => "event: timer",
        Event::HealthChecked { .. } => "event: health check",
        Event::GossipReceived { .. } => "event: gossip",
        Event::PeerReachability { .. } => "event: reachability",
        Event::CounterUpdated { .. } => "event: counter",
    }
}

/// Appends the encoding of an action and returns the name of its kind. Of a log line only the digits are encoded.
#[expect(clippy::too_many_lines, reason = "one arm for each action")]
fn encode(action: &Action, bytes: &mut Vec<u8>) -> &'static str {
    match action {
        Action::StartAttempt { id, backend, give_up_at, start_by } => {
            bytes.push(1);
            for number in [id.0, backend.0, *give_up_at, *start_by] {
                bytes.extend_from_slice(&number.to_le_bytes());
            }
            "action: attempt"
        }
        Action::Reject { id, retry_after } => {
            bytes.push(2);
            bytes.extend_from_slice(&id.0.to_le_bytes());
            bytes.extend_from_slice(&retry_after.to_le_bytes());
            "action: reject"
        }
        Action::Fail(id) => {
            bytes.push(3);
            bytes.extend_from_slice(&id.0.to_le_bytes());
            "action: fail"
        }
        Action::Cancel { id, attempt } => {
            bytes.push(4);
            bytes.extend_from_slice(&id.0.to_le_bytes());
            bytes.extend_from_slice(&attempt.to_le_bytes());
            "action: cancel"
        }
        Action::SetTimer { delay, token } => {
            bytes.push(5);
            bytes.extend_from_slice(&delay.to_le_bytes());
            bytes.extend_from_slice(&token.to_le_bytes());
            "action: timer"
        }
        Action::SendGossip { to, bytes: message } => {
            bytes.push(6);
            bytes.extend_from_slice(&to.map_or(u16::MAX, |to| to.0).to_le_bytes());
            bytes.extend_from_slice(message);
            "action: gossip"
        }
        Action::CheckHealth(backend) => {
            bytes.push(7);
            bytes.extend_from_slice(&backend.0.to_le_bytes());
            "action: health check"
        }
        Action::CloseIdle(backend) => {
            bytes.push(8);
            bytes.extend_from_slice(&backend.0.to_le_bytes());
            "action: close idle"
        }
        Action::WatchEndpoints(on) => {
            bytes.extend_from_slice(&[9, u8::from(*on)]);
            "action: watch"
        }
        Action::FetchEndpoints => {
            bytes.push(10);
            "action: fetch"
        }
        Action::AddToCounter { name, delta, lifetime } => {
            bytes.push(11);
            bytes.extend_from_slice(&name.to_le_bytes());
            bytes.extend_from_slice(&delta.to_bits().to_le_bytes());
            bytes.extend_from_slice(&lifetime.to_le_bytes());
            "action: count"
        }
        Action::Log(text) => {
            bytes.push(12);
            bytes.extend(text.bytes().filter(|byte| byte.is_ascii_digit()));
            "action: log"
        }
    }
}

/// Asserts that a scenario has the `expected` digest, and that each of the listed kinds of events and actions occurred,
/// except for the `absent` ones.
fn assert_digest(scenario: Scenario, expected: &str, absent: &[&str]) {
    let (digest, occurrences) = Fleet::new(scenario).run();
    let kinds = [
        "event: snapshot",
        "event: delta",
        "event: cached list",
        "event: failed poll",
        "event: request",
        "event: attempt ended",
        "event: first byte",
        "event: client left",
        "event: timer",
        "event: health check",
        "event: gossip",
        "event: reachability",
        "event: counter",
        "action: attempt",
        "action: reject",
        "action: fail",
        "action: cancel",
        "action: timer",
        "action: gossip",
        "action: watch",
        "action: log",
    ];
    for name in kinds.iter().filter(|name| !absent.contains(name)) {
        assert!(occurrences.contains_key(name), "{name} never occurred: {occurrences:?}");
    }
    assert_eq!(digest, expected, "{occurrences:?}");
}

#[test]
fn three_gateways_with_hedging_decide_as_recorded() {
    let scenario = Scenario {
        gateways: 3,
        backends: 8,
        customers: 30,
        request_rate: 220.0,
        gossip_receive_rate: 60.0,
        duration: 60 * SECOND,
        settings: SettingsKind::Hedging,
        seed: 11,
    };
    assert_digest(
        scenario,
        "0786a314d5cab1bc170ae875352d2054e0b93c3867a0211ce57b877259fe44ba",
        &["action: watch"],
    );
}

#[test]
fn eight_gateways_that_poll_for_endpoints_decide_as_recorded() {
    let scenario = Scenario {
        gateways: 8,
        backends: 14,
        customers: 60,
        request_rate: 420.0,
        gossip_receive_rate: 60.0,
        duration: 40 * SECOND,
        settings: SettingsKind::Polling,
        seed: 12,
    };
    assert_digest(scenario, "e2bb72eb3645d4882bd5f848905142db69b83961eb780bb289f76e241285f31e", &[]);
}

#[test]
fn forty_gateways_with_two_owners_a_customer_decide_as_recorded() {
    let scenario = Scenario {
        gateways: 40,
        backends: 48,
        customers: 200,
        request_rate: 1_200.0,
        gossip_receive_rate: 60.0,
        duration: 30 * SECOND,
        settings: SettingsKind::Hedging,
        seed: 13,
    };
    assert_digest(
        scenario,
        "f643ed45d1232c549255ee85e9878e2c2e25f4a5db30f2cb4dd5405ea70695c2",
        &["action: watch"],
    );
}

#[test]
fn gateways_without_gossip_or_cancelling_decide_as_recorded() {
    let scenario = Scenario {
        gateways: 3,
        backends: 6,
        customers: 20,
        request_rate: 200.0,
        gossip_receive_rate: 60.0,
        duration: 40 * SECOND,
        settings: SettingsKind::Restricted,
        seed: 14,
    };
    assert_digest(
        scenario,
        "11745be27f2984e2a2b07fba5fecc67933da271d8b366daf0b86c116f0c0940d",
        &["action: watch", "action: cancel", "action: gossip", "event: gossip"],
    );
}
