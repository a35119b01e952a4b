//! The journal: events at clients, nodes, the registry and the ingresses' processes, with times.

use chalkgap_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Name of the descriptor entry that carries a client's call number to the nodes. Ingresses forward it unchanged.
pub const CALL_ENTRY: &str = "call";

/// The result of a call, as its client observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The call was answered with OK.
    Served,
    /// The call was answered with OVER_LIMIT.
    Refused {
        /// Time in microseconds after which the client may retry; 0 if the answer has none.
        pause: Micros,
    },
    /// The call failed with a gRPC status.
    Failed {
        /// The status code.
        code: u32,
    },
    /// The connection broke or could not be opened, so that no answer arrived.
    Broken,
    /// The call was never sent, or the ingress stated that it did not process it (REFUSED_STREAM, GOAWAY).
    NotTaken,
    /// The client stopped waiting, some time after the deadline.
    Left,
}

/// An event that was observed outside of the ingresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// A client sent a call to an ingress.
    Asked {
        /// Number of the call, unique over all attempts of all clients.
        call: u64,
        /// Number of the ingress.
        ingress: u16,
        /// The account that the call is charged to.
        account: String,
        /// The request class.
        class: String,
        /// Number of quota units.
        units: u32,
        /// The client's idempotency key.
        key: Option<String>,
        /// When the client stops waiting.
        deadline: Micros,
    },
    /// A call ended at its client.
    Answered {
        /// Number of the call.
        call: u64,
        /// The result.
        answer: Answer,
    },
    /// A node received an attempt and did not refuse it.
    Arrived {
        /// Address of the node.
        node: SocketAddr,
        /// Name of the node's cell.
        cell: String,
        /// Number of the call.
        call: u64,
        /// The ingress's name for the request, which starts with the ingress's number.
        request: String,
        /// The idempotency key that the attempt carries.
        key: Option<String>,
    },
    /// A node completed an attempt, so that its effect exists. Not noted for duplicates that the node dropped.
    Ran {
        /// Address of the node.
        node: SocketAddr,
        /// Number of the call.
        call: u64,
        /// The idempotency key that the attempt carries.
        key: Option<String>,
    },
    /// A node was overloaded during its slow start and stopped serving.
    Fell {
        /// Address of the node.
        node: SocketAddr,
    },
    /// The registry sent an ingress the state of a node.
    Told {
        /// Number of the ingress.
        ingress: u16,
        /// Address of the node.
        node: SocketAddr,
        /// Whether the node accepts new work.
        ready: bool,
    },
    /// An ingress violated the protocol towards a client, such as by a second answer or an invalid frame.
    Broke {
        /// Number of the ingress.
        ingress: u16,
        /// Description of the violation.
        what: String,
    },
    /// An ingress's process was suspended until `until`.
    Stalled {
        /// Number of the ingress.
        ingress: u16,
        /// When the process was resumed.
        until: Micros,
    },
    /// An ingress's process was killed.
    Killed {
        /// Number of the ingress.
        ingress: u16,
    },
}

/// A journal entry: the time and the event.
pub type Entry = (Micros, Seen);

/// A journal that is shared by several writers.
#[derive(Clone, Default)]
pub struct Journal {
    entries: Arc<Mutex<Vec<Entry>>>,
    disabled: bool,
}

impl Journal {
    /// Creates a journal that discards all entries, for load of unlimited duration.
    pub fn disabled() -> Journal {
        Journal { entries: Arc::default(), disabled: true }
    }

    /// Adds an entry.
    pub fn note(&self, at: Micros, seen: Seen) {
        if !self.disabled {
            self.lock().push((at, seen));
        }
    }

    /// Returns all entries so far, ordered by time.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.lock().clone();
        entries.sort_by_key(|entry| entry.0);
        entries
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        // Poisoning is ignored: an entry is added by a single push, so that the list is consistent after a panic.
        self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
