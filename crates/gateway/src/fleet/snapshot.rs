//! The members of the fleet as one gateway knows them. The serialized field names are the keys of the JSON that
//! `chalkgap fleet show --json` prints.

use chalkgap_membership::view::MemberRecord;
use chalkgap_membership::wire::ViewSummary;
use chalkgap_membership::{MemberId, MemberState, Micros, PartitionStatus};
use serde::Serialize;
use std::net::SocketAddr;

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberSnapshot {
    /// The gateway's id.
    #[serde(rename = "number")]
    pub id: MemberId,
    /// `in`, `suspected`, `lost` or `left`.
    pub state: &'static str,
    /// Time since the member entered this state, in microseconds.
    #[serde(rename = "held")]
    pub in_state_for: Micros,
    /// Version of its state: even while it is a member, odd after it was lost or has left.
    #[serde(rename = "turn")]
    pub state_version: u32,
    /// Time of its start, in microseconds since 1970.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The address on which it receives datagrams.
    pub address: SocketAddr,
    /// The id of the member that reported the state.
    #[serde(rename = "by")]
    pub reported_by: MemberId,
}

impl MemberSnapshot {
    pub(super) fn new(record: &MemberRecord, in_state_for: Micros) -> MemberSnapshot {
        MemberSnapshot {
            id: record.id,
            state: state_name(record.state),
            in_state_for,
            state_version: record.version,
            incarnation: record.incarnation,
            address: record.address,
            reported_by: record.reported_by,
        }
    }
}

/// The members of the fleet as one gateway knows them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetSnapshot {
    /// The id of the gateway that the view belongs to.
    pub owner: MemberId,
    /// Version of the view.
    #[serde(rename = "number")]
    pub version: u64,
    /// Digest of the view, in hexadecimal. Views with equal digests are equal.
    pub digest: String,
    /// Partition status: `whole`, `most` or `cut off`.
    #[serde(rename = "standing")]
    pub partition_status: &'static str,
    /// Number of gateways that count as members.
    #[serde(rename = "counting")]
    pub member_count: u16,
    /// Number of gateways of which more than half form a majority.
    #[serde(rename = "of")]
    pub majority_basis: u16,
    /// Maximum time until a failure is detected, in microseconds.
    #[serde(rename = "late")]
    pub max_detection_time: Micros,
    /// All gateways in the view, ordered by id.
    pub members: Vec<MemberSnapshot>,
}

impl FleetSnapshot {
    pub(super) fn new(summary: ViewSummary, digest: u64, members: Vec<MemberSnapshot>) -> FleetSnapshot {
        FleetSnapshot {
            owner: summary.owner,
            version: summary.version,
            digest: format!("{digest:016x}"),
            partition_status: partition_status_name(summary.partition_status),
            member_count: summary.live_count,
            majority_basis: summary.voter_count,
            max_detection_time: summary.detection_bound,
            members,
        }
    }
}

/// Returns the name of a member's state in logs and JSON.
pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "in",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "lost",
        MemberState::Left => "left",
    }
}

/// Returns the name of a partition status in logs and JSON. `status` is its value on the wire.
pub(super) fn partition_status_name(status: u8) -> &'static str {
    const NAMES: [(PartitionStatus, &str); 3] = [
        (PartitionStatus::Complete, "whole"),
        (PartitionStatus::Majority, "most"),
        (PartitionStatus::NoQuorum, "cut off"),
    ];
    NAMES.iter().find(|(known, _)| *known as u8 == status).map_or("unknown", |(_, name)| name)
}
