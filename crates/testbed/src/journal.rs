//! What clients and nodes sent and received, with times.

use chalkgap_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The descriptor entry by which a client's call is known at the nodes. Ingresses pass it on unread.
pub const CALL_ENTRY: &str = "call";

/// How a call ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// OK.
    Served,
    /// OVER_LIMIT, with the pause that was told.
    Refused {
        /// Microseconds; 0 for no advice.
        pause: Micros,
    },
    /// A gRPC status.
    Failed {
        /// Its number.
        code: u32,
    },
    /// The connection broke, or none came about: no answer.
    Broken,
    /// It was never sent, or the ingress stated that it did not look at it (REFUSED_STREAM, GOAWAY).
    NotTaken,
    /// The client's time ran out, and a while more: it waits no longer.
    Left,
}

/// One thing that was seen outside of the ingresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// A client sent a call to an ingress.
    Asked {
        /// The call, unique over all tries.
        call: u64,
        /// The ingress, by number.
        ingress: u16,
        /// Whose.
        account: String,
        /// The class.
        class: String,
        /// Units.
        units: u32,
        /// The key that the client gave.
        key: Option<String>,
        /// When the client stops waiting.
        deadline: Micros,
    },
    /// A call ended at its client.
    Answered {
        /// The call.
        call: u64,
        /// How.
        answer: Answer,
    },
    /// A node received an attempt and hands it to its work.
    Arrived {
        /// The node.
        node: SocketAddr,
        /// The node's cell.
        cell: String,
        /// The call.
        call: u64,
        /// The ingress's name for the request; its number comes first.
        request: String,
        /// The key that came along.
        key: Option<String>,
    },
    /// An attempt that had arrived was done: its effect is there. Not written for repeats that were dropped.
    Ran {
        /// The node.
        node: SocketAddr,
        /// The call.
        call: u64,
        /// The key that came along.
        key: Option<String>,
    },
    /// A cold node was sent too much and fell over.
    Fell {
        /// The node.
        node: SocketAddr,
    },
    /// An ingress was told that a node takes nothing new, or takes work again.
    Told {
        /// The ingress.
        ingress: u16,
        /// The node.
        node: SocketAddr,
        /// It takes work.
        ready: bool,
    },
    /// An ingress broke the protocol towards a client: a second answer, or a frame that has no place.
    Broke {
        /// The ingress.
        ingress: u16,
        /// What the client found.
        what: String,
    },
    /// An ingress's process was stopped, and went on at `until`.
    Stalled {
        /// The ingress.
        ingress: u16,
        /// When it went on.
        until: Micros,
    },
    /// An ingress was killed.
    Killed {
        /// The ingress.
        ingress: u16,
    },
}

/// An entry: when, and what.
pub type Entry = (Micros, Seen);

/// A journal that many write to.
#[derive(Clone, Default)]
pub struct Journal(Arc<Mutex<Vec<Entry>>>, bool);

impl Journal {
    /// A journal that keeps nothing, for load without end.
    pub fn nowhere() -> Journal {
        Journal(Arc::default(), true)
    }

    /// Writes an entry.
    pub fn note(&self, at: Micros, seen: Seen) {
        if !self.1 {
            self.lock().push((at, seen));
        }
    }

    /// All entries so far, by time.
    pub fn entries(&self) -> Vec<Entry> {
        let mut list = self.lock().clone();
        list.sort_by_key(|e| e.0);
        list
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        // A writer that panicked has written whole entries all the same.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
