//! The fleet views of ingresses in the simulated runtime, in fleets that are larger than one machine could run as processes.
//! The link faults are those that are used between real processes.

mod common;

use chalkgap::fleet::FleetSnapshot;
use chalkgap::runtime::simulated_runtime::{address, Cut, HostGuard, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap::runtime::{Micros, Runtime};
use chalkgap::settings::{self, Peers, Settings};
use chalkgap::Instance;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;

fn peer_address(n: u16) -> SocketAddr {
    SocketAddr::new(address(u32::from(n) + 1), 7946)
}

fn ingress_settings(me: u16, fleet_size: u16) -> Settings {
    let mut settings = common::settings();
    settings.front.listen = SocketAddr::new(address(u32::from(me) + 1), 8081);
    settings.fleet.me = me;
    settings.fleet.ingresses = fleet_size;
    settings.fleet.tick_us = 50_000;
    let seeds: Vec<SocketAddr> = (0..3).map(peer_address).collect();
    let value =
        serde_json::json!({"listen": peer_address(me), "key": "5a".repeat(32), "view": {"seeds": seeds}});
    let peers: Peers = settings::typed("test", "peers", value).unwrap();
    settings.fleet.peers = Some(peers);
    settings
}

/// The running ingresses of a fleet in one simulation.
struct Fleet {
    simulation: Simulation,
    size: u16,
    running: BTreeMap<u16, (Instance, HostGuard)>,
    /// A host without an ingress, which keeps the test's time.
    clock: std::sync::Arc<chalkgap::runtime::simulated_runtime::Host>,
    _clock_guard: HostGuard,
}

impl Fleet {
    async fn start(simulation: Simulation, count: u16) -> Fleet {
        let (clock, clock_guard) = simulation.host(0, 0);
        let mut fleet =
            Fleet { simulation, size: count, running: BTreeMap::new(), clock, _clock_guard: clock_guard };
        for n in 0..count {
            fleet.start_ingress(n).await;
        }
        fleet
    }

    async fn start_ingress(&mut self, n: u16) {
        let (host, guard) = self.simulation.host(u32::from(n) + 1, 0);
        let instance = Instance::start(ingress_settings(n, self.size), host).await.unwrap();
        self.running.insert(n, (instance, guard));
    }

    fn kill(&mut self, n: u16) {
        if let Some((instance, mut guard)) = self.running.remove(&n) {
            guard.kill();
            drop(instance);
        }
    }

    fn views(&self) -> Vec<FleetSnapshot> {
        self.running.values().map(|(instance, _)| instance.fleet().expect("a fleet view")).collect()
    }

    /// Waits until `condition` holds for the views of all running ingresses, checking every 0.1 s. Returns how long that took;
    /// `None` if it does not hold within `timeout`.
    async fn wait_until(
        &self,
        timeout: Micros,
        condition: impl Fn(&[FleetSnapshot]) -> bool,
    ) -> Option<Micros> {
        let started = self.clock.now();
        while self.clock.now() < started + timeout {
            if condition(&self.views()) {
                return Some(self.clock.now() - started);
            }
            self.clock.sleep_until(self.clock.now() + SECOND / 10).await;
        }
        None
    }

    /// Sets the faults of the links between all pairs of ingresses that `affected` selects; `None` restores the default.
    fn set_link_faults(&self, faults: Option<LinkFaults>, affected: impl Fn(u16, u16) -> bool) {
        let all = || 0..self.size;
        for (a, b) in all().flat_map(|a| all().map(move |b| (a, b))).filter(|(a, b)| affected(*a, *b)) {
            self.simulation.set_link(u32::from(a) + 1, u32::from(b) + 1, faults);
        }
    }
}

/// Whether all views have `member_count` members and are the same.
fn agreed(views: &[FleetSnapshot], member_count: u16) -> bool {
    views.iter().all(|v| {
        v.member_count == member_count && v.digest == views[0].digest && v.version == views[0].version
    })
}

/// A fleet starts at once, one ingress is killed and restarted, and a partition splits the fleet in halves and heals.
fn kill_restart_and_partition(count: u16) {
    let simulation = Simulation::new(u64::from(count), 1_800_000_000 * SECOND);
    simulation.set_default_link(LinkFaults { loss: 0.02, delay: (500, 8000), ..DEFAULT_LINK });
    let fleet_simulation = simulation.clone();
    let completed = simulation.run(async move {
        let mut fleet = Fleet::start(fleet_simulation, count).await;
        let converged =
            fleet.wait_until(60 * SECOND, |views| agreed(views, count)).await.expect("all views agree");
        let max_detection_time = fleet.views()[0].max_detection_time;
        let started = fleet.clock.now();
        fleet.kill(count / 2);
        let kill_detected = fleet
            .wait_until(max_detection_time, |views| views.iter().all(|v| v.member_count == count - 1))
            .await;
        let kill_detected =
            kill_detected.unwrap_or_else(|| panic!("kill not detected within {max_detection_time} us"));
        fleet.start_ingress(count / 2).await;
        let rejoined = fleet
            .wait_until(30 * SECOND, |views| agreed(views, count))
            .await
            .expect("the restarted ingress is in all views");
        let silent_cut = LinkFaults { cut: Some(Cut::Silent), ..DEFAULT_LINK };
        fleet.set_link_faults(Some(silent_cut), |a, b| (a < count / 2) != (b < count / 2));
        let timeout = 2 * max_detection_time + u64::from(count) * SECOND / 8;
        let partition_detected = fleet
            .wait_until(timeout, |views| views.iter().all(|v| v.partition_status == "cut off"))
            .await
            .expect("all report the partition");
        fleet
            .wait_until(timeout, |views| views.iter().all(|v| v.member_count == count / 2))
            .await
            .expect("each view has the members of its side of the partition");
        fleet.set_link_faults(None, |_, _| true);
        let healed =
            fleet.wait_until(60 * SECOND, |views| agreed(views, count)).await.expect("all views agree again");
        let seconds = |micros: Micros| micros as f64 / 1e6;
        println!(
            "{count} ingresses: converged {:.1} s, kill detected {:.1} of {:.1} s, rejoined {:.1} s, \
             partition detected {:.1} s, healed {:.1} s, total {:.0} s",
            seconds(converged),
            seconds(kill_detected),
            seconds(max_detection_time),
            seconds(rejoined),
            seconds(partition_detected),
            seconds(healed),
            seconds(fleet.clock.now() - started)
        );
    });
    assert!(completed.is_some(), "the simulation did not complete");
}

#[test]
fn twenty_four_ingresses_detect_a_kill_and_a_partition_and_converge() {
    kill_restart_and_partition(24);
}

/// For measurements; takes minutes in an unoptimised build.
#[test]
#[ignore = "takes minutes; the test with 24 ingresses runs the same code"]
fn three_hundred_ingresses_detect_a_kill_and_a_partition_and_converge() {
    kill_restart_and_partition(300);
}
