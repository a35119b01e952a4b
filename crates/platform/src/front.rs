//! Clients' connections: bytes to [`Session`], requests to the driver, answers back.

use crate::request::{Grammar, Request, Work};
use crate::session::{Heard, Session, MOST_OPEN};
use async_channel::Sender;
use chalkgap::frontend::{
    Answer, Customer, DriverEvent, Frontend, PendingRequest, Permit, RequestEnd, Response,
};
use chalkgap::telemetry::{add, Telemetry};
use chalkgap_core::{CustomerId, RequestId};
use chalkgap_runtime::{BoxFuture, Micros, Shared, Stream};
use chalkgap_transport::{linger, Pipe, Turn};
use futures_lite::{future, AsyncWriteExt};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A connection that has not asked anything for so long after it was let in is closed; so is one that leaves a command
/// half sent.
const PATIENCE: Micros = 2_200_000;
/// A client that is to make place for another and has begun a command has so long to send the rest.
const SENDING: Micros = 400_000;
/// A client that reads nothing of what it is owed for so long is given up.
const UNREAD: Micros = 10_000_000;
/// How long a client that is told to go may take to close.
const LINGER: Micros = 300_000;
/// For the way back: an answer has to be with the client by its deadline.
const MARGIN: Micros = 4_000;

/// What all connections share.
#[derive(Clone)]
pub struct FrontendContext {
    pub runtime: Shared,
    pub telemetry: Arc<Telemetry>,
    pub driver: Sender<DriverEvent<Work>>,
    pub grammar: Arc<Grammar>,
    /// The next request's number.
    pub ids: Arc<AtomicU64>,
    /// Ids of clients' requests that are open.
    pub open: Arc<Mutex<HashSet<u64>>>,
    /// When what is still open is answered all the same, as the platform kills the process soon; 0 before the drain.
    pub overtime: Arc<AtomicU64>,
}

impl FrontendContext {
    fn open(&self) -> MutexGuard<'_, HashSet<u64>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ask(&self, token: u32, request: Request, reply: Sender<Response>) -> PendingRequest<Work> {
        let Request { customer, class, plan, wait, units, width, first, work, .. } = request;
        let customer =
            Customer { id: CustomerId(customer), plan, first_gateway: first, gateway_count: width };
        let deadline = self.runtime.now() + wait.saturating_sub(MARGIN);
        let id = RequestId(self.ids.fetch_add(1, Ordering::Relaxed));
        PendingRequest {
            id,
            class,
            account: String::new(),
            customer,
            units,
            deadline,
            work,
            response_sender: reply,
            token,
        }
    }
}

/// The platform's front.
#[derive(Clone)]
pub struct Resp;

impl Frontend for Resp {
    type Context = FrontendContext;

    fn serve(
        &self,
        context: FrontendContext,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            let (reply, replies) = async_channel::bounded(MOST_OPEN);
            let runtime = context.runtime.clone();
            let session = Session::new(context.grammar.clone());
            let pipe = Pipe::new(runtime, stream, session, replies, permit.signal.clone());
            let began = context.runtime.now();
            let asked = HashMap::new();
            Client { context, permit, reply, asked, began, partial: None, closing: None }.serve(pipe).await;
        })
    }

    fn reject(&self, runtime: Shared, mut stream: Box<dyn Stream>, pause: Micros) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            let write = async {
                // Nothing of what it asks has left, and will not: harmless to ask again. Whether this is read or not, the
                // connection is closed.
                let text = match pause {
                    0 => "-BUSY\r\n".to_owned(),
                    pause => format!("-BUSY {}\r\n", pause.div_ceil(1000)),
                };
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    future::poll_fn(|cx| linger(&mut *stream, cx)).await;
                }
            };
            future::or(write, runtime.sleep_until(runtime.now() + LINGER)).await;
        })
    }
}

struct Client {
    context: FrontendContext,
    permit: Permit,
    reply: Sender<Response>,
    /// Requests that are out, by the numbers of their slots.
    asked: HashMap<u32, (RequestId, u64)>,
    began: Micros,
    /// Since when a command is half there.
    partial: Option<Micros>,
    /// Since when the end of the connection has begun with that of the process.
    closing: Option<Micros>,
}

type ClientPipe = Pipe<Response, Session>;

impl Client {
    async fn serve(mut self, mut pipe: ClientPipe) {
        loop {
            let overtime = Some(self.context.overtime.load(Ordering::Relaxed)).filter(|o| *o > 0);
            let silent = (pipe.conn.commands() == 0 && !pipe.conn.stopped()).then_some(self.began + PATIENCE);
            let half = self.partial.map(|p| p + PATIENCE);
            let unread = pipe.backlog().map(|b| b.0 + UNREAD);
            let rest = self.closing.filter(|_| pipe.conn.reads()).map(|c| c + SENDING);
            let until = [overtime, silent, half, unread, rest].into_iter().flatten().min();
            let read = pipe.conn.reads();
            match pipe.turn(until, read).await {
                Turn::Read => {}
                Turn::Command(reply) => {
                    self.answered(reply, &mut pipe.conn);
                    while let Some(reply) = pipe.command() {
                        self.answered(reply, &mut pipe.conn);
                    }
                }
                Turn::Signal => {
                    // It comes when nothing is there to be read.
                    let now = self.context.runtime.now();
                    let sending = self.partial.is_some_and(|p| now < p + SENDING);
                    if self.permit.draining() {
                        self.closing = Some(now);
                        pipe.conn.close();
                    } else if pipe.conn.idle() && !sending {
                        pipe.conn.stop();
                    } else {
                        pipe.watch(self.permit.refuse_eviction());
                    }
                }
                Turn::Time => {
                    let now = self.context.runtime.now();
                    let due = |t: Option<Micros>| t.is_some_and(|t| t <= now);
                    if due(overtime) {
                        self.overtime(&mut pipe.conn).await;
                    } else if due(unread) {
                        break;
                    } else if due(rest) {
                        pipe.conn.shut();
                    } else if due(half) || due(silent) {
                        add(&self.context.telemetry.too_slow);
                        pipe.conn.fail("ERR no whole command in time");
                    }
                }
                Turn::Bad(never) => match never {},
                Turn::Closed => {
                    tracing::debug!(open = self.asked.len(), read, "client left");
                    break;
                }
            }
            let before = pipe.conn.commands();
            if !self.heard(&mut pipe).await {
                break;
            }
            if before == 0 && pipe.conn.commands() > 0 {
                self.permit.handshake_completed();
            }
            // Who sends without a pause always has the beginning of the next command here: only one that does not grow
            // whole is half a command.
            self.partial = match pipe.conn.partial() && pipe.conn.reads() {
                true if before == pipe.conn.commands() => self.partial.or(Some(self.context.runtime.now())),
                true => Some(self.context.runtime.now()),
                false => None,
            };
            if pipe.conn.over() {
                let until = self.context.runtime.now() + LINGER;
                self.permit.linger(pipe.close(until)).await;
                break;
            }
        }
        self.give_up().await;
    }

    /// Takes what can be taken of what the client has sent; false if it has left meanwhile.
    async fn heard(&mut self, pipe: &mut ClientPipe) -> bool {
        loop {
            let next = pipe.conn.next(|id| self.context.open().insert(id));
            let Some(Heard { token, request }) = next else { return true };
            self.permit.request_started();
            let id = request.id;
            let ask = self.context.ask(token, request, self.reply.clone());
            self.asked.insert(token, (ask.id, id));
            match pipe.hand_over(&self.context.driver, DriverEvent::Request(Box::new(ask))).await {
                Some(true) => {}
                Some(false) => pipe.conn.stop(), // the instance has stopped
                None => return false,
            }
        }
    }

    fn answered(&mut self, reply: Response, session: &mut Session) {
        let Some((_, id)) = self.asked.remove(&reply.token) else { return };
        self.context.open().remove(&id);
        let rejected = matches!(reply.answer, Answer::Rejected { .. });
        self.permit.request_ended(if rejected { RequestEnd::Rejected } else { RequestEnd::Other });
        session.answered(reply.token, reply.answer);
    }

    /// The process will be killed soon: what is still open has failed.
    async fn overtime(&mut self, session: &mut Session) {
        for token in self.give_up().await {
            self.permit.request_ended(RequestEnd::Other);
            session.answered(token, Answer::Failed { late: true });
        }
        session.refuse_rest();
    }

    /// Nobody waits for what is out any more; gives the numbers of its slots.
    async fn give_up(&mut self) -> Vec<u32> {
        let asked = std::mem::take(&mut self.asked);
        for (request, id) in asked.values() {
            self.context.open().remove(id);
            let _ = self.context.driver.send(DriverEvent::ClientGone(*request)).await;
            // closed: the instance has stopped
        }
        asked.into_keys().collect()
    }
}
