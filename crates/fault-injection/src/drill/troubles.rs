//! Injects the troubles of a day.

use super::processes::{signal, IngressState};
use super::{io_error, lock, DrillError, DrillRun};
use crate::day::{Kind, Trouble};
use crate::fleet::FleetAction;
use chalkgap::runtime::Micros;
use chalkgap_testbed::client::Request;
use chalkgap_testbed::flood;
use chalkgap_testbed::journal::Seen;
use chalkgap_testbed::network::{Cut, LinkFaults, Party};
use chalkgap_testbed::node::Faults;
use chalkgap_testbed::registry::Registry;
use chalkgap_wire::roster;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Time in seconds from the removal of a node from the node list to its restart, in [`Kind::NodeRoll`].
const NODE_RESTART_SECONDS: f64 = 0.2;

impl DrillRun {
    /// Returns the numbers below `count` that a trouble affects: those that it lists, or a random share.
    fn affected(&self, trouble: &Trouble, count: usize, seed: u64) -> Vec<usize> {
        if !trouble.which.is_empty() {
            return trouble.which.iter().copied().filter(|n| *n < count).collect();
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all: Vec<usize> = (0..count).collect();
        let drawn = ((count as f64 * trouble.share).round() as usize).clamp(1, count.max(1));
        let mut list: Vec<usize> =
            (0..drawn.min(count)).map(|_| all.swap_remove(rng.random_range(0..all.len()))).collect();
        list.sort_unstable();
        // Logged so that a script can list the drawn numbers explicitly.
        tracing::info!(kind = ?trouble.kind, which = ?list, "drill: trouble targets drawn");
        list
    }

    /// Returns the ingress numbers and process ids of those ingresses that run in a separate process.
    fn pids(&self, list: &[usize]) -> Vec<(u16, u32)> {
        let slots = lock(&self.slots);
        let pid = |n: &usize| match &slots[*n].state {
            IngressState::Process(child) => Some((*n as u16, child.id())),
            _ => None,
        };
        list.iter().filter_map(pid).collect()
    }

    fn suspend(&self, n: u16, pid: u32) {
        self.record(FleetAction::Stop(n));
        signal(pid, Signal::STOP);
    }

    fn resume(&self, n: u16, pid: u32) {
        signal(pid, Signal::CONT);
        self.record(FleetAction::Go(n));
    }

    /// Records in the journal that processes were suspended from `begun` until now, during which answers may be late.
    fn record_stalls(&self, list: &[(u16, u32)], begun: Micros) {
        let until = self.runtime.now();
        list.iter().for_each(|(n, _)| self.journal.note(begun, Seen::Stalled { ingress: *n, until }));
    }

    /// Disturbs links for the duration of a trouble and records that, because views differ during that time.
    async fn disturb_links(&self, trouble: &Trouble, change: &(dyn Fn(&mut LinkFaults) + Sync)) {
        self.record(FleetAction::Rough(true));
        self.change_links(&self.affected_links(trouble), trouble.lasts, change).await;
        self.record(FleetAction::Rough(false));
    }

    /// Returns the directed links that a trouble affects.
    fn affected_links(&self, trouble: &Trouble) -> Vec<(Party, Party)> {
        let ingresses = 0..self.day.ingresses + self.day.reserve;
        let parts: Vec<Vec<u16>> = if trouble.parts.is_empty() {
            ingresses.map(|n| vec![n]).collect()
        } else {
            trouble.parts.clone()
        };
        let mut pairs = Vec::new();
        for (n, from) in parts.iter().enumerate() {
            let others = parts.iter().enumerate().filter(|o| o.0 != n).flat_map(|o| o.1);
            for to in others.filter(|_| n == 0 || !trouble.one_way) {
                pairs.extend(from.iter().map(|f| (Party::Ingress(*f), Party::Ingress(*to))));
            }
        }
        let services =
            trouble.nodes.iter().map(|n| Party::Node(*n)).chain(trouble.roster.then_some(Party::Registry));
        for service in services {
            for n in parts.first().into_iter().flatten() {
                pairs.push((Party::Ingress(*n), service));
                if !trouble.one_way {
                    pairs.push((service, Party::Ingress(*n)));
                }
            }
        }
        pairs
    }

    /// Changes the faults of links for a number of seconds.
    async fn change_links(
        &self,
        pairs: &[(Party, Party)],
        seconds: f64,
        change: &(dyn Fn(&mut LinkFaults) + Sync),
    ) {
        for (from, to) in pairs {
            let between = matches!((from, to), (Party::Ingress(_), Party::Ingress(_)));
            // Links between ingresses have the network's usual faults; streams to nodes and the registry have none.
            let mut faults = if between { self.network.default_faults() } else { LinkFaults::default() };
            change(&mut faults);
            self.network.set(*from, *to, Some(faults));
        }
        self.pause(seconds).await;
        pairs.iter().for_each(|(from, to)| self.network.set(*from, *to, None));
    }

    /// Injects a trouble, and ends it after its duration if it has one.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub(super) async fn run_trouble(
        self: &Arc<Self>,
        trouble: &Trouble,
        seed: u64,
    ) -> Result<(), DrillError> {
        tracing::info!(kind = ?trouble.kind, "drill: trouble begins");
        let ingresses = usize::from(self.day.ingresses);
        let nodes = lock(&self.nodes).len();
        let with_reserve = ingresses + usize::from(self.day.reserve);
        let set_faults = |set: &dyn Fn(&mut Faults)| {
            for n in self.affected(trouble, nodes, seed) {
                self.change_node(n, set);
            }
        };
        match trouble.kind {
            Kind::BalancerCrash | Kind::Kill => {
                let list = self.affected(trouble, with_reserve, seed);
                list.iter().for_each(|n| self.kill_ingress(*n as u16));
                self.pause(trouble.lasts).await;
                // `Kill` without a duration is permanent.
                let restart = trouble.kind == Kind::BalancerCrash || trouble.lasts > 0.0;
                for n in list.into_iter().filter(|_| restart) {
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::BalancerRoll => {
                for n in self.affected(trouble, ingresses, seed) {
                    self.drain_ingress(n as u16).await;
                    self.pause(trouble.lasts).await;
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::Hang => {
                set_faults(&|f| f.hang = true);
                self.pause(trouble.lasts).await;
                set_faults(&|f| f.hang = false);
            }
            Kind::Mute => {
                set_faults(&|f| f.mute = true);
                self.pause(trouble.lasts).await;
                set_faults(&|f| f.mute = false);
            }
            Kind::FastErrors => {
                set_faults(&|f| f.fail = trouble.strength);
                self.pause(trouble.lasts).await;
                set_faults(&|f| f.fail = 0.0);
            }
            Kind::ClassFail => {
                let class = trouble.group.clone();
                set_faults(&|f| (f.fail, f.fail_class) = (trouble.strength, class.clone()));
                self.pause(trouble.lasts).await;
                set_faults(&|f| (f.fail, f.fail_class) = (0.0, None));
            }
            Kind::BalancerStall => {
                let list = self.pids(&self.affected(trouble, with_reserve, seed));
                let begun = self.runtime.now();
                list.iter().for_each(|(n, pid)| self.suspend(*n, *pid));
                self.pause(trouble.lasts).await;
                list.iter().for_each(|(n, pid)| self.resume(*n, *pid));
                self.record_stalls(&list, begun);
            }
            Kind::Slow => {
                let list = self.pids(&self.affected(trouble, with_reserve, seed));
                let begun = self.runtime.now();
                let slice = trouble.strength / 1000.0;
                let end = begun + (trouble.lasts * 1e6) as Micros;
                self.record(FleetAction::Rough(true));
                while self.runtime.now() < end {
                    list.iter().for_each(|(_, pid)| signal(*pid, Signal::STOP));
                    self.pause(0.9 * slice).await;
                    list.iter().for_each(|(_, pid)| signal(*pid, Signal::CONT));
                    self.pause(0.1 * slice).await;
                }
                self.record(FleetAction::Rough(false));
                self.record_stalls(&list, begun);
            }
            Kind::Leave => {
                for n in self.affected(trouble, with_reserve, seed) {
                    self.drain_ingress(n as u16).await;
                }
            }
            Kind::Join => {
                for n in self.affected(trouble, with_reserve, seed) {
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::Replace => {
                for n in self.affected(trouble, with_reserve, seed) {
                    self.replace_ingress(n as u16).await?;
                }
            }
            Kind::Cut | Kind::CutReset => {
                let cut = if trouble.kind == Kind::Cut { Cut::Silent } else { Cut::Reset };
                let parts = if trouble.parts.len() > 1 && !trouble.one_way {
                    trouble.parts.clone()
                } else {
                    Vec::new()
                };
                if parts.is_empty() {
                    self.disturb_links(trouble, &|faults| faults.cut = Some(cut)).await;
                } else {
                    self.record(FleetAction::Parts(parts));
                    self.change_links(&self.affected_links(trouble), trouble.lasts, &|faults| {
                        faults.cut = Some(cut)
                    })
                    .await;
                    self.record(FleetAction::Parts(Vec::new()));
                }
            }
            Kind::Lossy => self.disturb_links(trouble, &|faults| faults.loss = trouble.strength).await,
            Kind::Doubled => self.disturb_links(trouble, &|faults| faults.double = trouble.strength).await,
            Kind::SlowBytes => {
                self.disturb_links(trouble, &|faults| faults.rate = (trouble.strength * 1000.0) as u64).await
            }
            Kind::HalfOpen => self.disturb_links(trouble, &|faults| faults.half_open = true).await,
            Kind::Reorder => {
                self.disturb_links(trouble, &|faults| faults.delay.1 += (trouble.strength * 1000.0) as Micros)
                    .await
            }
            Kind::LateTail => {
                let late = |faults: &mut LinkFaults| {
                    faults.delay.1 = faults.delay.1.max(20_000); // 20 ms
                    faults.tail = trouble.strength;
                };
                self.disturb_links(trouble, &late).await;
            }
            Kind::Halfway => {
                set_faults(&|f| f.halfway = trouble.strength);
                self.pause(trouble.lasts).await;
                set_faults(&|f| f.halfway = 0.0);
            }
            Kind::Neighbour => {
                set_faults(&|f| f.slow = trouble.strength);
                self.pause(trouble.lasts).await;
                set_faults(&|f| f.slow = 0.0);
            }
            Kind::HeavyTail => {
                let share = if trouble.share > 0.0 { trouble.share } else { 0.02 };
                for n in 0..nodes {
                    self.change_node(n, |f| (f.tail, f.tail_cost) = (share, trouble.strength));
                }
                self.pause(trouble.lasts).await;
                for n in 0..nodes {
                    self.change_node(n, |f| f.tail = 0.0);
                }
            }
            Kind::NodeCrash => {
                let list = self.affected(trouble, nodes, seed);
                for n in &list {
                    let mut nodes = lock(&self.nodes);
                    (nodes[*n].node, nodes[*n].state) = (None, roster::NODE_REMOVED);
                }
                self.publish_late().await;
                self.pause(trouble.lasts).await;
                for n in list {
                    self.start_node(n, true)?;
                }
                self.publish_late().await;
            }
            Kind::NodeRoll => {
                for n in self.affected(trouble, nodes, seed) {
                    lock(&self.nodes)[n].state = roster::NODE_DRAINING;
                    self.publish();
                    self.pause(trouble.lasts).await;
                    {
                        let mut nodes = lock(&self.nodes);
                        (nodes[n].node, nodes[n].state) = (None, roster::NODE_REMOVED);
                    }
                    self.publish();
                    self.pause(NODE_RESTART_SECONDS).await;
                    self.start_node(n, true)?;
                    self.publish_late().await;
                }
            }
            Kind::ZoneCut => {
                let zone = trouble.which.first().copied().unwrap_or(0);
                let inside = |n: usize| lock(&self.nodes)[n].zone == zone;
                let zone_nodes: Vec<usize> = (0..nodes).filter(|n| inside(*n)).collect();
                zone_nodes.iter().for_each(|n| self.change_node(*n, |f| (f.mute, f.hang) = (true, true)));
                let ingress_inside = |n: &u16| usize::from(*n) % self.day.zones.len() == zone;
                let all_ingresses = || 0..self.day.ingresses;
                let links_from_all =
                    |to| all_ingresses().map(move |from| (Party::Ingress(from), Party::Ingress(to)));
                let pairs: Vec<_> = all_ingresses().filter(ingress_inside).flat_map(links_from_all).collect();
                self.change_links(&pairs, trouble.lasts, &|faults| faults.loss = 1.0).await;
                zone_nodes.iter().for_each(|n| self.change_node(*n, |f| (f.mute, f.hang) = (false, false)));
            }
            Kind::HotKey => {
                let group =
                    self.day.accounts.iter().find(|g| trouble.group.as_ref().is_none_or(|n| *n == g.name));
                let Some(group) = group else { return Ok(()) };
                let keys: Vec<(String, usize)> = self
                    .affected(trouble, group.count, seed)
                    .into_iter()
                    .map(|i| (group.name.clone(), i))
                    .collect();
                lock(&self.traffic).hot.extend(keys.iter().map(|k| (k.clone(), trouble.strength)));
                self.pause(trouble.lasts).await;
                let mut traffic = lock(&self.traffic);
                traffic.hot.retain(|k, _| !keys.contains(k));
            }
            Kind::Burst => {
                lock(&self.traffic).burst = trouble.strength;
                self.pause(trouble.lasts).await;
                lock(&self.traffic).burst = 1.0;
            }
            Kind::Flood => {
                let until = self.runtime.now() + (trouble.lasts * 1e6) as Micros;
                let floods: Vec<_> = self
                    .affected(trouble, ingresses, seed)
                    .into_iter()
                    .map(|n| {
                        let to = lock(&self.slots)[n].grpc;
                        let plan = flood::Plan {
                            to,
                            addresses: 200,
                            per_second: trouble.strength.max(1.0),
                            hold: 300,
                            until,
                        };
                        flood::start(&self.runtime, plan)
                    })
                    .collect();
                for (task, seen) in floods {
                    task.await;
                    let seen = lock(&seen).clone();
                    let (entered, told, closed, hanging) =
                        (seen.accepted, seen.rejected, seen.closed, seen.timed_out);
                    tracing::info!(entered, told, closed, hanging, "drill: flood over");
                }
            }
            Kind::Reconnect => lock(&self.clients).clear(),
            Kind::RetryAbuse => {
                lock(&self.traffic).abuse = true;
                self.pause(trouble.lasts).await;
                lock(&self.traffic).abuse = false;
            }
            Kind::GiveUp => {
                lock(&self.traffic).patience = trouble.strength;
                self.pause(trouble.lasts).await;
                lock(&self.traffic).patience = 1.0;
            }
            Kind::Shift => lock(&self.traffic).shift += 1,
            Kind::PeerLoss => {
                self.change_links(&self.affected_links(trouble), trouble.lasts, &|faults| {
                    faults.loss = faults.loss.max(trouble.strength)
                })
                .await;
            }
            Kind::RosterDown => {
                *lock(&self.registry) = None;
                self.pause(trouble.lasts).await;
                let registry =
                    Registry::start(self.runtime.clone(), self.registry_address, self.journal.clone());
                let registry = registry.map_err(io_error("registry"))?;
                registry.advertise(self.node_addresses.clone());
                *lock(&self.registry) = Some(registry);
                self.publish();
            }
            Kind::Scan => {
                let end = self.runtime.now() + (trouble.lasts * 1e6) as Micros;
                let mut rng = SmallRng::seed_from_u64(seed);
                let class = self.day.accounts[0].classes.keys().next().cloned().unwrap_or_default();
                for i in 0.. {
                    if self.runtime.now() >= end {
                        break;
                    }
                    let drill = self.clone();
                    let class = class.clone();
                    let to = rng.random_range(0..self.day.ingresses);
                    self.spawn(async move {
                        let timeout = drill.deadlines.get(&class).copied().unwrap_or(1_000_000);
                        let call = drill.next_call.fetch_add(1, Ordering::Relaxed);
                        let account = format!("scan-{i}");
                        let request = Request { call, account, class, units: 1, key: None, timeout };
                        if let Some(client) = drill.client("scan", to).await {
                            client.call(&request).await;
                        }
                    });
                    self.pause(1.0 / trouble.strength.max(0.01)).await;
                }
            }
        }
        tracing::info!(kind = ?trouble.kind, "drill: trouble ends");
        Ok(())
    }
}
