//! Traffic of the clients.

use super::{lock, DrillRun};
use crate::day::{AccountGroup, Door};
use chalkgap::runtime::Micros;
use chalkgap_testbed::client::{Client, Request};
use chalkgap_testbed::journal::Answer;
use chalkgap_testbed::mqtt;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// A client of one of the two protocols.
pub(super) enum FrontClient {
    Grpc(Client),
    Mqtt(mqtt::Client),
}

impl FrontClient {
    pub(super) fn closed(&self) -> bool {
        match self {
            FrontClient::Grpc(c) => c.closed(),
            FrontClient::Mqtt(c) => c.closed(),
        }
    }

    pub(super) async fn call(&self, request: &Request) -> Answer {
        match self {
            FrontClient::Grpc(c) => c.call(request).await.answer,
            FrontClient::Mqtt(c) => c.call(request).await.answer,
        }
    }
}

/// How the current troubles change the clients' behaviour.
#[derive(Default)]
pub(super) struct TrafficState {
    /// Factor on the request rate of each listed account, by group and number; 1 for an account that is not listed.
    pub(super) hot: HashMap<(String, usize), f64>,
    /// Factor on the request rate of all accounts.
    pub(super) burst: f64,
    /// Clients retry after 1 ms.
    pub(super) abuse: bool,
    /// Factor on the timeouts of calls.
    pub(super) patience: f64,
    /// Position of the busiest ingress among those of an account.
    pub(super) shift: usize,
    /// Clients send no new requests.
    pub(super) day_over: bool,
}

impl DrillRun {
    /// Returns the connection that the clients of a group share to an ingress, and opens it if needed. Returns `None` if it
    /// cannot be opened.
    pub(super) async fn client(&self, group: &str, ingress: u16) -> Option<Arc<FrontClient>> {
        let key = (group.to_owned(), ingress);
        if let Some(client) = lock(&self.clients).get(&key).filter(|c| !c.closed()) {
            return Some(client.clone());
        }
        let (grpc, mqtt) = {
            let slots = lock(&self.slots);
            let slot = &slots[usize::from(ingress)];
            (slot.grpc, slot.mqtt)
        };
        let runtime = self.runtime.clone();
        let journal = self.journal.clone();
        let door = self.day.accounts.iter().find(|g| g.name == group).map_or(Door::Grpc, |g| g.door);
        let client = Arc::new(match door {
            Door::Grpc => FrontClient::Grpc(Client::connect(runtime, grpc, ingress, journal).await.ok()?),
            Door::Mqtt => {
                FrontClient::Mqtt(mqtt::Client::connect(runtime, mqtt, ingress, journal).await.ok()?)
            }
        });
        lock(&self.clients).insert(key, client.clone());
        Some(client)
    }

    /// Sends the requests of one account until the day is over.
    pub(super) async fn account(self: &Arc<Self>, group: &AccountGroup, i: usize) {
        let name = account(group, i);
        let tag = name.bytes().fold(0u64, |n, b| n.wrapping_mul(131) + u64::from(b));
        let mut rng = SmallRng::seed_from_u64(self.day.seed ^ tag);
        if group.fixed > 0 {
            for _ in 0..group.fixed {
                let seed = rng.random();
                let class = pick(&group.classes, &mut rng);
                self.request(group, i, class, seed).await;
            }
            return;
        }
        while !lock(&self.traffic).day_over {
            let rate = {
                let traffic = lock(&self.traffic);
                group.rate * traffic.burst * traffic.hot.get(&(group.name.clone(), i)).copied().unwrap_or(1.0)
            };
            let wait = Exp::new(rate.max(1e-6)).map_or(1.0, |d| d.sample(&mut rng)).min(0.5);
            self.pause(wait).await;
            // The pause is limited to 0.5 s, after which it is drawn again because the rate may have changed.
            if wait >= 0.5 || lock(&self.traffic).day_over {
                continue;
            }
            let drill = self.clone();
            let group = group.clone();
            let class = pick(&group.classes, &mut rng);
            let seed = rng.random();
            self.running.fetch_add(1, Ordering::Relaxed);
            self.spawn(async move {
                drill.request(&group, i, class, seed).await;
                drill.running.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Sends a request and its retries, until it is served, fails with an error that clients do not retry, or has no time or
    /// retry left.
    async fn request(&self, group: &AccountGroup, i: usize, class: String, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let clients = &self.day.clients;
        let class_deadline = self.deadlines.get(&class).copied().unwrap_or(1_000_000);
        let end = self.runtime.now() + class_deadline;
        let units = clients.units.get(&class).copied().unwrap_or(1);
        let key = format!("{i}-{seed:x}");
        let width = group.width.min(self.day.ingresses).max(1);
        let hurried = rng.random::<f64>() < clients.hurried;
        for n in 0..=clients.retries {
            let (abuse, patience, shift) = {
                let traffic = lock(&self.traffic);
                (traffic.abuse, traffic.patience, traffic.shift)
            };
            // Two thirds of the requests go to the busiest of the account's ingresses. A shift changes which one that is.
            let to_busiest = rng.random::<f64>() < 0.66;
            let nth =
                if to_busiest { shift % usize::from(width) } else { rng.random_range(0..usize::from(width)) };
            let ingress = ((i + nth) % usize::from(self.day.ingresses)) as u16;
            let share = rng.random_range(clients.patience.min(0.999)..=1.0) * patience;
            let time_left = end.saturating_sub(self.runtime.now());
            let timeout =
                if hurried { rng.random_range(0..30_000) } else { (class_deadline as f64 * share) as Micros };
            let timeout = timeout.min(time_left);
            if time_left == 0 {
                return;
            }
            let call = self.next_call.fetch_add(1, Ordering::Relaxed);
            let account = account(group, i);
            let request =
                Request { call, account, class: class.clone(), units, key: Some(key.clone()), timeout };
            let answer = match self.client(&group.name, ingress).await {
                Some(client) => client.call(&request).await,
                None => Answer::NotTaken,
            };
            let pause = match answer {
                Answer::Served | Answer::Left => return,
                // UNAVAILABLE (14) and DEADLINE_EXCEEDED (4) are retried.
                Answer::Failed { code } if code != 14 && code != 4 => return,
                Answer::Refused { pause } if pause > 0 && !abuse => pause,
                _ if abuse => 1000,
                _ => clients.pause_ms * 1000,
            };
            if n < clients.retries {
                let jitter = if abuse { 0 } else { rng.random_range(0..=pause / 4) };
                self.runtime.sleep_until(self.runtime.now() + pause + jitter).await;
            }
        }
    }
}

/// Returns the name of an account of a group.
pub(super) fn account(group: &AccountGroup, i: usize) -> String {
    format!("{}-{i}", group.name)
}

/// Draws a class by the shares of the classes.
fn pick(classes: &BTreeMap<String, f64>, rng: &mut SmallRng) -> String {
    let total: f64 = classes.values().sum();
    let mut remaining = rng.random::<f64>() * total;
    for (name, share) in classes {
        remaining -= share;
        if remaining <= 0.0 {
            return name.clone();
        }
    }
    classes.keys().next_back().cloned().unwrap_or_default()
}
