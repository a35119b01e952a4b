//! Replication of ledgers between the ingresses of a group.
//!
//! The messages of calls are authenticated by the group's key. Calls only read, so that a replayed call changes nothing.
//! A nonce binds each answer to its question.

mod authentication;
mod client;
mod server;

use super::LedgerHandle;
use crate::peers::Key;
use async_channel::Receiver;
use authentication::Authenticator;
use chalkgap_ledger::entry;
use chalkgap_ledger::reconcile::Config;
use chalkgap_runtime::{BoxFuture, Listener, Micros};
use chalkgap_transport::unary::{self, Limits};
use chalkgap_wire::fleet::Range;
use std::sync::Arc;

/// Maximum number of entries in an answer.
const MAX_ENTRIES: u64 = 4096;
/// Maximum size of an answer's body, without the authentication.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Maximum number of ranges that an ingress lists.
const MAX_RANGES: usize = 65_536;
/// Maximum size of a question.
const MAX_QUESTION_BYTES: usize = 1 << 20;
/// Maximum number of concurrent calls on a connection.
const CALLS_PER_CONNECTION: u32 = 2;
/// Idle timeout: a connection without a call is closed after this time.
const IDLE_MICROS: Micros = 10_000_000;

/// Returns the tasks that answer other ingresses and fetch from them. Empty if the settings have no group.
pub(super) fn tasks(
    ledger: &Arc<LedgerHandle>,
    listener: Box<dyn Listener>,
    alive: &Receiver<()>,
) -> Vec<BoxFuture<'static, ()>> {
    let Some(group) = ledger.settings.group.clone() else { return Vec::new() };
    // Settings from a script have a valid key. Settings built by an embedding program may not, and disable replication.
    let Some(key) = Key::parse(&group.key) else { return Vec::new() };
    let authenticator = Arc::new(Authenticator { key, ingress: ledger.ingress });
    let limits = Limits {
        connections: 2 * group.addresses.len() + 2,
        calls: CALLS_PER_CONNECTION,
        message: MAX_QUESTION_BYTES,
        idle: IDLE_MICROS,
    };
    let handler = server::handler(ledger.clone(), authenticator.clone());
    let serve = unary::serve(ledger.runtime.clone(), listener, limits, handler, alive.clone());
    let mut tasks: Vec<BoxFuture<'static, ()>> = vec![Box::pin(serve)];
    let config = Config {
        list_interval: group.every_ms * 1000,
        max_entries_per_second: group.per_second,
        max_entries_per_fetch: MAX_ENTRIES,
        max_ranges: MAX_RANGES,
    };
    for (peer, address) in group.addresses.iter().filter(|(peer, _)| **peer != ledger.ingress) {
        let replication = client::run(ledger.clone(), authenticator.clone(), *peer, *address, config);
        tasks.push(Box::pin(replication));
    }
    tasks
}

fn to_wire(range: &entry::Range) -> Range {
    let entry::Range { ingress, incarnation, from, to } = *range;
    Range { ingress, incarnation, from, to }
}

fn from_wire(range: &Range) -> entry::Range {
    let Range { ingress, incarnation, from, to } = *range;
    entry::Range { ingress, incarnation, from, to }
}
