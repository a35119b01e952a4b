//! What an instance counts. The counters are logged when it stops, and read through the library: no decision reads them.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Running totals since the start of an instance.
        #[derive(Default)]
        pub struct Telemetry { $($(#[doc = $doc])+ pub $name: AtomicU64,)+ }

        /// [`Telemetry`] at one moment.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
        pub struct Counts { $($(#[doc = $doc])+ pub $name: u64,)+ }

        impl Telemetry {
            /// The totals now.
            pub fn counts(&self) -> Counts {
                Counts { $($name: self.$name.load(Ordering::Relaxed),)+ }
            }
        }
    };
}

counts! {
    /// Connections of clients.
    connections,
    /// Connections of clients that were given up for an error of theirs.
    connections_bad,
    /// Connections of clients that were refused.
    connections_refused,
    /// Idle connections that were closed to make room.
    connections_evicted,
    /// Times that accepting failed for want of a resource.
    accept_failed,
    /// Calls and connections given up because they moved too slowly.
    too_slow,
    /// Calls that were answered without reaching the core: they are invalid.
    invalid,
    /// Requests that were passed to the driver.
    requests,
    /// Answered with a node's answer.
    served,
    /// Refused.
    refused,
    /// Failed.
    failed,
    /// The client left before an answer.
    withdrawn,
    /// Attempts handed to a connection.
    attempts,
    /// Attempts that ended by their time.
    timed_out,
    /// Attempts that found no connection.
    connect_failed,
    /// Messages of peers taken.
    peer_in,
    /// Messages of peers dropped.
    peer_dropped,
    /// Messages sent to peers.
    peer_out,
    /// Messages of the view of the fleet taken.
    view_in,
    /// Messages sent for the view of the fleet.
    view_out,
    /// Node lists taken.
    lists,
    /// Node lists refused.
    lists_bad,
    /// Connections of MQTT clients that were let in, and those that were not for their user or password.
    mqtt_connected,
    /// See `mqtt_connected`.
    mqtt_denied,
    /// Publishes that came again with DUP, and may have run elsewhere: not run.
    mqtt_repeated,
    /// Sessions that were taken over by a new connection.
    mqtt_taken_over,
    /// Requests refused because the ledger's disk was slow or had failed.
    ledger_refused,
    /// Requests served without an entry, as the ledger's disk had failed.
    ledger_without,
    /// Entries that the ledger's disk has, copies of others' in.
    ledger_entries,
    /// Groups of entries that were written and synced.
    ledger_groups,
    /// Lookups sent to nodes for requests whose end nobody saw; without an answer: `ledger_unanswered`.
    ledger_asked,
    /// See `ledger_asked`.
    ledger_unanswered,
    /// Ends that were presumed.
    ledger_presumed,
    /// Entries of others that say something else than the ones here.
    ledger_conflicts,
    /// Calls to other ingresses about their ledgers that failed, or whose answers were not taken.
    ledger_peer_failed,
    /// Calls of others that were not taken: not by a holder of the key, or broken.
    ledger_peer_refused,
    /// Batches that the consumer has, handed over by this ingress.
    ledger_exported,
    /// Batches that got no word, or another's in their place.
    ledger_export_again,
}

/// Counts one more.
pub fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
