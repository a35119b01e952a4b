//! Whole ingresses with a view of their fleet, on the world without a system: the same faults as between processes, by
//! the same names, at sizes that no machine has room for.

mod common;

use chalkgap::fleet::FleetSnapshot;
use chalkgap::runtime::simulated_runtime::{address, Cut, HostGuard, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap::runtime::{Micros, Runtime};
use chalkgap::settings::{self, Peers, Settings};
use chalkgap::Instance;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;

fn at(n: u16) -> SocketAddr {
    SocketAddr::new(address(u32::from(n) + 1), 7946)
}

fn ingress(me: u16, most: u16) -> Settings {
    let mut s = common::settings();
    s.front.listen = SocketAddr::new(address(u32::from(me) + 1), 8081);
    (s.fleet.me, s.fleet.ingresses, s.fleet.tick_us) = (me, most, 50_000);
    let seeds: Vec<SocketAddr> = (0..3).map(at).collect();
    let value = serde_json::json!({"listen": at(me), "key": "5a".repeat(32), "view": {"seeds": seeds}});
    let peers: Peers = settings::typed("test", "peers", value).unwrap();
    s.fleet.peers = Some(peers);
    s
}

struct Fleet {
    world: Simulation,
    most: u16,
    here: BTreeMap<u16, (Instance, HostGuard)>,
    clock: std::sync::Arc<chalkgap::runtime::simulated_runtime::Host>,
    _on: HostGuard,
}

impl Fleet {
    async fn start(world: Simulation, count: u16) -> Fleet {
        let (clock, on) = world.host(0, 0);
        let mut fleet = Fleet { world, most: count, here: BTreeMap::new(), clock, _on: on };
        for n in 0..count {
            fleet.up(n).await;
        }
        fleet
    }

    async fn up(&mut self, n: u16) {
        let (host, power) = self.world.host(u32::from(n) + 1, 0);
        let instance = Instance::start(ingress(n, self.most), host).await.unwrap();
        self.here.insert(n, (instance, power));
    }

    fn kill(&mut self, n: u16) {
        if let Some((instance, mut power)) = self.here.remove(&n) {
            power.kill();
            drop(instance);
        }
    }

    fn views(&self) -> Vec<FleetSnapshot> {
        self.here.values().map(|i| i.0.fleet().expect("it has a view")).collect()
    }

    /// How long until something is so of all views.
    async fn until(&self, most: Micros, what: impl Fn(&[FleetSnapshot]) -> bool) -> Option<Micros> {
        let begun = self.clock.now();
        while self.clock.now() < begun + most {
            if what(&self.views()) {
                return Some(self.clock.now() - begun);
            }
            self.clock.sleep_until(self.clock.now() + SECOND / 10).await;
        }
        None
    }

    fn cut(&self, weather: Option<LinkFaults>, apart: impl Fn(u16, u16) -> bool) {
        let all = || 0..self.most;
        for (a, b) in all().flat_map(|a| all().map(move |b| (a, b))).filter(|(a, b)| apart(*a, *b)) {
            self.world.set_link(u32::from(a) + 1, u32::from(b) + 1, weather);
        }
    }
}

fn agreed(views: &[FleetSnapshot], member_count: u16) -> bool {
    views.iter().all(|v| {
        v.member_count == member_count && v.digest == views[0].digest && v.version == views[0].version
    })
}

/// A fleet that starts at once, loses one to a kill and has it back, is cut in halves, and meets again.
fn a_bad_quarter_of_an_hour(count: u16) {
    let world = Simulation::new(u64::from(count), 1_800_000_000 * SECOND);
    world.set_default_link(LinkFaults { loss: 0.02, delay: (500, 8000), ..DEFAULT_LINK });
    let inside = world.clone();
    let ended = world.run(async move {
        let mut fleet = Fleet::start(inside, count).await;
        let met = fleet.until(60 * SECOND, |v| agreed(v, count)).await.expect("all meet");
        let late = fleet.views()[0].max_detection_time;
        let begun = fleet.clock.now();
        fleet.kill(count / 2);
        let known = fleet.until(late, |v| v.iter().all(|v| v.member_count == count - 1)).await;
        let known = known.unwrap_or_else(|| panic!("not within {late}"));
        fleet.up(count / 2).await;
        let back = fleet.until(30 * SECOND, |v| agreed(v, count)).await.expect("it is back");
        let silent = LinkFaults { cut: Some(Cut::Silent), ..DEFAULT_LINK };
        fleet.cut(Some(silent), |a, b| (a < count / 2) != (b < count / 2));
        let most = 2 * late + u64::from(count) * SECOND / 8;
        let apart = fleet.until(most, |v| v.iter().all(|v| v.partition_status == "cut off")).await.expect("all know");
        fleet.until(most, |v| v.iter().all(|v| v.member_count == count / 2)).await.expect("each has its half");
        fleet.cut(None, |_, _| true);
        let healed = fleet.until(60 * SECOND, |v| agreed(v, count)).await.expect("they meet again");
        let seconds = |t: Micros| t as f64 / 1e6;
        println!(
            "{count} ingresses: met {:.1} s, death known {:.1} of {:.1} s, back {:.1} s, cut known {:.1} s, healed {:.1} s, in {:.0} s",
            seconds(met), seconds(known), seconds(late), seconds(back), seconds(apart), seconds(healed),
            seconds(fleet.clock.now() - begun)
        );
    });
    assert!(ended.is_some(), "it came to its end");
}

#[test]
fn twenty_four_ingresses_lose_one_are_cut_and_meet() {
    a_bad_quarter_of_an_hour(24);
}

/// For measurements: some minutes unoptimised.
#[test]
#[ignore = "long; the twenty-four of the test before are the same code"]
fn three_hundred_ingresses_lose_one_are_cut_and_meet() {
    a_bad_quarter_of_an_hour(300);
}
