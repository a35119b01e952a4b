//! Where clients ask. A [`Frontend`] is a protocol; what all have in common is the [`FrontendContext`]: how connections are let in, how
//! a request is made out of what a client said, and how it gets to the driver. The driver knows no protocol: an
//! [`PendingRequest`] goes in, one [`Response`] comes out, and a client that is gone is told by `DriverEvent::Gone`.

pub(crate) mod grpc;
pub(crate) mod mqtt;

use crate::connection_gate::{ConnectionGate, Permit, Rejection, RequestEnd};
use crate::messages::{self, Answer, DriverEvent, PendingRequest, Response};
use crate::settings::{Compiled, KeyRule};
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_core::RequestId;
use chalkgap_runtime::{BoxFuture, Listener, Micros, Shared, Stream};
use chalkgap_transport::while_alive;
use chalkgap_wire::grpc as framing;
use chalkgap_wire::intake::Work;
use chalkgap_wire::ratelimit::Entry;
use futures_lite::future;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// A protocol that clients speak. Each of its connections is a task that has a [`Permit`].
pub trait Frontend: Clone + Send + Sync + 'static {
    /// What all its connections share.
    type Context: Clone + Send + Sync + 'static;
    /// Serves one connection to its end, or to that of the drain.
    fn serve(
        &self,
        context: Self::Context,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()>;
    /// Tells a client that there is no room, and when to come back.
    fn refuse(&self, runtime: Shared, stream: Box<dyn Stream>, pause: Micros) -> BoxFuture<'static, ()>;
}

/// Where connections of any protocol arrive.
#[derive(Clone)]
pub struct Acceptor {
    /// The world.
    pub runtime: Shared,
    /// What is counted.
    pub telemetry: Arc<Telemetry>,
    /// Its other end is dropped to begin the drain.
    pub drain: Receiver<()>,
    /// Its other end is dropped to stop at once.
    pub kill: Receiver<()>,
    /// Connections that are open.
    pub open: Arc<AtomicUsize>,
    /// Lets connections in.
    pub gate: Arc<ConnectionGate>,
}

/// What all connections of the gRPC and MQTT fronts share.
#[derive(Clone)]
pub struct FrontendContext {
    pub(crate) acceptor: Acceptor,
    pub(crate) settings: Arc<Compiled>,
    pub(crate) driver: Sender<DriverEvent>,
    /// The next request's number.
    pub(crate) ids: Arc<AtomicU64>,
    /// Sets this start's own keys apart from all others.
    pub(crate) name: String,
}

impl std::ops::Deref for FrontendContext {
    type Target = Acceptor;
    fn deref(&self) -> &Acceptor {
        &self.acceptor
    }
}

/// What a client wants, whatever it speaks.
pub(crate) struct Demand {
    pub account: String,
    /// None: the default one.
    pub class: Option<String>,
    /// What repeats are known by; none: it gave none.
    pub key: Option<String>,
    pub units: u32,
    /// When it came, and how long it may take from then.
    pub arrived: Micros,
    pub timeout: Option<Micros>,
    /// For the node, as it is.
    pub entries: Vec<Entry>,
    /// The body, for the node.
    pub payload: Bytes,
}

/// Why a demand is no request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Bad {
    #[error("account {0:?} is not known")]
    Account(String),
    #[error("entry {entry:?}: expected one of {known:?}, found {found}")]
    Class { entry: String, known: Vec<String>, found: String },
    #[error("hits_addend: at most {most}, found {found}")]
    Units { most: u32, found: u32 },
}

/// How the connection gate counts a request with this answer.
pub(crate) fn request_end(answer: &Answer, account: u64, preferred: bool) -> RequestEnd {
    match answer {
        Answer::Served { .. } => RequestEnd::Served { account, preferred },
        Answer::Rejected { .. } => RequestEnd::Rejected,
        Answer::Failed { .. } | Answer::ClientGone => RequestEnd::Other,
    }
}

/// How long a refused client may take to read why, in microseconds.
pub(crate) const WORD: Micros = 200_000;

/// Takes connections until the drain begins, then those that the system has accepted by then, and closes the listener: with
/// it they would be reset, with whole requests in them.
pub async fn listen<F: Frontend>(front: F, context: F::Context, at: Acceptor, listener: Box<dyn Listener>) {
    // Something is open as long as connections may be waiting here.
    at.open.fetch_add(1, Ordering::Relaxed);
    let mut draining = false;
    loop {
        let arrived = if draining {
            future::poll_once(listener.accept()).await
        } else {
            let drained = async {
                let _ = at.drain.recv().await;
                None
            };
            future::or(drained, async { Some(listener.accept().await) }).await
        };
        let Some(arrived) = arrived else {
            if draining {
                drop(listener);
                at.open.fetch_sub(1, Ordering::Relaxed);
                return;
            }
            draining = true;
            continue;
        };
        let stream = match arrived {
            Ok(stream) => stream,
            Err(e) => {
                // Out of descriptors or memory: at once it would fail again and again.
                at.runtime.sleep_until(at.gate.accept_failed(&e)).await;
                continue;
            }
        };
        match at.gate.admit(stream.peer().ip()) {
            Ok(permit) => {
                add(&at.telemetry.connections);
                at.open.fetch_add(1, Ordering::Relaxed);
                let open = at.open.clone();
                at.spawn(front.serve(context.clone(), stream, permit), move || {
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(Rejection { slot: Some(word), retry_after: pause }) => {
                at.spawn(front.refuse(at.runtime.clone(), stream, pause), move || drop(word));
            }
            // No descriptor is left to wait with: what can be said at once is said, and it is closed.
            Err(Rejection { retry_after: pause, .. }) => {
                let _ = future::poll_once(front.refuse(at.runtime.clone(), stream, pause)).await;
            }
        }
        // Hundreds may wait to be accepted: those that are to go for them go first, and those that ask are heard.
        future::yield_now().await;
    }
}

impl Acceptor {
    fn spawn(
        &self,
        task: impl std::future::Future<Output = ()> + Send + 'static,
        end: impl FnOnce() + Send + 'static,
    ) {
        let kill = self.kill.clone();
        let task = async move {
            while_alive(kill, task).await;
            end();
        };
        self.runtime.spawn(Box::pin(task)).detach();
    }
}

impl FrontendContext {
    /// Makes a request out of what a client said.
    pub fn ask(
        &self,
        id: RequestId,
        demand: Demand,
        token: u32,
        reply: Sender<Response>,
    ) -> Result<PendingRequest, Bad> {
        let Demand { account, class, key, units, arrived, timeout, entries, payload } = demand;
        let (settings, front) = (&self.settings, &self.settings.settings.front);
        if units > front.most_units {
            return Err(Bad::Units { most: front.most_units, found: units });
        }
        let Some(customer) = settings.account(&account) else { return Err(Bad::Account(account)) };
        let Some(class_no) = settings.class(class.as_deref()) else {
            let mut known: Vec<String> = settings.classes.keys().cloned().collect();
            known.sort_unstable();
            let found = class.map_or("none".into(), |c| format!("{c:?}"));
            return Err(Bad::Class { entry: front.class_entry.clone(), known, found });
        };
        let rule = &settings.settings.classes[usize::from(class_no)];
        // Nodes drop repeats by the account's key, not by a word that another account may use as well.
        let key = (settings.keys[usize::from(class_no)] == KeyRule::Sent).then(|| {
            let mut hasher = blake3::Hasher::new();
            let own = format!("{}-{}", self.name, id.0);
            let (kind, key) = if let Some(k) = &key { ("theirs", k) } else { ("ours", &own) };
            for part in [kind, &account, &rule.name, key] {
                hasher.update(&(part.len() as u64).to_le_bytes());
                hasher.update(part.as_bytes());
            }
            Bytes::from(hasher.finalize().to_hex()[..32].to_owned())
        });
        let wait = timeout.unwrap_or(u64::MAX).min(rule.deadline_ms * 1000);
        let deadline = (arrived.saturating_add(wait)).saturating_sub(front.answer_margin_ms * 1000);
        let body = framing::frame(&Work { account: account.clone(), units, entries, payload });
        let (units, work) = (f64::from(units), messages::Work { body, idempotency_key: key });
        Ok(PendingRequest {
            id,
            class: class_no,
            account,
            customer,
            units,
            deadline,
            work,
            response_sender: reply,
            token,
        })
    }
}
