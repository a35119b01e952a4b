//! The endpoints that discovery lists, and the state that this gateway keeps for each of them.

use crate::concurrency::REJECTION_PRESSURE;
use crate::decay::decay_factor;
use crate::gossip::{endpoint_tag, Sample, MAX_CLASS, MAX_SAMPLES};
use crate::interface::{
    Action, Availability, BackendId, Discovery, Endpoint, EndpointUpdate, Micros, Outcome, Settings,
    WeightMeaning,
};
use crate::latency::LatencyBaseline;
use crate::outlier::{OutlierDetector, OWN_SAMPLE_WEIGHT, PEER_SAMPLE_WEIGHT};
use crate::random::unit_hash;
use crate::slow_start::warming_capacity;
use crate::{FleetSize, Gateway};
use std::collections::{BTreeMap, VecDeque};

/// Number of endpoints that a gateway of a large fleet sends most of its requests to. Each of them gets a request at
/// least every few seconds, so that connections stay open.
pub const PREFERRED_ENDPOINTS: usize = 32;
/// Weight of an answer in an endpoint's relative latency.
const RELATIVE_LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the relative latency in a large fleet, in seconds: answers are rare there.
const RELATIVE_LATENCY_TIME_CONSTANT: f64 = 2.0;
/// Maximum relative latency of one answer.
const MAX_RELATIVE_LATENCY_SAMPLE: f64 = 4.0;
/// Minimum of an endpoint's relative latency.
const MIN_RELATIVE_LATENCY: f64 = 0.3;
/// Weight of a failed connection in the failure rate of its zone; a successful connection has the weight 1.
const ZONE_FAILURE_WEIGHT: f64 = 0.3;
/// Maximum queue that an endpoint may report; longer ones count as this.
const MAX_REPORTED_QUEUE: f64 = 1_000.0;
/// Number of polls of discovery within the longest interval that the deployment allows.
const POLLS_PER_INTERVAL: u64 = 2;
/// Number of polls of discovery within the longest interval while polls fail.
const RETRIES_PER_INTERVAL: u64 = 8;

/// The state of an endpoint at this gateway.
#[derive(Default)]
pub struct EndpointState {
    /// Its latest entry in the list of endpoints.
    pub endpoint: Endpoint,
    /// Its weight in load balancing: its capacity, or 1 if the list gives none.
    pub weight: f64,
    /// Whether it accepts new attempts.
    pub ready: bool,
    /// Number of attempts in flight from this gateway.
    pub in_flight: u32,
    /// Mean of its latencies, each divided by the recent latency of its class; 1 is as fast as the other endpoints.
    pub relative_latency: f64,
    relative_latency_at: Micros,
    /// One outlier detector per request class: an endpoint may fail for one class only.
    pub outlier_detectors: Vec<OutlierDetector>,
    /// Number of requests in its queue, as last reported.
    pub queued: f64,
    /// When the queue was last reported.
    pub queued_at: Micros,
    /// Start times of recent attempts, oldest first.
    pub recent_sends: VecDeque<Micros>,
}

impl EndpointState {
    /// Adds the latency of an answer. `elapsed` is that latency and `expected` the recent latency of its class, both in
    /// microseconds.
    fn record_latency(&mut self, now: Micros, elapsed: f64, expected: f64, fleet_size: FleetSize) {
        let weight = match fleet_size {
            FleetSize::Small => RELATIVE_LATENCY_SAMPLE_WEIGHT,
            FleetSize::Large => {
                let decay = decay_factor(self.relative_latency_at, now, RELATIVE_LATENCY_TIME_CONSTANT);
                (1.0 - decay).max(RELATIVE_LATENCY_SAMPLE_WEIGHT)
            }
        };
        let sample = (elapsed / expected.max(1.0)).min(MAX_RELATIVE_LATENCY_SAMPLE);
        let updated = self.relative_latency + weight * (sample - self.relative_latency);
        self.relative_latency = updated.max(MIN_RELATIVE_LATENCY);
        self.relative_latency_at = now;
    }

    /// Records an attempt that starts now, and drops the start times that are more than `window` ago.
    pub fn record_send(&mut self, now: Micros, window: Micros) {
        self.in_flight += 1;
        while self.recent_sends.front().is_some_and(|sent_at| *sent_at + window <= now) {
            self.recent_sends.pop_front();
        }
        self.recent_sends.push_back(now);
    }

    /// Applies a new entry of the list. If the endpoint's process has restarted, its latency, failures and queue are
    /// reset.
    fn update(&mut self, endpoint: Endpoint, settings: &Settings) {
        if self.outlier_detectors.is_empty() || endpoint.started_at != self.endpoint.started_at {
            self.relative_latency = 1.0;
            self.outlier_detectors = vec![OutlierDetector::default(); settings.classes.len()];
            self.queued = 0.0;
        }
        let has_capacity = settings.weight_meaning == WeightMeaning::Capacity
            && endpoint.weight.is_finite()
            && endpoint.weight > 0.0;
        self.weight = if has_capacity { endpoint.weight } else { 1.0 };
        self.ready = endpoint.availability == Availability::Ready;
        self.endpoint = endpoint;
    }
}

/// All endpoints that are listed or still have attempts in flight.
#[derive(Default)]
pub struct Endpoints {
    /// Endpoint states by id.
    pub states: BTreeMap<BackendId, EndpointState>,
    /// Ready endpoints, in an order specific to this gateway, so that gateways prefer different endpoints.
    pub sampling_order: Vec<BackendId>,
    /// Preferred endpoints that started recently.
    pub warming_up: Vec<BackendId>,
    /// Sum of the weights of the ready endpoints.
    pub ready_weight: f64,
    /// Failure rate of the connections to each zone.
    pub zones: BTreeMap<u8, OutlierDetector>,
    /// Ready endpoints by the tag that gossip uses for them.
    by_tag: BTreeMap<u32, BackendId>,
}

impl Endpoints {
    /// Returns the ready endpoint with a tag.
    pub fn by_tag(&self, tag: u32) -> Option<BackendId> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the failure rate of connections to a zone, all of whose endpoints may be cut off at once.
    pub fn zone_failure_rate(&self, zone: u8, now: Micros) -> f64 {
        self.zones.get(&zone).map_or(0.0, |detector| detector.failure_rate(now))
    }

    /// Applies a full list or a delta. A full list removes the endpoints that it does not contain.
    fn apply(&mut self, update: EndpointUpdate, list: Vec<Endpoint>, settings: &Settings) {
        if update != EndpointUpdate::Delta {
            self.states.values_mut().for_each(|state| state.ready = false);
        }
        for endpoint in list {
            self.states.entry(endpoint.backend).or_default().update(endpoint, settings);
        }
        self.states.retain(|_, state| state.ready || state.in_flight > 0);
        let ready: Vec<&EndpointState> = self.states.values().filter(|state| state.ready).collect();
        self.ready_weight = ready.iter().map(|state| state.weight).sum();
        let ids: Vec<BackendId> = ready.iter().map(|state| state.endpoint.backend).collect();
        self.by_tag = ids.iter().map(|id| (endpoint_tag(id.0), *id)).collect();
        let rank = |id: &BackendId| unit_hash(id.0 ^ u64::from(settings.self_id.0) << 48);
        self.sampling_order = ids;
        self.sampling_order.sort_by(|left, right| rank(left).total_cmp(&rank(right)));
    }

    /// Determines which of the preferred endpoints are warming up.
    fn find_warming_up(&mut self, now: Micros, settings: &Settings) {
        let states = &self.states;
        let is_warming_up = |id: &&BackendId| {
            let state = states.get(*id);
            let capacity = state.and_then(|state| warming_capacity(&state.endpoint, &settings.rules, now));
            capacity.is_some_and(|capacity| capacity < 1.0)
        };
        let preferred = self.sampling_order.iter().take(PREFERRED_ENDPOINTS);
        self.warming_up = preferred.filter(is_warming_up).copied().collect();
    }
}

/// The result of an attempt: the latency of its answer, or a failure.
#[derive(Clone, Copy)]
pub(crate) enum AnswerSample {
    /// An answer, with its latency in microseconds.
    Answered(f64),
    /// An error, or no answer.
    Failed,
}

/// Which gateway made the attempt that a result belongs to.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum SampleSource {
    /// This gateway.
    Own,
    /// A peer, which reported the result by gossip.
    Peer,
}

impl Gateway {
    /// Handles a new list of endpoints, changes to it, or a failed call to discovery.
    pub(crate) fn on_endpoints(
        &mut self,
        update: EndpointUpdate,
        list: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if update == EndpointUpdate::Failed {
            let retry_at = self.now + (self.settings.rules.max_poll_interval / RETRIES_PER_INTERVAL).max(1);
            self.next_poll = self.next_poll.min(retry_at);
            return;
        }
        self.endpoints.apply(update, list, &self.settings);
        self.endpoints.find_warming_up(self.now, &self.settings);
        self.dispatch(actions);
    }

    /// Requests the list of endpoints when a poll is due, if discovery sends no updates by itself.
    pub(crate) fn poll_discovery(&mut self, actions: &mut Vec<Action>) {
        let must_poll = self.settings.discovery == Discovery::Poll;
        if must_poll && self.now >= self.next_poll {
            let interval = (self.settings.rules.max_poll_interval / POLLS_PER_INTERVAL).max(1);
            self.next_poll = self.now + interval;
            actions.push(Action::WatchEndpoints(true));
        }
    }

    /// Records the queue that an endpoint reported with an answer.
    pub(crate) fn record_queue(&mut self, backend: BackendId, queued: f64) {
        if let Some(state) = self.endpoints.states.get_mut(&backend) {
            state.queued = queued.clamp(0.0, MAX_REPORTED_QUEUE);
            state.queued_at = self.now;
        }
    }

    /// Records the outcome of an attempt of this gateway in the reachability of the zone, the health of the endpoint
    /// and the pressure. Outcomes that say nothing about the endpoint are ignored.
    pub(crate) fn record_outcome(
        &mut self,
        backend: BackendId,
        class: usize,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let Some(state) = self.endpoints.states.get_mut(&backend) else { return };
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut) {
            return;
        }
        let now = self.now;
        let failed = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        let connected = outcome != Outcome::ConnectFailed;
        let zone = self.endpoints.zones.entry(state.endpoint.zone).or_default();
        zone.record(now, !connected, if connected { 1.0 } else { ZONE_FAILURE_WEIGHT });
        let detector = &mut state.outlier_detectors[class];
        detector.last_answer_at = now;
        if outcome == Outcome::Rejected {
            // Its queue is full, and all gateways send to it: one more queued request is assumed for each gateway.
            state.queued += self.gateway_count as f64;
            return self.record_pressure(REJECTION_PRESSURE);
        }
        detector.update_ejection(now, failed);
        let sample = if failed { AnswerSample::Failed } else { AnswerSample::Answered(elapsed as f64) };
        self.record_answer(backend, class, sample, SampleSource::Own);
    }

    /// Adds a result to the endpoint's failure rate and latency, the class's latency baseline and the pressure. Results
    /// that peers report count as well, but do not eject an endpoint.
    pub(crate) fn record_answer(
        &mut self,
        backend: BackendId,
        class: usize,
        sample: AnswerSample,
        source: SampleSource,
    ) {
        let now = self.now;
        let objective = self.settings.classes[class].latency_objective.max(1) as f64;
        let Some(state) = self.endpoints.states.get_mut(&backend) else { return };
        let failed = matches!(sample, AnswerSample::Failed);
        let weight = if source == SampleSource::Own { OWN_SAMPLE_WEIGHT } else { PEER_SAMPLE_WEIGHT };
        state.outlier_detectors[class].record(now, failed, weight);
        if source == SampleSource::Own {
            self.queue_sample_for_peers(backend, class, sample, objective);
        }
        let AnswerSample::Answered(elapsed) = sample else { return };
        if now == self.resumed_at {
            return; // the process was stalled: the latency includes the stall
        }
        let Some(state) = self.endpoints.states.get_mut(&backend) else { return };
        let baseline: &mut LatencyBaseline = &mut self.latency_baselines[class];
        state.record_latency(now, elapsed, baseline.recent, self.fleet_size);
        baseline.record(now, elapsed, objective, self.fleet_size);
        let pressure = baseline.pressure_of(elapsed, objective, self.fleet_size);
        self.record_pressure(pressure);
    }

    /// Queues the result of an attempt for gossip. Only gateways of a large fleet send each other their latest results.
    fn queue_sample_for_peers(
        &mut self,
        backend: BackendId,
        class: usize,
        sample: AnswerSample,
        objective: f64,
    ) {
        if self.fleet_size == FleetSize::Small || class > MAX_CLASS {
            return;
        }
        let elapsed = match sample {
            AnswerSample::Answered(elapsed) => Some(elapsed / objective),
            AnswerSample::Failed => None,
        };
        let sample = Sample { tag: endpoint_tag(backend.0), class: class as u8, elapsed };
        self.samples.push_front((self.now, sample));
        self.samples.truncate(MAX_SAMPLES);
    }
}
