//! The members of the fleet as one gateway knows them, for people and tools. The field names are the keys of the JSON that
//! `chalkgap fleet show` prints.

use chalkgap_membership::view::Fact;
use chalkgap_membership::wire::Shown;
use chalkgap_membership::{Micros, Number as MemberId, Standing, State};
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
    pub(super) fn new(fact: &Fact, in_state_for: Micros) -> MemberSnapshot {
        MemberSnapshot {
            id: fact.number,
            state: state_name(fact.state),
            in_state_for,
            state_version: fact.turn,
            incarnation: fact.start,
            address: fact.address,
            reported_by: fact.by,
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
    /// Number of gateways that count as members.
    #[serde(rename = "counting")]
    pub member_count: u16,
    /// Number of gateways that a majority is counted of.
    #[serde(rename = "of")]
    pub majority_basis: u16,
    /// The longest time until a failure is detected, in microseconds.
    #[serde(rename = "late")]
    pub max_detection_time: Micros,
    /// All gateways that it knows, by id.
    pub members: Vec<MemberSnapshot>,
}

impl FleetSnapshot {
    pub(super) fn new(shown: Shown, digest: u64, members: Vec<MemberSnapshot>) -> FleetSnapshot {
        FleetSnapshot {
            owner: shown.owner,
            version: shown.number,
            digest: format!("{digest:016x}"),
            partition_status: standing_name(shown.standing),
            member_count: shown.counting,
            majority_basis: shown.of,
            max_detection_time: shown.late,
            members,
        }
    }
}

pub(super) fn state_name(state: State) -> &'static str {
    match state {
        State::In => "in",
        State::Suspected => "suspected",
        State::Lost => "lost",
        State::Left => "left",
    }
}

/// The name of a partition status by its number on the wire.
pub(super) fn standing_name(standing: u8) -> &'static str {
    const NAMES: [(Standing, &str); 3] =
        [(Standing::Whole, "whole"), (Standing::Most, "most"), (Standing::CutOff, "cut off")];
    NAMES.iter().find(|(known, _)| *known as u8 == standing).map_or("unknown", |(_, name)| name)
}
