//! What clients do on a day.

use super::{lock, World};
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

/// A client of either front.
pub(super) enum Speaker {
    Grpc(Client),
    Mqtt(mqtt::Client),
}

impl Speaker {
    pub(super) fn closed(&self) -> bool {
        match self {
            Speaker::Grpc(c) => c.closed(),
            Speaker::Mqtt(c) => c.closed(),
        }
    }

    pub(super) async fn call(&self, ask: &Request) -> Answer {
        match self {
            Speaker::Grpc(c) => c.call(ask).await.answer,
            Speaker::Mqtt(c) => c.call(ask).await.answer,
        }
    }
}

/// What clients look at while they ask.
#[derive(Default)]
pub(super) struct Mood {
    /// Multiples of the usual traffic, by group and number.
    pub(super) hot: HashMap<(String, usize), f64>,
    pub(super) burst: f64,
    pub(super) abuse: bool,
    pub(super) patience: f64,
    pub(super) shift: usize,
    pub(super) over: bool,
}

impl World {
    /// The connection that a group's clients share to an ingress; none if there is none.
    pub(super) async fn client(&self, group: &str, ingress: u16) -> Option<Arc<Speaker>> {
        let key = (group.to_owned(), ingress);
        if let Some(c) = lock(&self.clients).get(&key).filter(|c| !c.closed()) {
            return Some(c.clone());
        }
        let (grpc, mqtt) = {
            let slots = lock(&self.slots);
            let slot = &slots[usize::from(ingress)];
            (slot.grpc, slot.mqtt)
        };
        let (runtime, journal) = (self.runtime.clone(), self.journal.clone());
        let door = self.day.accounts.iter().find(|g| g.name == group).map_or(Door::Grpc, |g| g.door);
        let client = Arc::new(match door {
            Door::Grpc => Speaker::Grpc(Client::connect(runtime, grpc, ingress, journal).await.ok()?),
            Door::Mqtt => Speaker::Mqtt(mqtt::Client::connect(runtime, mqtt, ingress, journal).await.ok()?),
        });
        lock(&self.clients).insert(key, client.clone());
        Some(client)
    }

    /// One account's traffic, for the whole day.
    pub(super) async fn account(self: &Arc<Self>, g: &AccountGroup, i: usize) {
        let name = account(g, i);
        let tag = name.bytes().fold(0u64, |n, b| n.wrapping_mul(131) + u64::from(b));
        let mut rng = SmallRng::seed_from_u64(self.day.seed ^ tag);
        if g.fixed > 0 {
            for _ in 0..g.fixed {
                let (seed, class) = (rng.random(), pick(&g.classes, &mut rng));
                self.request(g, i, class, seed).await;
            }
            return;
        }
        while !lock(&self.mood).over {
            let rate = {
                let mood = lock(&self.mood);
                g.rate * mood.burst * mood.hot.get(&(g.name.clone(), i)).copied().unwrap_or(1.0)
            };
            let wait = Exp::new(rate.max(1e-6)).map_or(1.0, |d| d.sample(&mut rng)).min(0.5);
            self.pause(wait).await;
            // A pause cut short at half a second decides anew: the rate may have changed.
            if wait >= 0.5 || lock(&self.mood).over {
                continue;
            }
            let (world, g2, class, seed) =
                (self.clone(), g.clone(), pick(&g.classes, &mut rng), rng.random());
            self.running.fetch_add(1, Ordering::Relaxed);
            self.spawn(async move {
                world.request(&g2, i, class, seed).await;
                world.running.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// One request with its tries.
    async fn request(&self, g: &AccountGroup, i: usize, class: String, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let clients = &self.day.clients;
        let whole = self.deadlines.get(&class).copied().unwrap_or(1_000_000);
        let end = self.runtime.now() + whole;
        let units = clients.units.get(&class).copied().unwrap_or(1);
        let key = format!("{i}-{seed:x}");
        let width = g.width.min(self.day.ingresses).max(1);
        let hurried = rng.random::<f64>() < clients.hurried;
        for n in 0..=clients.retries {
            let (abuse, patience, shift) = {
                let mood = lock(&self.mood);
                (mood.abuse, mood.patience, mood.shift)
            };
            // The busiest of its ingresses takes two thirds; a shift makes it another one.
            let busiest = rng.random::<f64>() < 0.66;
            let nth =
                if busiest { shift % usize::from(width) } else { rng.random_range(0..usize::from(width)) };
            let ingress = ((i + nth) % usize::from(self.day.ingresses)) as u16;
            let share = rng.random_range(clients.patience.min(0.999)..=1.0) * patience;
            let left = end.saturating_sub(self.runtime.now());
            let timeout =
                if hurried { rng.random_range(0..30_000) } else { (whole as f64 * share) as Micros };
            let timeout = timeout.min(left);
            if left == 0 {
                return;
            }
            let call = self.calls.fetch_add(1, Ordering::Relaxed);
            let account = account(g, i);
            let ask = Request { call, account, class: class.clone(), units, key: Some(key.clone()), timeout };
            let answer = match self.client(&g.name, ingress).await {
                Some(client) => client.call(&ask).await,
                None => Answer::NotTaken,
            };
            let pause = match answer {
                Answer::Served | Answer::Left => return,
                Answer::Failed { code } if code != 14 && code != 4 => return,
                Answer::Refused { pause } if pause > 0 && !abuse => pause,
                _ if abuse => 1000,
                _ => clients.pause_ms * 1000,
            };
            if n < clients.retries {
                let lot = if abuse { 0 } else { rng.random_range(0..=pause / 4) };
                self.runtime.sleep_until(self.runtime.now() + pause + lot).await;
            }
        }
    }
}

pub(super) fn account(g: &AccountGroup, i: usize) -> String {
    format!("{}-{i}", g.name)
}

fn pick(classes: &BTreeMap<String, f64>, rng: &mut SmallRng) -> String {
    let total: f64 = classes.values().sum();
    let mut at = rng.random::<f64>() * total;
    for (name, share) in classes {
        at -= share;
        if at <= 0.0 {
            return name.clone();
        }
    }
    classes.keys().next_back().cloned().unwrap_or_default()
}
