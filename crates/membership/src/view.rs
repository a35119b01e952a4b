//! The records of all members, and the digest by which two views are found equal.

use crate::{MemberId, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Parts of a view with a digest each, so that little is sent where little differs. Part of the wire format.
pub const BUCKETS: usize = 16;
/// Versions from here on are not accepted: a member must always have a next one.
pub const VERSION_LIMIT: u32 = 1 << 30;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers, as far as is known.
    Alive,
    /// It did not answer some member. It counts as live until the time to refute is over.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It left gracefully.
    Left,
}

impl MemberState {
    /// Whether it counts as a member of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Whom it is about.
    pub id: MemberId,
    /// Its state.
    pub state: MemberState,
    /// SWIM's incarnation number: even while the member is alive or suspected, odd once it is dead or has left.
    pub version: u32,
    /// When its process started, in microseconds since 1970.
    pub incarnation: u64,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// The member that reported this state.
    pub reported_by: MemberId,
}

/// The order of two records of one member: the higher version wins, then the later process; left wins over dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    version: u32,
    incarnation: u64,
    left: bool,
}

impl MemberRecord {
    /// Of two records the one with the greater precedence holds.
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

/// A member as one view has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its record.
    pub record: MemberRecord,
    /// Since when it is in this state, on the clock of the view's owner.
    pub since: Micros,
}

/// The view that one member has of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<MemberId, Member>,
    bucket_hashes: [u64; BUCKETS],
    version: u64,
    live_count: usize,
}

impl View {
    /// What is known of a member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// All known members, by id.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The live members, by id.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.record.state.is_live())
    }

    /// How many members are live.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// How many members are known.
    pub fn known_count(&self) -> usize {
        self.members.len()
    }

    /// Grows with each version of each member: of two views of one fleet the one with the higher version knows more.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Equal where two views have the same records, suspicions aside: each member has its own.
    pub fn digest(&self) -> u64 {
        self.bucket_hashes.iter().fold(0, |digest, hash| digest.rotate_left(5) ^ hash)
    }

    /// The digest of each bucket.
    pub fn bucket_digests(&self) -> [u32; BUCKETS] {
        self.bucket_hashes.map(|hash| (hash >> 32) as u32 ^ hash as u32)
    }

    /// The records of one bucket.
    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = &MemberRecord> {
        let records = self.members.values().map(|member| &member.record);
        records.filter(move |record| bucket_of(record.id) == bucket)
    }

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
