//! Every decision of a gateway. Its types stand in `src/interface.rs`; sections follow a request's way.
use crate::gossip::*;
use crate::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Ticks between two wake-ups: deadlines, checks and gossip are looked at this often. More saves CPU.
const WAKE_TICKS: u64 = 5;
const SECOND: f64 = 1e6; // in microseconds
/// A customer unseen for this long is green (design), and is forgotten once its stores are full.
const AGING: Micros = 10_000_000;
/// Shares of amber that pass on rungs 1 to 3 (paper, table I); green is cut alike from rung 2.
const AMBER: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
const LAST_RUNG: usize = 4; // preferred only
const RUNG_UP: Micros = 1_500_000; // least stay on a rung, so that its effect is seen
const RUNG_DOWN: Micros = 2_000_000;
const EPOCH: Micros = 10_000_000; // how long the same customers are cut: longer than clients retry
/// An answer weighs on the pressure by its time over the lesser of these: a multiple of its class's time on
/// calm servers, and a share of its aim. Servers driven harder lose throughput before aims are missed.
const CALM_MULTIPLE: f64 = 3.5;
const CALM_CREEP: f64 = 0.01; // growth of the calm time by itself, in a second
const AIM_SHARE: f64 = 0.6;
/// Pressure that raises an alert and that ends it: between them nothing moves.
const ALERT_ON: f64 = 1.0;
const ALERT_OFF: f64 = 0.75;
const PLACES: f64 = 10.0; // attempts out at a backend, by all gateways, to begin with; then found by latency
const GROW: f64 = 0.4; // pressure under which the bound on what is out may grow
/// How long, besides a period, a peer's use is under way unheard: the way, a lost message, chance.
const UNHEARD: Micros = 350_000;
const AWAY: f64 = 0.05; // share turned away for want of a place that alerts while pressure is not low
const PRESSURE_TAU: f64 = 1.0; // memory of the pressure in seconds: some dozen answers
const RATE_TAU: f64 = 2.0; // memory of use in seconds: longer than pauses, shorter than shifts of weight
/// The share of an aim that a request may be held for a free place; held longer it would fail late.
const HOLD: f64 = 0.3;
/// Shares of an aim after which an attempt at a silent, and at a talking, backend is repeated elsewhere.
const SILENCE: f64 = 0.35;
const HEDGE: f64 = 0.6;
/// Further attempts per first attempt, and the store of them: retries cannot feed an overload.
const RETRY_SHARE: f64 = 0.1;
const RETRY_STORE: f64 = 10.0;
const COLD_MARGIN: f64 = 0.6; // part of the rule's budget spent on a cold backend: the rest is for chance
/// Share of errors in recent answers from which a backend gets a trickle only.
const SICK_ERRORS: f64 = 0.25;
/// How long a silent or failing backend rests before one attempt tries it again; doubles up to 2^3.
const REST: Micros = 500_000;
/// Report periods without a message after which a peer is silent (design: two; losses ask for more).
const SILENT_PERIODS: u64 = 4;

struct Attempt {
    to: Listed,
    sent: Micros,
    out: bool,
    cancelled: bool,
    /// Proved never to have run.
    void: bool,
}

#[derive(Default)]
struct Open {
    req: Request,
    arrived: Micros,
    attempts: Vec<Attempt>,
    done: bool,
    streaming: bool,
}

impl Open {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.out).count()
    }

    /// The first attempt that ran or may have run.
    fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.void)
    }
}

#[derive(Default)]
struct Heard {
    total: u16,
    rate: f64,
    at: Micros,
    open: u8,
}

#[derive(Default)]
struct Customer {
    plan: usize,
    /// The quota's store, as far as known here, and when it was last filled.
    level: f64,
    filled: Micros,
    /// This gateway's own share of the ceiling's store.
    ceiling: f64,
    /// Units sent on by this gateway since its start.
    used: f64,
    rate: f64,
    rate_at: Micros,
    open: u32,
    width: f64,
    seen: Micros,
    /// How many more messages name this customer.
    dirty: u8,
    heard: BTreeMap<u16, Heard>,
}

#[derive(Default)]
struct Peer {
    born: u32,
    seq: u32,
    gift_seq: u32,
    zone: u8,
    heard: Micros,
}

#[derive(Default)]
struct Backend {
    listed: Listed,
    size: f64,
    ready: bool,
    out: u32,
    /// Mean answer time over what the class usually takes; 1 is normal.
    slow: f64,
    errors: f64,
    heard: Micros,
    rest_until: Micros,
    strikes: u32,
    queue: f64,
    /// Recent sends while cold.
    cold_sends: VecDeque<Micros>,
}

impl Backend {
    fn rest(&mut self, now: Micros) {
        self.rest_until = now + (REST << self.strikes.min(3));
        self.strikes = self.strikes.saturating_add(1);
    }
}

/// How long answers of a class take: lately, and on calm servers.
#[derive(Default)]
struct Usual {
    recent: f64,
    calm: f64,
    count: f64,
    at: Micros,
}

/// One gateway's decisions. Feed it events, do what it asks.
#[derive(Default)]
pub struct Gateway {
    s: Settings,
    rng: u64,
    now: Micros,
    born: Micros,
    wake_at: Micros,
    requests: BTreeMap<RequestId, Open>,
    waiting: VecDeque<RequestId>,
    checks: BinaryHeap<Reverse<(Micros, RequestId)>>,
    customers: BTreeMap<CustomerId, Customer>,
    peers: BTreeMap<u16, Peer>,
    backends: BTreeMap<BackendId, Backend>,
    /// Per zone: last proof that it can be reached, last sign that it cannot.
    zones: BTreeMap<u8, (Micros, Micros)>,
    usual: Vec<Usual>,
    pressure: f64,
    pressure_at: Micros,
    /// Recent share of requests inside their quota that found no place.
    turned_away: f64,
    rung: usize,
    rung_since: Micros,
    /// Attempts that may be out at a backend, by all gateways, if all send alike.
    places: f64,
    limit_at: Micros,
    out: u32,
    retries: f64,
    sent_rate: f64,
    sent_at: Micros,
    gossip_at: Micros,
    seq: u32,
    gift_seq: u32,
    told: CustomerId,
    watch_at: Micros,
    shares: u64,
}

fn decay(from: Micros, to: Micros, tau: f64) -> f64 {
    (-(to.saturating_sub(from) as f64) / SECOND / tau).exp()
}

/// Calls a request's attempts off, but for one to keep.
fn call_off(o: &mut Open, keep: Option<u16>, allowed: bool, act: &mut Vec<Action>) {
    for (n, a) in (0u16..).zip(&mut o.attempts) {
        if allowed && a.out && !a.cancelled && keep != Some(n) {
            a.cancelled = true;
            act.push(Action::Cancel { id: o.req.id, attempt: n });
        }
    }
}

/// A number from 0 to 1 that looks random (splitmix64).
fn mix(seed: u64) -> f64 {
    let mut z = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let usual =
            settings.classes.iter().map(|c| Usual { recent: c.aim as f64 * 0.15, ..Usual::default() });
        let usual = usual.map(|u| Usual { calm: u.recent, at: now, ..u }).collect();
        let shares = u64::from(settings.gateways.max(1));
        let zero = Gateway::default();
        Gateway {
            rng: seed,
            now,
            born: now,
            usual,
            retries: RETRY_STORE,
            places: PLACES,
            shares,
            s: settings,
            ..zero
        }
    }

    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Micros, event: Event, act: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(req) => self.on_request(req, act),
            Event::Settled { .. } => self.on_settled(event, act),
            Event::Withdrawn(id) => self.on_gone(id, act),
            Event::FirstByte { id, attempt } => {
                if let Some(o) = self.requests.get_mut(&id) {
                    call_off(o, Some(attempt), self.s.limits.cancel, act);
                    o.streaming = true;
                }
            }
            Event::Peer { from, bytes } => self.on_peer(from, &bytes, act),
            Event::Roster(kind, list) => self.on_roster(kind, list, act),
            Event::Timer(_) if self.now < self.wake_at => return,
            Event::Timer(_) | Event::Probed { .. } | Event::Counted { .. } => {}
        }
        if self.now >= self.wake_at {
            self.on_wake(act);
            let delay = (WAKE_TICKS * self.s.tick).max(1);
            self.wake_at = self.now + delay;
            act.push(Action::SetTimer { delay, token: 0 });
        }
    }

    // ---- 1. A request arrives: its colour, its store, the ladder ----

    fn on_request(&mut self, req: Request, act: &mut Vec<Action>) {
        let (class, plan) = (usize::from(req.class), usize::from(req.plan));
        let known = class < self.s.classes.len() && plan < self.s.plans.len();
        let sane = req.units.is_finite() && req.units >= 0.0;
        if self.requests.contains_key(&req.id) {
            return; // told twice: the first telling gets the answer
        }
        // With less than two wake-ups left nothing can be held, watched or served: answered at once.
        if !known || !sane || req.deadline < self.now + 2 * WAKE_TICKS * self.s.tick {
            return self.refuse(req.id, 0, act);
        }
        let unseen = self.meet(&req);
        let (quota_wait, ceiling_wait) = self.wait_for_room(&req);
        if let Some(wait) = quota_wait.into_iter().chain(ceiling_wait).reduce(f64::max) {
            return self.refuse(req.id, (wait * SECOND) as Micros, act); // red
        }
        if !self.ladder_passes(req.customer, plan, unseen) {
            return self.refuse(req.id, Micros::MAX, act);
        }
        // The fuller the line, the fewer customers may join it; the same ones for an epoch, as on the ladder.
        let line = self.waiting.len() as f64 / (self.limit() * HOLD);
        if self.out as f64 >= self.limit() && self.draw(req.customer) >= 1.0 - line {
            self.turned_away += 0.05 * (1.0 - self.turned_away); // no place, none soon
            return self.refuse(req.id, Micros::MAX, act);
        }
        self.turned_away -= 0.05 * self.turned_away;
        self.charge(&req, 1.0);
        let open = Open { req, arrived: self.now, ..Open::default() };
        self.requests.insert(req.id, open);
        self.waiting.push_back(req.id);
        self.dispatch(act);
    }

    fn refuse(&self, id: RequestId, pause: Micros, act: &mut Vec<Action>) {
        let most = if self.s.limits.retry_after { self.s.limits.max_retry_after } else { 0 };
        act.push(Action::Refuse { id, pause: pause.min(most) });
    }

    /// Notes the customer; true if it was unseen within the ageing time.
    fn meet(&mut self, req: &Request) -> bool {
        let (now, born) = (self.now, self.born);
        let plan = &self.s.plans[usize::from(req.plan)];
        let most = self.s.gateways.max(1) as f64;
        let width = if req.width.is_finite() { req.width.clamp(1.0, most) } else { most };
        let life = (now - born) as f64 / SECOND;
        let c = self.customers.entry(req.customer).or_insert_with(|| Customer {
            plan: usize::from(req.plan),
            // A customer unseen here: its share, or one request, and what has filled since this start.
            level: ((plan.burst / width).max(req.units) + plan.rate * life).min(plan.burst),
            // The ceiling's share counts from nothing at this start: what went before is not known here.
            ceiling: (plan.ceiling_rate / width * life).min(plan.ceiling_burst / width),
            filled: now,
            width,
            ..Customer::default()
        });
        let unseen = c.seen == 0 || now - c.seen > AGING;
        c.width = c.width.max(width); // never narrower: a share once given out is not taken twice
        c.plan = usize::from(req.plan);
        c.seen = now;
        unseen
    }

    /// Fills a customer's stores up to now.
    fn fill(&mut self, id: CustomerId) {
        let now = self.now;
        let cut: Vec<u16> = self.peers.iter().filter(|(_, p)| self.is_cut(p)).map(|(n, _)| *n).collect();
        let Some(c) = self.customers.get_mut(&id) else { return };
        let plan = &self.s.plans[c.plan];
        let span = (now - c.filled) as f64 / SECOND;
        // Peers behind a cut go on using the store unheard: their last known rate is taken off the filling.
        let unheard: f64 = cut.iter().filter_map(|n| c.heard.get(n)).map(|h| h.rate).sum();
        let own = c.rate.max(plan.rate / c.width.max(1.0) * 0.1);
        let filling = plan.rate * (1.0 - unheard / (unheard + own));
        c.level = (c.level + filling * span).min(plan.burst);
        c.ceiling = (c.ceiling + plan.ceiling_rate / c.width.max(1.0) * span)
            .min(plan.ceiling_burst / c.width.max(1.0));
        c.filled = now;
        c.rate *= decay(c.rate_at, now, RATE_TAU);
        c.rate_at = now;
        for (n, h) in &mut c.heard {
            if !cut.contains(n) {
                h.rate *= decay(h.at, now, RATE_TAU);
            }
            h.at = now;
        }
    }

    /// Seconds until the quota, and the ceiling, may have room; none where there is room now.
    fn wait_for_room(&mut self, req: &Request) -> (Option<f64>, Option<f64>) {
        self.fill(req.customer);
        let (now, period) = (self.now, self.gossip_period());
        let c = &self.customers[&req.customer];
        let plan = &self.s.plans[c.plan];
        let mut others = 0.0; // rate of the peers
        let mut unheard = 0.0; // what they may have let through since they were last heard
        let mut open = c.open;
        for (n, h) in &c.heard {
            let Some(peer) = self.peers.get(n) else { continue };
            if now - peer.heard > SILENT_PERIODS * period && !self.is_cut(peer) {
                continue; // silent: counts as nought
            }
            others += h.rate;
            unheard += h.rate * (now - peer.heard + period + UNHEARD) as f64 / SECOND;
            open += u32::from(h.open);
        }
        let mut quota = None;
        if plan.rate > 0.0 {
            let share = if others > 0.0 { c.rate / (c.rate + others) } else { 1.0 };
            // The room left, split by use heard; the peers' part is no more than what they pass unheard.
            let room = c.level - unheard.min(c.level * (1.0 - share));
            if room + 1e-9 < req.units {
                quota = Some((req.units - room) / plan.rate);
            }
        }
        // Heavy users wait at every gateway for the same free place: what peers likely began unheard counts.
        if plan.open_cap > 0 && open + (unheard / req.units.max(0.1)) as u32 >= plan.open_cap {
            quota = Some(quota.unwrap_or(0.0).max(self.usual[usize::from(req.class)].calm / SECOND));
        }
        let short = plan.ceiling_rate > 0.0 && c.ceiling + 1e-9 < req.units;
        let ceiling = short.then(|| (req.units - c.ceiling) / (plan.ceiling_rate / c.width.max(1.0)));
        (quota, ceiling)
    }

    /// Draws a request's units from the stores, or gives them back (`sign` -1) when it was never sent.
    fn charge(&mut self, req: &Request, sign: f64) {
        let Some(c) = self.customers.get_mut(&req.customer) else { return };
        let plan = &self.s.plans[c.plan];
        let units = req.units * sign;
        c.level = (c.level - units).clamp(0.0, plan.burst);
        c.ceiling = (c.ceiling - units).min(plan.ceiling_burst / c.width.max(1.0));
        c.used += units;
        c.rate = (c.rate + units / RATE_TAU).max(0.0);
        c.dirty = 2;
    }

    /// Whether the rung lets this customer pass. Whom it cuts is fixed for an epoch, alike at all gateways:
    /// a coin for each request would let refused clients' retries in, too late to earn anything, until they
    /// fill the fleet and cause the next refusals. It hurts those cut for a whole epoch.
    fn ladder_passes(&self, customer: CustomerId, plan: usize, green: bool) -> bool {
        let top = self.s.plans.iter().map(|p| p.price).fold(f64::MIN, f64::max);
        let differ = self.s.plans.iter().any(|p| p.price < top);
        let preferred = differ && self.s.plans[plan].price >= top;
        if self.rung == 0 || preferred || (green && self.rung < 2) {
            return true;
        }
        let share = if self.rung == LAST_RUNG && differ { 0.0 } else { AMBER[self.rung.min(3)] };
        self.draw(customer) < share
    }

    fn draw(&self, customer: CustomerId) -> f64 {
        mix(customer.0 ^ (self.now / EPOCH) << 33)
    }

    // ---- 2. The alert: pressure, rungs, and the bound on what is out ----

    fn feel(&mut self, ratio: f64) {
        let keep = decay(self.pressure_at, self.now, PRESSURE_TAU).min(0.98);
        self.pressure = self.pressure * keep + ratio.min(4.0) * (1.0 - keep);
        self.pressure_at = self.now;
        // Back to where it began at any pressure short of an alert: else a bound once cut stays cut.
        let below = if self.places < PLACES { ALERT_OFF } else { GROW };
        if self.pressure < below && self.out as f64 > self.limit() * 0.7 {
            self.places *= 1.0 + 2.0 / self.limit().max(2.0).powi(2);
        }
    }

    /// The bound on what this gateway has out: those left when backends fall must not inherit their load.
    fn limit(&self) -> f64 {
        (self.places * self.ready() as f64 / self.shares as f64).max(1.0)
    }

    fn step_alert(&mut self, act: &mut Vec<Action>) {
        let since = self.now - self.rung_since;
        let rung = self.rung;
        // Refusals alone hold no alert up: cutting causes refusals, and the fleet may be idle behind them.
        let refusing = self.pressure > ALERT_OFF && self.turned_away > AWAY;
        if (self.pressure > ALERT_ON || refusing) && since > RUNG_UP && rung < LAST_RUNG {
            self.rung += 1;
        } else if self.pressure < ALERT_OFF && since > RUNG_DOWN && rung > 0 {
            self.rung -= 1;
        }
        if rung != self.rung {
            self.rung_since = self.now;
            let (now, p, limit, out) = (self.rung, self.pressure, self.limit(), self.out);
            let text = format!("ladder: rung {rung} to {now}, pressure {p:.2}, limit {limit:.0}, out {out}");
            act.push(Action::Log(text));
        }
        // One cut in a memory of the pressure: answers sent before a cut must not cause the next one.
        if self.pressure > ALERT_ON && self.now - self.limit_at > (PRESSURE_TAU * SECOND) as Micros {
            self.places = (self.places * 0.85).max(PLACES / 6.0);
            self.limit_at = self.now;
        }
    }

    // ---- 3. Choice of a backend ----

    fn dispatch(&mut self, act: &mut Vec<Action>) {
        while let Some(id) = self.waiting.front().copied() {
            let ready = self.requests.get(&id).is_some_and(|o| !o.done && o.out() == 0);
            if ready {
                if self.out as f64 >= self.limit() {
                    return;
                }
                if !self.send(id, act) {
                    return;
                }
            }
            self.waiting.pop_front();
        }
    }

    fn ready(&self) -> usize {
        self.backends.values().filter(|b| b.ready).count()
    }

    fn warmth(&self, b: &Backend) -> f64 {
        let age = self.now.saturating_sub(b.listed.started);
        if b.listed.started == 0 || age >= self.s.rules.cold_time {
            return 1.0;
        }
        let from = self.s.rules.cold_from;
        from + (1.0 - from) * age as f64 / self.s.rules.cold_time.max(1) as f64
    }

    /// What may still be sent to a cold backend in the rule's window by this gateway alone.
    fn cold_room(&self, b: &Backend, warmth: f64) -> bool {
        if warmth >= 1.0 {
            return true;
        }
        let span = self.s.rules.fall_time;
        let recent = b.cold_sends.iter().filter(|t| **t + span > self.now).count() as f64;
        let size: f64 = self.backends.values().filter(|b| b.ready).map(|b| b.size).sum();
        let fair = self.sent_rate * decay(self.sent_at, self.now, RATE_TAU) * b.size / size.max(b.size);
        let budget = self.s.rules.fall_factor * warmth * fair * span as f64 / SECOND * COLD_MARGIN;
        recent + 1.0 <= budget.max(1.0)
    }

    fn resting(&self, b: &Backend) -> bool {
        b.strikes > 0 && (self.now < b.rest_until || b.out > 0)
    }

    fn choose(&mut self, id: RequestId) -> Option<BackendId> {
        self.rng = self.rng.wrapping_add(1);
        let noise = mix(self.rng);
        let o = &self.requests[&id];
        let class = &self.s.classes[usize::from(o.req.class)];
        let ready = self.ready();
        let shunned = self.backends.values().filter(|b| b.ready && self.resting(b)).count();
        let bound = match (class.repeat, o.may_have_run()) {
            (Repeat::Keyed { window, .. }, Some(a)) if self.now + self.s.tick >= a.sent + window => {
                return None
            }
            (Repeat::Keyed { group, .. }, Some(a)) => Some((group, a.to)),
            _ => None,
        };
        let mut best: Option<(f64, BackendId)> = None;
        for (i, (bid, b)) in self.backends.iter().enumerate() {
            let fits = bound.map_or(true, |(group, l): (Group, Listed)| match group {
                Group::All => true,
                Group::Zone => b.listed.zone == l.zone,
                Group::Cell => b.listed.cell == l.cell,
            });
            let tried = o.attempts.iter().any(|a| a.to.backend == *bid);
            let warmth = self.warmth(b);
            // Shunning most of the fleet would push the rest over: then nobody is shunned.
            if !b.ready || !fits || (shunned * 2 <= ready && self.resting(b)) || !self.cold_room(b, warmth) {
                continue;
            }
            let jitter = 1.0 + 0.1 * ((noise + i as f64 * 0.618_034) % 1.0);
            let far = if b.listed.zone == self.s.zone { 1.0 } else { 1.05 };
            let load = f64::from(b.out) + 1.0 + b.queue / self.shares as f64;
            let doubt = (1.0 + 10.0 * b.errors) * if tried { 8.0 } else { 1.0 };
            let cost = load * b.slow / (b.size * warmth) * jitter * far * doubt;
            if best.map_or(true, |(c, _)| cost < c) {
                best = Some((cost, *bid));
            }
        }
        best.map(|(_, b)| b)
    }

    /// Sends a request's next attempt; false if no backend may take it now.
    fn send(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let Some(bid) = self.choose(id) else { return false };
        let now = self.now;
        let Some(o) = self.requests.get_mut(&id) else { return false };
        let aim = self.s.classes[usize::from(o.req.class)].aim;
        if o.attempts.is_empty() {
            self.retries = (self.retries + RETRY_SHARE).min(RETRY_STORE);
        }
        if let Some(c) = self.customers.get_mut(&o.req.customer) {
            c.open += 1;
        }
        self.checks.push(Reverse((now + (aim as f64 * SILENCE) as Micros, id)));
        self.out += 1;
        self.sent_rate = self.sent_rate * decay(self.sent_at, now, RATE_TAU) + 1.0 / RATE_TAU;
        self.sent_at = now;
        if let Some(b) = self.backends.get_mut(&bid) {
            o.attempts.push(Attempt { to: b.listed, sent: now, out: true, cancelled: false, void: false });
            b.out += 1;
            b.cold_sends.push_back(now);
            while b.cold_sends.front().is_some_and(|t| *t + self.s.rules.fall_time < now) {
                b.cold_sends.pop_front();
            }
        }
        act.push(Action::Send { id, backend: bid, expires: 0 });
        true
    }

    // ---- 4. Answers: health, further attempts, the final answer ----

    fn on_answer(&mut self, bid: BackendId, outcome: Outcome, took: Micros, class: Option<usize>) {
        let (now, shares) = (self.now, self.shares as f64);
        let Some(b) = self.backends.get_mut(&bid) else { return };
        let zone = self.zones.entry(b.listed.zone).or_insert((0, 0));
        match outcome {
            Outcome::ConnectFailed | Outcome::TimedOut => zone.1 = now,
            _ => zone.0 = now,
        }
        if matches!(outcome, Outcome::Moot | Outcome::Cancelled | Outcome::TimedOut) {
            return;
        }
        b.heard = now;
        let bad = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        b.errors += 0.15 * (f64::from(u8::from(bad)) - b.errors);
        if bad && (b.errors > SICK_ERRORS || b.strikes > 0) {
            b.rest(now);
        } else if !bad && b.strikes > 0 && b.errors < SICK_ERRORS {
            b.strikes = 0;
        }
        match (outcome, class) {
            (Outcome::Ok, Some(class)) => {
                let aim = self.s.classes[class].aim.max(1) as f64;
                let took = took as f64;
                b.slow += 0.1 * ((took / self.usual[class].recent.max(1.0)).min(4.0) - b.slow);
                b.slow = b.slow.max(0.3);
                let u = &mut self.usual[class];
                u.count += 1.0;
                u.recent += (took - u.recent) / u.count.min(20.0);
                // Down at once, up by a percent a second: half a minute of overload must not pass for calm.
                let creep = 1.0 + (now - u.at) as f64 / SECOND * CALM_CREEP;
                u.calm = if u.count <= 20.0 { u.recent.min(aim * 0.3) } else { u.recent.min(u.calm * creep) };
                u.at = now;
                let norm = (u.calm * CALM_MULTIPLE).min(aim * AIM_SHARE);
                self.feel(took / norm.max(1.0));
            }
            (Outcome::Full, _) => {
                b.queue += shares;
                self.feel(2.0);
            }
            _ => {}
        }
    }

    fn on_settled(&mut self, event: Event, act: &mut Vec<Action>) {
        let Event::Settled { id, attempt, backend, outcome, complete, took, charged, report, .. } = event
        else {
            return;
        };
        let class = self.requests.get(&id).map(|o| usize::from(o.req.class));
        self.on_answer(backend, outcome, took, class);
        if let (Some(b), Some(queue)) = (self.backends.get_mut(&backend), report.and_then(|r| r.queue)) {
            b.queue = queue.clamp(0.0, 1000.0);
        }
        let Some(o) = self.requests.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else { return };
        (a.out, a.void) = (false, outcome.never_ran());
        self.out = self.out.saturating_sub(1);
        if let Some(b) = self.backends.get_mut(&a.to.backend) {
            b.out = b.out.saturating_sub(1);
        }
        if let Some(c) = self.customers.get_mut(&o.req.customer) {
            c.open = c.open.saturating_sub(1);
            if self.s.plans[c.plan].open_cap > 0 {
                c.dirty = 2;
            }
            if let Some(more) = charged.filter(|_| self.s.post_paid).map(|u| u - o.req.units) {
                c.level -= more;
                c.used += more;
            }
        }
        o.done |= complete || outcome == Outcome::Ok;
        if o.done {
            self.on_gone(id, act);
        } else if o.out() == 0 && !self.again(id, act) {
            self.finish(id, act);
        }
        self.dispatch(act);
    }

    /// Tries a further attempt, where the class, the time and the budget allow one.
    fn again(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let o = &self.requests[&id];
        let class = &self.s.classes[usize::from(o.req.class)];
        let allowed = class.repeat != Repeat::Once || o.may_have_run().is_none();
        let useful = self.now + self.s.tick < (o.arrived + class.aim).min(o.req.deadline);
        let room = (o.attempts.len() as u32) < self.s.limits.max_attempts;
        let single = o.out() == 0 || self.s.limits.second_copies;
        if !allowed || !useful || !room || !single || self.retries < 1.0 || !self.send(id, act) {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    /// The final answer of a request that is not served: refused where that is true, else failed.
    fn finish(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        o.done = true;
        let harmless = match self.s.classes[usize::from(o.req.class)].repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            _ => o.may_have_run().is_none(),
        };
        if harmless {
            self.refuse(id, RUNG_UP, act);
        } else {
            act.push(Action::Fail(id));
        }
        self.on_gone(id, act);
    }

    /// A request has ended: calls off what is out, forgets it once all is settled.
    fn on_gone(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        o.done = true;
        call_off(o, None, self.s.limits.cancel && !o.streaming, act);
        if o.out() == 0 {
            let (req, unsent) = (o.req, o.attempts.is_empty());
            self.requests.remove(&id);
            if unsent {
                self.charge(&req, -1.0);
            }
        }
    }

    // ---- 5. Time passes: checks of requests, gossip, the list ----

    fn on_wake(&mut self, act: &mut Vec<Action>) {
        while let Some(Reverse((at, id))) = self.checks.peek().copied() {
            if at > self.now {
                break;
            }
            self.checks.pop();
            self.check(id, act);
        }
        let margin = 2 * WAKE_TICKS * self.s.tick;
        for _ in 0..self.waiting.len() {
            let Some(id) = self.waiting.pop_front() else { break };
            let Some(o) = self.requests.get(&id).filter(|o| !o.done && o.out() == 0) else { continue };
            let aim = self.s.classes[usize::from(o.req.class)].aim as f64;
            if self.now > o.arrived + (aim * HOLD) as Micros || self.now + margin > o.req.deadline {
                self.finish(id, act);
            } else {
                self.waiting.push_back(id);
            }
        }
        self.step_alert(act);
        self.dispatch(act);
        if self.s.limits.peers && self.s.gateways > 1 && self.now >= self.gossip_at {
            self.gossip_at = self.now + self.gossip_period();
            self.gossip(act);
        }
        if self.s.discovery == Discovery::Ask && self.now >= self.watch_at {
            self.watch_at = self.now + (self.s.rules.must_ask / 2).max(1);
            act.push(Action::Watch(true));
        }
    }

    fn check(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id).filter(|o| !o.done && !o.streaming) else { return };
        let class = &self.s.classes[usize::from(o.req.class)];
        let Some(a) = o.attempts.iter_mut().rev().find(|a| a.out && !a.cancelled) else { return };
        let hedge_at = a.sent + (class.aim as f64 * HEDGE) as Micros;
        let Some(b) = self.backends.get_mut(&a.to.backend) else { return };
        let silent = b.heard < a.sent;
        if silent && self.now >= b.rest_until {
            b.rest(self.now);
        }
        if !silent && self.now < hedge_at {
            return self.checks.push(Reverse((hedge_at, id)));
        }
        if (!silent && self.rung > 0) || matches!(class.repeat, Repeat::Once) {
            return;
        }
        if self.s.limits.second_copies {
            self.again(id, act);
        } else if silent && self.s.limits.cancel && self.retries >= 1.0 {
            call_off(o, None, true, act);
        }
    }

    // ---- 6. Peers ----

    fn gossip_period(&self) -> Micros {
        // Most of what a receiver takes in, over all senders; no faster than 20 a second: bytes cost.
        let most = self.s.limits.peer_in_per_s.max(1.0);
        ((1.5 * (self.shares as f64 - 1.0) / most * SECOND) as Micros).max(50_000)
    }

    /// Silent, and its zone's backends do not answer either: cut off, not stopped.
    fn is_cut(&self, peer: &Peer) -> bool {
        let (ok, failed) = self.zones.get(&peer.zone).copied().unwrap_or((0, 0));
        let silent = self.now - peer.heard > SILENT_PERIODS * self.gossip_period();
        silent && peer.zone != self.s.zone && failed > ok
    }

    fn tell(&self, to: Option<u16>, seq: u32, body: Body) -> Action {
        let bytes = Message { zone: self.s.zone, born: incarnation(self.born), seq, body }.pack();
        Action::Tell { to: to.map(GatewayNo), bytes }
    }

    fn gossip(&mut self, act: &mut Vec<Action>) {
        // Round from where the last message ended: else the last ids go untold when more change than fit.
        let round = self.customers.range(self.told..).chain(self.customers.range(..self.told));
        let dirty = round.filter(|(_, c)| c.dirty > 0).map(|(id, _)| *id);
        let dirty: Vec<CustomerId> = dirty.take(MOST_USES).collect();
        self.told = dirty.last().map_or(self.told, |id| CustomerId(id.0 + 1));
        let mut uses = Vec::new();
        for id in dirty {
            self.fill(id);
            let Some(c) = self.customers.get_mut(&id) else { continue };
            c.dirty -= 1;
            let level = (c.level / self.s.plans[c.plan].burst.max(1e-9) * 255.0) as u8;
            uses.push(Use { customer: id, total: wrap(c.used), open: c.open.min(255) as u8, level });
        }
        self.seq += 1;
        act.push(self.tell(None, self.seq, Body::Uses(uses)));
        if self.seq % 5 == 0 {
            self.give(act);
        }
        let now = self.now;
        let plans = &self.s.plans;
        self.customers.retain(|_, c| {
            // Kept until both stores are full for sure: a customer met anew starts with full ones.
            let p = &plans[c.plan];
            let full = (p.burst / p.rate).max(p.ceiling_burst / p.ceiling_rate).clamp(0.0, 1e6); // NaN: 0 / 0
            c.open > 0 || c.dirty > 0 || now - c.seen <= 2 * AGING.max((full * SECOND) as Micros)
        });
    }

    /// Ceiling units for a busier peer. They are deducted here first: a lost message loses them.
    fn give(&mut self, act: &mut Vec<Action>) {
        let mut gifts: BTreeMap<u16, Vec<Gift>> = BTreeMap::new();
        let ids: Vec<CustomerId> = self.customers.keys().copied().collect();
        for id in ids {
            self.fill(id);
            let Some(c) = self.customers.get_mut(&id) else { continue };
            let plan = &self.s.plans[c.plan];
            let Some((n, h)) = c.heard.iter().max_by(|a, b| a.1.rate.total_cmp(&b.1.rate)) else { continue };
            let part = plan.ceiling_rate / c.width.max(1.0);
            let keep = c.rate.max(plan.ceiling_burst / c.width.max(1.0) * 0.3);
            let give = whole_parts((c.ceiling - keep).min(h.rate));
            let live = self.peers.get(n).is_some_and(|p| self.now - p.heard < 500_000);
            if plan.ceiling_rate <= 0.0 || h.rate < part * 0.6 || h.rate < c.rate || give < 1.0 || !live {
                continue;
            }
            let list = gifts.entry(*n).or_default();
            if list.len() < MOST_GIFTS {
                c.ceiling -= give;
                list.push(Gift { customer: id, units: give });
            }
        }
        for (n, list) in gifts {
            self.gift_seq += 1;
            act.push(self.tell(Some(n), self.gift_seq, Body::Gifts(self.peers[&n].born, list)));
        }
    }

    fn on_peer(&mut self, from: GatewayNo, bytes: &[u8], act: &mut Vec<Action>) {
        let Some(Message { zone, born, seq, body }) = Message::unpack(bytes) else { return };
        if from == self.s.me || from.0 >= self.s.gateways {
            return;
        }
        let (now, mine) = (self.now, incarnation(self.born));
        let peer = self.peers.entry(from.0).or_default();
        if peer.born != born {
            if born < peer.born {
                return; // from before its restart
            }
            *peer = Peer { born, zone, ..Peer::default() };
            for c in self.customers.values_mut() {
                c.heard.remove(&from.0);
                c.dirty = c.dirty.max(1); // a newcomer knows nothing: tell it all once
            }
            act.push(Action::Log(format!("peer {}: first message since its start", from.0)));
        }
        let uses = match body {
            // Once only, and only to the incarnation it was meant for: a repeat mints nothing.
            Body::Gifts(to, gifts) if seq > peer.gift_seq && to == mine => {
                peer.gift_seq = seq;
                for g in gifts {
                    self.fill(g.customer);
                    if let Some(c) = self.customers.get_mut(&g.customer) {
                        let most = self.s.plans[c.plan].ceiling_burst / c.width.max(1.0);
                        c.ceiling = (c.ceiling + g.units).min(most);
                    }
                }
                return;
            }
            Body::Uses(uses) if seq > peer.seq => uses,
            _ => return,
        };
        (peer.seq, peer.heard) = (seq, now);
        let younger = born >= mine;
        for Use { customer: id, total, open, level } in uses {
            self.fill(id);
            // A customer that never came here has no plan yet: it is noted when it comes.
            let Some(c) = self.customers.get_mut(&id) else { continue };
            let plan = &self.s.plans[c.plan];
            c.seen = c.seen.max(now);
            let told = f64::from(level) / 255.0 * plan.burst;
            let known = c.heard.contains_key(&from.0);
            let h = c.heard.entry(from.0).or_default();
            let delta = gone_by(h.total, total);
            if known || younger {
                c.level = (c.level - delta).clamp(0.0, plan.burst);
                h.rate = (h.rate * decay(h.at, now, RATE_TAU) + delta / RATE_TAU).max(0.0);
            } else {
                c.level = c.level.min((told - c.used).max(0.0));
            }
            (h.total, h.at, h.open) = (total, now, open);
        }
    }

    // ---- 7. The list of backends ----

    fn on_roster(&mut self, kind: RosterKind, list: Vec<Listed>, act: &mut Vec<Action>) {
        if kind == RosterKind::Failed {
            self.watch_at = self.watch_at.min(self.now + (self.s.rules.must_ask / 8).max(1));
            return;
        }
        if kind != RosterKind::Delta {
            for b in self.backends.values_mut() {
                b.ready = false; // absent from a whole list: gone
            }
        }
        for l in list {
            let fresh = Backend { listed: l, slow: 1.0, size: 1.0, ..Backend::default() };
            let b = self.backends.entry(l.backend).or_insert(fresh);
            if l.started != b.listed.started {
                (b.slow, b.errors, b.strikes, b.queue) = (1.0, 0.0, 0, 0.0); // a new process, a new record
            }
            b.listed = l;
            let sized = self.s.sizes == SizeMeaning::Capacity && l.size.is_finite() && l.size > 0.0;
            b.size = if sized { l.size } else { 1.0 };
            b.ready = l.availability == Availability::Ready;
        }
        self.backends.retain(|_, b| b.ready || b.out > 0);
        self.dispatch(act);
    }
}
