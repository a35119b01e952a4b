//! New addresses of discovery in quick succession, in the simulated runtime: what discovery has told, or is about to tell, is used.

use chalkgap_core::Discovery;
use chalkgap_platform::discovery::DiscoveryTimeouts;
use chalkgap_runtime::simulated_runtime::Simulation;
use chalkgap_runtime::Micros;
use simulated_discovery::{
    run_test_in_mode, AnswerDelay, Behaviour, Fixture, CHECK_INTERVAL, DRAIN_GRACE, START,
};

mod simulated_discovery;

/// A change must be known this long after discovery had it and could be reached.
const MAX_NOTIFICATION: Micros = 6_000_000;
const MODES: [Discovery; 2] = [Discovery::Push, Discovery::Poll];
const SEEDS: u64 = 10;

/// Guards against a change that is recorded as applied, waits for a driver that is busy, and is dropped by a new address: the
/// driver never got it.
#[test]
fn a_new_address_does_not_drop_a_change_that_waits_for_the_driver() {
    for (mode, seed) in MODES.into_iter().flat_map(|mode| (0..SEEDS).map(move |seed| (mode, seed))) {
        run_test_in_mode(seed, false, mode, move |fixture| async move {
            // A follower of a polled service that has lost a watch begins with a watch from now on.
            fixture.reset_watches();
            fixture.sleep(1_000_000).await;
            fixture.change_to_version(2);
            fixture.sleep(2 * CHECK_INTERVAL + seed * 1000).await;
            fixture.address_changes.send(fixture.agents[1].1).await.unwrap();
            fixture.sleep(seed * 10_000).await;
            let elapsed = fixture.wait_for_version(2).await;
            assert!(elapsed <= MAX_NOTIFICATION, "{mode:?}, seed {seed}: {elapsed} us");
        });
    }
}

/// Guards against new addresses that come more often than discovery answers, each of which ends the calls of the one before: no
/// list arrives until the series ends.
#[test]
fn a_series_of_new_addresses_does_not_drop_the_answers_of_a_slow_discovery() {
    const MIN_ADDRESSES: Micros = 30;
    const MIN_DURATION: Micros = 10_000_000;
    // The interval, and the delay of answers: each arrives before the old address closes its connections. At the shortest interval
    // far more calls than are kept would be open.
    let series = [
        (50_000, 1_450_000),
        (300_000, 1_700_000),
        (500_000, 1_900_000),
        (1_000_000, 1_900_000),
        (1_400_000, 1_900_000),
        (1_800_000, 1_900_000),
        (1_990_000, 1_900_000),
    ];
    for (mode, (interval, delay)) in MODES.into_iter().flat_map(|mode| series.map(|series| (mode, series))) {
        for (seed, as_requested) in (0..SEEDS).flat_map(|seed| [(seed, false), (seed, true)]) {
            let simulation = Simulation::new(seed, START);
            let fixture_simulation = simulation.clone();
            let elapsed = simulation.run(async move {
                let timeouts = DiscoveryTimeouts::new(DRAIN_GRACE, mode);
                let delay = AnswerDelay::Fixed(delay);
                let mut fixture = Fixture::new(&fixture_simulation, false, timeouts, delay);
                fixture.add_agents(MIN_ADDRESSES.max(MIN_DURATION / interval) as usize);
                fixture.agents.iter().for_each(|(agent, _)| agent.lock().lists_as_requested = as_requested);
                fixture.wait_for_version(1).await;
                fixture.sleep(3_000_000).await;
                fixture.change_addresses(interval);
                fixture.sleep(2 * interval + 1_500_000 + seed * interval / SEEDS).await;
                fixture.change_to_version(2);
                fixture.wait_for_version(2).await
            });
            let elapsed = elapsed.expect("the simulation did not complete");
            assert!(
                elapsed <= MAX_NOTIFICATION,
                "{mode:?}, a new address each {interval} us, answers after {delay} us, seed {seed}, list as requested {as_requested}: {elapsed} us"
            );
        }
    }
}

/// Guards against a new address whose first call hangs and is waited for as long as the lists of the old address, which arrived only in
/// part, might have needed.
#[test]
fn lists_that_stall_at_the_old_address_do_not_delay_the_new_one() {
    /// What discovery has to tell counts as told this long after a new address.
    const MAX_ADDRESS_NOTIFICATION: Micros = 4_000_000;
    for seed in 0..SEEDS {
        run_test_in_mode(seed, false, Discovery::Push, move |fixture| async move {
            fixture.silence_watches(Behaviour::Stalling);
            fixture.sleep(30_000_000 + seed * 137_000).await;
            fixture.change_to_version(2);
            fixture.agents[1].0.lock().ignore_next = 1;
            fixture.address_changes.send(fixture.agents[1].1).await.unwrap();
            let elapsed = fixture.wait_for_version(2).await;
            assert!(elapsed <= MAX_ADDRESS_NOTIFICATION, "seed {seed}: {elapsed} us");
        });
    }
}

/// Returns the number of requests for lists and for watches that all agents got.
fn requests(fixture: &Fixture) -> (usize, usize) {
    let agents = fixture.agents.iter().map(|(agent, _)| agent.lock());
    agents.fold((0, 0), |sum, agent| (sum.0 + agent.list_requests, sum.1 + agent.watch_requests))
}

/// Guards against calls that the former address costs: one new address is as many calls as before former ones were listened to.
#[test]
fn a_new_address_costs_no_further_calls() {
    const SLOW: Micros = 1_900_000;
    // The delay of answers, whether the former address tells a change before the new one answers, and the requests for lists and
    // for watches.
    let cases = [
        (Discovery::Push, 0, false, (1, 1)),
        (Discovery::Push, SLOW, false, (3, 1)),
        (Discovery::Push, SLOW, true, (3, 1)),
        (Discovery::Poll, 0, false, (0, 1)),
        (Discovery::Poll, SLOW, false, (0, 1)),
        (Discovery::Poll, SLOW, true, (0, 1)),
    ];
    for (mode, delay, changes, expected) in cases {
        let simulation = Simulation::new(1, START);
        let fixture_simulation = simulation.clone();
        let counted = simulation.run(async move {
            let timeouts = DiscoveryTimeouts::new(DRAIN_GRACE, mode);
            let fixture = Fixture::new(&fixture_simulation, false, timeouts, AnswerDelay::Fixed(delay));
            fixture.agents.iter().for_each(|(agent, _)| agent.lock().lists_as_requested = true);
            fixture.wait_for_version(1).await;
            fixture.sleep(3_000_000).await;
            // A follower of a polled service that has lost a watch begins with a watch from now on.
            fixture.reset_watches();
            fixture.sleep(8_000_000).await;
            let before = requests(&fixture);
            fixture.address_changes.send(fixture.agents[1].1).await.unwrap();
            fixture.sleep(500_000).await;
            fixture.agent().retire();
            if changes {
                fixture.change_to_version(2);
            }
            fixture.sleep(20_000_000).await;
            let after = requests(&fixture);
            (after.0 - before.0, after.1 - before.1)
        });
        assert_eq!(
            counted,
            Some(expected),
            "{mode:?}, answers after {delay} us, a change meanwhile: {changes}"
        );
    }
}
