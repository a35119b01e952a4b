//! Deduplication by idempotency key.

use crate::lock;
use chalkgap_runtime::Micros;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Keys from which on those that have expired are dropped.
const MAX_KEYS_BEFORE_EXPIRY: usize = 100_000;

#[derive(Debug)]
struct Remembered {
    since: Micros,
    request: String,
}

/// The idempotency keys that the nodes of a cell remember, one memory for all of them.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Its name.
    pub name: String,
    window: Micros,
    keys: Arc<Mutex<HashMap<String, Remembered>>>,
}

impl Cell {
    /// A cell that remembers each key for `window`.
    pub fn new(name: &str, window: Micros) -> Self {
        Cell { name: name.into(), window, keys: Arc::default() }
    }

    /// Remembers a key. If it is known, returns the request that brought it first.
    pub(super) fn first_request(&self, key: &str, request: &str, now: Micros) -> Option<String> {
        let mut keys = lock(&self.keys);
        if keys.len() > MAX_KEYS_BEFORE_EXPIRY {
            keys.retain(|_, remembered| now - remembered.since <= self.window);
        }
        match keys.get(key) {
            Some(first) if now.saturating_sub(first.since) <= self.window => Some(first.request.clone()),
            _ => {
                keys.insert(key.into(), Remembered { since: now, request: request.into() });
                None
            }
        }
    }
}
