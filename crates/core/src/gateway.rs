//! The state of one gateway, and the order in which it handles an event. The decisions are made in the modules that it
//! calls.

use crate::completion::FinishedAttempt;
use crate::concurrency::{ConcurrencyLimit, Pressure};
use crate::customer::{Customer, Peer};
use crate::decay::to_micros;
use crate::endpoints::Endpoints;
use crate::gossip::Sample;
use crate::interface::{Action, CustomerId, Event, GatewayId, Micros, RequestId, Settings};
use crate::latency::LatencyBaseline;
use crate::load_shedding::LoadShedding;
use crate::request::InFlightRequest;
use crate::retry::RetryBudget;
use crate::slow_start::AdmissionRate;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Clock ticks between two wake-ups, which check deadlines, queues and gossip. A longer interval saves processor time.
pub(crate) const WAKEUP_TICKS: u64 = 5;
/// Number of missed wake-ups after which the process is considered to have been stalled.
const STALL_WAKEUPS: u64 = 4;
/// All peers together send reports to a gateway at no more than its permitted receive rate, divided by this.
const GOSSIP_HEADROOM: f64 = 1.5;
/// Maximum report period, in seconds, at which all gateways of a customer can own its quota.
const MAX_REPORT_PERIOD_OF_SMALL_FLEET: f64 = 0.35;
/// Minimum report period: more frequent messages would cost more than newer data is worth.
const MIN_REPORT_PERIOD: Micros = 50_000;

/// Whether a fleet is small enough for every gateway to receive the usage reports of all others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetSize {
    /// All gateways of a customer own its quota and report to each other periodically.
    Small,
    /// Two gateways own a customer's quota and are queried on demand.
    Large,
}

/// The decisions of one gateway. The host passes it [`Event`]s and carries out the [`Action`]s that it returns.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    pub(crate) started_at: Micros,
    pub(crate) fleet_size: FleetSize,
    /// Number of gateways in the fleet, 1 or more.
    pub(crate) gateway_count: u64,
    /// Minimum time between two messages with reports to a peer. 0 in a large fleet, where reports are sent with
    /// queries or at the next wake-up.
    pub(crate) report_period: Micros,
    pub(crate) random_state: u64,
    pub(crate) next_wakeup: Micros,
    /// When the process last resumed after a stall: latencies measured at that time include the stall.
    pub(crate) resumed_at: Micros,
    pub(crate) next_maintenance: Micros,
    pub(crate) next_poll: Micros,
    /// When records of customers may be searched for removal again.
    pub(crate) next_removal_search: Micros,

    pub(crate) requests: BTreeMap<RequestId, InFlightRequest>,
    /// Admitted requests that wait for an endpoint, in order of admission.
    pub(crate) queue: VecDeque<RequestId>,
    /// Times of the next checks of requests: those that are held, and those whose attempt may be overdue.
    pub(crate) checks: BinaryHeap<Reverse<(Micros, RequestId)>>,
    /// Number of attempts in flight.
    pub(crate) in_flight: u32,

    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) peers: BTreeMap<GatewayId, Peer>,
    /// Peers with reports in their outbox.
    pub(crate) peers_to_notify: BTreeSet<GatewayId>,
    /// Whether a message has come from a peer that started well before this gateway.
    pub(crate) older_peer_seen: bool,
    /// Outcomes of the latest attempts with their times, to be sent to peers; newest first.
    pub(crate) samples: VecDeque<(Micros, Sample)>,

    pub(crate) endpoints: Endpoints,
    /// Latency baselines by request class.
    pub(crate) latency_baselines: Vec<LatencyBaseline>,
    pub(crate) pressure: Pressure,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) load_shedding: LoadShedding,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) admission_rate: AdmissionRate,
}

impl Gateway {
    /// Creates a gateway that starts at `now` and knows no endpoints, customers or peers. `seed` determines its
    /// pseudo-random choices.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let gateway_count = u64::from(settings.gateways.max(1));
        let receive_rate = settings.limits.gossip_receive_rate.max(1.0);
        let report_period = GOSSIP_HEADROOM * (gateway_count as f64 - 1.0) / receive_rate;
        let is_small = report_period <= MAX_REPORT_PERIOD_OF_SMALL_FLEET;
        let baselines =
            settings.classes.iter().map(|class| LatencyBaseline::new(class.latency_objective, now));
        Gateway {
            latency_baselines: baselines.collect(),
            fleet_size: if is_small { FleetSize::Small } else { FleetSize::Large },
            report_period: if is_small { to_micros(report_period).max(MIN_REPORT_PERIOD) } else { 0 },
            retry_budget: RetryBudget::new(gateway_count),
            random_state: seed,
            settings,
            now,
            started_at: now,
            gateway_count,
            next_wakeup: 0,
            resumed_at: 0,
            next_maintenance: 0,
            next_poll: 0,
            next_removal_search: 0,
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            checks: BinaryHeap::new(),
            in_flight: 0,
            customers: BTreeMap::new(),
            peers: BTreeMap::new(),
            peers_to_notify: BTreeSet::new(),
            older_peer_seen: false,
            samples: VecDeque::new(),
            endpoints: Endpoints::default(),
            pressure: Pressure::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            load_shedding: LoadShedding::default(),
            admission_rate: AdmissionRate::default(),
        }
    }

    /// Handles one event and appends the actions that the host is to carry out.
    ///
    /// `now` is the time on the host's clock. A time before the latest one is taken as the latest one.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let wakeup_interval = (WAKEUP_TICKS * self.settings.tick).max(1);
        if self.next_wakeup > 0 && now > self.next_wakeup + STALL_WAKEUPS * wakeup_interval {
            self.resume_after_stall(now, wakeup_interval, actions);
        }
        self.now = self.now.max(now);
        let is_early_timer = matches!(event, Event::Timer(_)) && self.now < self.next_wakeup;
        if is_early_timer {
            return;
        }
        self.handle_event(event, actions);
        if self.now >= self.next_wakeup {
            self.on_tick(actions);
            self.next_wakeup = self.now + wakeup_interval;
            actions.push(Action::SetTimer { delay: wakeup_interval, token: 0 });
        }
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::AttemptFinished {
                id,
                attempt,
                backend,
                outcome,
                answered,
                elapsed,
                charged_units,
                report,
                ..
            } => {
                let finished = FinishedAttempt {
                    id,
                    attempt,
                    backend,
                    outcome,
                    answered,
                    elapsed,
                    charged_units,
                    report,
                };
                self.on_attempt_finished(&finished, actions);
            }
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, actions),
            Event::ClientCancelled(id) => self.close(id, actions),
            Event::GossipReceived { from, bytes } => self.on_gossip(from, &bytes, actions),
            Event::PeerReachability { peer, reachable } => self.on_reachability(peer, reachable),
            Event::Endpoints(update, list) => self.on_endpoints(update, list, actions),
            Event::Timer(_) | Event::HealthChecked { .. } | Event::CounterUpdated { .. } => {}
        }
    }

    /// Resumes after the process was stalled for several wake-ups. Requests whose deadline is too close by now are
    /// answered first. The next wake-up is postponed, so that events that arrived during the stall are handled before
    /// attempts and peers are checked for missing answers.
    fn resume_after_stall(&mut self, now: Micros, wakeup_interval: Micros, actions: &mut Vec<Action>) {
        let is_overdue = |request: &&InFlightRequest| {
            request.attempts.is_empty() && !self.has_time_to_wait(request.request.deadline, now)
        };
        let overdue: Vec<RequestId> =
            self.requests.values().filter(is_overdue).map(|request| request.request.id).collect();
        overdue.into_iter().for_each(|id| self.answer_unserved(id, actions));
        self.resumed_at = now;
        self.next_wakeup = now + wakeup_interval;
        actions.push(Action::SetTimer { delay: wakeup_interval, token: 0 });
    }

    /// Handles the start of a streamed answer: other attempts are cancelled, and the request is not hedged any more.
    fn on_first_byte(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if self.settings.limits.cancellation {
            request.cancel_attempts(Some(attempt), actions);
        }
        request.streaming = true;
    }

    /// Runs the periodic work: checks requests, sends queued ones, updates the alert, sends gossip and polls discovery.
    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        while let Some(Reverse((at, id))) = self.checks.peek().copied() {
            if at > self.now {
                break;
            }
            self.checks.pop();
            self.check(id, actions);
        }
        for id in std::mem::take(&mut self.queue) {
            if !self.give_up(id, actions) {
                self.queue.push_back(id);
            }
        }
        self.update_alert(actions);
        self.dispatch(actions);
        self.gossip_tick(actions);
        self.poll_discovery(actions);
    }

    fn check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_held = self.requests.get(&id).is_some_and(|request| request.awaiting_owner);
        if is_held {
            self.check_held(id, actions);
        } else {
            self.check_attempt(id, actions);
        }
    }
}
