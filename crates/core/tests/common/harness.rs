//! A gateway and a fleet that tests drive by events, without a network or a simulator.

use super::{endpoint, settings, SECOND, START};
use chalkgap_core::*;

/// One gateway and its clock.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Micros,
    pub next_request: u64,
}

impl Harness {
    /// Creates a gateway with `backends` ready endpoints.
    pub fn with(settings: Settings, backends: u64) -> Harness {
        let mut harness = Harness { gateway: Gateway::new(settings, 7, START), now: START, next_request: 0 };
        harness.handle(Event::Endpoints(EndpointUpdate::Cached, (0..backends).map(endpoint).collect()));
        harness
    }

    /// Passes an event to the gateway at the current time and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock by `duration` and wakes the gateway every 20 ms.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + duration;
        while self.now < end {
            self.now += 20_000;
            actions.extend(self.handle(Event::Timer(0)));
        }
        actions
    }

    /// Sends a request of a customer whose requests come to three gateways.
    pub fn request(&mut self, class: u8, plan: u16, customer: u64, units: f64) -> (RequestId, Vec<Action>) {
        self.request_over(class, plan, customer, units, 3.0)
    }

    /// Sends a request of a customer whose requests come to `gateway_count` gateways.
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
        let deadline = self.now + 4 * SECOND;
        let customer = CustomerId(customer);
        let first_gateway = if gateway_count == 6.0 { 15.0 } else { 0.0 };
        let request = Request { id, class, plan, customer, deadline, units, gateway_count, first_gateway };
        (id, self.handle(Event::Request(request)))
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

    /// Ends an attempt that was in flight for `elapsed`.
    pub fn finish_after(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        self.handle(Event::AttemptFinished {
            id,
            attempt,
            backend,
            outcome,
            answered: outcome == Outcome::Ok,
            elapsed,
            metered: None,
            charged_units: None,
            report: None,
        })
    }
}

/// Returns the endpoints at which attempts were started.
pub fn attempts(actions: &[Action]) -> Vec<BackendId> {
    let to = |a: &Action| if let Action::StartAttempt { backend, .. } = a { Some(*backend) } else { None };
    actions.iter().filter_map(to).collect()
}

/// Returns whether a request was rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Returns whether a request was answered as failed.
pub fn has_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

/// Several gateways, between which the test delivers messages.
pub struct Fleet {
    pub gateways: Vec<Harness>,
    /// Messages that gateways sent to each other, with the lost ones.
    pub messages_sent: u64,
}

impl Fleet {
    /// Creates a fleet with six endpoints.
    pub fn new(gateways: u16) -> Fleet {
        let harness =
            |number| Harness::with(Settings { gateways, self_id: GatewayId(number), ..settings() }, 6);
        Fleet { gateways: (0..gateways).map(harness).collect(), messages_sent: 0 }
    }

    /// Executes the actions of gateway `from` and all that follow from them. Attempts succeed at once. Returns the
    /// number of attempts started. One message in `loss_interval` is lost; 0: none is lost.
    pub fn execute(&mut self, from: usize, actions: Vec<Action>, loss_interval: u64) -> usize {
        let mut attempts_started = 0;
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (from, a)).collect();
        while let Some((at, action)) = queue.pop() {
            let (to, event) = match action {
                Action::StartAttempt { id, backend, .. } => {
                    attempts_started += 1;
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
                    self.messages_sent += 1;
                    if loss_interval > 0 && self.messages_sent % loss_interval == 0 {
                        continue;
                    }
                    (usize::from(to.0), Event::GossipReceived { from: GatewayId(at as u16), bytes })
                }
                _ => continue,
            };
            let more = self.gateways[to].handle(event);
            queue.extend(more.into_iter().map(|a| (to, a)));
        }
        attempts_started
    }

    /// Sends a request to gateway `at`, then advances all gateways by 20 ms. Returns the number of attempts started.
    pub fn request(
        &mut self,
        at: usize,
        plan: u16,
        units: f64,
        gateway_count: f64,
        loss_interval: u64,
    ) -> usize {
        let (_, actions) = self.gateways[at].request_over(0, plan, 5, units, gateway_count);
        let mut attempts_started = self.execute(at, actions, loss_interval);
        for n in 0..self.gateways.len() {
            let actions = self.gateways[n].advance(20_000);
            attempts_started += self.execute(n, actions, loss_interval);
        }
        attempts_started
    }

    /// Creates a fleet with `backends` endpoints and without hedging.
    pub fn without_hedging(gateways: u16, backends: u64) -> Fleet {
        let harness = |number| {
            let mut settings = Settings { gateways, self_id: GatewayId(number), ..settings() };
            settings.limits.hedging = false;
            Harness::with(settings, backends)
        };
        Fleet { gateways: (0..gateways).map(harness).collect(), messages_sent: 0 }
    }

    /// Delivers messages until none is left. Returns all other actions, each with the number of its gateway,
    /// unexecuted.
    pub fn deliver(&mut self, from: usize, actions: Vec<Action>) -> Vec<(usize, Action)> {
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (from, a)).collect();
        let mut other_actions = Vec::new();
        while let Some((at, action)) = queue.pop() {
            if let Action::SendGossip { to: Some(to), bytes } = action {
                self.messages_sent += 1;
                let more = self.gateways[usize::from(to.0)]
                    .handle(Event::GossipReceived { from: GatewayId(at as u16), bytes });
                queue.extend(more.into_iter().map(|a| (usize::from(to.0), a)));
            } else {
                other_actions.push((at, action));
            }
        }
        other_actions
    }

    /// Finds a gateway that does not own the quota of customer 5: it holds a request and queries an owner. Returns
    /// its number, the request and the actions.
    pub fn non_owner(&mut self) -> (usize, RequestId, Vec<Action>) {
        let gateway_count = self.gateways.len();
        for at in 0..gateway_count {
            let (id, actions) = self.gateways[at].request_over(0, 0, 5, 1.0, gateway_count as f64);
            if attempts(&actions).is_empty() && actions.iter().any(|a| matches!(a, Action::SendGossip { .. }))
            {
                return (at, id, actions);
            }
        }
        panic!("all gateways are owners");
    }
}

/// Returns the number of attempts cancelled.
pub fn cancellations(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count()
}

/// Returns the retry-after of the first rejection; `None`: nothing was rejected.
pub fn retry_after(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}
