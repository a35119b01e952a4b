//! The members of the fleet as one gateway knows them, for people and tools. The field names are the keys of the JSON that
//! `chalkgap fleet show` prints.

use chalkgap_membership::view::MemberRecord;
use chalkgap_membership::wire::ViewSummary;
use chalkgap_membership::{MemberId, MemberState, Micros, PartitionStatus};
use serde::Serialize;
use std::net::SocketAddr;

/// A member.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberSnapshot {
    /// Its id.
    #[serde(rename = "number")]
    pub id: MemberId,
    /// `in`, `suspected`, `lost` or `left`.
    pub state: &'static str,
    /// How long it has been in this state, in microseconds.
    #[serde(rename = "held")]
    pub in_state_for: Micros,
    /// Version of its state: even while it is a member, odd once it is gone.
    #[serde(rename = "turn")]
    pub state_version: u32,
    /// When it started, in microseconds since 1970.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The address on which it receives datagrams.
    pub address: SocketAddr,
    /// The id of the member that reported the state.
    #[serde(rename = "by")]
    pub reported_by: MemberId,
}

impl MemberSnapshot {
    pub(super) fn new(fact: &MemberRecord, in_state_for: Micros) -> MemberSnapshot {
        MemberSnapshot {
            id: fact.id,
            state: state_name(fact.state),
            in_state_for,
            state_version: fact.version,
            incarnation: fact.incarnation,
            address: fact.address,
            reported_by: fact.reported_by,
        }
    }
}

/// The members of the fleet as one gateway knows them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetSnapshot {
    /// The id of that gateway.
    pub owner: MemberId,
    /// Version of the view.
    #[serde(rename = "number")]
    pub version: u64,
    /// Digest of the view; views with equal digests are equal.
    pub digest: String,
    /// Partition status: `whole`, `most` or `cut off`.
    #[serde(rename = "standing")]
    pub partition_status: &'static str,
    /// MemberId of gateways that count as members.
    #[serde(rename = "counting")]
    pub member_count: u16,
    /// MemberId of gateways that a majority is counted of.
    #[serde(rename = "of")]
    pub majority_basis: u16,
    /// The longest time until a failure is detected, in microseconds.
    #[serde(rename = "late")]
    pub max_detection_time: Micros,
    /// All gateways that it knows, by id.
    pub members: Vec<MemberSnapshot>,
}

impl FleetSnapshot {
    pub(super) fn new(shown: ViewSummary, digest: u64, members: Vec<MemberSnapshot>) -> FleetSnapshot {
        FleetSnapshot {
            owner: shown.owner,
            version: shown.version,
            digest: format!("{digest:016x}"),
            partition_status: standing_name(shown.partition_status),
            member_count: shown.live_count,
            majority_basis: shown.voter_count,
            max_detection_time: shown.detection_bound,
            members,
        }
    }
}

pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "in",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "lost",
        MemberState::Left => "left",
    }
}

/// The name of a partition status by its number on the wire.
pub(super) fn standing_name(standing: u8) -> &'static str {
    const NAMES: [(PartitionStatus, &str); 3] = [
        (PartitionStatus::Complete, "whole"),
        (PartitionStatus::Majority, "most"),
        (PartitionStatus::NoQuorum, "cut off"),
    ];
    NAMES.iter().find(|(known, _)| *known as u8 == standing).map_or("unknown", |(_, name)| name)
}
