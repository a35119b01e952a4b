//! Piggybacking updates on messages (SWIM, section 4.1): each update is sent a multiple of log(n) times, those sent
//! least often first.

use crate::membership::Membership;
use crate::view::{MemberRecord, MemberState};
use crate::wire::{Kind, Message};
use crate::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Each update is sent this many times the logarithm of the fleet's size.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// More updates than fit into a message.
const MAX_UPDATES_PER_MESSAGE: usize = 16;

/// Members whose records have changed lately.
#[derive(Default)]
pub(crate) struct Broadcasts {
    /// By how often each was sent.
    queue: BTreeSet<(u32, MemberId)>,
    transmissions: BTreeMap<MemberId, u32>,
}

impl Broadcasts {
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn contains(&self, id: MemberId) -> bool {
        self.transmissions.contains_key(&id)
    }

    /// A member's record has changed: it is to be sent as if it never was.
    pub(crate) fn add(&mut self, id: MemberId) {
        let transmissions = self.transmissions.insert(id, 0).unwrap_or(0);
        self.queue.remove(&(transmissions, id));
        self.queue.insert((0, id));
    }

    /// Drops the updates of all members but these.
    pub(crate) fn retain(&mut self, keep: impl Fn(&MemberId) -> bool) {
        self.transmissions.retain(|id, _| keep(id));
        self.queue.retain(|(_, id)| keep(id));
    }

    /// An update that was sent `transmissions` times before has been sent once more.
    fn sent(&mut self, transmissions: u32, id: MemberId, max_transmissions: u32) {
        self.queue.remove(&(transmissions, id));
        if transmissions + 1 < max_transmissions {
            self.queue.insert((transmissions + 1, id));
            self.transmissions.insert(id, transmissions + 1);
        } else {
            self.transmissions.remove(&id);
        }
    }
}

impl Membership {
    /// Sends a message to a member of the view; false if it was not sent.
    pub(crate) fn send(&mut self, now: Micros, to: MemberId, kind: Kind, nonce: u32) -> bool {
        let address = self.address_of(to);
        address.is_some_and(|address| self.send_to(now, to, address, kind, nonce))
    }

    /// Sends a message with this member's own record, what the receiver has to know of itself, and pending updates;
    /// false if it was not sent.
    pub(crate) fn send_to(
        &mut self,
        now: Micros,
        to: MemberId,
        address: SocketAddr,
        kind: Kind,
        nonce: u32,
    ) -> bool {
        let mut message = Message::new(kind, nonce, self.view.digest());
        message.add(self.own_record, 0);
        if !matches!(kind, Kind::Digests { .. }) {
            self.add_receivers_record(to, &mut message);
            self.piggyback_updates(&mut message);
        }
        self.transmit(now, to, address, &message)
    }

    /// A receiver that is not alive in this view, or sent an outdated record of itself, is notified so that it can
    /// refute.
    fn add_receivers_record(&self, to: MemberId, message: &mut Message) {
        let Some(record) = self.view.get(to).map(|member| member.record) else { return };
        if record.state != MemberState::Alive || self.outdated_members.contains(&to) {
            message.add(record, 0);
        }
    }

    fn piggyback_updates(&mut self, message: &mut Message) {
        let max_transmissions = RETRANSMIT_MULTIPLIER * self.log_fleet_size();
        let updates: Vec<(u32, MemberId)> =
            self.broadcasts.queue.iter().take(MAX_UPDATES_PER_MESSAGE).copied().collect();
        for (transmissions, id) in updates {
            let Some(record) = self.view.get(id).map(|member| member.record) else { continue };
            let suspicion = self.suspicions.get(&id);
            let reporter = suspicion.and_then(|suspicion| suspicion.reporter(transmissions));
            let reported_by = reporter.unwrap_or(record.reported_by);
            if !message.add(MemberRecord { reported_by, ..record }, 0) {
                break;
            }
            self.broadcasts.sent(transmissions, id, max_transmissions);
        }
    }
}
