//! The ids that clients gave their requests, which must not run twice.
//!
//! An id is reserved from the moment at which its request is read until no attempt of it can run any more: until the request is
//! answered and its attempts have ended and, if an attempt was given up after it had been written, until the backend drops it
//! because its deadline has passed, and for an idempotency key until the end of its window.

use chalkgap_runtime::Micros;
use std::collections::{BTreeSet, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of ids that are kept after their requests have ended. Beyond it the ones that would end first are released.
const MAX_KEPT_IDS: usize = 16_384;

/// All reserved ids of an ingress.
#[derive(Default)]
pub struct OpenIds {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    reserved: HashSet<u64>,
    /// Reserved ids whose requests have ended, by the time of their release.
    kept: BTreeSet<(Micros, u64)>,
}

impl State {
    fn release_until(&mut self, now: Micros) {
        while self.kept.first().is_some_and(|(until, _)| *until <= now || self.kept.len() > MAX_KEPT_IDS) {
            if let Some((_, id)) = self.kept.pop_first() {
                self.reserved.remove(&id);
            }
        }
    }
}

impl OpenIds {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves an id at the time `now`. `None` if it is reserved already.
    pub fn reserve(self: &Arc<Self>, now: Micros, id: u64) -> Option<IdReservation> {
        let mut state = self.state();
        state.release_until(now);
        state.reserved.insert(id).then(|| IdReservation {
            ids: self.clone(),
            id,
            keep_until: AtomicU64::new(0),
        })
    }
}

/// A reserved id. Dropping it releases the id, at once or at the time that [`keep_until`](IdReservation::keep_until) was told.
pub struct IdReservation {
    ids: Arc<OpenIds>,
    id: u64,
    /// The earliest time of the release; 0 if the id may be released at once.
    keep_until: AtomicU64,
}

impl IdReservation {
    /// Keeps the id reserved until this time at least.
    pub fn keep_until(&self, until: Micros) {
        self.keep_until.fetch_max(until, Ordering::Relaxed);
    }
}

impl std::fmt::Debug for IdReservation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "IdReservation({:016x})", self.id)
    }
}

impl Drop for IdReservation {
    fn drop(&mut self) {
        let mut state = self.ids.state();
        match self.keep_until.load(Ordering::Relaxed) {
            0 => drop(state.reserved.remove(&self.id)),
            until => {
                state.kept.insert((until, self.id));
                state.release_until(0);
            }
        }
    }
}
