//! Asks nodes about requests whose end nobody saw.

use super::{lock, Desk};
use crate::telemetry::add;
use async_channel::Receiver;
use chalkgap_ledger::clerk::Truth;
use chalkgap_ledger::entry::Id;
use chalkgap_transport::{unary, while_alive};
use chalkgap_wire::grpc;
use chalkgap_wire::truth::{Answer, Fate, Question, ASK, MOST};
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;

/// Nodes that are asked at once: each takes a descriptor for a moment.
const NODES: usize = 8;
/// How long a node may take, in microseconds.
const PATIENCE: u64 = 2_000_000;

pub(super) async fn ask(desk: Arc<Desk>, alive: Receiver<()>) {
    loop {
        desk.runtime.sleep_until(desk.runtime.now() + 100_000).await;
        let asks = lock(&desk.clerk).ask(desk.runtime.now(), MOST, NODES);
        let mut calls = Vec::new();
        for (node, list) in asks {
            let task = one(desk.clone(), node, list);
            calls.push(desk.runtime.spawn(Box::pin(while_alive(alive.clone(), task))));
        }
        for call in calls {
            call.await;
        }
    }
}

async fn one(desk: Arc<Desk>, node: String, list: Vec<(Id, String)>) {
    add(&desk.telemetry.ledger_asked);
    let Ok(address) = node.parse::<SocketAddr>() else { return };
    let requests: Vec<String> = list.iter().map(|l| l.1.clone()).collect();
    let question = grpc::frame(&Question { requests });
    let until = desk.runtime.now() + PATIENCE;
    let answer = unary::call(&desk.runtime, address, ASK, question, 64 << 10, until).await;
    let answer = answer.ok().and_then(|m| Answer::decode(m).ok());
    let Some(answer) = answer.filter(|a| a.fates.len() == list.len()) else {
        return add(&desk.telemetry.ledger_unanswered);
    };
    let now = desk.runtime.now();
    {
        let mut clerk = lock(&desk.clerk);
        for ((id, _), fate) in list.iter().zip(&answer.fates) {
            let truth = match Fate::try_from(*fate) {
                Ok(Fate::Never) => Truth::Never,
                Ok(Fate::Running) => Truth::Running,
                Ok(Fate::Ran) => Truth::Ran,
                Ok(Fate::Unknown) | Err(_) => Truth::Unknown,
            };
            clerk.truth(now, *id, &node, truth);
        }
    }
    desk.woken();
}
