//! Anti-entropy: views whose digests differ are compared bucket by bucket, and the records that differ are exchanged.

use crate::membership::Membership;
use crate::view::{MemberRecord, BUCKETS};
use crate::wire::{Kind, Message};
use crate::{MemberId, Micros};
use rand::RngExt;

/// Messages of records in answer to one comparison.
const MAX_PAGES_PER_COMPARISON: usize = 4;

pub(crate) struct AntiEntropy {
    /// Messages in a row whose senders had the same view.
    pub(crate) equal_digests: u32,
    /// No comparison is started before then.
    next_comparison: Micros,
}

impl AntiEntropy {
    pub(crate) fn new(now: Micros) -> AntiEntropy {
        AntiEntropy { equal_digests: 0, next_comparison: now }
    }
}

impl Membership {
    /// Compares the digest of a message's sender with this member's own.
    pub(crate) fn compare_digest(&mut self, now: Micros, from: MemberId, digest: u64) {
        if digest == self.view.digest() {
            self.anti_entropy.equal_digests += 1;
            // When all around have the same view, only suspicions, which digests leave out, still need sending.
            if self.anti_entropy.equal_digests > 2 * self.log_fleet_size() {
                self.broadcasts.retain(|id| self.suspicions.contains_key(id));
            }
            return;
        }
        self.anti_entropy.equal_digests = 0;
        // Views that differ while updates are on the way get equal by themselves; what is left then is compared here.
        if now >= self.anti_entropy.next_comparison && self.view.get(from).is_some() {
            self.anti_entropy.next_comparison = now + self.config.protocol_period;
            let digests = self.view.bucket_digests();
            self.send(now, from, Kind::Digests { reply_requested: true, digests }, 0);
        }
    }

    /// Sends the records of all buckets that differ, from a random bucket on, as far as the pages go.
    pub(crate) fn send_differing_records(&mut self, now: Micros, to: MemberId, digests: &[u32; BUCKETS]) {
        let own_digests = self.view.bucket_digests();
        let first = self.rng.random_range(0..BUCKETS);
        let buckets = (0..BUCKETS).map(|offset| (first + offset) % BUCKETS);
        let differing = buckets.filter(|bucket| own_digests[*bucket] != digests[*bucket]);
        let records: Vec<MemberRecord> =
            differing.flat_map(|bucket| self.view.bucket(bucket)).copied().collect();
        let Some(address) = self.address_of(to) else { return };
        let mut remaining = records.into_iter().peekable();
        for _ in 0..MAX_PAGES_PER_COMPARISON {
            let mut page = Message::new(Kind::Records, 0, self.view.digest());
            while remaining.peek().is_some_and(|record| page.add(*record, 0)) {
                remaining.next();
            }
            if page.records.is_empty() || !self.transmit(now, to, address, &page) {
                break;
            }
        }
    }
}
