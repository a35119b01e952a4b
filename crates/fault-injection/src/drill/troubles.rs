//! What goes wrong on a day.

use super::processes::{signal, Life};
use super::{io_error, lock, DrillError, World};
use crate::day::{Kind, Trouble};
use crate::fleet::Act;
use chalkgap::runtime::Micros;
use chalkgap_testbed::client::Request;
use chalkgap_testbed::flood;
use chalkgap_testbed::journal::Seen;
use chalkgap_testbed::network::{Cut, LinkFaults, Party};
use chalkgap_testbed::node::Faults;
use chalkgap_testbed::registry::Registry;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::sync::Arc;

impl World {
    /// The ones that a trouble hits, of `of`.
    fn which(&self, t: &Trouble, of: usize, seed: u64) -> Vec<usize> {
        if !t.which.is_empty() {
            return t.which.iter().copied().filter(|n| *n < of).collect();
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all: Vec<usize> = (0..of).collect();
        let count = ((of as f64 * t.share).round() as usize).clamp(1, of.max(1));
        let mut list: Vec<usize> =
            (0..count.min(of)).map(|_| all.swap_remove(rng.random_range(0..all.len()))).collect();
        list.sort_unstable();
        // What a seed draws names itself: it can be written into a script as it was.
        tracing::info!(kind = ?t.kind, which = ?list, "drill: drawn");
        list
    }

    /// Processes of ingresses that live.
    fn pids(&self, list: &[usize]) -> Vec<(u16, u32)> {
        let slots = lock(&self.slots);
        let pid = |n: &usize| match &slots[*n].life {
            Life::Process(child) => Some((*n as u16, child.id())),
            _ => None,
        };
        list.iter().filter_map(pid).collect()
    }

    fn stop(&self, n: u16, pid: u32) {
        self.act(Act::Stop(n));
        signal(pid, Signal::STOP);
    }

    fn go(&self, n: u16, pid: u32) {
        signal(pid, Signal::CONT);
        self.act(Act::Go(n));
    }

    /// Tells the auditor of the rules: answers may be late by this much.
    fn stalled(&self, list: &[(u16, u32)], begun: Micros) {
        let until = self.runtime.now();
        list.iter().for_each(|(n, _)| self.journal.note(begun, Seen::Stalled { ingress: *n, until }));
    }

    /// Changes links, and says so to the auditor of views: they differ as long as it lasts.
    async fn rough(&self, t: &Trouble, change: &(dyn Fn(&mut LinkFaults) + Sync)) {
        self.act(Act::Rough(true));
        self.links(&self.pairs(t), t.lasts, change).await;
        self.act(Act::Rough(false));
    }

    /// The links that a trouble is about, in their directions.
    fn pairs(&self, t: &Trouble) -> Vec<(Party, Party)> {
        let ingresses = 0..self.day.ingresses + self.day.reserve;
        let parts: Vec<Vec<u16>> =
            if t.parts.is_empty() { ingresses.map(|n| vec![n]).collect() } else { t.parts.clone() };
        let mut pairs = Vec::new();
        for (n, from) in parts.iter().enumerate() {
            let others = parts.iter().enumerate().filter(|o| o.0 != n).flat_map(|o| o.1);
            for to in others.filter(|_| n == 0 || !t.one_way) {
                pairs.extend(from.iter().map(|f| (Party::Ingress(*f), Party::Ingress(*to))));
            }
        }
        let services = t.nodes.iter().map(|n| Party::Node(*n)).chain(t.roster.then_some(Party::Registry));
        for service in services {
            for n in parts.first().into_iter().flatten() {
                pairs.push((Party::Ingress(*n), service));
                if !t.one_way {
                    pairs.push((service, Party::Ingress(*n)));
                }
            }
        }
        pairs
    }

    /// Changes links for a while.
    async fn links(&self, pairs: &[(Party, Party)], seconds: f64, change: &(dyn Fn(&mut LinkFaults) + Sync)) {
        for (from, to) in pairs {
            let between = matches!((from, to), (Party::Ingress(_), Party::Ingress(_)));
            // What is usual is the network's between ingresses; streams to nodes and the roster pass at once.
            let mut weather = if between { self.network.default_faults() } else { LinkFaults::default() };
            change(&mut weather);
            self.network.set(*from, *to, Some(weather));
        }
        self.pause(seconds).await;
        pairs.iter().for_each(|(from, to)| self.network.set(*from, *to, None));
    }

    /// Plays one trouble from its beginning to its end.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub(super) async fn trouble(self: &Arc<Self>, t: &Trouble, seed: u64) -> Result<(), DrillError> {
        tracing::info!(kind = ?t.kind, "drill: trouble begins");
        let (ingresses, nodes) = (usize::from(self.day.ingresses), lock(&self.nodes).len());
        let numbers = ingresses + usize::from(self.day.reserve);
        let all = |set: &dyn Fn(&mut Faults)| {
            for n in self.which(t, nodes, seed) {
                self.change_node(n, set);
            }
        };
        match t.kind {
            Kind::BalancerCrash | Kind::Kill => {
                let list = self.which(t, numbers, seed);
                list.iter().for_each(|n| self.kill_ingress(*n as u16));
                self.pause(t.lasts).await;
                // Killed without an end: for good.
                let back = t.kind == Kind::BalancerCrash || t.lasts > 0.0;
                for n in list.into_iter().filter(|_| back) {
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::BalancerRoll => {
                for n in self.which(t, ingresses, seed) {
                    self.drain_ingress(n as u16).await;
                    self.pause(t.lasts).await;
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::Hang => {
                all(&|f| f.hang = true);
                self.pause(t.lasts).await;
                all(&|f| f.hang = false);
            }
            Kind::Mute => {
                all(&|f| f.mute = true);
                self.pause(t.lasts).await;
                all(&|f| f.mute = false);
            }
            Kind::FastErrors => {
                all(&|f| f.fail = t.strength);
                self.pause(t.lasts).await;
                all(&|f| f.fail = 0.0);
            }
            Kind::ClassFail => {
                let class = t.group.clone();
                all(&|f| (f.fail, f.fail_class) = (t.strength, class.clone()));
                self.pause(t.lasts).await;
                all(&|f| (f.fail, f.fail_class) = (0.0, None));
            }
            Kind::BalancerStall => {
                let list = self.pids(&self.which(t, numbers, seed));
                let begun = self.runtime.now();
                list.iter().for_each(|(n, pid)| self.stop(*n, *pid));
                self.pause(t.lasts).await;
                list.iter().for_each(|(n, pid)| self.go(*n, *pid));
                self.stalled(&list, begun);
            }
            Kind::Slow => {
                let list = self.pids(&self.which(t, numbers, seed));
                let (begun, slice) = (self.runtime.now(), t.strength / 1000.0);
                let end = begun + (t.lasts * 1e6) as Micros;
                self.act(Act::Rough(true));
                while self.runtime.now() < end {
                    list.iter().for_each(|(_, pid)| signal(*pid, Signal::STOP));
                    self.pause(0.9 * slice).await;
                    list.iter().for_each(|(_, pid)| signal(*pid, Signal::CONT));
                    self.pause(0.1 * slice).await;
                }
                self.act(Act::Rough(false));
                self.stalled(&list, begun);
            }
            Kind::Leave => {
                for n in self.which(t, numbers, seed) {
                    self.drain_ingress(n as u16).await;
                }
            }
            Kind::Join => {
                for n in self.which(t, numbers, seed) {
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::Replace => {
                for n in self.which(t, numbers, seed) {
                    self.replace_ingress(n as u16).await?;
                }
            }
            Kind::Cut | Kind::CutReset => {
                let cut = if t.kind == Kind::Cut { Cut::Silent } else { Cut::Reset };
                let parts = if t.parts.len() > 1 && !t.one_way { t.parts.clone() } else { Vec::new() };
                if parts.is_empty() {
                    self.rough(t, &|w| w.cut = Some(cut)).await;
                } else {
                    self.act(Act::Parts(parts));
                    self.links(&self.pairs(t), t.lasts, &|w| w.cut = Some(cut)).await;
                    self.act(Act::Parts(Vec::new()));
                }
            }
            Kind::Lossy => self.rough(t, &|w| w.loss = t.strength).await,
            Kind::Doubled => self.rough(t, &|w| w.double = t.strength).await,
            Kind::SlowBytes => self.rough(t, &|w| w.rate = (t.strength * 1000.0) as u64).await,
            Kind::HalfOpen => self.rough(t, &|w| w.half_open = true).await,
            Kind::Reorder => self.rough(t, &|w| w.delay.1 += (t.strength * 1000.0) as Micros).await,
            Kind::LateTail => {
                let late = |w: &mut LinkFaults| {
                    w.delay.1 = w.delay.1.max(20_000);
                    w.tail = t.strength;
                };
                self.rough(t, &late).await;
            }
            Kind::Halfway => {
                all(&|f| f.halfway = t.strength);
                self.pause(t.lasts).await;
                all(&|f| f.halfway = 0.0);
            }
            Kind::Neighbour => {
                all(&|f| f.slow = t.strength);
                self.pause(t.lasts).await;
                all(&|f| f.slow = 0.0);
            }
            Kind::HeavyTail => {
                let share = if t.share > 0.0 { t.share } else { 0.02 };
                for n in 0..nodes {
                    self.change_node(n, |f| (f.tail, f.tail_cost) = (share, t.strength));
                }
                self.pause(t.lasts).await;
                for n in 0..nodes {
                    self.change_node(n, |f| f.tail = 0.0);
                }
            }
            Kind::NodeCrash => {
                let list = self.which(t, nodes, seed);
                for n in &list {
                    let mut nodes = lock(&self.nodes);
                    (nodes[*n].node, nodes[*n].state) = (None, 2);
                }
                self.publish_late().await;
                self.pause(t.lasts).await;
                for n in list {
                    self.start_node(n, true)?;
                }
                self.publish_late().await;
            }
            Kind::NodeRoll => {
                for n in self.which(t, nodes, seed) {
                    lock(&self.nodes)[n].state = 1;
                    self.publish();
                    self.pause(t.lasts).await;
                    {
                        let mut nodes = lock(&self.nodes);
                        (nodes[n].node, nodes[n].state) = (None, 2);
                    }
                    self.publish();
                    self.pause(0.2).await;
                    self.start_node(n, true)?;
                    self.publish_late().await;
                }
            }
            Kind::ZoneCut => {
                let zone = t.which.first().copied().unwrap_or(0);
                let inside = |n: usize| lock(&self.nodes)[n].zone == zone;
                let there: Vec<usize> = (0..nodes).filter(|n| inside(*n)).collect();
                there.iter().for_each(|n| self.change_node(*n, |f| (f.mute, f.hang) = (true, true)));
                let inside = |n: &u16| usize::from(*n) % self.day.zones.len() == zone;
                let all = || 0..self.day.ingresses;
                let to = |to| all().map(move |from| (Party::Ingress(from), Party::Ingress(to)));
                let pairs: Vec<_> = all().filter(inside).flat_map(to).collect();
                self.links(&pairs, t.lasts, &|w| w.loss = 1.0).await;
                there.iter().for_each(|n| self.change_node(*n, |f| (f.mute, f.hang) = (false, false)));
            }
            Kind::HotKey => {
                let group = self.day.accounts.iter().find(|g| t.group.as_ref().is_none_or(|n| *n == g.name));
                let Some(group) = group else { return Ok(()) };
                let keys: Vec<(String, usize)> =
                    self.which(t, group.count, seed).into_iter().map(|i| (group.name.clone(), i)).collect();
                lock(&self.mood).hot.extend(keys.iter().map(|k| (k.clone(), t.strength)));
                self.pause(t.lasts).await;
                let mut mood = lock(&self.mood);
                mood.hot.retain(|k, _| !keys.contains(k));
            }
            Kind::Burst => {
                lock(&self.mood).burst = t.strength;
                self.pause(t.lasts).await;
                lock(&self.mood).burst = 1.0;
            }
            Kind::Flood => {
                let until = self.runtime.now() + (t.lasts * 1e6) as Micros;
                let floods: Vec<_> = self
                    .which(t, ingresses, seed)
                    .into_iter()
                    .map(|n| {
                        let to = lock(&self.slots)[n].grpc;
                        let plan = flood::Plan {
                            to,
                            addresses: 200,
                            per_second: t.strength.max(1.0),
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
                lock(&self.mood).abuse = true;
                self.pause(t.lasts).await;
                lock(&self.mood).abuse = false;
            }
            Kind::GiveUp => {
                lock(&self.mood).patience = t.strength;
                self.pause(t.lasts).await;
                lock(&self.mood).patience = 1.0;
            }
            Kind::Shift => lock(&self.mood).shift += 1,
            Kind::PeerLoss => {
                self.links(&self.pairs(t), t.lasts, &|w| w.loss = w.loss.max(t.strength)).await;
            }
            Kind::RosterDown => {
                *lock(&self.roster) = None;
                self.pause(t.lasts).await;
                let again = Registry::start(self.runtime.clone(), self.roster_at, self.journal.clone());
                let again = again.map_err(io_error("the roster"))?;
                again.advertise(self.whereabouts.clone());
                *lock(&self.roster) = Some(again);
                self.publish();
            }
            Kind::Scan => {
                let end = self.runtime.now() + (t.lasts * 1e6) as Micros;
                let mut rng = SmallRng::seed_from_u64(seed);
                let class = self.day.accounts[0].classes.keys().next().cloned().unwrap_or_default();
                for i in 0.. {
                    if self.runtime.now() >= end {
                        break;
                    }
                    let (world, class) = (self.clone(), class.clone());
                    let to = rng.random_range(0..self.day.ingresses);
                    self.spawn(async move {
                        let timeout = world.deadlines.get(&class).copied().unwrap_or(1_000_000);
                        let call = world.calls.fetch_add(1, Ordering::Relaxed);
                        let account = format!("scan-{i}");
                        let ask = Request { call, account, class, units: 1, key: None, timeout };
                        if let Some(client) = world.client("scan", to).await {
                            client.call(&ask).await;
                        }
                    });
                    self.pause(1.0 / t.strength.max(0.01)).await;
                }
            }
        }
        tracing::info!(kind = ?t.kind, "drill: trouble ends");
        Ok(())
    }
}
