//! The task that owns the core's state machine ([`Gateway`]). It converts inputs to events in the order of their
//! arrival, passes them to the core, and carries out the returned actions in their order. The core decides on all
//! requests except two kinds that the driver rejects: requests beyond the limit in flight, and requests that the ledger
//! cannot record.
//!
//! The driver guarantees two properties that depend neither on the core nor on connections: a request is answered at
//! most once, and an attempt ends at its deadline even if its connection's task reports nothing.
//!
//! - [`requests`]: requests from arrival to final answer
//! - [`attempts`]: their attempts on connections to nodes
//! - [`in_flight`]: the state of both
//! - [`ledger_entries`]: their entries in the billing ledger
//! - [`endpoint_updates`], [`endpoints`]: endpoint lists, on their way to the driver and as it applies them
//! - [`timers`]: timers of the core, deadlines of attempts

mod attempts;
mod endpoint_updates;
mod endpoints;
mod in_flight;
mod ledger_entries;
mod requests;
mod timers;

pub use endpoint_updates::{endpoint_updates, EndpointPublisher, EndpointUpdates, PendingUpdate};

use crate::ledger::LedgerHandle;
use crate::messages::{DriverEvent, Upstream};
use crate::node_list::{EndpointIds, NodeList};
use crate::settings::Compiled;
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use chalkgap_core::{Action, BackendId, Event, Gateway, GatewayId};
use chalkgap_runtime::{Alarm, Micros, Shared};
use futures_lite::{future, Stream as _};
use in_flight::InFlightRequests;
use ledger_entries::{AttemptAwaitingLedger, LedgerRecorder};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use timers::Timers;

/// Maximum number of events that are handled before timers are checked again.
const MAX_EVENTS_PER_TURN: usize = 256;

/// Limits of a [`Driver`], and its identity in the fleet.
#[derive(Clone, Copy, Debug)]
pub struct DriverLimits {
    /// Number of gateways in the fleet.
    pub gateway_count: u16,
    /// This gateway's id.
    pub self_id: u16,
    /// Maximum number of requests in flight, as configured in the core. The driver rejects further requests.
    pub max_in_flight: usize,
    /// `Retry-After` for requests beyond `max_in_flight`, in microseconds; 0 for none.
    pub rejection_retry_after: Micros,
}

/// Where the process of a listed endpoint is reached, and which process that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListedProcess {
    address: SocketAddr,
    /// When it started; 0 if that is long ago.
    started_at: Micros,
}

/// A gossip message of the core, with the id of the peer that it is sent to.
pub type OutboundGossip = (u16, Vec<u8>);

/// What the driver waits for.
enum Input<W> {
    Endpoints(PendingUpdate),
    Event(DriverEvent<W>),
    /// Every sender of events is dropped.
    Ended,
    TimerDue,
}

/// Owns the core and runs it. Generic over the protocol to the nodes.
pub struct Driver<U: Upstream> {
    runtime: Shared,
    limits: DriverLimits,
    telemetry: Arc<Telemetry>,
    core: Gateway,
    connections: U,
    events: Pin<Box<Receiver<DriverEvent<U::Work>>>>,
    /// Taken before any event.
    endpoint_updates: Option<EndpointUpdates>,
    gossip: Option<Sender<OutboundGossip>>,
    ledger: Option<LedgerRecorder>,
    /// Attempts whose ledger entries are not durable yet, ordered by sequence number.
    awaiting_ledger: VecDeque<AttemptAwaitingLedger<U::Work>>,
    in_flight: InFlightRequests<U::Work>,
    timers: Timers,
    /// Events that are still to be passed to the core; carrying out actions adds to them.
    queue: VecDeque<Event>,
    /// Empty between events; its allocation is reused.
    actions: Vec<Action>,
    endpoint_ids: EndpointIds,
    /// The processes of all listed endpoints whose availability is not `Gone`.
    listed: BTreeMap<BackendId, ListedProcess>,
    list_cache: Option<Sender<NodeList>>,
}

impl<U: Upstream> Driver<U> {
    /// Creates a driver that passes `events` to `core`. It has no endpoint updates, no gossip, no
    /// ledger and no list cache.
    pub fn new(
        runtime: Shared,
        limits: DriverLimits,
        telemetry: Arc<Telemetry>,
        core: Gateway,
        connections: U,
        events: Receiver<DriverEvent<U::Work>>,
    ) -> Self {
        Driver {
            runtime,
            limits,
            telemetry,
            core,
            connections,
            events: Box::pin(events),
            endpoint_updates: None,
            gossip: None,
            ledger: None,
            awaiting_ledger: VecDeque::new(),
            in_flight: InFlightRequests::new(),
            timers: Timers::default(),
            queue: VecDeque::new(),
            actions: Vec::new(),
            endpoint_ids: EndpointIds::new(HashMap::new(), 0),
            listed: BTreeMap::new(),
            list_cache: None,
        }
    }

    /// Converts complete node lists to endpoints with `endpoint_ids`.
    pub(crate) fn with_endpoint_ids(mut self, endpoint_ids: EndpointIds) -> Self {
        self.endpoint_ids = endpoint_ids;
        self
    }

    /// Applies the endpoint lists of `updates`.
    #[must_use]
    pub fn with_endpoint_updates(mut self, updates: EndpointUpdates) -> Self {
        self.endpoint_updates = Some(updates);
        self
    }

    /// Sends the core's gossip, with the id of the receiving peer, to `gossip`.
    pub fn with_gossip(mut self, gossip: Option<Sender<OutboundGossip>>) -> Self {
        self.gossip = gossip;
        self
    }

    /// Records requests in a ledger.
    pub(crate) fn with_ledger(
        mut self,
        handle: Option<Arc<LedgerHandle>>,
        settings: Arc<Compiled>,
        instance_name: String,
    ) -> Self {
        self.ledger = handle.map(|handle| LedgerRecorder { handle, settings, instance_name });
        self
    }

    /// Sends each complete list that was accepted to `list_cache`.
    pub(crate) fn with_list_cache(mut self, list_cache: Option<Sender<NodeList>>) -> Self {
        self.list_cache = list_cache;
        self
    }

    /// Runs until every sender of events is dropped.
    pub async fn run(mut self) {
        let mut alarm = Alarm::new(self.runtime.clone());
        loop {
            let next_due = self.timers.next_due();
            match self.next_input(&mut alarm, next_due).await {
                Input::Endpoints(pending) => self.on_endpoint_update(pending),
                Input::Event(event) => self.on_event(event),
                Input::Ended => return,
                Input::TimerDue => {}
            }
            for _ in 1..MAX_EVENTS_PER_TURN {
                if let Some(pending) = self.endpoint_updates.as_ref().and_then(EndpointUpdates::take) {
                    self.on_endpoint_update(pending);
                }
                match self.events.try_recv() {
                    Ok(event) => self.on_event(event),
                    Err(_) => break,
                }
            }
            self.fire_timers();
            if next_due.is_some_and(|due_at| due_at <= self.runtime.now()) {
                // Yields, so that connections can write answers even while events keep arriving.
                future::yield_now().await;
            }
        }
    }

    /// Waits for an endpoint update, an event, or a timer that is due at `next_due`.
    async fn next_input(&mut self, alarm: &mut Alarm, next_due: Option<Micros>) -> Input<U::Work> {
        future::poll_fn(|cx| {
            let update = self.endpoint_updates.as_ref().map(|updates| updates.poll_take(cx));
            if let Some(Poll::Ready(pending)) = update {
                return Poll::Ready(Input::Endpoints(pending));
            }
            match self.events.as_mut().poll_next(cx) {
                Poll::Ready(Some(event)) => Poll::Ready(Input::Event(event)),
                Poll::Ready(None) => Poll::Ready(Input::Ended),
                Poll::Pending => alarm.poll(next_due, cx).map(|()| Input::TimerDue),
            }
        })
        .await
    }

    fn on_event(&mut self, event: DriverEvent<U::Work>) {
        match event {
            DriverEvent::Request(request) => self.on_request(request),
            DriverEvent::ClientGone(id) => self.on_client_gone(id),
            DriverEvent::AttemptEnded(result) => self.on_attempt_result(*result),
            DriverEvent::ConnectionClosed { connection, broke_on_first_write } => {
                self.connections.connection_closed(connection, broke_on_first_write)
            }
            DriverEvent::Gossip { from, bytes } => {
                add(&self.telemetry.peer_in);
                self.handle(Event::GossipReceived { from: GatewayId(from), bytes });
            }
            DriverEvent::PeerReachability { peer, reachable } => {
                self.handle(Event::PeerReachability { peer: GatewayId(peer), reachable })
            }
            DriverEvent::NodeList { list, cached } => self.on_node_list(&list, cached),
            DriverEvent::LedgerProgress => self.on_ledger_progress(),
        }
    }

    fn fire_timers(&mut self) {
        let now = self.runtime.now();
        self.expire_attempts(now);
        while let Some(token) = self.timers.pop_core_timer(now) {
            self.handle(Event::Timer(token));
        }
    }

    /// Passes an event to the core and carries out the returned actions, then does the same with the events that these
    /// actions produce.
    fn handle(&mut self, event: Event) {
        self.queue.push_back(event);
        self.process_queue();
    }

    fn process_queue(&mut self) {
        while let Some(event) = self.queue.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.core.handle(self.runtime.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, backend, give_up_at, start_by } => {
                self.start_attempt(id, backend, give_up_at, start_by)
            }
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail(id) => self.fail(id),
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt),
            Action::SetTimer { delay, token } => {
                self.timers.set_core_timer(self.runtime.now() + delay, token)
            }
            Action::SendGossip { to, bytes } => self.send_gossip(to, &bytes),
            Action::CloseIdle(backend) => self.connections.close_idle(backend),
            Action::Log(text) => tracing::info!(target: "chalkgap::core", "{text}"),
            // The limits that the core is configured with do not permit these actions. A polling discovery task has its
            // own timer.
            Action::CheckHealth(_)
            | Action::AddToCounter { .. }
            | Action::WatchEndpoints(_)
            | Action::FetchEndpoints => {}
        }
    }

    /// Sends gossip to the peer `to`, or to all peers if `to` is `None`.
    fn send_gossip(&self, to: Option<GatewayId>, bytes: &[u8]) {
        let Some(gossip) = &self.gossip else { return };
        let all_gateways = 0..self.limits.gateway_count;
        let receivers = to.map_or(all_gateways, |peer| peer.0..peer.0 + 1);
        for peer in receivers.filter(|peer| *peer != self.limits.self_id) {
            // If the queue is full, the message is dropped: the core tolerates lost gossip.
            if gossip.try_send((peer, bytes.to_vec())).is_ok() {
                add(&self.telemetry.peer_out);
            }
        }
    }
}
