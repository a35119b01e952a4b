//! Membership of the fleet: which gateways are running.
//!
//! `MembershipService` connects the state machine of `chalkgap_membership` to the socket and the clock, logs its
//! changes, and reports the reachability of peers to the driver. [`fetch_snapshot`] queries a running gateway for the
//! members that it knows, as the command `chalkgap fleet show` does.

mod query;
mod snapshot;

pub use query::{fetch_snapshot, FetchError};
pub use snapshot::{FleetSnapshot, MemberSnapshot};

use crate::messages::DriverEvent;
use crate::peers::{Channel, Key, Sealer};
use crate::settings::Peers;
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use chalkgap_membership::{Config, Event, MemberId, Membership, Micros, Transmit};
use chalkgap_runtime::{Datagrams, Shared};
use futures_lite::future;
use snapshot::{partition_status_name, state_name};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Rate limit of received messages, as a multiple of the rate at which one member may send: after a partition heals,
/// many members send to one.
const RECEIVE_RATE_FACTOR: f64 = 4.0;

struct State {
    membership: Membership,
    sealer: Sealer,
}

/// Membership detection of one instance.
pub(crate) struct MembershipService {
    runtime: Shared,
    socket: Arc<dyn Datagrams>,
    state: Mutex<State>,
    telemetry: Arc<Telemetry>,
    driver: Sender<DriverEvent>,
    /// Wakes [`run`](Self::run) because the next deadline may have changed.
    wake: (Sender<()>, Receiver<()>),
    /// Closed when a later incarnation of this gateway has appeared.
    superseded: (Sender<()>, Receiver<()>),
}

/// Parameters of [`MembershipService::new`].
pub(crate) struct MembershipParams<'a> {
    pub runtime: &'a Shared,
    pub socket: &'a Arc<dyn Datagrams>,
    pub peers: &'a Peers,
    pub key: Key,
    pub self_id: MemberId,
    pub gateway_count: u16,
    pub incarnation: Micros,
    pub telemetry: &'a Arc<Telemetry>,
    pub driver: &'a Sender<DriverEvent>,
}

impl MembershipService {
    /// Creates the service. Returns `None` if the settings do not enable it.
    pub fn new(params: MembershipParams<'_>) -> Option<Arc<MembershipService>> {
        let settings = params.peers.view.as_ref()?;
        let config = Config {
            self_id: params.self_id,
            incarnation: params.incarnation,
            address: settings.address.unwrap_or_else(|| params.socket.address()),
            seeds: settings.seeds.clone(),
            max_members: params.gateway_count,
            protocol_period: settings.round_ms * 1000,
            min_suspicion_timeout: settings.objection_ms * 1000,
            max_messages_per_second: settings.per_second,
            rng_seed: params.runtime.random(),
        };
        let membership = Membership::new(params.runtime.now(), config);
        let sealer = Sealer::new(Channel::Membership, params.key, params.self_id, params.incarnation);
        Some(Arc::new(MembershipService {
            runtime: params.runtime.clone(),
            socket: params.socket.clone(),
            state: Mutex::new(State { membership, sealer }),
            telemetry: params.telemetry.clone(),
            driver: params.driver.clone(),
            wake: async_channel::bounded(1),
            superseded: async_channel::bounded(1),
        }))
    }

    /// Returns the maximum number of membership messages that an instance accepts in a second.
    pub fn receive_rate(peers: &Peers) -> f64 {
        peers.view.as_ref().map_or(0.0, |settings| settings.per_second * RECEIVE_RATE_FACTOR)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the members as this instance knows them now.
    pub fn snapshot(&self) -> FleetSnapshot {
        let state = self.lock();
        let now = self.runtime.now();
        let view = state.membership.view();
        let members = view.members().map(|member| {
            let in_state_for = now.saturating_sub(member.since);
            MemberSnapshot::new(&member.record, in_state_for)
        });
        FleetSnapshot::new(state.membership.view_summary(), view.digest(), members.collect())
    }

    /// Returns the address of a gateway, if it counts as a member.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        let state = self.lock();
        let member = state.membership.view().get(member)?;
        member.record.state.is_live().then_some(member.record.address)
    }

    /// Completes when a later incarnation of this gateway has appeared.
    pub fn superseded(&self) -> impl Future<Output = ()> + Send + 'static {
        let superseded = self.superseded.1.clone();
        async move {
            let _ = superseded.recv().await; // nothing is ever sent, the channel is only closed
        }
    }

    /// Runs the protocol's timers until the instance stops.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next_deadline = {
                let mut state = self.lock();
                let now = self.runtime.now();
                if state.membership.next_timeout() <= now {
                    state.membership.handle_timeout(now);
                }
                state.membership.next_timeout()
            };
            self.process_output().await;
            let sleep = self.runtime.sleep_until(next_deadline);
            let woken = async {
                let _ = self.wake.1.recv().await; // cannot be closed: `self` holds a sender
            };
            future::or(sleep, woken).await;
        }
    }

    /// Handles a message from another member or an observer.
    pub async fn receive(&self, from: MemberId, source: SocketAddr, message: &[u8]) {
        let handled = self.lock().membership.handle_message(self.runtime.now(), from, source, message);
        match handled {
            Ok(()) => add(&self.telemetry.view_in),
            Err(_) => add(&self.telemetry.peer_dropped),
        }
        self.process_output().await;
        let _ = self.wake.0.try_send(()); // full: a wake-up is already pending
    }

    /// Announces that this instance leaves the fleet.
    pub async fn leave(&self) {
        self.lock().membership.leave(self.runtime.now());
        self.process_output().await;
    }

    /// Sends the pending messages and logs the pending changes, then reports the changes of reachability to the driver.
    async fn process_output(&self) {
        let mut reachability = Vec::new();
        loop {
            let next_datagram = {
                let mut state = self.lock();
                let State { membership, sealer } = &mut *state;
                while let Some(change) = membership.poll_event() {
                    self.log(membership, &change);
                    reachability.extend(reachability_event(membership, &change));
                }
                membership
                    .poll_transmit()
                    .map(|Transmit { to, address, bytes }| (sealer.seal(to, &bytes), address))
            };
            let Some((datagram, address)) = next_datagram else { break };
            add(&self.telemetry.view_out);
            // A send error counts as a lost datagram, which the protocol tolerates.
            let _ = self.socket.send(&datagram, address).await;
        }
        for event in reachability {
            let _ = self.driver.send(event).await; // fails only after the instance has stopped
        }
    }

    /// Writes a log line for each change. The fault drills parse these lines, so their fields and the first word of
    /// their messages must stay.
    fn log(&self, membership: &Membership, change: &Event) {
        let me = membership.id();
        let at = self.runtime.now();
        let view = membership.view();
        let number = view.version();
        let counting = view.live_count();
        let digest = format!("{:016x}", view.digest());
        match change {
            Event::MemberChanged(record) => {
                tracing::info!(
                    target: "chalkgap::fleet",
                    me, at, of = record.id, state = state_name(record.state), turn = record.version,
                    start = record.incarnation, by = record.reported_by, number, counting, digest, "member"
                );
            }
            Event::PartitionStatusChanged(status) => {
                let standing = partition_status_name(*status as u8);
                let of = membership.voter_count();
                tracing::warn!(target: "chalkgap::fleet", me, at, standing, counting, of, number, digest, "standing");
            }
            Event::Superseded => {
                tracing::error!(
                    target: "chalkgap::fleet", me, at, "superseded: a later start has this id; this process must stop"
                );
                self.superseded.0.close();
            }
        }
    }
}

/// Returns the driver's event for a change of another gateway's state.
fn reachability_event(membership: &Membership, change: &Event) -> Option<DriverEvent> {
    let Event::MemberChanged(record) = change else { return None };
    if record.id == membership.id() {
        return None;
    }
    Some(DriverEvent::PeerReachability { peer: record.id, reachable: record.state.is_live() })
}
