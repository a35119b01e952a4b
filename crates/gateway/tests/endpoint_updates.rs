//! The way of endpoint lists from discovery to the driver.

use chalkgap::frontend::{
    endpoint_updates, Customer, Driver, DriverEvent, DriverLimits, EndpointPublisher, EndpointUpdates,
    OutboundAttempt, PendingRequest, Upstream,
};
use chalkgap::runtime::simulated_runtime::Simulation;
use chalkgap::runtime::{Micros, Shared};
use chalkgap::telemetry::Telemetry;
use chalkgap_core::{
    Availability, BackendId, CustomerId, Endpoint, EndpointUpdate, Gateway, Plan, RequestClass, RequestId,
    RetrySafety, Settings,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const START: Micros = 1_800_000_000_000_000;
/// Number of requests that wait in the driver's queue: the capacity on the platform.
const QUEUED_REQUESTS: u64 = 1024;
const KEPT: BackendId = BackendId(1);
const DRAINED: BackendId = BackendId(2);

fn entry(backend: BackendId, availability: Availability, started_at: Micros) -> (Endpoint, SocketAddr) {
    let endpoint = Endpoint { backend, availability, started_at, weight: 1.0, ..Endpoint::default() };
    (endpoint, SocketAddr::from(([127, 0, 0, 1], backend.0 as u16)))
}

fn published(publish: impl FnOnce(&EndpointPublisher)) -> EndpointUpdates {
    let (host, _guard) = Simulation::new(1, START).host(1, 0);
    let (publisher, updates) = endpoint_updates(host);
    publish(&publisher);
    updates
}

/// Returns the entries of the pending update by backend, without those whose backend is gone.
fn entries(updates: &EndpointUpdates) -> (EndpointUpdate, Vec<(u64, Availability, Micros)>) {
    let pending = updates.take().expect("a pending update");
    let mut entries: Vec<_> = pending
        .endpoints
        .iter()
        .map(|(endpoint, _)| (endpoint.backend.0, endpoint.availability, endpoint.started_at))
        .collect();
    entries.sort_unstable_by_key(|entry| entry.0);
    (pending.update, entries)
}

/// Guards against an update that is lost because the driver had not taken the one before it.
#[test]
fn updates_that_the_driver_has_not_taken_are_merged() {
    use Availability::{Draining, Gone, Ready};
    let changes_of_a_list = published(|publisher| {
        publisher.publish(EndpointUpdate::Cached, vec![entry(KEPT, Draining, 5)]);
        let list = vec![entry(KEPT, Ready, 0), entry(DRAINED, Ready, 0), entry(BackendId(3), Ready, 0)];
        publisher.publish(EndpointUpdate::Snapshot, list);
        publisher
            .publish(EndpointUpdate::Delta, vec![entry(DRAINED, Draining, 0), entry(BackendId(4), Ready, 9)]);
        publisher.publish(EndpointUpdate::Delta, vec![entry(BackendId(3), Gone, 0)]);
        publisher.publish(EndpointUpdate::Delta, vec![entry(BackendId(3), Ready, 8)]);
    });
    let expected = vec![(1, Ready, 0), (2, Draining, 0), (3, Ready, 8), (4, Ready, 9)];
    assert_eq!(entries(&changes_of_a_list), (EndpointUpdate::Snapshot, expected));
    assert!(changes_of_a_list.take().is_none(), "the update is taken once");

    let changes = published(|publisher| {
        publisher.publish(EndpointUpdate::Delta, vec![entry(DRAINED, Draining, 0)]);
        publisher.publish(EndpointUpdate::Failed, Vec::new());
        publisher.publish(EndpointUpdate::Delta, vec![entry(DRAINED, Gone, 0)]);
    });
    assert_eq!(entries(&changes), (EndpointUpdate::Delta, vec![(2, Gone, 0)]));

    let newer_list = published(|publisher| {
        publisher.publish(EndpointUpdate::Delta, vec![entry(DRAINED, Draining, 0)]);
        publisher.publish(EndpointUpdate::Snapshot, vec![entry(KEPT, Ready, 0)]);
    });
    assert_eq!(entries(&newer_list), (EndpointUpdate::Snapshot, vec![(1, Ready, 0)]));
}

/// Connections that record the backend of each attempt.
struct RecordingUpstream(Arc<Mutex<Vec<BackendId>>>);

impl Upstream for RecordingUpstream {
    type Work = ();

    fn start(&mut self, backend: BackendId, _: SocketAddr, _: OutboundAttempt<()>) -> Option<u64> {
        self.0.lock().unwrap().push(backend);
        Some(backend.0)
    }

    fn cancel(&mut self, _: u64, _: RequestId, _: u16) {}
    fn cancel_unsent(&mut self, _: u64, _: RequestId, _: u16) {}
    fn attempt_finished(&mut self, _: u64) {}
    fn retain(&mut self, _: &dyn Fn(BackendId) -> bool) {}
    fn close_idle(&mut self, _: BackendId) {}
}

fn core_settings() -> Settings {
    let plan = Plan {
        quota_rate: 0.0,
        quota_burst: 0.0,
        max_in_flight: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        priority_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_penalty: 1.0,
    };
    let class = RequestClass {
        latency_objective: 500_000,
        objective_per_work: 0.0,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        retry_safety: RetrySafety::Idempotent,
        streaming: false,
    };
    Settings { gateways: 1, tick: 4_000, classes: vec![class], plans: vec![plan], ..Settings::default() }
}

/// Guards against a drain that waits behind the requests in the driver's queue: each of them could still go to the drained backend.
#[test]
fn a_drain_is_applied_before_the_requests_in_the_queue() {
    let simulation = Simulation::new(1, START);
    let (host, _guard) = simulation.host(1, 0);
    let runtime: Shared = host;
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let recorded = attempts.clone();
    let completed = simulation.run(async move {
        let (queue, events) = async_channel::bounded(QUEUED_REQUESTS as usize);
        let (publisher, updates) = endpoint_updates(runtime.clone());
        let limits = DriverLimits {
            gateway_count: 1,
            self_id: 0,
            max_in_flight: 2 * QUEUED_REQUESTS as usize,
            rejection_retry_after: 0,
        };
        let core = Gateway::new(core_settings(), 42, runtime.now());
        let driver = Driver::new(
            runtime.clone(),
            limits,
            Arc::<Telemetry>::default(),
            core,
            RecordingUpstream(recorded),
            events,
        );
        let both = vec![entry(KEPT, Availability::Ready, 0), entry(DRAINED, Availability::Ready, 0)];
        publisher.publish(EndpointUpdate::Snapshot, both);
        runtime.spawn(Box::pin(driver.with_endpoint_updates(updates).run())).detach();
        runtime.sleep_until(runtime.now() + 100_000).await;

        let (response_sender, _responses) = async_channel::bounded(QUEUED_REQUESTS as usize);
        for id in 0..QUEUED_REQUESTS {
            let request = PendingRequest {
                id: RequestId(id),
                class: 0,
                account: String::new(),
                customer: Customer { id: CustomerId(id), plan: 0, first_gateway: 0.0, gateway_count: 1.0 },
                units: 1.0,
                deadline: runtime.now() + 2_000_000,
                work: (),
                response_sender: response_sender.clone(),
                token: 0,
            };
            queue.try_send(DriverEvent::Request(Box::new(request))).expect("room in the queue");
        }
        publisher.publish(EndpointUpdate::Delta, vec![entry(DRAINED, Availability::Draining, 0)]);
        runtime.sleep_until(runtime.now() + 1_000_000).await;
    });
    assert!(completed.is_some(), "the simulation did not complete");
    let attempts = attempts.lock().unwrap();
    let late = attempts.iter().filter(|backend| **backend == DRAINED).count();
    assert_eq!(late, 0, "attempts at the drained backend, of {}", attempts.len());
    assert!(!attempts.is_empty(), "no attempt was made");
}
