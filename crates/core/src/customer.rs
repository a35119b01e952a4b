//! The state of one customer at a gateway: its quota, the quota's owners, and what peers have reported. Plain records:
//! the rules are in [`quota`](crate::quota), [`ownership`](crate::ownership) and [`quota_gossip`](crate::quota_gossip).

use crate::interface::{CustomerId, GatewayId, Micros, RequestId};
use std::collections::BTreeMap;

/// The state of a customer at one gateway.
#[derive(Default)]
pub struct Customer {
    /// Index of its plan in [`Settings::plans`](crate::Settings::plans).
    pub plan: usize,
    /// When its last request arrived here, or a peer last reported the customer to this gateway as an owner.
    pub last_request_at: Micros,

    /// Units in the quota's token bucket, as estimated by this gateway; may be negative.
    pub tokens: f64,
    /// When both buckets were last refilled.
    pub refilled_at: Micros,
    /// Units in this gateway's part of the hard limit's bucket.
    pub hard_limit_tokens: f64,
    /// The share of the hard limit that this gateway may spend, from 0 to 1.
    pub hard_limit_share: f64,
    /// Hard-limit units that owners transferred for the requests that are held now; they lapse when none is held any
    /// more.
    pub transferred_tokens: f64,
    /// Units admitted by this gateway since it started.
    pub used_units: f64,
    /// Decaying rate of the units that this gateway admits, per second.
    pub use_rate: f64,
    /// Number of attempts in flight from this gateway.
    pub in_flight: u32,

    /// Number of the first gateway that receives the customer's requests.
    pub first_gateway: u16,
    /// Number of gateways that receive its requests.
    pub gateway_count: f64,
    /// The gateways that keep the customer's quota.
    pub owners: Vec<GatewayId>,
    /// Whether this gateway is one of the owners.
    pub is_owner: bool,
    /// The two owners that hold most of the hard limit. Queries about the quota and the hard limit are sent to them.
    pub hard_limit_owners: [GatewayId; 2],

    /// At an owner: the use that each peer reported.
    pub usage_by_peer: BTreeMap<GatewayId, PeerUsage>,
    /// Rate of the units that all peers admit, per second.
    pub peer_rate: f64,
    /// Number of attempts in flight from all peers.
    pub peers_in_flight: u32,
    /// When an owner last replied; 0 if none has replied, and at owners.
    pub owner_reply_at: Micros,
    /// The latest query to the owners.
    pub owner_query: OwnerQuery,
    /// Requests that are held until an owner replies.
    pub awaiting_owner: Vec<RequestId>,
}

/// A customer's use at one peer, as known to an owner.
#[derive(Clone, Copy, Default)]
pub struct PeerUsage {
    /// The peer's total of admitted units as last reported, see [`wrap_units`](crate::gossip::wrap_units).
    pub total: u16,
    /// Units reserved for the peer's request and not yet reported as used.
    pub reserved: f64,
    /// Decaying rate of the units that the peer admits, per second.
    pub rate: f64,
    /// When the peer last reported.
    pub reported_at: Micros,
    /// Number of attempts in flight from the peer.
    pub in_flight: u8,
}

/// A query to the owners of a customer's quota.
#[derive(Default)]
pub struct OwnerQuery {
    /// When the query started.
    pub started_at: Micros,
    /// Units of the request that the query was started for.
    pub units: f64,
    /// Whether hard-limit units are requested as well.
    pub wants_hard_limit_tokens: bool,
    /// Owners that the query was sent to.
    pub queried: Vec<GatewayId>,
    /// Owners that replied.
    pub replied: Vec<GatewayId>,
    /// Owners that reserved the units for this gateway.
    pub reserving: Vec<GatewayId>,
}

/// A report that waits to be sent to a peer.
#[derive(Clone, Copy, Default)]
pub struct PendingReport {
    /// Number of times that the report is still to be sent.
    pub remaining_sends: u8,
    /// Whether the next report asks for a reply.
    pub wants_reply: bool,
}

/// The state of a peer, and the reports that wait to be sent to it.
#[derive(Default)]
pub struct Peer {
    /// Its incarnation in its latest message; 0 before the first message.
    pub incarnation: u32,
    /// When the latest message of that incarnation arrived.
    pub heard_at: Micros,
    /// Sequence number of its latest message.
    pub last_received: u16,
    /// Sequence number of the latest message to it.
    pub last_sent: u16,
    /// When the next message with reports may be sent to it.
    pub next_message_at: Micros,
    /// Number of queries sent to it since its latest reply.
    pub unanswered: u32,
    /// Whether the membership view lists it as unreachable.
    pub unreachable: bool,
    /// Id after that of the last customer in the latest message to it; the next message starts there.
    pub next_customer: CustomerId,
    /// Customers to report to it.
    pub outbox: BTreeMap<CustomerId, PendingReport>,
}
