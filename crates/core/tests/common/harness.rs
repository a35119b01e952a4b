//! A gateway and a fleet that tests drive by events: no network, no simulator.

use super::{listed, settings, S, T0};
use chalkgap_core::*;

/// One gateway, and the clock that it sees.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Micros,
    pub next_request: u64,
}

impl Harness {
    /// A gateway with `backends` ready endpoints.
    pub fn with(settings: Settings, backends: u64) -> Harness {
        let mut harness = Harness { gateway: Gateway::new(settings, 7, T0), now: T0, next_request: 0 };
        harness.handle(Event::Endpoints(EndpointUpdate::Cached, (0..backends).map(listed).collect()));
        harness
    }

    /// Hands the gateway an event at the current time.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass, and wakes the gateway as it asked.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + span;
        while self.now < end {
            self.now += 20_000;
            actions.extend(self.handle(Event::Timer(0)));
        }
        actions
    }

    /// A request of a customer whose requests come to three gateways.
    pub fn request(&mut self, class: u8, plan: u16, customer: u64, units: f64) -> (RequestId, Vec<Action>) {
        self.request_over(class, plan, customer, units, 3.0)
    }

    /// A request of a customer whose requests come to `gateway_count` gateways.
    pub fn request_over(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        gateway_count: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let deadline = self.now + 4 * S;
        let customer = CustomerId(customer);
        let first = if gateway_count == 6.0 { 15.0 } else { 0.0 };
        let req = Request { id, class, plan, customer, deadline, units, gateway_count, first_gateway: first };
        (id, self.handle(Event::Request(req)))
    }

    /// Ends an attempt after 100 ms.
    pub fn finish(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.finish_after(id, attempt, backend, outcome, 100_000)
    }

    /// Ends an attempt that took so long.
    pub fn finish_after(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
        took: Micros,
    ) -> Vec<Action> {
        self.handle(Event::AttemptFinished {
            id,
            attempt,
            backend,
            outcome,
            answered: outcome == Outcome::Ok,
            elapsed: took,
            metered: None,
            charged_units: None,
            report: None,
        })
    }
}

/// The endpoints of the attempts that were started.
pub fn attempts(actions: &[Action]) -> Vec<BackendId> {
    let to = |a: &Action| if let Action::StartAttempt { backend, .. } = a { Some(*backend) } else { None };
    actions.iter().filter_map(to).collect()
}

/// Whether a request was rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Whether a request was answered as failed.
pub fn has_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

/// Many gateways, whose messages the test delivers.
pub struct Fleet {
    pub gateways: Vec<Harness>,
    pub carried: u64,
}

impl Fleet {
    /// A fleet with six endpoints.
    pub fn new(gateways: u16) -> Fleet {
        let harness = |me| Harness::with(Settings { gateways, self_id: GatewayId(me), ..settings() }, 6);
        Fleet { gateways: (0..gateways).map(harness).collect(), carried: 0 }
    }

    /// Carries out the actions of gateway `from`; attempts succeed at once. Gives how many were started. Every `lossy`th
    /// message is lost, unless that is 0.
    pub fn carry(&mut self, from: usize, actions: Vec<Action>, lossy: u64) -> usize {
        let mut sent = 0;
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (from, a)).collect();
        while let Some((at, action)) = queue.pop() {
            let (to, event) = match action {
                Action::StartAttempt { id, backend, .. } => {
                    sent += 1;
                    let event = Event::AttemptFinished {
                        id,
                        attempt: 0,
                        backend,
                        outcome: Outcome::Ok,
                        answered: true,
                        elapsed: 100_000,
                        metered: None,
                        charged_units: None,
                        report: None,
                    };
                    (at, event)
                }
                Action::SendGossip { to: Some(to), bytes } => {
                    self.carried += 1;
                    if lossy > 0 && self.carried % lossy == 0 {
                        continue;
                    }
                    (usize::from(to.0), Event::GossipReceived { from: GatewayId(at as u16), bytes })
                }
                _ => continue,
            };
            let more = self.gateways[to].handle(event);
            queue.extend(more.into_iter().map(|a| (to, a)));
        }
        sent
    }

    /// One request at gateway `at`, and time for it.
    pub fn request(&mut self, at: usize, plan: u16, units: f64, gateway_count: f64, lossy: u64) -> usize {
        let (_, actions) = self.gateways[at].request_over(0, plan, 5, units, gateway_count);
        let mut sent = self.carry(at, actions, lossy);
        for n in 0..self.gateways.len() {
            let actions = self.gateways[n].advance(20_000);
            sent += self.carry(n, actions, lossy);
        }
        sent
    }

    /// A fleet with `backends` endpoints and without hedging.
    pub fn without_hedging(gateways: u16, backends: u64) -> Fleet {
        let harness = |me| {
            let mut s = Settings { gateways, self_id: GatewayId(me), ..settings() };
            s.limits.hedging = false;
            Harness::with(s, backends)
        };
        Fleet { gateways: (0..gateways).map(harness).collect(), carried: 0 }
    }

    /// Delivers messages alone, until there are no more; gives the other actions, by gateway.
    pub fn deliver(&mut self, from: usize, actions: Vec<Action>) -> Vec<(usize, Action)> {
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (from, a)).collect();
        let mut rest = Vec::new();
        while let Some((at, action)) = queue.pop() {
            if let Action::SendGossip { to: Some(to), bytes } = action {
                self.carried += 1;
                let more = self.gateways[usize::from(to.0)]
                    .handle(Event::GossipReceived { from: GatewayId(at as u16), bytes });
                queue.extend(more.into_iter().map(|a| (usize::from(to.0), a)));
            } else {
                rest.push((at, action));
            }
        }
        rest
    }

    /// A gateway that does not own the quota of customer 5: it holds a request and asks.
    pub fn non_owner(&mut self) -> (usize, RequestId, Vec<Action>) {
        let all = self.gateways.len();
        for at in 0..all {
            let (id, actions) = self.gateways[at].request_over(0, 0, 5, 1.0, all as f64);
            if attempts(&actions).is_empty() && actions.iter().any(|a| matches!(a, Action::SendGossip { .. }))
            {
                return (at, id, actions);
            }
        }
        panic!("all gateways are owners");
    }
}

/// How many attempts were cancelled.
pub fn cancellations(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count()
}

/// The advice of the first rejection; none without one.
pub fn retry_after(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}
