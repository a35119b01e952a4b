//! Queries nodes about requests whose result is unknown.

use super::{lock, LedgerHandle};
use crate::telemetry::add;
use async_channel::Receiver;
use chalkgap_ledger::recorder::{LookupRequest, RequestStatus};
use chalkgap_runtime::{Micros, Task};
use chalkgap_transport::unary::{self, CallTimeouts};
use chalkgap_transport::while_alive;
use chalkgap_wire::grpc;
use chalkgap_wire::truth::{Answer, ExecutionStatus, Question, ASK, MAX_REQUESTS};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval between two checks for lookups that are due.
const CHECK_MICROS: Micros = 100_000;
/// Maximum number of nodes that are queried concurrently. Each call uses a file descriptor.
const MAX_NODES: usize = 8;
/// A node that is down must not hold a query, and its descriptor, for longer than 2 s. One that is alive may take longer: without
/// its answer the outcome would be presumed.
const CALL_TIMEOUTS: CallTimeouts = CallTimeouts { silence: 2_000_000, total: 20_000_000 };
/// Maximum size of a node's answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Queries nodes at intervals. Calls in flight are cancelled when `alive` is closed. A node whose call is in flight delays no
/// query to another one.
pub(super) async fn run(ledger: Arc<LedgerHandle>, alive: Receiver<()>) {
    let mut calls: BTreeMap<String, Task> = BTreeMap::new();
    loop {
        ledger.runtime.sleep_until(ledger.runtime.now() + CHECK_MICROS).await;
        calls.retain(|_, call| !call.is_finished());
        let free_calls = MAX_NODES - calls.len();
        let lookups = lock(&ledger.recorder).lookups_due(ledger.runtime.now(), MAX_REQUESTS, free_calls);
        for (node, requests) in lookups {
            if calls.contains_key(&node) {
                continue;
            }
            let call = query_node(ledger.clone(), node.clone(), requests);
            calls.insert(node, ledger.runtime.spawn(Box::pin(while_alive(alive.clone(), call))));
        }
    }
}

async fn query_node(ledger: Arc<LedgerHandle>, node: String, requests: Vec<LookupRequest>) {
    add(&ledger.telemetry.ledger_asked);
    let Ok(address) = node.parse::<SocketAddr>() else { return };
    let question = Question { requests: requests.iter().map(|lookup| lookup.request.clone()).collect() };
    let question = grpc::frame(&question);
    let answer = unary::call(&ledger.runtime, address, ASK, question, MAX_ANSWER_BYTES, CALL_TIMEOUTS).await;
    let answer = answer.ok().and_then(|message| Answer::decode(message).ok());
    let Some(answer) = answer.filter(|answer| answer.statuses.len() == requests.len()) else {
        return add(&ledger.telemetry.ledger_unanswered);
    };
    let now = ledger.runtime.now();
    {
        let mut recorder = lock(&ledger.recorder);
        for (lookup, status) in requests.iter().zip(&answer.statuses) {
            recorder.lookup_answered(now, lookup.id, &node, status_of(*status));
        }
    }
    ledger.wake_writer();
}

fn status_of(status: i32) -> RequestStatus {
    match ExecutionStatus::try_from(status) {
        Ok(ExecutionStatus::Never) => RequestStatus::NeverRan,
        Ok(ExecutionStatus::Running) => RequestStatus::Running,
        Ok(ExecutionStatus::Ran) => RequestStatus::Ran,
        Ok(ExecutionStatus::Unknown) | Err(_) => RequestStatus::Unknown,
    }
}
