//! Anti-entropy: two members whose views have different digests compare the digests of their buckets and exchange the
//! records of the buckets that differ.

use crate::membership::Membership;
use crate::view::{MemberRecord, BUCKETS};
use crate::wire::{Kind, Message};
use crate::{MemberId, Micros};
use rand::RngExt;

/// Maximum number of messages with records sent in answer to one comparison.
const MAX_PAGES_PER_COMPARISON: usize = 4;

pub(crate) struct AntiEntropy {
    /// Number of consecutive messages whose senders had the same digest as this member.
    pub(crate) equal_digests: u32,
    /// The earliest time at which this member starts another comparison.
    next_comparison: Micros,
}

impl AntiEntropy {
    pub(crate) fn new(now: Micros) -> AntiEntropy {
        AntiEntropy { equal_digests: 0, next_comparison: now }
    }
}

impl Membership {
    /// Compares the digest in a message with this member's own. If they differ, starts a comparison of the buckets, at
    /// most once per protocol period.
    pub(crate) fn compare_digest(&mut self, now: Micros, from: MemberId, digest: u64) {
        if digest == self.view.digest() {
            self.anti_entropy.equal_digests += 1;
            // If the last senders all had the same view, only suspicions, which digests do not cover, still have to be
            // disseminated.
            if self.anti_entropy.equal_digests > 2 * self.log_fleet_size() {
                self.broadcasts.retain(|id| self.suspicions.contains_key(id));
            }
            return;
        }
        self.anti_entropy.equal_digests = 0;
        // Differences due to updates in transit disappear when these arrive; the comparison resolves the others.
        if now >= self.anti_entropy.next_comparison && self.view.get(from).is_some() {
            self.anti_entropy.next_comparison = now + self.config.protocol_period;
            let digests = self.view.bucket_digests();
            self.send(now, from, Kind::Digests { reply_requested: true, digests }, 0);
        }
    }

    /// Sends the records of the buckets whose digests differ from `digests`, in at most
    /// [`MAX_PAGES_PER_COMPARISON`] messages. It starts at a random bucket, so that each one is sent eventually.
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
