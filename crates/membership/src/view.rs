//! The records of all members, and the digest that is compared to find out whether two views are equal.

use crate::{MemberId, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of buckets of a view. Each bucket has its own digest, so that two members exchange only the records of the
/// buckets that differ. The number is part of the wire format.
pub const BUCKETS: usize = 16;
/// Exclusive upper bound of record versions. Other versions are rejected, as a member must always be able to move to
/// its next version.
pub const VERSION_LIMIT: u32 = 1 << 30;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member is taken to be alive: no suspicion is pending.
    Alive,
    /// The member did not answer the probes of some member. It counts as live until the suspicion timeout.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member left gracefully.
    Left,
}

impl MemberState {
    /// Returns true if a member in this state counts as live: alive or suspected.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// The state and address of a member, as members send them to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The id of the member that the record describes.
    pub id: MemberId,
    /// The member's state.
    pub state: MemberState,
    /// SWIM's incarnation number: even while the member is alive or suspected, odd once it is dead or has left.
    pub version: u32,
    /// The start time of the member's process, in microseconds since 1970.
    pub incarnation: u64,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The member that reported this state.
    pub reported_by: MemberId,
}

/// The order of records of one member. The higher version wins, then the higher incarnation, then left over dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    version: u32,
    incarnation: u64,
    left: bool,
}

impl MemberRecord {
    /// Returns the precedence of this record. Of two records of a member the one with the greater precedence is kept.
    pub fn precedence(&self) -> Precedence {
        let left = self.state == MemberState::Left;
        Precedence { version: self.version, incarnation: self.incarnation, left }
    }

    fn hash(&self) -> u64 {
        let mut bytes = [0; 15];
        bytes[..2].copy_from_slice(&self.id.to_be_bytes());
        bytes[2..6].copy_from_slice(&self.version.to_be_bytes());
        bytes[6..14].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes[14] = u8::from(self.state == MemberState::Left);
        let mut truncated = [0; 8];
        truncated.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_be_bytes(truncated)
    }
}

/// An entry of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's record.
    pub record: MemberRecord,
    /// The time at which the view's owner first saw the member in this state, on the owner's clock.
    pub since: Micros,
}

/// One member's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<MemberId, Member>,
    bucket_hashes: [u64; BUCKETS],
    version: u64,
    live_count: usize,
}

impl View {
    /// Returns the entry of a member, if the member is known.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns all known members in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the live members in the order of their ids.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.record.state.is_live())
    }

    /// Returns the number of live members.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the number of known members, in any state.
    pub fn known_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the view's version, which grows with the version of each record. Of two views of the same fleet, the one
    /// with the higher version is more recent.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a hash over all records: two views with the same records have the same digest. Suspicions are not hashed,
    /// as each member has its own.
    pub fn digest(&self) -> u64 {
        self.bucket_hashes.iter().fold(0, |digest, hash| digest.rotate_left(5) ^ hash)
    }

    /// Returns the digest of each bucket.
    pub fn bucket_digests(&self) -> [u32; BUCKETS] {
        self.bucket_hashes.map(|hash| (hash >> 32) as u32 ^ hash as u32)
    }

    /// Returns the records of one bucket.
    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = &MemberRecord> {
        let records = self.members.values().map(|member| &member.record);
        records.filter(move |record| bucket_of(record.id) == bucket)
    }

    /// Inserts or replaces the record of a member. Updates the version, the bucket hashes and the live count.
    pub(crate) fn put(&mut self, record: MemberRecord, now: Micros) {
        let previous = self.members.get(&record.id).copied();
        let same_state = previous.filter(|previous| previous.record.state == record.state);
        let since = same_state.map_or(now, |previous| previous.since);
        let bucket = bucket_of(record.id);
        self.bucket_hashes[bucket] ^= record.hash();
        self.version = self.version.saturating_add(u64::from(record.version) + 1);
        self.live_count += usize::from(record.state.is_live());
        if let Some(previous) = previous {
            self.bucket_hashes[bucket] ^= previous.record.hash();
            self.version = self.version.saturating_sub(u64::from(previous.record.version) + 1);
            self.live_count -= usize::from(previous.record.state.is_live());
        }
        self.members.insert(record.id, Member { record, since });
    }
}

fn bucket_of(id: MemberId) -> usize {
    usize::from(id) % BUCKETS
}
