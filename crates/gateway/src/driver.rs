//! The one task that owns the module. It turns what happens into events in the order it happened, hands them to the
//! module and carries out what comes back, in its order. It decides nothing.
//!
//! What it keeps by itself is bookkeeping that must not fail: a request is answered at most once because the way back
//! to its client is used up by the answer; an attempt ends at its time even if its connection's task says nothing.

use crate::ledger::LedgerHandle;
use crate::messages::{
    request_name, Answer, AttemptResult, DriverEvent, OutboundAttempt, PendingRequest, Response, Upstream,
};
use crate::nodes::{EndpointIds, NodeList};
use crate::settings::Compiled;
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use chalkgap_core::{
    Action, Availability, BackendId, Endpoint, EndpointUpdate, Event, Gateway, GatewayId, Outcome, Request,
    RequestId,
};
use chalkgap_ledger::entry::RequestOpened;
use chalkgap_ledger::recorder::{EntryHandle, Reservation, Settlement};
use chalkgap_runtime::{Alarm, Micros, Shared};
use futures_lite::{future, Stream as _};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

/// Inputs read before timers are looked at again.
const BATCH: usize = 256;

struct Out {
    backend: BackendId,
    address: SocketAddr,
    connection: u64,
    sent: Micros,
    ended: bool,
    /// It waits for the ledger: nothing of it has left.
    waiting: bool,
    /// It ended, and may have run.
    doubtful: bool,
}

struct Held<W> {
    ask: Box<PendingRequest<W>>,
    attempts: Vec<Out>,
    answered: bool,
    entry: Entry,
}

/// Where a request stands in the ledger.
enum Entry {
    /// Nothing is written.
    None,
    /// Nothing will be: there is no ledger, or it has failed and the settings want requests served all the same.
    Without,
    /// Its open entry.
    Open(EntryHandle),
    /// Its end is written.
    Settled,
}

/// An attempt that is sent when the ledger's disk has its entry.
struct Waiting<W> {
    number: u64,
    attempt: u16,
    call: OutboundAttempt<W>,
}

/// What the driver itself goes by.
#[derive(Clone, Copy, Debug)]
pub struct DriverLimits {
    /// How many ingresses there are.
    pub gateway_count: u16,
    /// The number of this one.
    pub self_id: u16,
    /// Requests open at once that the module was promised.
    pub max_in_flight: usize,
    /// What those beyond are told to wait.
    pub rejection_retry_after: Micros,
}

/// The books that an instance with a ledger keeps.
struct Books {
    desk: Arc<LedgerHandle>,
    settings: Arc<Compiled>,
    /// Sets this start's requests apart from all others, in what nodes see.
    name: String,
}

/// Owns the module; generic over the way out.
pub struct Driver<U: Upstream> {
    runtime: Shared,
    figures: DriverLimits,
    telemetry: Arc<Telemetry>,
    core: Gateway,
    book: EndpointIds,
    connections: U,
    peers: Option<Sender<(u16, Vec<u8>)>>,
    books: Option<Books>,
    /// In the order of their numbers.
    waiting: VecDeque<Waiting<U::Work>>,
    input: Pin<Box<Receiver<DriverEvent<U::Work>>>>,
    held: HashMap<RequestId, Held<U::Work>>,
    timers: BinaryHeap<Reverse<(Micros, u64, u32)>>,
    expiries: BinaryHeap<Reverse<(Micros, RequestId, u16)>>,
    set: u64,
    queue: VecDeque<Event>,
    actions: Vec<Action>,
    listed: BTreeMap<BackendId, SocketAddr>,
    keep: Option<Sender<NodeList>>,
}

impl<U: Upstream> Driver<U> {
    /// A driver of `core` that reads `input`, with the least of what one may have.
    pub fn new(
        runtime: Shared,
        figures: DriverLimits,
        telemetry: Arc<Telemetry>,
        core: Gateway,
        connections: U,
        input: Receiver<DriverEvent<U::Work>>,
    ) -> Self {
        Driver {
            runtime,
            figures,
            telemetry,
            core,
            book: EndpointIds::new(HashMap::new(), 0),
            connections,
            peers: None,
            books: None,
            waiting: VecDeque::new(),
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

    /// Reads whole lists of nodes by this book.
    pub(crate) fn reading(mut self, book: EndpointIds) -> Self {
        self.book = book;
        self
    }

    /// Hands messages for peers, by their numbers, to somebody who sends them.
    pub fn telling(mut self, peers: Option<Sender<(u16, Vec<u8>)>>) -> Self {
        self.peers = peers;
        self
    }

    /// Keeps a ledger.
    pub(crate) fn booking(
        mut self,
        desk: Option<Arc<LedgerHandle>>,
        settings: Arc<Compiled>,
        name: String,
    ) -> Self {
        self.books = desk.map(|desk| Books { desk, settings, name });
        self
    }

    /// Hands each list that is taken to somebody who keeps it.
    pub(crate) fn keeping(mut self, keep: Option<Sender<NodeList>>) -> Self {
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

    fn take(&mut self, input: DriverEvent<U::Work>) {
        match input {
            DriverEvent::Request(ask) => self.ask(ask),
            DriverEvent::ClientGone(id) => self.gone(id),
            DriverEvent::AttemptEnded(ended) => self.ended(*ended),
            DriverEvent::ConnectionClosed { connection, broke_on_first_write: broke } => {
                self.connections.closed(connection, broke)
            }
            DriverEvent::Gossip { from, bytes } => {
                add(&self.telemetry.peer_in);
                self.handle(Event::GossipReceived { from: GatewayId(from), bytes });
            }
            DriverEvent::PeerReachability { peer, reachable: there } => {
                self.handle(Event::PeerReachability { peer: GatewayId(peer), reachable: there })
            }
            DriverEvent::NodeList { list, cached } => self.nodes(&list, cached),
            DriverEvent::Endpoints { update: kind, endpoints: lines } => self.roster(kind, lines),
            DriverEvent::LedgerProgress => self.durable(),
        }
    }

    fn tick(&mut self) {
        let now = self.runtime.now();
        while let Some(Reverse((_, id, attempt))) = self.expiries.peek().copied().filter(|e| e.0 .0 <= now) {
            self.expiries.pop();
            let out = self.held.get(&id).and_then(|h| h.attempts.get(usize::from(attempt)));
            if let Some(out) = out.filter(|o| !o.ended) {
                self.connections.stop(out.connection, id, attempt);
                let outcome = if out.waiting { Outcome::NotSent } else { Outcome::TimedOut };
                add(&self.telemetry.timed_out);
                self.ended(AttemptResult::without_answer(id, attempt, outcome));
            }
        }
        while let Some(Reverse((_, _, token))) = self.timers.peek().copied().filter(|t| t.0 .0 <= now) {
            self.timers.pop();
            self.handle(Event::Timer(token));
        }
    }

    fn ask(&mut self, ask: Box<PendingRequest<U::Work>>) {
        add(&self.telemetry.requests);
        if self.held.len() >= self.figures.max_in_flight {
            // More than the module was promised to be shown at once.
            add(&self.telemetry.refused);
            return turn_away(&ask, self.figures.rejection_retry_after);
        }
        // What the ledger can promise is decided here, before the request is taken.
        let entry = match self.books.as_ref().map(|b| b.desk.reserve()) {
            None => Entry::Without,
            Some(Reservation::Recorded) => Entry::None,
            Some(Reservation::Unrecorded) => {
                add(&self.telemetry.ledger_without);
                Entry::Without
            }
            Some(Reservation::Rejected { retry_after }) => {
                add(&self.telemetry.ledger_refused);
                return turn_away(&ask, retry_after);
            }
        };
        let request = Request {
            id: ask.id,
            class: ask.class,
            plan: ask.customer.plan,
            customer: ask.customer.id,
            deadline: ask.deadline,
            units: ask.units,
            gateway_count: ask.customer.width,
            first_gateway: ask.customer.first,
        };
        self.held.insert(ask.id, Held { ask, attempts: Vec::new(), answered: false, entry });
        self.handle(Event::Request(request));
    }

    fn gone(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|h| !h.answered) {
            add(&self.telemetry.withdrawn);
            self.answer(id, Answer::ClientGone);
            self.handle(Event::ClientCancelled(id));
            self.forget(id);
        }
    }

    fn ended(&mut self, ended: AttemptResult) {
        let AttemptResult {
            id,
            attempt,
            outcome,
            body,
            report,
            metered_use: metered,
            used_units: units,
            deduplicated: repeat,
        } = ended;
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(out) = held.attempts.get_mut(usize::from(attempt)).filter(|o| !o.ended) else { return };
        out.ended = true;
        let ran = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled);
        // A repeat whose first attempt nobody has heard of: that one may have run or died.
        let unsure = outcome == Outcome::Ok && repeat && units.is_none();
        out.doubtful = ran || unsure;
        let (backend, node, took) = (out.backend, out.address, self.runtime.now().saturating_sub(out.sent));
        self.connections.ended(out.connection);
        if outcome == Outcome::ConnectFailed {
            add(&self.telemetry.connect_failed);
        }
        if outcome == Outcome::Ok && !held.answered {
            add(&self.telemetry.served);
            self.answer(id, Answer::Served { body, node });
        }
        if outcome == Outcome::Ok && !unsure {
            self.settle(id, units, Settlement::Ran { node: node.to_string() });
        }
        let complete = self.held.get(&id).is_some_and(|h| h.answered);
        let charged = units.map(f64::from);
        self.handle(Event::AttemptFinished {
            id,
            attempt,
            backend,
            outcome,
            answered: complete,
            elapsed: took,
            metered,
            charged_units: charged,
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
        let lines = lines.into_iter().filter_map(|l| Some((l, self.book.address(l.backend)?))).collect();
        self.roster(if cached { EndpointUpdate::Cached } else { EndpointUpdate::Snapshot }, lines);
    }

    fn roster(&mut self, kind: EndpointUpdate, lines: Vec<(Endpoint, SocketAddr)>) {
        if matches!(kind, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            self.listed.clear();
        }
        for (line, address) in &lines {
            if line.availability == Availability::Gone {
                self.listed.remove(&line.backend);
            } else {
                self.listed.insert(line.backend, *address);
            }
        }
        let listed = &self.listed;
        self.connections.retain(&|id| listed.contains_key(&id));
        // An attempt that was decided before this and waits for its connection would come to one that drains, after its grace
        // as well.
        let closed: BTreeSet<BackendId> =
            lines.iter().filter(|l| l.0.availability != Availability::Ready).map(|l| l.0.backend).collect();
        let gone = |id: &BackendId| closed.contains(id) || !listed.contains_key(id);
        for (id, held) in &self.held {
            for (n, out) in
                (0..).zip(&held.attempts).filter(|(_, o)| !o.ended && !o.waiting && gone(&o.backend))
            {
                self.connections.withdraw(out.connection, *id, n);
            }
        }
        self.handle(Event::Endpoints(kind, lines.into_iter().map(|l| l.0).collect()));
    }

    /// Hands an event to the module and carries out its actions, and what comes of those at once.
    fn handle(&mut self, event: Event) {
        self.queue.push_back(event);
        self.pump();
    }

    fn pump(&mut self) {
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
            Action::StartAttempt { id, backend, give_up_at, start_by } => {
                self.send(id, backend, give_up_at, start_by)
            }
            Action::Reject { id, retry_after: pause } => {
                add(&self.telemetry.refused);
                self.answer(id, Answer::Rejected { retry_after: pause });
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
                let out = self.held.get_mut(&id).and_then(|h| h.attempts.get_mut(usize::from(attempt)));
                let Some(out) = out.filter(|o| !o.ended) else { return };
                if out.waiting {
                    self.moot(id, attempt);
                    return self.forget(id);
                }
                self.connections.stop(out.connection, id, attempt);
            }
            Action::SetTimer { delay, token } => {
                self.set += 1;
                self.timers.push(Reverse((self.runtime.now() + delay, self.set, token)));
            }
            Action::SendGossip { to, bytes } => {
                let Some(peers) = &self.peers else { return };
                let (all, me) = (0..self.figures.gateway_count, self.figures.self_id);
                let to = to.map_or(all, |one| one.0..one.0 + 1);
                for no in to.filter(|no| *no != me) {
                    // A full queue loses it, as the network may: the module reckons with that.
                    if peers.try_send((no, bytes.clone())).is_ok() {
                        add(&self.telemetry.peer_out);
                    }
                }
            }
            Action::CloseIdle(backend) => self.connections.close_idle(backend),
            Action::Log(text) => tracing::info!(target: "chalkgap::module", "{text}"),
            // Not permitted by the settings that the module was given.
            Action::CheckHealth(_)
            | Action::AddToCounter { .. }
            | Action::WatchEndpoints(_)
            | Action::FetchEndpoints => {}
        }
    }

    fn send(&mut self, id: RequestId, backend: BackendId, expires: Micros, begin_by: Micros) {
        let now = self.runtime.now();
        let address = self.listed.get(&backend).copied();
        let Some(held) = self.held.get_mut(&id) else { return };
        let attempt = held.attempts.len() as u16;
        let until = if expires == 0 { held.ask.deadline } else { expires.min(held.ask.deadline) };
        let (class, work) = (held.ask.class, held.ask.work.clone());
        let begin_by = (begin_by > 0).then_some(begin_by);
        let call = OutboundAttempt {
            id,
            attempt,
            class,
            work,
            ledger_entry_at: None,
            deadline: until,
            start_by: begin_by,
        };
        add(&self.telemetry.attempts);
        held.attempts.push(Out {
            backend,
            address: address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            connection: 0,
            sent: now,
            ended: false,
            waiting: false,
            doubtful: false,
        });
        self.expiries.push(Reverse((until, id, attempt)));
        if address.is_none() {
            return self.start(call); // listed no more
        }
        match self.write(&call) {
            Written::Without => self.start(call),
            Written::Number(number) => {
                if let Some(out) = self.out(id, attempt) {
                    out.waiting = true;
                }
                self.waiting.push_back(Waiting { number, attempt, call });
            }
            Written::Failed => self.moot(id, attempt),
        }
    }

    fn out(&mut self, id: RequestId, attempt: u16) -> Option<&mut Out> {
        self.held.get_mut(&id)?.attempts.get_mut(usize::from(attempt))
    }

    /// Writes down that an attempt is about to be made.
    fn write(&mut self, call: &OutboundAttempt<U::Work>) -> Written {
        let (Some(books), Some(held)) = (&self.books, self.held.get_mut(&call.id)) else {
            return Written::Without;
        };
        let desk = &books.desk;
        let node =
            held.attempts.get(usize::from(call.attempt)).map_or_else(String::new, |o| o.address.to_string());
        let number = match &held.entry {
            Entry::Without => return Written::Without,
            Entry::Open(ticket) => desk.add_attempt(*ticket, node),
            // Settled: one more attempt for a request that has been answered; its use is counted.
            Entry::Settled => return Written::Without,
            Entry::None => {
                let ticket = desk.open_request(books.open(&held.ask, node));
                if let Some(ticket) = ticket {
                    held.entry = Entry::Open(ticket);
                }
                ticket.map(|t| t.number)
            }
        };
        match number {
            Some(number) => Written::Number(number),
            None if desk.reserve() == Reservation::Unrecorded => {
                held.entry = Entry::Without;
                Written::Without
            }
            None => Written::Failed,
        }
    }

    /// Hands an attempt to a connection.
    fn start(&mut self, mut call: OutboundAttempt<U::Work>) {
        let (id, attempt, now) = (call.id, call.attempt, self.runtime.now());
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Entry::Open(ticket) = held.entry {
            call.ledger_entry_at = Some(ticket.at);
        }
        let Some(out) = held.attempts.get_mut(usize::from(attempt)).filter(|o| !o.ended) else { return };
        (out.waiting, out.sent) = (false, now);
        let (backend, address) = (out.backend, self.listed.get(&out.backend).copied());
        match address.and_then(|a| self.connections.start(backend, a, call)) {
            Some(connection) => out.connection = connection,
            // Every connection to it is full, or it is listed no more: nothing was written.
            None => self.moot(id, attempt),
        }
    }

    /// An attempt is over and nothing of it was written; the module is to hear of it.
    fn moot(&mut self, id: RequestId, attempt: u16) {
        let Some(out) = self.out(id, attempt).filter(|o| !o.ended) else { return };
        out.ended = true;
        let backend = out.backend;
        let complete = self.held.get(&id).is_some_and(|h| h.answered);
        let (metered, charged, report, took, outcome) = (None, None, None, 0, Outcome::NotSent);
        let event = Event::AttemptFinished {
            id,
            attempt,
            backend,
            outcome,
            answered: complete,
            elapsed: took,
            metered,
            charged_units: charged,
            report,
        };
        self.queue.push_back(event);
    }

    /// The ledger's disk has more entries, or has failed: what waited for it goes out, or never does.
    fn durable(&mut self) {
        let Some(desk) = self.books.as_ref().map(|b| b.desk.clone()) else { return };
        let durable = desk.durable_up_to();
        let without = durable.is_none() && desk.reserve() == Reservation::Unrecorded;
        while let Some(first) = self.waiting.front() {
            if durable.is_some_and(|n| first.number > n) {
                break;
            }
            let Some(Waiting { attempt, call, .. }) = self.waiting.pop_front() else { break };
            let id = call.id;
            if durable.is_some() || without {
                if without {
                    if let Some(held) = self.held.get_mut(&id) {
                        held.entry = Entry::Without;
                    }
                }
                self.start(call);
            } else {
                self.moot(id, attempt);
            }
            let ended = self.out(id, attempt).is_none_or(|o| o.ended);
            if ended {
                self.forget(id);
            }
        }
        self.pump();
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if std::mem::replace(&mut held.answered, true) {
            // Guards rule 1 against a fault of the module: the first answer stands.
            return tracing::error!(id = id.0, ?answer, "second final answer dropped");
        }
        // What has not begun does not begin for a client that has its answer or has left, whether or not the settings let an
        // attempt be called off that has.
        for (n, out) in (0..).zip(&held.attempts).filter(|(_, o)| !o.ended && !o.waiting) {
            self.connections.withdraw(out.connection, id, n);
        }
        let ask = &held.ask;
        // The front bounds its asks by the room of this channel; if it is closed, the client is gone.
        let _ = ask.response_sender.try_send(Response { token: ask.token, id, answer });
    }

    fn forget(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id) else { return };
        if !held.answered || held.attempts.iter().any(|o| !o.ended) {
            return;
        }
        if let Entry::Open(_) = held.entry {
            let doubtful = held.attempts.iter().filter(|o| o.doubtful);
            let nodes: BTreeSet<String> = doubtful.map(|o| o.address.to_string()).collect();
            let fate = if nodes.is_empty() {
                Settlement::NeverRan
            } else {
                let Some(books) = &self.books else { return };
                Settlement::Unknown { nodes, opened: Box::new(books.open(&held.ask, String::new())) }
            };
            self.settle(id, None, fate);
        }
        self.held.remove(&id);
    }

    /// Writes down the end of a request, once.
    fn settle(&mut self, id: RequestId, units: Option<u32>, fate: Settlement) {
        let (Some(books), Some(held)) = (&self.books, self.held.get_mut(&id)) else { return };
        if let Entry::Open(ticket) = held.entry {
            held.entry = Entry::Settled;
            // A node may say that it was less than was asked for, and admitted; never that it was more.
            let asked = held.ask.units as u64;
            books.desk.settle(ticket, units.map_or(asked, |u| asked.min(u.into())), fate);
        }
    }
}

/// Answers an ask that is not taken.
fn turn_away<W>(ask: &PendingRequest<W>, pause: Micros) {
    let answer = Answer::Rejected { retry_after: pause };
    let _ = ask.response_sender.try_send(Response { token: ask.token, id: ask.id, answer });
    // closed: the client is gone
}

/// What became of writing an entry.
enum Written {
    /// None is needed.
    Without,
    /// To be sent when the disk has this number.
    Number(u64),
    /// The disk has failed: it is not sent.
    Failed,
}

impl Books {
    fn open<W>(&self, ask: &PendingRequest<W>, node: String) -> RequestOpened {
        let settings = &self.settings.settings;
        let name = |n: Option<&String>| n.cloned().unwrap_or_default();
        RequestOpened {
            account: ask.account.clone(),
            plan: name(settings.plans.get(usize::from(ask.customer.plan)).map(|p| &p.name)),
            class: name(settings.classes.get(usize::from(ask.class)).map(|c| &c.name)),
            units: ask.units as u64,
            request: request_name(&self.name, ask.id),
            node,
        }
    }
}
