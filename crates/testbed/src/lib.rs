//! Fakes of everything that a gateway communicates with, over the same public protocols, for tests, drills and manual trials.
//!
//! - [`node`]: a backend with fault injection
//! - [`registry`]: a registry that pushes endpoint lists
//! - [`client`], [`mqtt`]: clients of the rate limit service and of MQTT
//! - [`billing`]: a billing consumer
//! - [`flood`]: more client connections than a gateway accepts
//! - [`network`]: links that are cut, lossy, delayed or slow
//! - [`rogue`]: a gateway that breaks one rule, to test the auditor
//! - [`journal`]: what the fakes sent and received. The auditor reads only the journal and no counters of a gateway.

pub mod billing;
pub mod client;
pub mod flood;
pub mod journal;
pub mod mqtt;
pub mod network;
pub mod node;
pub mod registry;
pub mod rogue;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
