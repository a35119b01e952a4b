//! What a gateway remembers: plain records, and the arithmetic that they share. No decision and no tuned value
//! lives here; what the records mean and when they change is in `control.rs`.

use crate::gossip::Sample;
use crate::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// A second in the host's unit.
pub const SECOND: f64 = 1e6;

pub struct Attempt {
    pub endpoint: Endpoint,
    pub sent_at: Micros,
    pub in_flight: bool,
    pub cancelled: bool,
    /// Proved never to have run.
    pub never_ran: bool,
}

#[derive(Default)]
pub struct InFlightRequest {
    pub request: Request,
    pub arrived_at: Micros,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    pub streaming: bool,
    /// Waits for the word of its customer's homes.
    pub awaiting_owner: bool,
}

impl InFlightRequest {
    /// Calls the attempts off, but for one to keep.
    pub fn call_off(&mut self, keep: Option<u16>, allowed: bool, act: &mut Vec<Action>) {
        for (n, a) in (0u16..).zip(&mut self.attempts) {
            if allowed && a.in_flight && !a.cancelled && keep != Some(n) {
                a.cancelled = true;
                act.push(Action::Cancel { id: self.request.id, attempt: n });
            }
        }
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.in_flight).count()
    }

    /// The first attempt that ran or may have run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }

    /// How long an answer is worth something: the aim, or what the client waits if that is less.
    pub fn patience(&self, aim: Micros) -> f64 {
        aim.min(self.request.deadline.saturating_sub(self.arrived_at)) as f64
    }
}

#[derive(Default)]
pub struct PeerUsage {
    pub total: u16,
    /// Units let through in its name before it told that it took them.
    pub reserved: f64,
    pub rate: f64,
    pub heard_at: Micros,
    pub in_flight: u8,
}

#[derive(Default)]
pub struct Customer {
    pub plan: usize,
    /// The quota's store, as far as known here, and when it was last filled.
    pub tokens: f64,
    pub refilled_at: Micros,
    /// This gateway's own share of the ceiling's store.
    pub hard_limit_tokens: f64,
    /// Units sent on by this gateway since its start.
    pub used_units: f64,
    /// The two that hold most of the ceiling, this gateway's part of it, what it asked them for.
    pub hard_limit_owners: [u16; 2],
    pub hard_limit_share: f64,
    pub first_gateway: u16,
    /// What is asked for: a request's units, and whether the ceiling lacks them, too.
    pub requested_units: f64,
    pub hard_limit_requested: bool,
    /// Ceiling units handed over for the requests that are held, and for those alone.
    pub transferred_tokens: f64,
    pub use_rate: f64,
    pub in_flight: u32,
    pub gateway_count: f64,
    pub last_request_at: Micros,
    /// The gateways that count this customer's use; whether this is one of them.
    pub owners: Vec<u16>,
    pub is_owner: bool,
    /// At a home: what each gateway told, and the rate of others.
    pub usage_by_peer: BTreeMap<u16, PeerUsage>,
    pub peer_rate: f64,
    pub peers_in_flight: u32,
    /// Elsewhere: when the homes told of it and were asked, who has answered.
    pub owner_reply_at: Micros,
    pub owners_asked_at: Micros,
    pub owners_replied: Vec<u16>,
    /// Whom the round of asking has reached, and who of them counts what was asked for as used.
    pub owners_asked: Vec<u16>,
    pub owners_reserving: Vec<u16>,
    pub awaiting_owner: Vec<RequestId>,
}

#[derive(Default)]
pub struct Peer {
    pub incarnation: u32,
    pub last_received: u16,
    pub last_sent: u16,
    /// When the next message may go.
    pub next_message_at: Micros,
    /// Asks since its last word.
    pub unanswered: u32,
    /// The view of the fleet has lost it.
    pub unreachable: bool,
    /// Where the last message ended.
    pub last_reported: CustomerId,
    /// Customers to tell it of: how many more times, and whether to ask.
    pub outbox: BTreeMap<CustomerId, (u8, bool)>,
}

/// A backend's record with one class: it may be sick for that one alone.
#[derive(Clone, Default)]
pub struct Health {
    pub failure_rate: f64,
    pub updated_at: Micros,
    pub last_answer_at: Micros,
    pub ejected_until: Micros,
    pub consecutive_ejections: u32,
}

#[derive(Default)]
pub struct Backend {
    pub endpoint: Endpoint,
    pub weight: f64,
    pub ready: bool,
    pub in_flight: u32,
    /// Mean answer time over what the class usually takes; 1 is normal.
    pub relative_latency: f64,
    pub relative_latency_at: Micros,
    pub health: Vec<Health>,
    /// Requests waiting as last reported, and when.
    pub queued: f64,
    pub queued_at: Micros,
    /// Recent sends while cold.
    pub recent_sends: VecDeque<Micros>,
}

/// How long answers of a class take: lately, over more of them, and on calm servers.
#[derive(Default)]
pub struct LatencyBaseline {
    pub recent: f64,
    pub mean: f64,
    pub unloaded: f64,
    pub samples: f64,
    pub updated_at: Micros,
}

/// One gateway's decisions. Feed it events, do what it asks.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) random_state: u64,
    pub(crate) now: Micros,
    pub(crate) started_at: Micros,
    pub(crate) next_wakeup: Micros,
    /// Stood still until then: times found with that turn say nothing.
    pub(crate) resumed_at: Micros,
    pub(crate) requests: BTreeMap<RequestId, InFlightRequest>,
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) checks: BinaryHeap<Reverse<(Micros, RequestId)>>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) peers: BTreeMap<u16, Peer>,
    /// Peers with something in their outbox.
    pub(crate) peers_to_notify: BTreeSet<u16>,
    pub(crate) samples: VecDeque<(Micros, Sample)>,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    pub(crate) endpoints_by_tag: BTreeMap<u32, BackendId>,
    /// The ready ones, in an order of this gateway's own.
    pub(crate) sampling_order: Vec<BackendId>,
    /// Those of the nearest of them that started lately.
    pub(crate) warming_up: Vec<BackendId>,
    pub(crate) ready_weight: f64,
    /// Whether zones could be reached.
    pub(crate) zone_health: BTreeMap<u8, Health>,
    pub(crate) latency_baselines: Vec<LatencyBaseline>,
    pub(crate) pressure: f64,
    pub(crate) pressure_at: Micros,
    /// Recent share of requests inside their quota that found no place.
    pub(crate) rejection_rate: f64,
    pub(crate) shedding_step: usize,
    pub(crate) shedding_step_since: Micros,
    /// Attempts that may be out at a backend, by all gateways, if all send alike.
    pub(crate) in_flight_per_endpoint: f64,
    pub(crate) limit_reduced_at: Micros,
    pub(crate) in_flight: u32,
    pub(crate) retry_budget: f64,
    pub(crate) send_rate: f64,
    pub(crate) send_rate_at: Micros,
    /// LoadReport period with all gateways as homes; nought in a fleet too large for that.
    pub(crate) report_period: Micros,
    /// Whether a peer was heard that is older than this start.
    pub(crate) older_peer_seen: bool,
    pub(crate) next_sweep: Micros,
    pub(crate) next_poll: Micros,
    pub(crate) gateway_count: u64,
}

pub fn decay(from: Micros, to: Micros, tau: f64) -> f64 {
    if from >= to {
        1.0
    } else {
        (-((to - from) as f64) / SECOND / tau).exp()
    }
}

/// A number from 0 to 1 that looks random (splitmix64).
pub fn mix(seed: u64) -> f64 {
    let mut z = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
