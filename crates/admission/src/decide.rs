//! The decider.
//!
//! Memory: an entry for each address and prefix with a connection open (bounded by the budget), and at most
//! [`Caps::remembered`] more for those that had one lately, whose only content is how many they opened. Of those the
//! one seen longest ago is forgotten first: a flood from new addresses makes the others' past be forgotten, which is to
//! their good. Who is known has a table of its own that a flood cannot reach.

use crate::accept_backoff::AcceptBackoff;
use crate::cidr_block::{canonical, CidrBlock};
use crate::known_clients::{KnownClients, KnownTier};
use crate::running_clock::RunningClock;
use crate::{DescriptorBudget, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A connection, as the caller names it: never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Limits.
#[derive(Clone, Copy, Debug)]
pub struct Caps {
    /// Connections that an address may have open; a known one may have four times as many.
    pub per_address: u32,
    /// Connections that a prefix may have open (IPv4 /24, IPv6 /64), and eight times as many a wider one (/48).
    /// A known address is not counted against its neighbours' sins.
    pub per_prefix: u32,
    /// Connections that an address may open in a second, and so many at once.
    pub per_second: f64,
    /// Connections that have not finished their handshake, in all and by address.
    pub handshakes: u32,
    /// See `handshakes`.
    pub handshakes_per_address: u32,
    /// Share of the clients' budget kept for known clients.
    pub reserve: f64,
    /// Share of it, inside the reserve, kept for the dearest plans.
    pub preferred: f64,
    /// Addresses without a connection that are remembered.
    pub remembered: usize,
    /// Refusals a second that get a word; more are closed without one.
    pub words_per_s: f64,
    /// Who is closed for a newcomer, whatever its standing; none: nobody.
    pub gives_way: Option<GivesWay>,
}

/// Connections that nobody misses, for fleets whose clients all come by one front and cannot be told apart by address.
#[derive(Clone, Copy, Debug)]
pub struct GivesWay {
    /// They give way to newcomers from so many open connections on, though there may be room for more: clients that hold
    /// their own limit in idle connections cannot come at all, and nobody here would see why.
    pub from: u64,
    /// Ones that have not asked anything for so long after they were let in.
    pub silent: Micros,
    /// Ones without an open request for so long.
    pub idle: Micros,
}

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its address has too many open.
    Address,
    /// Its prefix has too many open.
    Prefix,
    /// Its address opens them too fast.
    Rate,
    /// Too many have not finished their handshake.
    Handshakes,
    /// All room that it may use is in use.
    Full,
}

/// What becomes of a connection that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is let in; `evict`: another one, idle, has to go for it.
    Accept {
        /// The one to close.
        evict: Option<ConnId>,
    },
    /// It is refused.
    Refuse {
        /// Why.
        reason: Reason,
        /// There is room in the budget of work for telling it so; else it is just closed.
        word: bool,
        /// When it may come back.
        pause: Micros,
    },
}

/// How a client stands, in the ladder's order: the first are refused first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Its requests were refused lately, far more than served.
    Red,
    /// Never served lately.
    Unknown,
    /// Served within quota lately, or named by the settings.
    Known,
    /// Known, and of the dearest plans.
    Preferred,
}

#[derive(Default)]
struct Place {
    open: u32,
    shaking: u32,
    /// Connections that it may open now, and since when that is so.
    allowance: f64,
    at: Micros,
    /// Requests served and refused, fading in some ten seconds.
    served: f64,
    refused: f64,
    judged: Micros,
}

struct Conn {
    address: IpAddr,
    standing: Standing,
    shaking: bool,
    /// Requests open; at nought it is idle since `since`.
    busy: u32,
    since: Micros,
    stage: Stage,
}

/// How far a connection is on its way out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    /// It was told to go.
    Leaving,
    /// Its last word is said, and its peer's end is waited for, since `since`.
    Lingering,
    /// It is not even waited for any more: its descriptor is wanted.
    Cut,
}

/// Memory of answers by address, in microseconds.
const FADE: f64 = 10e6;
/// Refusals, faded, from which an address can be red, and how many times its served requests they must be.
const RED: (f64, f64) = (8.0, 4.0);
/// Share of the room of unknown clients that red ones may use.
const RED_ROOM: f64 = 0.5;
/// A known address may open this many times what another may.
const KNOWN_FACTOR: u32 = 4;
/// A wider prefix may have open this many times what a narrow one may.
const WIDE_FACTOR: u32 = 8;
/// What a refused client is told to wait where nothing better is known.
const PAUSE: Micros = 1_000_000;

/// Decides on connections.
pub struct Admission {
    caps: Caps,
    budget: DescriptorBudget,
    /// The known clients.
    pub known_clients: KnownClients,
    conns: BTreeMap<ConnId, Conn>,
    places: BTreeMap<IpAddr, Place>,
    /// Those without a connection, by when they were last seen.
    quiet: BTreeSet<(Micros, IpAddr)>,
    prefixes: BTreeMap<CidrBlock, u32>,
    /// Connections by standing, and the idle ones of each in the order in which they fell idle.
    count: [u64; 4],
    idle: [BTreeSet<(Micros, ConnId)>; 4],
    /// Those that have not asked anything, by when they were let in.
    silent: BTreeSet<(Micros, ConnId)>,
    /// Idle ones that have asked, of all standings.
    done: BTreeSet<(Micros, ConnId)>,
    shaking: u32,
    /// Those that no longer serve, in any stage; the lingering ones among them by since when, and how many were cut.
    leaving: u64,
    lingering: BTreeSet<(Micros, ConnId)>,
    cut: u64,
    words: f64,
    words_at: Micros,
    clock: RunningClock,
    accept_backoff: AcceptBackoff,
}

impl Admission {
    /// A decider with nothing open.
    pub fn new(caps: Caps, budget: DescriptorBudget, known_clients: KnownClients) -> Self {
        Admission {
            words: caps.words_per_s.max(1.0),
            caps,
            budget,
            known_clients,
            conns: BTreeMap::new(),
            places: BTreeMap::new(),
            quiet: BTreeSet::new(),
            prefixes: BTreeMap::new(),
            count: [0; 4],
            idle: Default::default(),
            silent: BTreeSet::new(),
            done: BTreeSet::new(),
            shaking: 0,
            leaving: 0,
            lingering: BTreeSet::new(),
            cut: 0,
            words_at: 0,
            clock: RunningClock::default(),
            accept_backoff: AcceptBackoff::default(),
        }
    }

    /// Time as it ran for clients: without the spells in which this side stood still. Told every tenth of a second,
    /// and before each event, it finds those by itself.
    pub fn own_time(&mut self, now: Micros) -> Micros {
        self.clock.read(now)
    }

    /// How an address stands.
    pub fn standing(&self, now: Micros, address: IpAddr) -> Standing {
        let address = canonical(address);
        if let Some(p) = self.places.get(&address) {
            let keep = (-(now.saturating_sub(p.judged) as f64) / FADE).exp();
            if p.refused * keep > RED.0 && p.refused > RED.1 * p.served {
                return Standing::Red;
            }
        }
        match self.known_clients.lookup(now, address) {
            Some(KnownTier::Preferred) => Standing::Preferred,
            Some(KnownTier::Standard) => Standing::Known,
            None => Standing::Unknown,
        }
    }

    /// How many connections there may be in all before one of this standing is refused.
    fn room(&self, standing: Standing) -> u64 {
        let all = self.budget.clients as f64;
        let kept = match standing {
            Standing::Preferred => 0.0,
            Standing::Known => self.caps.preferred,
            Standing::Unknown | Standing::Red => self.caps.reserve.max(self.caps.preferred),
        };
        let room = all - (all * kept).ceil();
        (if standing == Standing::Red { room * RED_ROOM } else { room }).max(0.0) as u64
    }

    fn open(&self) -> u64 {
        self.conns.len() as u64
    }

    /// A connection is offered. Where it is accepted it counts as open from now on, under `id`.
    pub fn offered(&mut self, now: Micros, id: ConnId, address: IpAddr) -> Offer {
        self.own_time(now);
        let address = canonical(address);
        let standing = self.standing(now, address);
        match self.check(now, address, standing) {
            Err((reason, pause)) => {
                self.tidy();
                self.refuse(now, reason, pause)
            }
            Ok(evict) => {
                if let Some(victim) = evict {
                    self.leave(victim);
                }
                self.enter(now, id, address, standing);
                Offer::Accept { evict }
            }
        }
    }

    fn refuse(&mut self, now: Micros, reason: Reason, pause: Micros) -> Offer {
        let span = now.saturating_sub(self.words_at) as f64 / 1e6;
        self.words_at = self.words_at.max(now);
        self.words = (self.words + span * self.caps.words_per_s).min(self.caps.words_per_s.max(1.0));
        let word = self.words >= 1.0;
        self.words -= f64::from(u8::from(word));
        Offer::Refuse { reason, word, pause }
    }

    fn check(
        &mut self,
        now: Micros,
        address: IpAddr,
        standing: Standing,
    ) -> Result<Option<ConnId>, (Reason, Micros)> {
        let (caps, known) = (self.caps, standing >= Standing::Known);
        let factor = if known { KNOWN_FACTOR } else { 1 };
        let fresh = !self.places.contains_key(&address);
        let p = self.places.entry(address).or_default();
        // An attempt is counted whatever becomes of it: who keeps trying waits longest.
        let most = (caps.per_second * f64::from(factor)).max(1.0);
        if fresh {
            p.allowance = most;
        }
        let span = now.saturating_sub(p.at) as f64 / 1e6;
        p.allowance = (p.allowance + span * most).min(most);
        let (seen, quiet) = (p.at, p.open == 0);
        p.at = p.at.max(now);
        let (allowed, open, shaking, at) = (p.allowance >= 1.0, p.open, p.shaking, p.at);
        if allowed {
            p.allowance -= 1.0;
        }
        if quiet {
            self.quiet.remove(&(seen, address));
            self.quiet.insert((at, address));
        }
        if !allowed {
            return Err((Reason::Rate, (1e6 / most) as Micros));
        }
        if open >= caps.per_address.saturating_mul(factor) {
            return Err((Reason::Address, PAUSE));
        }
        if !known && (shaking >= caps.handshakes_per_address || self.shaking >= caps.handshakes) {
            return Err((Reason::Handshakes, PAUSE));
        }
        // A quarter more for known clients: a flood of half-open connections is not theirs to wait for.
        if known && self.shaking > caps.handshakes + caps.handshakes / 4 {
            return Err((Reason::Handshakes, PAUSE));
        }
        if !known {
            let over =
                |(block, most): (CidrBlock, u32)| self.prefixes.get(&block).is_some_and(|n| *n >= most);
            if prefixes(address, caps.per_prefix).into_iter().flatten().any(over) {
                return Err((Reason::Prefix, PAUSE));
            }
        }
        // What is leaving still holds its descriptor: the spare ones bridge that. Who lingers is cut for them.
        let told = self.leaving - self.lingering.len() as u64 - self.cut;
        let bridged = self.open() < self.budget.clients + self.budget.spare && told < self.budget.spare;
        if bridged && caps.gives_way.is_some_and(|way| self.open() - self.leaving >= way.from) {
            if let Some(victim) = self.nobody_misses(now) {
                return Ok(Some(victim));
            }
        }
        if self.open() - self.leaving < self.room(standing) {
            return if self.open() < self.budget.clients + self.budget.spare {
                Ok(None)
            } else {
                Err((Reason::Full, PAUSE))
            };
        }
        // Known clients may use the whole room but that kept above them: idle ones below them make place.
        if !known || !bridged {
            return Err((Reason::Full, PAUSE));
        }
        let below = [Standing::Red, Standing::Unknown];
        let victim = below.iter().find_map(|s| self.idle[*s as usize].first()).map(|(_, id)| *id);
        victim.map(Some).ok_or((Reason::Full, PAUSE))
    }

    /// The connection that gives way, if one has been idle or silent for long enough: the one that was longest. Idle ones
    /// first: they had what they came for, where a silent one may be about to ask.
    fn nobody_misses(&self, now: Micros) -> Option<ConnId> {
        let way = self.caps.gives_way?;
        let since = |c: &&(Micros, ConnId), span: Micros| c.0.saturating_add(span) <= now;
        let idle = self.done.first().filter(|c| since(c, way.idle));
        let silent = || self.silent.first().filter(|c| since(c, way.silent));
        idle.or_else(silent).map(|c| c.1)
    }

    fn enter(&mut self, now: Micros, id: ConnId, address: IpAddr, standing: Standing) {
        let p = self.places.entry(address).or_default();
        if p.open == 0 {
            self.quiet.remove(&(p.at, address));
        }
        p.open += 1;
        p.shaking += 1;
        self.shaking += 1;
        for (block, _) in prefixes(address, 0).into_iter().flatten() {
            *self.prefixes.entry(block).or_default() += 1;
        }
        self.count[standing as usize] += 1;
        self.idle[standing as usize].insert((now, id));
        self.silent.insert((now, id));
        let conn = Conn { address, standing, shaking: true, busy: 0, since: now, stage: Stage::Serving };
        self.conns.insert(id, conn);
    }

    /// Marks a connection that was told to go.
    fn leave(&mut self, id: ConnId) {
        let Some(c) = self.conns.get_mut(&id).filter(|c| c.stage == Stage::Serving) else { return };
        c.stage = Stage::Leaving;
        self.leaving += 1;
        self.idle[c.standing as usize].remove(&(c.since, id));
        self.silent.remove(&(c.since, id));
        self.done.remove(&(c.since, id));
    }

    /// A connection's last word is said: nothing is left but to wait for its peer's end, so that no reset takes that word
    /// back. It lends its descriptor for that, see [`Admission::wanted`].
    pub fn lingers(&mut self, now: Micros, id: ConnId) {
        self.own_time(now);
        self.leave(id);
        if let Some(c) = self.conns.get_mut(&id).filter(|c| c.stage == Stage::Leaving) {
            c.stage = Stage::Lingering;
            c.since = now;
            self.lingering.insert((now, id));
        }
    }

    /// Those that are to linger no longer, as what they hold is wanted: the longest first, until half of the spare
    /// descriptors is free to bridge evictions with.
    pub fn wanted(&mut self) -> Vec<ConnId> {
        let most = self.budget.clients + self.budget.spare / 2;
        let over = (self.open() - self.cut).saturating_sub(most);
        let list: Vec<ConnId> =
            std::iter::from_fn(|| self.lingering.pop_first()).take(over as usize).map(|(_, id)| id).collect();
        for id in &list {
            if let Some(c) = self.conns.get_mut(id) {
                c.stage = Stage::Cut;
                self.cut += 1;
            }
        }
        list
    }

    /// One that was to be evicted has a request after all, or is sending one, and stays. It is asked last from now on.
    pub fn stays(&mut self, now: Micros, id: ConnId) {
        if let Some(c) = self.conns.get_mut(&id).filter(|c| c.stage == Stage::Leaving) {
            c.stage = Stage::Serving;
            self.leaving -= 1;
            if c.busy == 0 {
                c.since = now;
                self.idle[c.standing as usize].insert((now, id));
                let asked = if c.shaking { &mut self.silent } else { &mut self.done };
                asked.insert((now, id));
            }
        }
    }

    /// A connection's handshake is done.
    pub fn handshaken(&mut self, now: Micros, id: ConnId) {
        self.own_time(now);
        let Some(c) = self.conns.get_mut(&id).filter(|c| c.shaking) else { return };
        c.shaking = false;
        self.shaking -= 1;
        if self.silent.remove(&(c.since, id)) && c.busy == 0 {
            self.done.insert((c.since, id));
        }
        if let Some(p) = self.places.get_mut(&c.address) {
            p.shaking -= 1;
        }
    }

    /// A request came in on a connection: it is not idle until its answer goes out.
    pub fn request(&mut self, now: Micros, id: ConnId) {
        self.own_time(now);
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.busy += 1;
        if c.busy == 1 {
            self.idle[c.standing as usize].remove(&(c.since, id));
            self.done.remove(&(c.since, id));
        }
    }

    /// A request ended. `served` names the account that it was served for, within its quota, and whether that is of a
    /// dearest plan; none: it was refused, failed or withdrawn, `refused` tells the first.
    pub fn ended(&mut self, now: Micros, id: ConnId, served: Option<(u64, bool)>, refused: bool) {
        self.own_time(now);
        let Some(c) = self.conns.get_mut(&id) else { return };
        c.busy = c.busy.saturating_sub(1);
        let (address, standing) = (c.address, c.standing);
        if c.busy == 0 && c.stage == Stage::Serving {
            c.since = now;
            self.idle[standing as usize].insert((now, id));
            self.done.insert((now, id));
        }
        if let Some(p) = self.places.get_mut(&address) {
            let keep = (-(now.saturating_sub(p.judged) as f64) / FADE).exp();
            p.served = p.served * keep + f64::from(u8::from(served.is_some()));
            p.refused = p.refused * keep + f64::from(u8::from(refused));
            p.judged = now;
        }
        if let Some((account, preferred)) = served {
            self.known_clients.record_served(now, address, account, preferred);
        }
        if served.is_some() || refused {
            self.restand(now, id);
        }
    }

    /// Puts a connection under the standing that its address has by now.
    fn restand(&mut self, now: Micros, id: ConnId) {
        let Some(address) = self.conns.get(&id).map(|c| c.address) else { return };
        let standing = self.standing(now, address);
        let Some(c) = self.conns.get_mut(&id).filter(|c| c.standing != standing) else { return };
        self.count[c.standing as usize] -= 1;
        self.count[standing as usize] += 1;
        if self.idle[c.standing as usize].remove(&(c.since, id)) {
            self.idle[standing as usize].insert((c.since, id));
        }
        c.standing = standing;
    }

    /// A connection is gone.
    pub fn closed(&mut self, now: Micros, id: ConnId) {
        self.own_time(now);
        self.handshaken(now, id);
        let Some(c) = self.conns.remove(&id) else { return };
        self.leaving -= u64::from(c.stage != Stage::Serving);
        self.cut -= u64::from(c.stage == Stage::Cut);
        self.lingering.remove(&(c.since, id));
        self.count[c.standing as usize] -= 1;
        self.idle[c.standing as usize].remove(&(c.since, id));
        self.done.remove(&(c.since, id));
        for (block, _) in prefixes(c.address, 0).into_iter().flatten() {
            if let Some(n) = self.prefixes.get_mut(&block) {
                *n -= 1;
                if *n == 0 {
                    self.prefixes.remove(&block);
                }
            }
        }
        if let Some(p) = self.places.get_mut(&c.address) {
            p.open -= 1;
            if p.open == 0 {
                self.quiet.insert((p.at, c.address));
            }
        }
        self.tidy();
    }

    /// Forgets the quiet addresses that are too many, the longest unseen first.
    fn tidy(&mut self) {
        while self.quiet.len() > self.caps.remembered {
            let Some((_, address)) = self.quiet.pop_first() else { return };
            self.places.remove(&address);
        }
    }

    /// The budget changed. Gives the idle connections that have to go for it; busy ones stay until they are idle.
    pub fn rebudget(&mut self, now: Micros, budget: DescriptorBudget) -> Vec<ConnId> {
        self.own_time(now);
        self.budget = budget;
        let mut list = Vec::new();
        let order = [Standing::Red, Standing::Unknown, Standing::Known, Standing::Preferred];
        for standing in order {
            while self.open() - self.leaving > self.budget.clients {
                let Some((_, id)) = self.idle[standing as usize].first().copied() else { break };
                self.leave(id);
                list.push(id);
            }
        }
        list
    }

    /// Accepting failed for want of a resource: the listener is to rest until the given time, longer each time.
    pub fn accept_failed(&mut self, now: Micros) -> Micros {
        self.own_time(now);
        self.accept_backoff.failed(now)
    }

    /// Accepting went well.
    pub fn accepted(&mut self) {
        self.accept_backoff.succeeded();
    }

    /// Connections open by standing, red first.
    pub fn open_by_standing(&self) -> [u64; 4] {
        self.count
    }

    /// Entries in the tables that floods can fill: addresses, and prefixes.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.places.len(), self.prefixes.len())
    }
}

/// The prefixes that an address counts for, with the most that each may have.
fn prefixes(address: IpAddr, most: u32) -> [Option<(CidrBlock, u32)>; 2] {
    match address {
        IpAddr::V4(_) => [Some((CidrBlock::containing(address, 24), most)), None],
        IpAddr::V6(_) => {
            let wide = most.saturating_mul(WIDE_FACTOR);
            [
                Some((CidrBlock::containing(address, 64), most)),
                Some((CidrBlock::containing(address, 48), wide)),
            ]
        }
    }
}
