//! The memory of one client connection within a [`MemoryBudget`].
//!
//! A small part is guaranteed to each connection and is not counted, so that short messages never wait for others. Beyond that a
//! connection is read only while the budget allows it. When it does not, the connections that hold the most unfinished input for
//! the longest time are told to give it back.

use crate::memory_budget::{MemoryBudget, MemoryOwner, MemoryReservation};
use chalkgap_runtime::{Micros, Runtime};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Waker};

/// Unfinished input that is younger than this is not reclaimed: a client that sends without a pause needs less.
const MIN_RECLAIM_AGE_MICROS: Micros = 300_000;
/// Shortest time between two searches for a connection to reclaim memory from.
const SEARCH_INTERVAL_MICROS: Micros = 2_000;

/// What a connection holds that could be given back.
#[derive(Default)]
struct Holder {
    /// Bytes of unfinished input; 0 if the connection has something else to complete.
    reclaimable_bytes: AtomicUsize,
    /// When the unfinished input began.
    since: AtomicU64,
    /// Whether the connection was told to give its input back.
    is_reclaimed: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

/// All connections of a budget.
#[derive(Default)]
pub(crate) struct Holders {
    by_number: Mutex<HashMap<u64, Arc<Holder>>>,
    next_number: AtomicU64,
    next_search: AtomicU64,
}

impl Holders {
    fn by_number(&self) -> MutexGuard<'_, HashMap<u64, Arc<Holder>>> {
        self.by_number.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the connection with the largest and oldest unfinished input to give it back. Input that began after `before` is left
    /// alone. Does nothing while a connection that was told has not done so yet.
    fn reclaim(&self, now: Micros, before: Micros) {
        if now < self.next_search.load(Ordering::Relaxed) {
            return;
        }
        self.next_search.store(now + SEARCH_INTERVAL_MICROS, Ordering::Relaxed);
        let holders = self.by_number();
        if holders.values().any(|holder| holder.is_reclaimed.load(Ordering::Relaxed)) {
            return;
        }
        let candidates = holders.values().filter_map(|holder| {
            let bytes = holder.reclaimable_bytes.load(Ordering::Relaxed);
            let since = holder.since.load(Ordering::Relaxed);
            let age = now.saturating_sub(since);
            let is_candidate = bytes > 0 && since < before && age >= MIN_RECLAIM_AGE_MICROS;
            is_candidate.then(|| (bytes as u64 * age, holder))
        });
        let Some((_, holder)) = candidates.max_by_key(|(rank, _)| *rank) else { return };
        holder.is_reclaimed.store(true, Ordering::Relaxed);
        let waker = holder.waker.lock().unwrap_or_else(PoisonError::into_inner).take();
        waker.into_iter().for_each(Waker::wake);
    }
}

/// The part of a budget that one connection holds.
pub(crate) struct ConnectionMemory {
    budget: Arc<MemoryBudget>,
    reservation: MemoryReservation,
    /// Bytes that the connection may hold whatever the others hold.
    guaranteed_bytes: usize,
    holder: Arc<Holder>,
    number: u64,
    /// When the unfinished input began; `None` if there is none.
    unfinished_since: Option<Micros>,
}

impl ConnectionMemory {
    pub(crate) fn new(budget: Arc<MemoryBudget>, guaranteed_bytes: usize) -> Self {
        let holder = Arc::new(Holder::default());
        let number = budget.holders.next_number.fetch_add(1, Ordering::Relaxed);
        budget.holders.by_number().insert(number, holder.clone());
        let reservation = budget.reservation(MemoryOwner::ClientBuffers);
        ConnectionMemory { budget, reservation, guaranteed_bytes, holder, number, unfinished_since: None }
    }

    /// Returns how much more the connection may hold whatever the others hold, if it holds `held` bytes.
    pub(crate) fn guaranteed_rest(&self, held: usize) -> usize {
        self.guaranteed_bytes.saturating_sub(held)
    }

    /// Records that the connection holds `held` bytes, of which `unfinished` are input that could be given back.
    pub(crate) fn update(&mut self, runtime: &dyn Runtime, held: usize, unfinished: impl Fn() -> usize) {
        let counted = held.saturating_sub(self.guaranteed_bytes);
        if counted != self.reservation.bytes() {
            self.reservation.resize(counted);
        }
        let reclaimable = if counted > 0 { unfinished() } else { 0 };
        let is_unfinished = reclaimable > 0;
        if is_unfinished != self.unfinished_since.is_some() {
            let now = runtime.now();
            self.unfinished_since = is_unfinished.then_some(now);
            self.holder.since.store(now, Ordering::Relaxed);
        }
        self.holder.reclaimable_bytes.store(reclaimable, Ordering::Relaxed);
    }

    /// Reserves what the connection holds after another read, `held` bytes. If the budget does not allow that, asks the others for
    /// memory and returns false.
    pub(crate) fn reserve(&mut self, runtime: &dyn Runtime, held: usize) -> bool {
        let missing = held.saturating_sub(self.guaranteed_bytes).saturating_sub(self.reservation.bytes());
        if missing == 0 || self.reservation.grow(missing) {
            return true;
        }
        let now = runtime.now();
        self.budget.holders.reclaim(now, self.unfinished_since.unwrap_or(now));
        false
    }

    /// Whether the connection was told to give its unfinished input back. It is woken when it is told.
    pub(crate) fn poll_reclaimed(&mut self, cx: &mut Context<'_>) -> bool {
        if self.holder.is_reclaimed.swap(false, Ordering::Relaxed) {
            return true;
        }
        if self.reservation.bytes() > 0 {
            let mut waker = self.holder.waker.lock().unwrap_or_else(PoisonError::into_inner);
            if !waker.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
                *waker = Some(cx.waker().clone());
            }
        }
        false
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.budget.holders.by_number().remove(&self.number);
    }
}
