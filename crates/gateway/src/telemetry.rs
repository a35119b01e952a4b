//! Counters of an instance. They are logged when the instance stops and can be read through the library. No decision
//! depends on them.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Counters of an instance since its start.
        #[derive(Default)]
        pub struct Telemetry { $($(#[doc = $doc])+ pub $name: AtomicU64,)+ }

        /// The values of [`Telemetry`] at one time.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
        pub struct Counts { $($(#[doc = $doc])+ pub $name: u64,)+ }

        impl Telemetry {
            /// Returns the current values.
            pub fn counts(&self) -> Counts {
                Counts { $($name: self.$name.load(Ordering::Relaxed),)+ }
            }
        }
    };
}

counts! {
    /// Client connections that were admitted.
    connections,
    /// Client connections that were closed because of an error of the client.
    connections_bad,
    /// Client connections that were rejected.
    connections_refused,
    /// Idle client connections that were closed to free descriptors.
    connections_evicted,
    /// Failures to accept a connection for lack of a resource.
    accept_failed,
    /// Calls and connections that were closed because the client was too slow.
    too_slow,
    /// Calls that were invalid and were answered without reaching the core.
    invalid,
    /// Requests that were passed to the driver.
    requests,
    /// Requests that were answered with a node's answer.
    served,
    /// Requests that were rejected by the core, or because too many were in flight.
    refused,
    /// Requests that failed and may have run.
    failed,
    /// Requests whose client cancelled or disconnected before the answer.
    withdrawn,
    /// Attempts that were started.
    attempts,
    /// Attempts that reached their deadline.
    timed_out,
    /// Attempts whose connection could not be established.
    connect_failed,
    /// Gossip messages that were accepted from peers.
    peer_in,
    /// Datagrams and messages from peers that were dropped.
    peer_dropped,
    /// Gossip messages that were queued for sending to peers.
    peer_out,
    /// Membership messages that were accepted.
    view_in,
    /// Membership messages that were sent.
    view_out,
    /// Node lists that were accepted.
    lists,
    /// Node lists that were invalid or could not be read, and discovery calls that ended.
    lists_bad,
    /// MQTT connections whose user and password were accepted.
    mqtt_connected,
    /// MQTT connections whose user or password was rejected.
    mqtt_denied,
    /// MQTT publishes with the DUP flag that were not run because they may have run on another gateway.
    mqtt_repeated,
    /// MQTT sessions that were taken over by a new connection.
    mqtt_taken_over,
    /// Requests that were rejected because the ledger's disk was slow or had failed.
    ledger_refused,
    /// Requests that were accepted without a ledger entry because the ledger's disk had failed.
    ledger_without,
    /// Ledger entries that are on disk, including copies of other ingresses' entries.
    ledger_entries,
    /// Groups of ledger entries that were written and synced.
    ledger_groups,
    /// Lookups that were sent to nodes for requests whose result is not known.
    ledger_asked,
    /// Lookups that a node did not answer.
    ledger_unanswered,
    /// Requests whose result remained unknown, so that the ledger presumed it.
    ledger_presumed,
    /// Entries of other ingresses that contradict an entry in this ledger.
    ledger_conflicts,
    /// Replication calls to other ingresses that failed or whose answers were invalid.
    ledger_peer_failed,
    /// Replication calls of other ingresses that were rejected: sent without the key, or malformed.
    ledger_peer_refused,
    /// Export batches that the consumer has stored.
    ledger_exported,
    /// Export batches that the consumer did not confirm, or in whose place it has another batch.
    ledger_export_again,
}

/// Increments a counter by one.
pub fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
