//! Services of the gateway that answer late, on virtual time. Guards against calls that are given up after the same time again
//! and again, so that no answer ever arrives.

mod common;

use chalkgap::runtime::simulated_runtime::{address, Cut, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap::runtime::{Micros, Shared};
use chalkgap::settings::{ListSource, Settings};
use chalkgap::Instance;
use chalkgap_testbed::journal::Journal;
use chalkgap_testbed::registry::Registry;
use std::net::SocketAddr;

const START: Micros = 1_800_000_000_000_000;
const SECOND: Micros = 1_000_000;
const REGISTRY: u32 = 1;
const GATEWAY: u32 = 2;

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
