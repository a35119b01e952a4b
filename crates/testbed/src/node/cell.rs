//! Deduplication by idempotency key.

use crate::lock;
use chalkgap_runtime::Micros;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Number of keys above which expired keys are removed.
const MAX_KEYS_BEFORE_EXPIRY: usize = 100_000;

#[derive(Debug)]
struct RememberedKey {
    since: Micros,
    request: String,
}

/// The idempotency keys that the nodes of a cell remember, shared by all of them.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The cell's name.
    pub name: String,
    window: Micros,
    keys: Arc<Mutex<HashMap<String, RememberedKey>>>,
}

impl Cell {
    /// Creates a cell that remembers each key for `window` microseconds.
    pub fn new(name: &str, window: Micros) -> Self {
        Cell { name: name.into(), window, keys: Arc::default() }
    }

    /// Remembers a key. If the key is known, returns the request that carried it first.
    pub(super) fn first_request(&self, key: &str, request: &str, now: Micros) -> Option<String> {
        let mut keys = lock(&self.keys);
        if keys.len() > MAX_KEYS_BEFORE_EXPIRY {
            keys.retain(|_, remembered| now - remembered.since <= self.window);
        }
        match keys.get(key) {
            Some(first) if now.saturating_sub(first.since) <= self.window => Some(first.request.clone()),
            _ => {
                keys.insert(key.into(), RememberedKey { since: now, request: request.into() });
                None
            }
        }
    }
}
