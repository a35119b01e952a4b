//! The discovery follower in the simulated runtime: how long a change takes to reach the driver in each situation, compared with
//! its bound, and how many requests the agent gets. A discovery that answers late: `slow_discovery.rs`.

use chalkgap_core::Discovery;
use chalkgap_platform::discovery::DiscoveryTimeouts;
use chalkgap_runtime::simulated_runtime::Simulation;
use simulated_discovery::{
    run_test, run_test_in_mode, AnswerDelay, Behaviour, Fixture, CHECK_INTERVAL, DRAIN_GRACE, MAX_POLL_WAIT,
    NETWORK_ALLOWANCE, START,
};
use std::sync::{Arc, Mutex};

mod simulated_discovery;

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
        let polling = DiscoveryTimeouts::new(DRAIN_GRACE, Discovery::Poll);
        let mut fixture = Fixture::new(&fixture_simulation, false, polling, AnswerDelay::Fixed(0));
        {
            let mut agent = fixture.agent();
            agent.ignore_next = 2;
            agent.version = 3;
        }
        let updates = fixture.add_follower(4, polling);
        fixture.updates = updates;
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
        let polling = DiscoveryTimeouts::new(DRAIN_GRACE, Discovery::Poll);
        let mut fixture = Fixture::new(&fixture_simulation, false, polling, AnswerDelay::Fixed(0));
        let mut others = Vec::new();
        for host_number in 4..9 {
            others.push(fixture.add_follower(host_number, polling));
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
        for updates in others {
            fixture.updates = updates;
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
