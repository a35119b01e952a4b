//! Services of the gateway that answer late, on virtual time. Guards against calls that are given up after the same time again
//! and again, so that no answer ever arrives.

mod common;

use chalkgap::fleet::fetch_snapshot;
use chalkgap::peers::Key;
use chalkgap::runtime::simulated_runtime::{address, Cut, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap::runtime::{Micros, Shared};
use chalkgap::settings::{self, ListSource, Peers, Settings};
use chalkgap::Instance;
use chalkgap_testbed::journal::Journal;
use chalkgap_testbed::registry::Registry;
use std::net::SocketAddr;

const START: Micros = 1_800_000_000_000_000;
const SECOND: Micros = 1_000_000;
const REGISTRY: u32 = 1;
const GATEWAY: u32 = 2;
const TOOL: u32 = 3;

fn gateway_settings() -> Settings {
    let mut settings = common::settings();
    settings.front.listen = SocketAddr::new(address(GATEWAY), 8081);
    settings
}

/// Delays everything that host `from` sends to host `to`.
fn delay_link(simulation: &Simulation, from: u32, to: u32, delay: Micros) {
    simulation.set_link(from, to, Some(LinkFaults { delay: (delay, delay), ..DEFAULT_LINK }));
}

/// A registry whose connections and answers come late is followed within the time of its answers and one call that was given up.
#[test]
fn a_slow_registry_is_followed() {
    for delay in [0, SECOND * 3 / 10, SECOND * 19 / 10, 4 * SECOND, 6 * SECOND, 9 * SECOND] {
        let simulation = Simulation::new(1, START);
        let (registry_host, _registry_guard) = simulation.host(REGISTRY, 0);
        let (gateway_host, _gateway_guard) = simulation.host(GATEWAY, 0);
        delay_link(&simulation, REGISTRY, GATEWAY, delay);
        let completed = simulation.run(async move {
            let at = SocketAddr::new(address(REGISTRY), 7900);
            let registry = Registry::start(registry_host, at, Journal::default()).unwrap();
            let mut settings = gateway_settings();
            settings.nodes.source = ListSource::Roster { address: registry.address() };
            let runtime: Shared = gateway_host;
            let gateway = Instance::start(settings, runtime.clone()).await.unwrap();
            let started = runtime.now();
            while gateway.counts().lists == 0 {
                let elapsed = runtime.now() - started;
                assert!(elapsed < 60 * SECOND, "no list from a registry {delay} us away");
                runtime.sleep_until(runtime.now() + SECOND / 10).await;
            }
        });
        assert!(completed.is_some(), "the simulation did not complete");
    }
}

/// After an outage in which connections hang, the list of a registry that answers at once arrives as soon as with calls that are
/// all given up after the shorter time: that time and the longest backoff.
#[test]
fn a_registry_that_was_down_is_followed_soon() {
    const ANSWER_TIMEOUT: Micros = 5 * SECOND;
    const MAX_BACKOFF: Micros = 5 * SECOND;
    const ALLOWANCE: Micros = SECOND / 5;
    for seed in 0..20 {
        let simulation = Simulation::new(seed, START);
        let (registry_host, _registry_guard) = simulation.host(REGISTRY, 0);
        let (gateway_host, _gateway_guard) = simulation.host(GATEWAY, 0);
        let links = simulation.clone();
        let completed = simulation.run(async move {
            let at = SocketAddr::new(address(REGISTRY), 7900);
            let registry = Registry::start(registry_host, at, Journal::default()).unwrap();
            let mut settings = gateway_settings();
            settings.nodes.source = ListSource::Roster { address: registry.address() };
            let runtime: Shared = gateway_host;
            let gateway = Instance::start(settings, runtime.clone()).await.unwrap();
            runtime.sleep_until(runtime.now() + SECOND).await;
            let silent = LinkFaults { cut: Some(Cut::Silent), ..DEFAULT_LINK };
            links.set_link(REGISTRY, GATEWAY, Some(silent));
            links.set_link(GATEWAY, REGISTRY, Some(silent));
            runtime.sleep_until(runtime.now() + 60 * SECOND + seed * 1_370_000).await;
            let lists = gateway.counts().lists;
            links.set_link(REGISTRY, GATEWAY, None);
            links.set_link(GATEWAY, REGISTRY, None);
            let up_at = runtime.now();
            while gateway.counts().lists == lists {
                let elapsed = runtime.now() - up_at;
                assert!(elapsed <= ANSWER_TIMEOUT + MAX_BACKOFF + ALLOWANCE, "seed {seed}: {elapsed} us");
                runtime.sleep_until(runtime.now() + SECOND / 20).await;
            }
        });
        assert!(completed.is_some(), "the simulation did not complete");
    }
}

/// `chalkgap fleet show` accepts the answer to any of its requests, which it repeats after 0.4 s.
#[test]
fn the_view_of_a_gateway_far_away_is_shown() {
    for round_trip in [0, SECOND * 3 / 10, SECOND / 2, SECOND, SECOND * 19 / 10] {
        let simulation = Simulation::new(1, START);
        let (gateway_host, _gateway_guard) = simulation.host(GATEWAY, 0);
        let (tool_host, _tool_guard) = simulation.host(TOOL, 0);
        delay_link(&simulation, GATEWAY, TOOL, round_trip / 2);
        delay_link(&simulation, TOOL, GATEWAY, round_trip / 2);
        let completed = simulation.run(async move {
            let listen = SocketAddr::new(address(GATEWAY), 7946);
            let key = "5a".repeat(32);
            let value = serde_json::json!({"listen": listen, "key": key, "view": {"seeds": [listen]}});
            let peers: Peers = settings::typed("test", "peers", value).unwrap();
            let mut settings = gateway_settings();
            settings.fleet.peers = Some(peers);
            let _gateway = Instance::start(settings, gateway_host).await.unwrap();
            let runtime: Shared = tool_host;
            let key = Key::parse(&key).unwrap();
            let snapshot = fetch_snapshot(&runtime, key, listen).await;
            assert_eq!(snapshot.unwrap_or_else(|error| panic!("{round_trip} us: {error}")).member_count, 1);
        });
        assert!(completed.is_some(), "the simulation did not complete");
    }
}
