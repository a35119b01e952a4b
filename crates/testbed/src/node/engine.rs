//! The model of a node's capacity: cores, a queue, slow start and overload.

use super::{Faults, Machine};
use async_channel::{Receiver, Sender};
use chalkgap_runtime::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// Standard deviation of the logarithm of the work of a class.
const WORK_SPREAD: f64 = 0.3;

struct RecentWork {
    arrived_at: Micros,
    micros: f64,
}

pub(super) struct Engine {
    pub machine: Machine,
    pub faults: Faults,
    pub started_at: Micros,
    /// The node received too much work during its slow start and has failed permanently.
    pub overloaded: bool,
    busy_cores: usize,
    queue: VecDeque<Sender<()>>,
    /// Work that arrived within the overload window during the slow start.
    recent_work: VecDeque<RecentWork>,
    random: SmallRng,
}

impl Engine {
    pub fn new(machine: Machine, now: Micros) -> Self {
        let random = SmallRng::seed_from_u64(machine.seed);
        Engine {
            machine,
            faults: Faults::default(),
            started_at: now,
            overloaded: false,
            busy_cores: 0,
            queue: VecDeque::new(),
            recent_work: VecDeque::new(),
            random,
        }
    }

    /// Returns the number of requests that wait for a core.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }

    /// Accounts for an arriving request. Returns the microseconds that it takes on a core, and sets `overloaded` if it is too
    /// much work for a node in slow start.
    pub fn arrive(&mut self, class: &str, now: Micros) -> f64 {
        let mean = self.machine.work.get(class).copied().unwrap_or(0.0);
        let spread =
            LogNormal::new(0.0f64, WORK_SPREAD).map_or(1.0, |spread| spread.sample(&mut self.random));
        let in_tail = self.chance(self.faults.tail);
        let tail_factor = if in_tail { self.faults.tail_cost.max(1.0) } else { 1.0 };
        let work = mean * spread / self.machine.speed * tail_factor;
        let capacity_share = self.capacity_share(now);
        if capacity_share < 1.0 {
            self.overloaded |= self.record_work(work, capacity_share, now);
        }
        work * self.faults.slow.max(1.0) / capacity_share
    }

    /// Queues the caller for a core. The returned channel receives a message when the caller owns one, which it has to return
    /// by [`Engine::release_core`].
    pub fn request_core(&mut self) -> Receiver<()> {
        let (turn, core) = async_channel::bounded(1);
        if self.busy_cores < self.machine.cores {
            self.busy_cores += 1;
            let _ = turn.try_send(()); // cannot fail: the channel is empty and its receiver is here
        } else {
            self.queue.push_back(turn);
        }
        core
    }

    /// Returns a core, and passes it to the first caller in the queue if there is one.
    pub fn release_core(&mut self) {
        match self.queue.pop_front() {
            Some(next) => drop(next.try_send(())),
            None => self.busy_cores -= 1,
        }
    }

    fn capacity_share(&self, now: Micros) -> f64 {
        let machine = &self.machine;
        let age = now.saturating_sub(self.started_at);
        if age >= machine.slow_start_window {
            return 1.0;
        }
        let progress = (1.0 - machine.slow_start_min_capacity) * age as f64;
        machine.slow_start_min_capacity + progress / machine.slow_start_window as f64
    }

    /// Records arriving work, in microseconds on a core at full capacity. Returns whether the work that arrived within
    /// `overload_window` exceeds `overload_factor` times the node's capacity in that time.
    fn record_work(&mut self, work: f64, capacity_share: f64, now: Micros) -> bool {
        let window = self.machine.overload_window;
        self.recent_work.push_back(RecentWork { arrived_at: now, micros: work });
        while self.recent_work.front().is_some_and(|recent| now - recent.arrived_at > window) {
            self.recent_work.pop_front();
        }
        let sent: f64 = self.recent_work.iter().map(|recent| recent.micros).sum();
        let capacity = self.machine.cores as f64 * capacity_share * window as f64;
        sent > self.machine.overload_factor * capacity
    }
}
