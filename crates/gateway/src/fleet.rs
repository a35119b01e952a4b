//! The view of the fleet on sockets: `chalkgap-membership` decides, this moves its messages, keeps its time, writes down
//! what changes, and knows where each member is.
//!
//! [`show`] asks any ingress for its view, as a person with a command does.

use crate::messages::DriverEvent;
use crate::peers::{Channel, Key, Opener, Sealer, MOST_DATAGRAM};
use crate::settings::Peers;
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use chalkgap_membership::view::MemberRecord;
use chalkgap_membership::wire::{Kind, Message, ViewSummary};
use chalkgap_membership::{
    Config, Event, MemberId, MemberState, Membership, Micros, PartitionStatus, Transmit, ANY_MEMBER, OBSERVER,
};
use chalkgap_runtime::{Datagrams, Runtime, Shared};
use futures_lite::future;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Messages of the view that are taken in a second, as a multiple of those that one member sends: those of a heal, when
/// many tell one something at once.
const INTAKE: f64 = 4.0;

struct Inner {
    member: Membership,
    sealer: Sealer,
}

/// The view of one instance.
pub(crate) struct Fleet {
    runtime: Shared,
    socket: Arc<dyn Datagrams>,
    inner: Mutex<Inner>,
    telemetry: Arc<Telemetry>,
    /// Told whom the view has lost, and has again.
    driver: Sender<DriverEvent>,
    /// The time to wake has changed.
    stir: (Sender<()>, Receiver<()>),
    /// Closed when a later start of this number is there.
    over: (Sender<()>, Receiver<()>),
}

impl Fleet {
    /// A view as settings have it; none where they have none.
    pub(crate) fn new(
        runtime: &Shared,
        socket: &Arc<dyn Datagrams>,
        peers: &Peers,
        key: Key,
        (me, most): (MemberId, MemberId),
        born: Micros,
        (telemetry, driver): (&Arc<Telemetry>, &Sender<DriverEvent>),
    ) -> Option<Arc<Fleet>> {
        let view = peers.view.as_ref()?;
        let config = Config {
            self_id: me,
            incarnation: born,
            address: view.address.unwrap_or_else(|| socket.address()),
            seeds: view.seeds.clone(),
            max_members: most,
            protocol_period: view.round_ms * 1000,
            min_suspicion_timeout: view.objection_ms * 1000,
            max_messages_per_second: view.per_second,
            rng_seed: runtime.random(),
        };
        let member = Membership::new(runtime.now(), config);
        let sealer = Sealer::new(Channel::View, key, me, born);
        Some(Arc::new(Fleet {
            runtime: runtime.clone(),
            socket: socket.clone(),
            inner: Mutex::new(Inner { member, sealer }),
            telemetry: telemetry.clone(),
            driver: driver.clone(),
            stir: async_channel::bounded(1),
            over: async_channel::bounded(1),
        }))
    }

    /// Messages of a view that an instance takes in a second.
    pub(crate) fn intake(peers: &Peers) -> f64 {
        peers.view.as_ref().map_or(0.0, |v| v.per_second * INTAKE)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The view as it is now.
    pub(crate) fn shown(&self) -> ShownView {
        let (inner, now) = (self.lock(), self.runtime.now());
        let view = inner.member.view();
        let members = view.members().map(|m| ShownMember::new(&m.record, now.saturating_sub(m.since)));
        ShownView::new(inner.member.view_summary(), view.digest(), members.collect())
    }

    /// Where a member that counts as in receives datagrams.
    pub(crate) fn address(&self, number: MemberId) -> Option<SocketAddr> {
        let inner = self.lock();
        inner.member.view().get(number).filter(|m| m.record.state.is_live()).map(|m| m.record.address)
    }

    /// Ends when a later start of this instance's number is there.
    pub(crate) fn superseded(&self) -> impl std::future::Future<Output = ()> + Send + 'static {
        let over = self.over.1.clone();
        async move {
            let _ = over.recv().await; // never sent on, only closed
        }
    }

    /// Keeps the view's time.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let wake = {
                let mut inner = self.lock();
                let now = self.runtime.now();
                if inner.member.next_timeout() <= now {
                    inner.member.handle_timeout(now);
                }
                inner.member.next_timeout()
            };
            self.carry().await;
            let sleep = self.runtime.sleep_until(wake);
            let stirred = async {
                let _ = self.stir.1.recv().await; // this one holds a sender: it is never closed
            };
            future::or(sleep, stirred).await;
        }
    }

    /// A message of the view has come.
    pub(crate) async fn hear(&self, from: MemberId, source: SocketAddr, message: &[u8]) {
        let heard = self.lock().member.handle_message(self.runtime.now(), from, source, message);
        match heard {
            Ok(()) => add(&self.telemetry.view_in),
            Err(_) => add(&self.telemetry.peer_dropped),
        }
        self.carry().await;
        let _ = self.stir.0.try_send(()); // full: it will look anyway
    }

    /// Leaves in order.
    pub(crate) async fn leave(&self) {
        self.lock().member.leave(self.runtime.now());
        self.carry().await;
    }

    /// Sends what is to be sent and writes down what has changed.
    async fn carry(&self) {
        let mut reach = Vec::new();
        loop {
            let next = {
                let mut inner = self.lock();
                let Inner { member, sealer } = &mut *inner;
                while let Some(change) = member.poll_event() {
                    self.note(member, &change);
                    match change {
                        Event::MemberChanged(f) if f.id != member.id() => {
                            reach.push(DriverEvent::PeerReachability {
                                peer: f.id,
                                reachable: f.state.is_live(),
                            });
                        }
                        _ => {}
                    }
                }
                member
                    .poll_transmit()
                    .map(|Transmit { to, address, bytes }| (sealer.seal(to, &bytes), address))
            };
            let Some((datagram, to)) = next else { break };
            add(&self.telemetry.view_out);
            // Lost without a word, as any datagram may be.
            let _ = self.socket.send(&datagram, to).await;
        }
        for input in reach {
            let _ = self.driver.send(input).await; // closed: the instance has been stopped
        }
    }

    /// One line for each change: a process's own account of what it knew when.
    fn note(&self, member: &Membership, change: &Event) {
        let (me, at, view) = (member.id(), self.runtime.now(), member.view());
        let (number, counting, digest) =
            (view.version(), view.live_count(), format!("{:016x}", view.digest()));
        match change {
            Event::MemberChanged(f) => {
                let (of, state, turn, start, by) =
                    (f.id, name(f.state), f.version, f.incarnation, f.reported_by);
                tracing::info!(
                    target: "chalkgap::fleet",
                    me, at, of, state, turn, start, by, number, counting, digest, "member"
                );
            }
            Event::PartitionStatusChanged(standing) => {
                let (standing, of) = (standing_name(*standing as u8), member.voter_count());
                tracing::warn!(target: "chalkgap::fleet", me, at, standing, counting, of, number, digest, "standing");
            }
            Event::Superseded => {
                tracing::error!(
                    target: "chalkgap::fleet", me, at, "superseded: a later start has this number; this one has to end"
                );
                self.over.0.close();
            }
        }
    }
}

fn name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "in",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "lost",
        MemberState::Left => "left",
    }
}

fn standing_name(standing: u8) -> &'static str {
    const NAMES: [(PartitionStatus, &str); 3] = [
        (PartitionStatus::Complete, "whole"),
        (PartitionStatus::Majority, "most"),
        (PartitionStatus::NoQuorum, "cut off"),
    ];
    NAMES.iter().find(|n| n.0 as u8 == standing).map_or("unknown", |n| n.1)
}

/// A member, as an ingress shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShownMember {
    /// Its number.
    pub number: MemberId,
    /// `in`, `suspected`, `lost` or `left`.
    pub state: &'static str,
    /// How long it has been so, in microseconds.
    pub held: Micros,
    /// Even while it is in, odd once it is gone.
    pub turn: u32,
    /// When it started, in microseconds since 1970.
    pub start: u64,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// By whose word.
    pub by: MemberId,
}

impl ShownMember {
    fn new(f: &MemberRecord, held: Micros) -> ShownMember {
        let (number, state, turn, start, address, by) =
            (f.id, name(f.state), f.version, f.incarnation, f.address, f.reported_by);
        ShownMember { number, state, held, turn, start, address, by }
    }
}

/// A view, as an ingress shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShownView {
    /// Whose it is.
    pub owner: MemberId,
    /// Its number.
    pub number: u64,
    /// Its digest; equal digests are equal views.
    pub digest: String,
    /// `whole`, `most` or `cut off`.
    pub standing: &'static str,
    /// How many members count as in.
    pub counting: u16,
    /// By how many halves are counted.
    pub of: u16,
    /// How late it may be about a death, in microseconds.
    pub late: Micros,
    /// All that it knows, by number.
    pub members: Vec<ShownMember>,
}

impl ShownView {
    fn new(shown: ViewSummary, digest: u64, members: Vec<ShownMember>) -> ShownView {
        let ViewSummary {
            owner,
            version: number,
            live_count: counting,
            voter_count: of,
            partition_status: standing,
            detection_bound: late,
            next: _,
        } = shown;
        let (digest, standing) = (format!("{digest:016x}"), standing_name(standing));
        ShownView { owner, number, digest, standing, counting, of, late, members }
    }
}

/// Why no view is shown.
#[derive(Debug, thiserror::Error)]
pub enum ShowError {
    /// No socket.
    #[error("a socket for datagrams: {0}")]
    Socket(std::io::Error),
    /// Nobody answers: not there, no view, or another key.
    #[error(
        "{0} does not answer: it is not there, has no view (settings.fleet.peers.view), or has another key"
    )]
    Silent(SocketAddr),
    /// It answers what cannot be.
    #[error("{0}: the view changed all the time, or it makes no sense")]
    Changing(SocketAddr),
}

/// Tries for each part of a view.
const TRIES: u32 = 5;
/// How long each of them waits.
const TRY: Micros = 400_000;
/// Parts that are asked for; more than 65,536 members do not exist, and each part has one at least.
const PARTS: usize = 20_000;

/// Asks the ingress whose datagrams are received at `address` for its view.
///
/// # Errors
/// See [`ShowError`].
pub async fn show(runtime: &Shared, key: Key, address: SocketAddr) -> Result<ShownView, ShowError> {
    let any: SocketAddr = match address.ip() {
        ip if ip.is_loopback() => (ip, 0).into(),
        std::net::IpAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        std::net::IpAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let socket = runtime.datagrams(any).map_err(ShowError::Socket)?;
    let mut sealer = Sealer::new(Channel::View, key.clone(), OBSERVER, runtime.now());
    let mut opener = Opener::new(key, OBSERVER, OBSERVER, [1.0, 10_000.0]);
    let (mut from, mut members) = (0, Vec::new());
    let mut head: Option<(ViewSummary, u64)> = None;
    for _ in 0..PARTS {
        let (shown, message) = part(&**runtime, &*socket, (&mut sealer, &mut opener), address, from).await?;
        members.extend(message.records.iter().map(|(f, held)| ShownMember::new(f, *held)));
        // Parts of a view that changed meanwhile are shown under the last one's number.
        head = Some((shown, message.digest));
        match shown.next {
            Some(next) if next > from => from = next,
            Some(_) => return Err(ShowError::Changing(address)),
            None => break,
        }
    }
    let (shown, digest) = head.ok_or(ShowError::Silent(address))?;
    Ok(ShownView::new(shown, digest, members))
}

async fn part(
    runtime: &dyn Runtime,
    socket: &dyn Datagrams,
    (sealer, opener): (&mut Sealer, &mut Opener),
    address: SocketAddr,
    from: MemberId,
) -> Result<(ViewSummary, Message), ShowError> {
    for _ in 0..TRIES {
        let nonce = runtime.random() as u32;
        let ask = Message::new(Kind::ViewRequest { from }, nonce, 0);
        let _ = socket.send(&sealer.seal(ANY_MEMBER, &ask.encode()), address).await; // seen by its silence
        let until = runtime.now() + TRY;
        let mut buffer = [0; MOST_DATAGRAM + 1];
        while runtime.now() < until {
            let sleep = async {
                runtime.sleep_until(until).await;
                None
            };
            let got = async { socket.receive(&mut buffer).await.ok().map(|r| r.0) };
            let Some(n) = future::or(got, sleep).await else { continue };
            let Ok(opened) = opener.open(runtime.now(), &buffer[..n]) else { continue };
            let Ok(message) = Message::decode(opened.message) else { continue };
            if let (Kind::ViewPage(shown), true) = (message.kind, message.nonce == nonce) {
                return Ok((shown, message));
            }
        }
    }
    Err(ShowError::Silent(address))
}
