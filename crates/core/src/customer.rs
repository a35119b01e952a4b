//! What a gateway knows of one customer: its quota, who owns it, and what peers have reported. Plain records: the rules
//! are in [`quota`](crate::quota), [`ownership`](crate::ownership) and [`quota_gossip`](crate::quota_gossip).

use crate::interface::{CustomerId, GatewayId, Micros, RequestId};
use std::collections::BTreeMap;

/// A customer as one gateway knows it.
#[derive(Default)]
pub struct Customer {
    /// Index of its plan in the settings.
    pub plan: usize,
    /// When its last request arrived, or an owner last heard of it.
    pub last_request_at: Micros,

    /// Units in the quota's token bucket, as far as this gateway knows; may be negative.
    pub tokens: f64,
    /// When both buckets were last refilled.
    pub refilled_at: Micros,
    /// Units in this gateway's own part of the hard limit's bucket.
    pub hard_limit_tokens: f64,
    /// The part of the hard limit that this gateway may spend, from 0 to 1.
    pub hard_limit_share: f64,
    /// Hard-limit units that owners transferred for the requests that are held now; they lapse with the last of them.
    pub transferred_tokens: f64,
    /// Units admitted by this gateway since it started.
    pub used_units: f64,
    /// Units a second that this gateway admits, decaying.
    pub use_rate: f64,
    /// Attempts in flight from this gateway.
    pub in_flight: u32,

    /// The first of the gateways that the customer's requests come to.
    pub first_gateway: u16,
    /// How many gateways its requests come to.
    pub gateway_count: f64,
    /// The gateways that keep the customer's quota.
    pub owners: Vec<GatewayId>,
    /// Whether this gateway is one of them.
    pub is_owner: bool,
    /// The two owners that hold most of the hard limit. Queries about the quota and the hard limit go to these two.
    pub hard_limit_owners: [GatewayId; 2],

    /// What each peer reported, at an owner.
    pub usage_by_peer: BTreeMap<GatewayId, PeerUsage>,
    /// Units a second that all peers admit.
    pub peer_rate: f64,
    /// Attempts in flight from all peers.
    pub peers_in_flight: u32,
    /// When an owner last replied; 0 for never, and at owners.
    pub owner_reply_at: Micros,
    /// The latest query to the owners.
    pub owner_query: OwnerQuery,
    /// Requests that are held until an owner replies.
    pub awaiting_owner: Vec<RequestId>,
}

/// What an owner knows of a customer's use at one peer.
#[derive(Clone, Copy, Default)]
pub struct PeerUsage {
    /// The peer's total as last reported, in wrapped quarter units.
    pub total: u16,
    /// Units reserved for the peer's request and not reported as used yet.
    pub reserved: f64,
    /// Units a second that the peer admits, decaying.
    pub rate: f64,
    /// When the peer last reported.
    pub heard_at: Micros,
    /// Attempts in flight from the peer.
    pub in_flight: u8,
}

/// A query to the owners of a customer's quota.
#[derive(Default)]
pub struct OwnerQuery {
    /// When it started.
    pub started_at: Micros,
    /// The units of the request that it was started for.
    pub units: f64,
    /// Whether hard-limit units are requested as well.
    pub wants_hard_limit_tokens: bool,
    /// The owners that the query was sent to.
    pub queried: Vec<GatewayId>,
    /// The owners that replied.
    pub replied: Vec<GatewayId>,
    /// The owners that reserved the units for this gateway.
    pub reserving: Vec<GatewayId>,
}

/// A report that waits to be sent to a peer.
#[derive(Clone, Copy, Default)]
pub struct PendingReport {
    /// How many more times the customer is reported.
    pub remaining_sends: u8,
    /// Whether the next report asks for a reply.
    pub wants_reply: bool,
}

/// A peer, and what waits to be sent to it.
#[derive(Default)]
pub struct Peer {
    /// Its incarnation as last heard; 0 for never.
    pub incarnation: u32,
    /// The sequence number of its latest message.
    pub last_received: u16,
    /// The sequence number of the latest message to it.
    pub last_sent: u16,
    /// When the next report may go to it.
    pub next_message_at: Micros,
    /// Queries since its latest reply.
    pub unanswered: u32,
    /// The membership view has lost it.
    pub unreachable: bool,
    /// One past the last customer in the latest message: the next one starts there.
    pub next_customer: CustomerId,
    /// Customers to report to it.
    pub outbox: BTreeMap<CustomerId, PendingReport>,
}
