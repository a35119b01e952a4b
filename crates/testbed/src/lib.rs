//! Fakes of everything that a gateway meets, over the same public protocols, for tests, drills and trials by hand.
//!
//! - [`node`]: a backend that can be told to fail
//! - [`registry`]: pushes endpoint lists
//! - [`client`], [`mqtt`]: clients of the rate limit service and of MQTT
//! - [`billing`]: a billing consumer
//! - [`flood`]: more clients than there is capacity for
//! - [`network`]: links that are cut, lossy, late and slow
//! - [`rogue`]: a gateway that breaks one rule, to test the auditor
//! - [`journal`]: what passed on all their sockets. It is all that an auditor sees; no counter of a gateway is in it.

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

/// Locks a mutex; what a thread that panicked left behind is taken as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
