//! Loads the full list of backends at a start and after an outage: from the service by a [`CallSchedule`], or from a peer
//! by version and digest.
//!
//! A list is *confirmed* once the service sent it or two peers hold the same one. A list that only one peer holds is used
//! only while there is no confirmed one, and for a limited time. A list older than the confirmed one is not accepted.

use crate::call_schedule::{CallSchedule, FleetView};
use crate::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a list among peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListId {
    /// Version assigned by the service.
    pub version: u64,
    /// The first eight bytes of the BLAKE3 hash of the list.
    pub digest: u64,
}

impl ListId {
    /// Returns the id of a list.
    pub fn of(version: u64, body: &[u8]) -> ListId {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&blake3::hash(body).as_bytes()[..8]);
        ListId { version, digest: u64::from_be_bytes(prefix) }
    }
}

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The service.
    Service,
    /// A peer.
    Peer(MemberId),
    /// The copy that this member stored before its restart.
    Stored,
}

/// A list that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentList {
    /// Version and digest.
    pub id: ListId,
    /// The list.
    pub body: Vec<u8>,
    /// Where the list comes from.
    pub source: Source,
    /// When it was received.
    pub received_at: Micros,
    /// Whether the service sent it or two peers hold it.
    pub confirmed: bool,
}

/// Why a list is not accepted. The list in use does not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It is older than the confirmed list.
    #[error(
        "list version {received} is older than the confirmed version {confirmed}: check the connection of its sender to \
         the service"
    )]
    Older {
        /// The version that was received.
        received: u64,
        /// The version of the confirmed list.
        confirmed: u64,
    },
    /// It does not match the id that the peer announced.
    #[error(
        "list from member {peer} does not match the version and digest that it announced; the member is not asked again \
         until it restarts"
    )]
    Mismatch {
        /// The peer.
        peer: MemberId,
    },
    /// It was not requested.
    #[error("list from member {peer} was not requested")]
    Unrequested {
        /// The peer.
        peer: MemberId,
    },
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request the full list from the service.
    CallService,
    /// Request the announced list from a peer.
    FetchFromPeer(MemberId),
    /// Use the list that [`ListLoader::current`] returns now; if it returns `None`, use none.
    UseCurrent,
}

/// Configuration of a [`ListLoader`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// This member.
    pub member: MemberId,
    /// Maximum number of members.
    pub max_members: u16,
    /// Maximum number of calls for the full list that the fleet makes per second.
    pub calls_per_second: u32,
    /// Time for which a list that only one peer holds is used.
    pub unconfirmed_lifetime: Micros,
    /// Time after which a fetch from a peer has failed.
    pub fetch_timeout: Micros,
    /// Time since the last confirmation of a list after which it is requested again.
    pub refresh_after: Micros,
}

/// A request for a peer's list.
#[derive(Clone, Copy)]
struct Fetch {
    peer: MemberId,
    id: ListId,
    deadline: Micros,
}

/// Decides which list is used, and from where lists are requested.
pub struct ListLoader {
    config: Config,
    schedule: CallSchedule,
    /// The last confirmed list; until there is one, the stored list.
    confirmed_or_stored: Option<CurrentList>,
    /// A later list that is not confirmed yet.
    unconfirmed: Option<CurrentList>,
    /// The list that each peer announced last.
    announced: BTreeMap<MemberId, ListId>,
    /// Peers that sent a list other than the announced one; they are not asked again until they restart.
    mismatched_peers: BTreeSet<MemberId>,
    /// Peers whose list no other peer held during its unconfirmed lifetime. Their lists are fetched again only if another
    /// peer holds the same one.
    unconfirmed_peers: BTreeSet<MemberId>,
    fetch: Option<Fetch>,
    /// When the service, or two peers, last confirmed the list.
    confirmed_at: Option<Micros>,
}

impl ListLoader {
    /// Creates a loader. `stored`: version and bytes of the list that was stored before the restart; it is used at once, and
    /// is not confirmed.
    pub fn new(config: Config, stored: Option<(u64, Vec<u8>)>, now: Micros) -> ListLoader {
        let stored = stored.map(|(version, body)| {
            let id = ListId::of(version, &body);
            CurrentList { id, body, source: Source::Stored, received_at: now, confirmed: false }
        });
        ListLoader {
            schedule: CallSchedule::new(config.member, config.max_members, config.calls_per_second),
            config,
            confirmed_or_stored: stored,
            unconfirmed: None,
            announced: BTreeMap::new(),
            mismatched_peers: BTreeSet::new(),
            unconfirmed_peers: BTreeSet::new(),
            fetch: None,
            confirmed_at: None,
        }
    }

    /// Returns the list to use: the confirmed one, else a list that only one peer holds, else the stored one.
    pub fn current(&self) -> Option<&CurrentList> {
        self.confirmed().or(self.unconfirmed.as_ref()).or(self.confirmed_or_stored.as_ref())
    }

    fn confirmed(&self) -> Option<&CurrentList> {
        self.confirmed_or_stored.as_ref().filter(|list| list.confirmed)
    }

    /// Returns the id to announce to peers. Only a confirmed list is announced: if members announced a list that they have
    /// from a single peer, two of them would confirm it.
    pub fn id_to_announce(&self) -> Option<ListId> {
        self.confirmed().map(|list| list.id)
    }

    /// Records that a peer announced its list.
    pub fn peer_announced(&mut self, now: Micros, peer: MemberId, id: ListId, actions: &mut Vec<Action>) {
        let is_peer = peer != self.config.member && peer < self.config.max_members;
        if !is_peer || self.mismatched_peers.contains(&peer) {
            return;
        }
        self.announced.insert(peer, id);
        self.update_confirmation(now, actions);
        self.start_fetch(now, actions);
    }

    /// Records that a peer restarted or left: what it announced before, and the record of its mismatched lists, are
    /// discarded.
    pub fn peer_left(&mut self, peer: MemberId) {
        self.announced.remove(&peer);
        self.mismatched_peers.remove(&peer);
        self.unconfirmed_peers.remove(&peer);
        if self.fetch.is_some_and(|fetch| fetch.peer == peer) {
            self.fetch = None;
        }
    }

    /// Records that a list was received.
    ///
    /// # Errors
    /// The list was not requested, is not the announced one, or is older than the confirmed one; see [`ListError`].
    pub fn list_received(
        &mut self,
        now: Micros,
        source: Source,
        version: u64,
        body: Vec<u8>,
        actions: &mut Vec<Action>,
    ) -> Result<(), ListError> {
        let id = ListId::of(version, &body);
        if let Source::Peer(peer) = source {
            let Some(fetch) = self.fetch.take_if(|fetch| fetch.peer == peer) else {
                return Err(ListError::Unrequested { peer });
            };
            if id != fetch.id {
                self.announced.remove(&peer);
                self.mismatched_peers.insert(peer);
                self.start_fetch(now, actions);
                return Err(ListError::Mismatch { peer });
            }
        }
        let confirmed = self.confirmed().map(|list| list.id.version);
        if let Some(confirmed) = confirmed.filter(|confirmed| *confirmed > version) {
            return Err(ListError::Older { received: version, confirmed });
        }
        let confirmed = source == Source::Service;
        let list = CurrentList { id, body, source, received_at: now, confirmed };
        if confirmed {
            self.confirmed_or_stored = Some(list);
            self.unconfirmed = None;
            self.confirmed_at = Some(now);
        } else {
            self.unconfirmed = Some(list);
            self.update_confirmation(now, actions);
        }
        actions.push(Action::UseCurrent);
        Ok(())
    }

    /// Records that a call to the service, or a fetch from a peer, failed.
    pub fn request_failed(&mut self, now: Micros, source: Source, actions: &mut Vec<Action>) {
        if let Source::Peer(peer) = source {
            self.fetch.take_if(|fetch| fetch.peer == peer);
            self.announced.remove(&peer); // fetched again once the peer announces it again
            self.start_fetch(now, actions);
        }
    }

    /// Handles the timeouts that are due at `now`. Returns the next time at which it must be called.
    pub fn wake(&mut self, now: Micros, fleet: FleetView, actions: &mut Vec<Action>) -> Micros {
        if let Some(fetch) = self.fetch.filter(|fetch| now >= fetch.deadline) {
            self.request_failed(now, Source::Peer(fetch.peer), actions);
        }
        let lifetime = self.config.unconfirmed_lifetime;
        if let Some(expired) = self.unconfirmed.take_if(|list| now >= list.received_at + lifetime) {
            if let Source::Peer(peer) = expired.source {
                self.unconfirmed_peers.insert(peer);
            }
            actions.push(Action::UseCurrent);
            self.start_fetch(now, actions);
        }
        let mut next_call = self.schedule.next_call(now, fleet);
        if next_call <= now {
            let refresh_after = self.config.refresh_after;
            if self.confirmed_at.is_none_or(|confirmed_at| now >= confirmed_at + refresh_after) {
                actions.push(Action::CallService);
            }
            self.schedule.record_call(now); // a slot without a call is used up as well
            next_call = self.schedule.next_call(now + 1, fleet);
        }
        let unconfirmed_expiry = self.unconfirmed.as_ref().map(|list| list.received_at + lifetime);
        let fetch_deadline = self.fetch.map(|fetch| fetch.deadline);
        let wake_times = [Some(next_call), unconfirmed_expiry, fetch_deadline];
        wake_times.into_iter().flatten().min().unwrap_or(next_call)
    }

    /// Returns the number of peers that hold a list.
    fn count_holders(&self, id: ListId) -> usize {
        self.announced.values().filter(|announced| **announced == id).count()
    }

    /// Confirms a list that two peers hold.
    fn update_confirmation(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let has_two_holders = |list: &CurrentList| self.count_holders(list.id) >= 2;
        if self.unconfirmed.as_ref().is_some_and(has_two_holders) {
            let list = self.unconfirmed.take().map(|list| CurrentList { confirmed: true, ..list });
            self.confirmed_or_stored = list;
            self.confirmed_at = Some(now);
            actions.push(Action::UseCurrent);
        } else if self.confirmed_or_stored.as_ref().is_some_and(has_two_holders) {
            self.confirmed_at = Some(now);
            if let Some(list) = self.confirmed_or_stored.as_mut() {
                list.confirmed = true;
            }
        }
    }

    /// Starts to fetch a later list than the one in use, if peers have announced one. A list that two or more peers hold is
    /// preferred. The peer is chosen by a hash, so that members spread their fetches over the holders.
    fn start_fetch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.fetch.is_some() {
            return;
        }
        // A list that two peers hold is compared with the confirmed list only: an unconfirmed one must not keep it out.
        let confirmed = self.confirmed().map(|list| list.id.version);
        let newest = self.unconfirmed.as_ref().map(|list| list.id.version).max(confirmed);
        let is_wanted = |peer: &MemberId, id: &ListId| match self.count_holders(*id) {
            0 | 1 => {
                newest.is_none_or(|version| id.version > version) && !self.unconfirmed_peers.contains(peer)
            }
            _ => {
                confirmed.is_none_or(|version| id.version > version)
                    && self.unconfirmed.as_ref().is_none_or(|list| list.id != *id)
            }
        };
        let wanted = self.announced.iter().filter(|(peer, id)| is_wanted(peer, id)).map(|(_, id)| *id);
        let Some(id) = wanted.max_by_key(|id| (self.count_holders(*id).min(2), id.version, id.digest)) else {
            return;
        };
        let peer_order = |peer: &MemberId| {
            blake3::hash(&[peer.to_be_bytes(), self.config.member.to_be_bytes()].concat()).as_bytes()[0]
        };
        let holders = self.announced.iter().filter(|(_, announced)| **announced == id).map(|(peer, _)| *peer);
        if let Some(peer) = holders.min_by_key(peer_order) {
            self.fetch = Some(Fetch { peer, id, deadline: now + self.config.fetch_timeout });
            actions.push(Action::FetchFromPeer(peer));
        }
    }
}
