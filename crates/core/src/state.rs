//! What a gateway remembers: plain records, and the arithmetic that they share. No decision and no tuned value
//! lives here; what the records mean and when they change is in `control.rs`.

use crate::gossip::Sample;
use crate::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// A second in the host's unit.
pub const SECOND: f64 = 1e6;

pub struct Attempt {
    pub to: Listed,
    pub sent: Micros,
    pub out: bool,
    pub cancelled: bool,
    /// Proved never to have run.
    pub void: bool,
}

#[derive(Default)]
pub struct Open {
    pub req: Request,
    pub arrived: Micros,
    pub attempts: Vec<Attempt>,
    pub done: bool,
    pub streaming: bool,
    /// Waits for the word of its customer's homes.
    pub held: bool,
}

impl Open {
    /// Calls the attempts off, but for one to keep.
    pub fn call_off(&mut self, keep: Option<u16>, allowed: bool, act: &mut Vec<Action>) {
        for (n, a) in (0u16..).zip(&mut self.attempts) {
            if allowed && a.out && !a.cancelled && keep != Some(n) {
                a.cancelled = true;
                act.push(Action::Cancel { id: self.req.id, attempt: n });
            }
        }
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.out).count()
    }

    /// The first attempt that ran or may have run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.void)
    }

    /// How long an answer is worth something: the aim, or what the client waits if that is less.
    pub fn patience(&self, aim: Micros) -> f64 {
        aim.min(self.req.deadline.saturating_sub(self.arrived)) as f64
    }
}

#[derive(Default)]
pub struct Heard {
    pub total: u16,
    /// Units let through in its name before it told that it took them.
    pub promised: f64,
    pub rate: f64,
    pub at: Micros,
    pub open: u8,
}

#[derive(Default)]
pub struct Customer {
    pub plan: usize,
    /// The quota's store, as far as known here, and when it was last filled.
    pub level: f64,
    pub filled: Micros,
    /// This gateway's own share of the ceiling's store.
    pub ceiling: f64,
    /// Units sent on by this gateway since its start.
    pub used: f64,
    /// The two that hold most of the ceiling, this gateway's part of it, what it asked them for.
    pub pools: [u16; 2],
    pub part: f64,
    pub first: u16,
    /// What is asked for: a request's units, and whether the ceiling lacks them, too.
    pub asks: f64,
    pub short: bool,
    /// Ceiling units handed over for the requests that are held, and for those alone.
    pub granted: f64,
    pub rate: f64,
    pub open: u32,
    pub width: f64,
    pub seen: Micros,
    /// The gateways that count this customer's use; whether this is one of them.
    pub homes: Vec<u16>,
    pub home: bool,
    /// At a home: what each gateway told, and the rate of others.
    pub heard: BTreeMap<u16, Heard>,
    pub others: f64,
    pub others_open: u32,
    /// Elsewhere: when the homes told of it and were asked, who has answered.
    pub news_at: Micros,
    pub asked_at: Micros,
    pub answered: Vec<u16>,
    /// Whom the round of asking has reached, and who of them counts what was asked for as used.
    pub asked: Vec<u16>,
    pub promised: Vec<u16>,
    pub held: Vec<RequestId>,
}

#[derive(Default)]
pub struct Peer {
    pub born: u32,
    pub seq: u16,
    pub sent: u16,
    /// When the next message may go.
    pub next: Micros,
    /// Asks since its last word.
    pub unheard: u32,
    /// The view of the fleet has lost it.
    pub gone: bool,
    /// Where the last message ended.
    pub told: CustomerId,
    /// Customers to tell it of: how many more times, and whether to ask.
    pub outbox: BTreeMap<CustomerId, (u8, bool)>,
}

/// A backend's record with one class: it may be sick for that one alone.
#[derive(Clone, Default)]
pub struct Health {
    pub errors: f64,
    pub at: Micros,
    pub heard: Micros,
    pub rest_until: Micros,
    pub strikes: u32,
}

#[derive(Default)]
pub struct Backend {
    pub listed: Listed,
    pub size: f64,
    pub ready: bool,
    pub out: u32,
    /// Mean answer time over what the class usually takes; 1 is normal.
    pub slow: f64,
    pub slow_at: Micros,
    pub health: Vec<Health>,
    /// Requests waiting as last reported, and when.
    pub queue: f64,
    pub told_at: Micros,
    /// Recent sends while cold.
    pub cold_sends: VecDeque<Micros>,
}

/// How long answers of a class take: lately, over more of them, and on calm servers.
#[derive(Default)]
pub struct Usual {
    pub recent: f64,
    pub mean: f64,
    pub calm: f64,
    pub count: f64,
    pub at: Micros,
}

/// One gateway's decisions. Feed it events, do what it asks.
#[derive(Default)]
pub struct Gateway {
    pub(crate) s: Settings,
    pub(crate) rng: u64,
    pub(crate) now: Micros,
    pub(crate) born: Micros,
    pub(crate) wake_at: Micros,
    /// Stood still until then: times found with that turn say nothing.
    pub(crate) woke: Micros,
    pub(crate) requests: BTreeMap<RequestId, Open>,
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) checks: BinaryHeap<Reverse<(Micros, RequestId)>>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) peers: BTreeMap<u16, Peer>,
    /// Peers with something in their outbox.
    pub(crate) due: BTreeSet<u16>,
    pub(crate) samples: VecDeque<(Micros, Sample)>,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    pub(crate) tags: BTreeMap<u32, BackendId>,
    /// The ready ones, in an order of this gateway's own.
    pub(crate) order: Vec<BackendId>,
    /// Those of the nearest of them that started lately.
    pub(crate) cold: Vec<BackendId>,
    pub(crate) ready_size: f64,
    /// Whether zones could be reached.
    pub(crate) zones: BTreeMap<u8, Health>,
    pub(crate) usual: Vec<Usual>,
    pub(crate) pressure: f64,
    pub(crate) pressure_at: Micros,
    /// Recent share of requests inside their quota that found no place.
    pub(crate) turned_away: f64,
    pub(crate) rung: usize,
    pub(crate) rung_since: Micros,
    /// Attempts that may be out at a backend, by all gateways, if all send alike.
    pub(crate) places: f64,
    pub(crate) limit_at: Micros,
    pub(crate) out: u32,
    pub(crate) retries: f64,
    pub(crate) sent_rate: f64,
    pub(crate) sent_at: Micros,
    /// Report period with all gateways as homes; nought in a fleet too large for that.
    pub(crate) period: Micros,
    /// Whether a peer was heard that is older than this start.
    pub(crate) elders: bool,
    pub(crate) sweep_at: Micros,
    pub(crate) watch_at: Micros,
    pub(crate) shares: u64,
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
