//! The one task that owns the module. It turns what happens into events in the order it happened, hands them to the
//! module and carries out what comes back, in its order. It decides nothing.
//!
//! What it keeps by itself is bookkeeping that must not fail: a request is answered at most once because the way back
//! to its client is used up by the answer; an attempt ends at its time even if its connection's task says nothing.

use crate::nodes::{Book, NodeList};
use crate::settings::{Compiled, Customer};
use crate::telemetry::{add, Telemetry};
use crate::upstream::{self, Command, Links};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_core::{
    Action, BackendId, Event, Gateway, GatewayNo, Outcome, Report, Request, RequestId, RosterKind,
};
use chalkgap_runtime::{Alarm, Micros, Shared};
use chalkgap_wire::orca::Load;
use futures_lite::{future, Stream as _};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

/// Inputs read before timers are looked at again.
const BATCH: usize = 256;

/// A client's request, as a front hands it over.
pub(crate) struct Ask {
    pub id: RequestId,
    pub class: u8,
    pub customer: Customer,
    pub units: f64,
    pub deadline: Micros,
    /// The framed message for nodes.
    pub work: Bytes,
    /// What nodes drop repeats by.
    pub key: Option<Bytes>,
    pub reply: Sender<Reply>,
    /// The front's name for it.
    pub token: u32,
}

/// The one thing that a front hears of each ask.
pub(crate) struct Reply {
    pub token: u32,
    pub id: RequestId,
    pub answer: Answer,
}

/// A final answer.
#[derive(Debug)]
pub(crate) enum Answer {
    Served {
        body: Bytes,
        node: SocketAddr,
    },
    Refused {
        pause: Micros,
    },
    Failed {
        late: bool,
    },
    /// None: the client left.
    Gone,
}

/// How an attempt ended, as its connection saw it.
#[derive(Debug)]
pub(crate) struct Ended {
    pub id: RequestId,
    pub attempt: u16,
    pub outcome: Outcome,
    pub body: Bytes,
    pub load: Option<Load>,
}

/// What happens to an instance.
pub(crate) enum Input {
    Ask(Box<Ask>),
    Gone(RequestId),
    Ended(Box<Ended>),
    Peer { from: u16, bytes: Vec<u8> },
    Nodes { list: Box<NodeList>, cached: bool },
}

struct Out {
    backend: BackendId,
    address: SocketAddr,
    link: u64,
    sent: Micros,
    ended: bool,
}

struct Held {
    ask: Box<Ask>,
    attempts: Vec<Out>,
    answered: bool,
}

pub(crate) struct Driver {
    pub runtime: Shared,
    pub settings: Arc<Compiled>,
    pub telemetry: Arc<Telemetry>,
    pub core: Gateway,
    pub book: Book,
    pub links: Links,
    pub peers: Option<Sender<(u16, Vec<u8>)>>,
    /// Sets this start's requests apart from all others, in what nodes see.
    pub name: String,
    input: Pin<Box<Receiver<Input>>>,
    held: HashMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Micros, u64, u32)>>,
    expiries: BinaryHeap<Reverse<(Micros, RequestId, u16)>>,
    set: u64,
    queue: VecDeque<Event>,
    actions: Vec<Action>,
    listed: BTreeMap<BackendId, SocketAddr>,
    keep: Option<Sender<NodeList>>,
}

impl Driver {
    #[allow(clippy::too_many_arguments)] // each is a part of an instance, handed over once
    pub fn new(
        runtime: Shared,
        settings: Arc<Compiled>,
        telemetry: Arc<Telemetry>,
        core: Gateway,
        links: Links,
        peers: Option<Sender<(u16, Vec<u8>)>>,
        name: String,
        input: Receiver<Input>,
    ) -> Self {
        let book = Book::new(settings.zones.clone(), settings.settings.nodes.most);
        Driver {
            runtime,
            settings,
            telemetry,
            core,
            book,
            links,
            peers,
            name,
            input: Box::pin(input),
            held: HashMap::new(),
            timers: BinaryHeap::new(),
            expiries: BinaryHeap::new(),
            set: 0,
            queue: VecDeque::new(),
            actions: Vec::new(),
            listed: BTreeMap::new(),
            keep: None,
        }
    }

    /// Hands each list that is taken to somebody who keeps it.
    pub fn keeping(mut self, keep: Option<Sender<NodeList>>) -> Self {
        self.keep = keep;
        self
    }

    /// Runs until nobody can send inputs any more.
    pub async fn run(mut self) {
        let mut alarm = Alarm::new(self.runtime.clone());
        loop {
            let next = [self.timers.peek().map(|t| t.0 .0), self.expiries.peek().map(|e| e.0 .0)];
            let next = next.into_iter().flatten().min();
            let first = future::poll_fn(|cx| match self.input.as_mut().poll_next(cx) {
                Poll::Ready(input) => Poll::Ready(Some(input)),
                Poll::Pending => alarm.poll(next, cx).map(|()| None),
            });
            match first.await {
                Some(Some(input)) => self.take(input),
                Some(None) => return,
                None => {}
            }
            for _ in 1..BATCH {
                match self.input.try_recv() {
                    Ok(input) => self.take(input),
                    Err(_) => break,
                }
            }
            self.tick();
            if next.is_some_and(|n| n <= self.runtime.now()) {
                future::yield_now().await; // a busy driver lets connections write what it answered
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Ask(ask) => self.ask(ask),
            Input::Gone(id) => self.gone(id),
            Input::Ended(ended) => self.ended(*ended),
            Input::Peer { from, bytes } => {
                add(&self.telemetry.peer_in);
                self.handle(Event::Peer { from: GatewayNo(from), bytes });
            }
            Input::Nodes { list, cached } => self.nodes(&list, cached),
        }
    }

    fn tick(&mut self) {
        let now = self.runtime.now();
        while let Some(Reverse((_, id, attempt))) = self.expiries.peek().copied().filter(|e| e.0 .0 <= now) {
            self.expiries.pop();
            let out = self.held.get(&id).and_then(|h| h.attempts.get(usize::from(attempt)));
            if let Some(out) = out.filter(|o| !o.ended) {
                self.links.command(out.link, Command::Stop { id, attempt });
                add(&self.telemetry.timed_out);
                let (outcome, body, load) = (Outcome::TimedOut, Bytes::new(), None);
                self.ended(Ended { id, attempt, outcome, body, load });
            }
        }
        while let Some(Reverse((_, _, token))) = self.timers.peek().copied().filter(|t| t.0 .0 <= now) {
            self.timers.pop();
            self.handle(Event::Timer(token));
        }
    }

    fn ask(&mut self, ask: Box<Ask>) {
        add(&self.telemetry.requests);
        let limits = &self.settings.settings.limits;
        if self.held.len() >= limits.max_open as usize {
            // More than the module was promised to be shown at once.
            add(&self.telemetry.refused);
            let pause = if limits.retry_after { limits.max_retry_after_ms * 1000 } else { 0 };
            let _ =
                ask.reply.try_send(Reply { token: ask.token, id: ask.id, answer: Answer::Refused { pause } });
            return;
        }
        let request = Request {
            id: ask.id,
            class: ask.class,
            plan: ask.customer.plan,
            customer: ask.customer.id,
            deadline: ask.deadline,
            units: ask.units,
            width: ask.customer.width,
            first: ask.customer.first,
        };
        self.held.insert(ask.id, Held { ask, attempts: Vec::new(), answered: false });
        self.handle(Event::Request(request));
    }

    fn gone(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|h| !h.answered) {
            add(&self.telemetry.withdrawn);
            self.answer(id, Answer::Gone);
            self.handle(Event::Withdrawn(id));
            self.forget(id);
        }
    }

    fn ended(&mut self, ended: Ended) {
        let Ended { id, attempt, outcome, body, load } = ended;
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(out) = held.attempts.get_mut(usize::from(attempt)).filter(|o| !o.ended) else { return };
        out.ended = true;
        let (backend, node, took) = (out.backend, out.address, self.runtime.now().saturating_sub(out.sent));
        self.links.ended(out.link);
        if outcome == Outcome::ConnectFailed {
            add(&self.telemetry.connect_failed);
        }
        if outcome == Outcome::Ok && !held.answered {
            add(&self.telemetry.served);
            self.answer(id, Answer::Served { body, node });
        }
        let complete = self.held.get(&id).is_some_and(|h| h.answered);
        let report = load.map(|l| Report {
            in_flight: l.in_flight,
            queue: l.queue,
            util: l.cpu_utilization.or(l.application_utilization),
            latency_ms: l.latency_ms,
            served: l.rps,
            errors: l.eps,
        });
        let (metered, charged) = (None, None);
        self.handle(Event::Settled {
            id,
            attempt,
            backend,
            outcome,
            complete,
            took,
            metered,
            charged,
            report,
        });
        self.forget(id);
    }

    fn nodes(&mut self, list: &NodeList, cached: bool) {
        let lines = match self.book.take(list) {
            Ok(lines) => lines,
            Err(e) => {
                add(&self.telemetry.lists_bad);
                tracing::warn!(revision = list.revision, error = %e, "node list refused, the last one stays");
                return;
            }
        };
        add(&self.telemetry.lists);
        tracing::info!(revision = list.revision, nodes = lines.len(), cached, "node list");
        if let Some(keep) = self.keep.as_ref().filter(|_| !cached) {
            // Full: the disk is slow, and the next list is the better one to keep.
            let _ = keep.force_send(list.clone());
        }
        self.listed = lines.iter().filter_map(|l| Some((l.backend, self.book.address(l.backend)?))).collect();
        let listed = &self.listed;
        self.links.retain(|id| listed.contains_key(&id));
        let kind = if cached { RosterKind::Cached } else { RosterKind::Full };
        self.handle(Event::Roster(kind, lines));
    }

    /// Hands an event to the module and carries out its actions, and what comes of those at once.
    fn handle(&mut self, event: Event) {
        self.queue.push_back(event);
        while let Some(event) = self.queue.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.core.handle(self.runtime.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, expires } => self.send(id, backend, expires),
            Action::Refuse { id, pause } => {
                add(&self.telemetry.refused);
                self.answer(id, Answer::Refused { pause });
                self.forget(id);
            }
            Action::Fail(id) => {
                add(&self.telemetry.failed);
                let now = self.runtime.now();
                let late = self.held.get(&id).is_some_and(|h| now >= h.ask.deadline);
                self.answer(id, Answer::Failed { late });
                self.forget(id);
            }
            Action::Cancel { id, attempt } => {
                let out = self.held.get(&id).and_then(|h| h.attempts.get(usize::from(attempt)));
                if let Some(out) = out.filter(|o| !o.ended) {
                    self.links.command(out.link, Command::Stop { id, attempt });
                }
            }
            Action::SetTimer { delay, token } => {
                self.set += 1;
                self.timers.push(Reverse((self.runtime.now() + delay, self.set, token)));
            }
            Action::Tell { to, bytes } => {
                let Some(peers) = &self.peers else { return };
                let (all, me) = (0..self.settings.settings.fleet.ingresses, self.settings.settings.fleet.me);
                let to = to.map_or(all, |one| one.0..one.0 + 1);
                for no in to.filter(|no| *no != me) {
                    // A full queue loses it, as the network may: the module reckons with that.
                    if peers.try_send((no, bytes.clone())).is_ok() {
                        add(&self.telemetry.peer_out);
                    }
                }
            }
            Action::CloseIdle(backend) => self.links.close_idle(backend),
            Action::Log(text) => tracing::info!(target: "chalkgap::module", "{text}"),
            // Not permitted by the settings that the module was given.
            Action::Probe(_) | Action::Count { .. } | Action::Watch(_) | Action::FetchRoster => {}
        }
    }

    fn send(&mut self, id: RequestId, backend: BackendId, expires: Micros) {
        let now = self.runtime.now();
        let Some(held) = self.held.get_mut(&id) else { return };
        let attempt = held.attempts.len() as u16;
        let until = if expires == 0 { held.ask.deadline } else { expires.min(held.ask.deadline) };
        let address = self.listed.get(&backend).copied();
        let call = upstream::Call {
            id,
            attempt,
            class: held.ask.class,
            work: held.ask.work.clone(),
            key: held.ask.key.clone(),
            request: format!("{}-{}", self.name, id.0),
            until,
        };
        let link = address.and_then(|a| self.links.start(backend, a, call));
        add(&self.telemetry.attempts);
        let address = address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
        held.attempts.push(Out {
            backend,
            address,
            link: link.unwrap_or(0),
            sent: now,
            ended: link.is_none(),
        });
        if link.is_some() {
            return self.expiries.push(Reverse((until, id, attempt)));
        }
        // Every connection to it is full, or it is listed no more: nothing was written.
        let (outcome, complete) = (Outcome::Moot, held.answered);
        let (metered, charged, report, took) = (None, None, None, 0);
        let event =
            Event::Settled { id, attempt, backend, outcome, complete, took, metered, charged, report };
        self.queue.push_back(event);
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if std::mem::replace(&mut held.answered, true) {
            // Guards rule 1 against a fault of the module: the first answer stands.
            return tracing::error!(id = id.0, ?answer, "second final answer dropped");
        }
        let ask = &held.ask;
        // The front bounds its asks by the room of this channel; if it is closed, the client is gone.
        let _ = ask.reply.try_send(Reply { token: ask.token, id, answer });
    }

    fn forget(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|h| h.answered && h.attempts.iter().all(|o| o.ended)) {
            self.held.remove(&id);
        }
    }
}
