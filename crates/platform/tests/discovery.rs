//! The discovery follower in the simulated runtime: how long a change takes to reach the driver in each situation, compared with
//! its bound, and how many requests the agent gets.

use async_channel::{Receiver, Sender};
use chalkgap::frontend::DriverEvent;
use chalkgap_core::{Availability, Discovery};
use chalkgap_platform::discovery::{DiscoveryFollower, DiscoveryTimeouts};
use chalkgap_platform::endpoint_list::backend_id;
use chalkgap_platform::endpoint_set::EndpointSet;
use chalkgap_platform::request::ForwardedCommand;
use chalkgap_runtime::simulated_runtime::{address, HostGuard, Simulation};
use chalkgap_runtime::{Micros, Runtime, Shared, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

const START: Micros = 1_800_000_000_000_000;
/// The drain grace, from which the follower derives its timeouts.
const DRAIN_GRACE: Micros = 2_000_000;
/// Allowance for connecting and for sending data. Links of the simulation delay by 0.3 ms at most.
const NETWORK_ALLOWANCE: Micros = 5_000;
/// Longest time that a polled service may delay a request, as the platform documents it.
const MAX_POLL_WAIT: Micros = 2_000_000;
/// Interval at which the agent checks for changes to send.
const CHECK_INTERVAL: Micros = 10_000;

/// How the agent responds to requests.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Healthy,
    /// It accepts connections and never sends anything on them.
    Unresponsive,
    /// It omits the last bracket of each list and sends empty lines after it.
    Truncating,
    /// A polled service during an outage: it rejects each request after [`MAX_POLL_WAIT`].
    Rejecting,
}

struct Agent {
    version: u64,
    behaviour: Behaviour,
    indent: bool,
    /// Watches that were opened in an earlier generation stay open, and nothing more is sent on them.
    generation: u64,
    /// Number of further requests that are accepted and never answered.
    ignore_next: usize,
    /// Number of further requests that are rejected at once.
    reject_next: usize,
    /// Number of requests for the complete list.
    list_requests: usize,
    /// Number of requests for a watch.
    watch_requests: usize,
    /// Time that a request takes. Requests are served one after another.
    service_time: Micros,
    /// Time at which the requests that wait have been served.
    queue_end: Micros,
}

#[derive(Clone)]
struct AgentHandle(Arc<Mutex<Agent>>);

impl AgentHandle {
    fn lock(&self) -> MutexGuard<'_, Agent> {
        self.0.lock().unwrap()
    }

    /// Encodes a list with one backend, which is named after the version.
    fn list(&self, complete: bool) -> String {
        let agent = self.lock();
        let name = format!("s-{}", agent.version);
        let host = serde_json::json!({"host": name, "dial": "10.0.0.9:1", "health": "ready"});
        let list = serde_json::json!({"seq": agent.version, "whole": complete, "hosts": [host]});
        let text = if agent.indent { serde_json::to_string_pretty(&list).unwrap() } else { list.to_string() };
        let length = text.len() - usize::from(agent.behaviour == Behaviour::Truncating);
        text[..length].to_owned() + "\n"
    }

    /// Serves one request.
    #[expect(clippy::too_many_lines, reason = "one scenario in its order")]
    async fn serve(self, runtime: Shared, mut stream: Box<dyn Stream>) {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await.is_ok_and(|n| n > 0) {
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let watch = head.contains("watch=1");
        let known_version = head
            .split("from=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse().ok())
            .unwrap_or(u64::MAX);
        let (generation, mut version) = {
            let mut agent = self.lock();
            let ignored = agent.behaviour == Behaviour::Unresponsive || agent.ignore_next > 0;
            agent.ignore_next = agent.ignore_next.saturating_sub(1);
            *if watch { &mut agent.watch_requests } else { &mut agent.list_requests } += 1;
            (if ignored { u64::MAX } else { agent.generation }, agent.version)
        };
        if generation == u64::MAX {
            return future::pending().await;
        }
        let (rejected_late, rejected_at_once) = {
            let mut agent = self.lock();
            let rejected_at_once = agent.behaviour != Behaviour::Rejecting && agent.reject_next > 0;
            agent.reject_next -= usize::from(rejected_at_once);
            (agent.behaviour == Behaviour::Rejecting, rejected_at_once)
        };
        if rejected_late || rejected_at_once {
            runtime.sleep_until(runtime.now() + if rejected_late { MAX_POLL_WAIT } else { 0 }).await;
            let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
            return;
        }
        let served_at = {
            let mut agent = self.lock();
            agent.queue_end = agent.queue_end.max(runtime.now()) + agent.service_time;
            agent.queue_end
        };
        runtime.sleep_until(served_at).await;
        // A watch first sends the changes since the version that the client has.
        version = if watch { known_version.min(version) } else { version };
        if !watch {
            let text = self.list(true);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
            let _ = stream.write_all((head + &text).as_bytes()).await;
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
        let mut last_sent = runtime.now();
        loop {
            runtime.sleep_until(runtime.now() + CHECK_INTERVAL).await;
            if self.lock().generation != generation {
                return future::pending().await;
            }
            let changed = self.lock().version != version;
            let text = match changed {
                true => self.list(false),
                false if runtime.now() < last_sent + 2_000_000 => continue,
                false => "\n".to_owned(),
            };
            last_sent = runtime.now();
            version = self.lock().version;
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Starts a follower of the agent at `address` on host `host_number`. Returns its runtime, the guard of the host, the sender of
/// new agent addresses, and the receiver of its events.
fn start_follower(
    simulation: &Simulation,
    host_number: u32,
    mode: Discovery,
    agent_address: SocketAddr,
) -> (Shared, HostGuard, Sender<SocketAddr>, Receiver<DriverEvent<ForwardedCommand>>) {
    let (host, guard) = simulation.host(host_number, 0);
    let runtime: Shared = host;
    let (address_changes, address_receiver) = async_channel::bounded(4);
    let (driver, events) = async_channel::bounded(64);
    let (first_list, _) = async_channel::bounded(1);
    let follower = DiscoveryFollower {
        runtime: runtime.clone(),
        endpoints: EndpointSet::new(Vec::new(), Vec::new()),
        address: agent_address,
        timeouts: DiscoveryTimeouts::new(DRAIN_GRACE, mode),
        driver,
        first_list,
    };
    let task = follower.run(address_receiver);
    runtime.spawn(Box::pin(task)).detach();
    (runtime, guard, address_changes, events)
}

/// Two agents and a follower of the first one, in a simulated network.
struct Fixture {
    runtime: Shared,
    simulation: Simulation,
    agents: Vec<(AgentHandle, SocketAddr)>,
    /// Senders of the further followers, which end when theirs is dropped.
    other_address_changes: Vec<Sender<SocketAddr>>,
    /// Sends a new agent address to the follower.
    address_changes: Sender<SocketAddr>,
    /// Events that the follower sends to its driver.
    events: Receiver<DriverEvent<ForwardedCommand>>,
    guards: Vec<HostGuard>,
}

impl Fixture {
    fn new(simulation: &Simulation, indent: bool, mode: Discovery) -> Fixture {
        let mut agents = Vec::new();
        let mut guards = Vec::new();
        for host_number in 1..=2 {
            let (host, guard) = simulation.host(host_number, 0);
            let agent = Agent {
                version: 1,
                behaviour: Behaviour::Healthy,
                indent,
                generation: 0,
                ignore_next: 0,
                reject_next: 0,
                list_requests: 0,
                watch_requests: 0,
                service_time: 0,
                queue_end: 0,
            };
            let handle = AgentHandle(Arc::new(Mutex::new(agent)));
            let agent_address = SocketAddr::new(address(host_number), 8500);
            let listener = host.listen(agent_address).unwrap();
            let runtime = host as Shared;
            let served = handle.clone();
            let task_runtime = runtime.clone();
            let serve = async move {
                while let Ok(stream) = listener.accept().await {
                    let task = served.clone().serve(task_runtime.clone(), stream);
                    task_runtime.spawn(Box::pin(task)).detach();
                }
            };
            runtime.spawn(Box::pin(serve)).detach();
            agents.push((handle, agent_address));
            guards.push(guard);
        }
        let (runtime, guard, address_changes, events) = start_follower(simulation, 3, mode, agents[0].1);
        guards.push(guard);
        Fixture {
            runtime,
            simulation: simulation.clone(),
            agents,
            other_address_changes: Vec::new(),
            address_changes,
            events,
            guards,
        }
    }

    /// Starts a further follower of the same agent, which polls. Returns the receiver of its events.
    fn add_polling_follower(&mut self, host_number: u32) -> Receiver<DriverEvent<ForwardedCommand>> {
        let (_, guard, address_changes, events) =
            start_follower(&self.simulation, host_number, Discovery::Poll, self.agents[0].1);
        self.guards.push(guard);
        self.other_address_changes.push(address_changes);
        events
    }

    fn agent(&self) -> MutexGuard<'_, Agent> {
        self.agents[0].0.lock()
    }

    async fn sleep(&self, span: Micros) {
        self.runtime.sleep_until(self.runtime.now() + span).await;
    }

    /// Stops sending on all open watches, and sets the behaviour for later requests.
    fn silence_watches(&self, behaviour: Behaviour) {
        let mut agent = self.agent();
        agent.generation += 1;
        agent.behaviour = behaviour;
    }

    /// Waits until the driver gets the list of this version. Returns how long that took.
    async fn wait_for_version(&self, version: u64) -> Micros {
        let started = self.runtime.now();
        let expected = backend_id(&format!("s-{version}"));
        let received = async {
            while let Ok(event) = self.events.recv().await {
                let DriverEvent::Endpoints { endpoints, .. } = event else { continue };
                if endpoints.iter().any(|(endpoint, _)| {
                    endpoint.backend == expected && endpoint.availability == Availability::Ready
                }) {
                    return self.runtime.now() - started;
                }
            }
            panic!("the follower has ended");
        };
        let timeout = async {
            self.sleep(60_000_000).await;
            panic!("version {version} did not reach the driver within 60 s");
        };
        future::or(received, timeout).await
    }
}

/// Runs a test with a follower that has version 1 and an open watch.
fn run_test<F: std::future::Future<Output = ()> + 'static>(
    seed: u64,
    indent: bool,
    test: impl FnOnce(Fixture) -> F + 'static,
) {
    run_test_in_mode(seed, indent, Discovery::Push, test);
}

/// Runs the same as [`run_test`] in either discovery mode.
fn run_test_in_mode<F: std::future::Future<Output = ()> + 'static>(
    seed: u64,
    indent: bool,
    mode: Discovery,
    test: impl FnOnce(Fixture) -> F + 'static,
) {
    let simulation = Simulation::new(seed, START);
    let fixture_simulation = simulation.clone();
    let completed = simulation.run(async move {
        let fixture = Fixture::new(&fixture_simulation, indent, mode);
        fixture.wait_for_version(1).await;
        fixture.sleep(1_000_000).await;
        test(fixture).await;
    });
    assert!(completed.is_some(), "the simulation did not complete");
}

/// Guards against a failure to decode indented lists: one ingress requested the complete list 161 times in six seconds, and no
/// change arrived by the watch.
#[test]
fn indented_changes_arrive_by_the_watch() {
    for indent in [false, true] {
        run_test(1, indent, |fixture| async move {
            for version in 2..10 {
                fixture.agent().version = version;
                let elapsed = fixture.wait_for_version(version).await;
                assert!(elapsed <= CHECK_INTERVAL + NETWORK_ALLOWANCE, "{elapsed} us");
                fixture.sleep(700_000).await;
            }
            let agent = fixture.agent();
            assert_eq!((agent.list_requests, agent.watch_requests), (1, 1));
        });
    }
}

/// Number of consecutive requests that hang after a watch has become silent.
const MAX_HANGING_REQUESTS: usize = 3;

/// A change that a silent watch does not deliver reaches the driver within 6 s of the silence, although up to three requests in a
/// row hang as well.
#[test]
fn a_silent_watch_delays_changes_by_less_than_six_seconds() {
    let mut worst = 0;
    for seed in 0..80 {
        let hanging = seed as usize % (MAX_HANGING_REQUESTS + 1);
        let elapsed = Arc::new(Mutex::new(0));
        let result = elapsed.clone();
        run_test(seed, seed % 3 == 0, move |fixture| async move {
            fixture.sleep(seed * 53_000).await;
            fixture.silence_watches(Behaviour::Healthy);
            fixture.agent().ignore_next = hanging;
            fixture.agent().version = 2;
            *result.lock().unwrap() = fixture.wait_for_version(2).await;
        });
        worst = worst.max(*elapsed.lock().unwrap());
    }
    let bound = 2_600_000
        + MAX_HANGING_REQUESTS as u64 * DiscoveryTimeouts::new(DRAIN_GRACE, Discovery::Push).call
        + 50_000
        + 100_000
        + 200_000
        + 250_000
        + NETWORK_ALLOWANCE;
    assert!(worst <= bound && bound < 6_000_000, "{worst} us, bound {bound}");
    assert!(worst > bound * 8 / 10, "the seeds do not come near the bound: {worst} us of {bound}");
}

/// Requests made during an outage are never answered. After the outage, the list must reach the driver well within the drain grace
/// of two seconds, after which no new request may be sent to a draining backend. With a backoff and a request timeout of up to one
/// second each, it took up to 2.0 s.
#[test]
fn after_an_outage_the_list_arrives_well_within_the_drain_grace() {
    let mut worst = 0;
    for seed in 0..60 {
        let elapsed = Arc::new(Mutex::new(0));
        let result = elapsed.clone();
        run_test(seed, false, move |fixture| async move {
            fixture.silence_watches(Behaviour::Unresponsive);
            fixture.sleep(8_000_000 + seed * 37_000).await;
            fixture.agent().version = 2;
            fixture.agent().behaviour = Behaviour::Healthy;
            *result.lock().unwrap() = fixture.wait_for_version(2).await;
            // Each request takes a second, and the backoff after it at least half of its nominal length.
            assert!(fixture.agent().list_requests < 14, "{} requests", fixture.agent().list_requests);
        });
        worst = worst.max(*elapsed.lock().unwrap());
    }
    let bound = DiscoveryTimeouts::new(DRAIN_GRACE, Discovery::Push).call
        + DiscoveryTimeouts::new(DRAIN_GRACE, Discovery::Push).max_backoff
        + NETWORK_ALLOWANCE;
    assert!(worst <= bound && bound < DRAIN_GRACE * 2 / 3, "{worst} us, bound {bound}");
    assert!(worst > bound / 2, "the seeds do not reach half of the bound: {worst} us of {bound}");
}

/// A polled service rejects requests during an outage after [`MAX_POLL_WAIT`]. After the outage it may reject the next request at
/// once, as all ingresses return together, and delay the one after that. The list still reaches the driver within 6 s.
#[test]
fn after_an_outage_a_polled_service_is_followed_within_six_seconds() {
    let mut worst = 0;
    let service_time = 2_000_000;
    for seed in 0..60 {
        let elapsed = Arc::new(Mutex::new(0));
        let result = elapsed.clone();
        run_test_in_mode(seed, false, Discovery::Poll, move |fixture| async move {
            fixture.silence_watches(Behaviour::Rejecting);
            fixture.sleep(8_000_000 + seed * 37_000).await;
            {
                let mut agent = fixture.agent();
                agent.version = 2;
                agent.behaviour = Behaviour::Healthy;
                agent.reject_next = 1;
                agent.service_time = service_time;
            }
            *result.lock().unwrap() = fixture.wait_for_version(2).await;
            // Each request takes at least two seconds.
            assert!(fixture.agent().watch_requests < 9, "{} requests", fixture.agent().watch_requests);
        });
        worst = worst.max(*elapsed.lock().unwrap());
    }
    let bound = MAX_POLL_WAIT
        + DiscoveryTimeouts::new(DRAIN_GRACE, Discovery::Poll).max_backoff
        + 1_000_000
        + service_time
        + CHECK_INTERVAL
        + 2 * NETWORK_ALLOWANCE;
    assert!(worst <= bound && bound < 6_000_000, "{worst} us, bound {bound}");
    assert!(worst > bound * 8 / 10, "the seeds do not come near the bound: {worst} us of {bound}");
}

/// A new agent address in the configuration is requested at once, whatever the old agent does.
#[test]
fn a_new_address_is_requested_at_once() {
    for behaviour in [Behaviour::Healthy, Behaviour::Unresponsive] {
        run_test(3, false, move |fixture| async move {
            fixture.silence_watches(behaviour);
            fixture.sleep(6_300_000).await;
            fixture.agents[1].0.lock().version = 5;
            fixture.address_changes.send(fixture.agents[1].1).await.unwrap();
            let elapsed = fixture.wait_for_version(5).await;
            assert!(elapsed <= NETWORK_ALLOWANCE, "{elapsed} us");
        });
    }
}

/// A list without its end is abandoned after the request timeout, although empty lines follow it, and is never applied.
#[test]
fn a_partial_list_is_abandoned_after_the_call_timeout() {
    run_test(4, true, |fixture| async move {
        fixture.agent().behaviour = Behaviour::Truncating;
        fixture.agent().version = 2;
        fixture.sleep(400_000).await;
        fixture.agent().behaviour = Behaviour::Healthy;
        let elapsed = fixture.wait_for_version(2).await;
        assert!(
            elapsed <= DiscoveryTimeouts::new(DRAIN_GRACE, Discovery::Push).call + 50_000 + NETWORK_ALLOWANCE,
            "{elapsed} us"
        );
        assert_eq!(fixture.agent().list_requests, 2, "the change arrives by a new list, not by the watch");
    });
}

/// A watch that is reset is opened again after the minimum backoff.
#[test]
fn a_reset_watch_is_opened_again_at_once() {
    run_test(5, false, |fixture| async move {
        let cut = Some(chalkgap_runtime::link_faults::Cut::Reset);
        let usual_link = chalkgap_runtime::simulated_runtime::DEFAULT_LINK;
        fixture.simulation.set_link(
            1,
            3,
            Some(chalkgap_runtime::link_faults::LinkFaults { cut, ..usual_link }),
        );
        fixture.simulation.set_link(1, 3, None);
        fixture.agent().version = 2;
        let elapsed = fixture.wait_for_version(2).await;
        assert!(elapsed <= 50_000 + NETWORK_ALLOWANCE, "{elapsed} us");
    });
}

/// Changes need a complete list to apply to. Until there is one, the follower requests the complete list and no watch.
#[test]
fn changes_are_not_watched_before_a_complete_list() {
    let simulation = Simulation::new(9, START);
    let fixture_simulation = simulation.clone();
    let completed = simulation.run(async move {
        let mut fixture = Fixture::new(&fixture_simulation, false, Discovery::Poll);
        {
            let mut agent = fixture.agent();
            agent.ignore_next = 2;
            agent.version = 3;
        }
        let events = fixture.add_polling_follower(4);
        fixture.events = events;
        fixture.wait_for_version(3).await;
        let agent = fixture.agent();
        assert!(agent.list_requests >= 3, "{} requests for the complete list", agent.list_requests);
    });
    assert!(completed.is_some(), "the simulation did not complete");
}

/// A polled service serves requests one after another. If all followers lose their watches together, each sends one request and
/// waits for its response. Requests that are abandoned and sent again add work for the service: with a timeout of 0.75 s and two
/// requests from each, the last of six followers got the list after more than 7 s.
#[test]
fn a_polled_service_gets_one_request_from_each_follower() {
    let simulation = Simulation::new(7, START);
    let fixture_simulation = simulation.clone();
    let completed = simulation.run(async move {
        let mut fixture = Fixture::new(&fixture_simulation, false, Discovery::Poll);
        let mut others = Vec::new();
        for host_number in 4..9 {
            others.push(fixture.add_polling_follower(host_number));
        }
        fixture.wait_for_version(1).await;
        fixture.sleep(3_000_000).await;
        {
            let mut agent = fixture.agent();
            agent.list_requests = 0;
            agent.watch_requests = 0;
            agent.service_time = 250_000;
        }
        fixture.silence_watches(Behaviour::Healthy);
        fixture.agent().version = 2;
        let started = fixture.runtime.now();
        let elapsed = fixture.wait_for_version(2).await;
        assert!(elapsed < 6_000_000, "{elapsed} us");
        for events in others {
            fixture.events = events;
            fixture.wait_for_version(2).await;
        }
        let last = fixture.runtime.now() - started;
        let bound = 2_600_000 + 6 * 250_000 + 250_000 + 6 * NETWORK_ALLOWANCE;
        assert!(
            last <= bound && bound < 6_000_000,
            "the last follower got the list after {last} us, bound {bound}"
        );
        let agent = fixture.agent();
        assert_eq!((agent.list_requests, agent.watch_requests), (0, 6));
    });
    assert!(completed.is_some(), "the simulation did not complete");
}
