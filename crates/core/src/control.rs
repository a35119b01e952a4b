//! Every decision of a gateway. Its types stand in `src/interface.rs`, its records in `src/state.rs`.
use crate::{gossip::*, interface::*, state::*};
use std::cmp::Reverse;

const WAKE_TICKS: u64 = 5; // ticks between wake-ups, which look at deadlines and gossip; more saves CPU
const AGING: Micros = 10_000_000; // unseen so long, a customer is green; forgotten once its stores are full
const AMBER: [f64; 4] = [1.0, 0.9, 0.7, 0.5]; // share that passes by rung (paper, table I); green from rung 2
const LAST_RUNG: usize = 4; // preferred only
const RUNG_UP: Micros = 1_500_000; // least stay on a rung, so that its effect is seen
const RUNG_DOWN: Micros = 2_000_000;
const EPOCH: Micros = 10_000_000; // how long the same customers are cut: longer than clients retry
/// An answer weighs on the pressure by its time over the lesser of these: a multiple of its class's time on
/// calm servers, and a share of its aim. Servers driven harder lose throughput before aims are missed.
const CALM_MULTIPLE: f64 = 3.5;
const BLIND: f64 = 0.75; // part of it in large fleets: drawn unseen, some tip over before the mean tells
const CALM_OVER: [f64; 2] = [20.0, 200.0]; // answers in the mean that may pass for calm, by size of fleet
const CALM_CREEP: f64 = 0.01; // growth of the calm time by itself, in a second
const AIM_SHARE: f64 = 0.6;
const ALERT_ON: f64 = 1.0; // pressure that raises an alert
const ALERT_OFF: f64 = 0.75; // and that ends it: between them nothing moves
const PLACES: f64 = 5.0; // attempts out at a backend, by all gateways, to begin with; then found by latency
const GROW: f64 = 0.4; // pressure under which the bound on what is out may grow
const AWAY: f64 = 0.05; // share turned away for want of a place that alerts while pressure is not low
const PRESSURE_TAU: f64 = 1.0; // memory of the pressure in seconds: some dozen answers
const LEAST: [f64; 2] = [0.02, 0.005]; // least weight of an answer in it, in small and in large fleets
const RATE_TAU: f64 = 2.0; // memory of use in seconds: longer than pauses, shorter than shifts of weight
const SLOW_TAU: f64 = 2.0; // memory of slowness in large fleets, in seconds: answers are rare there
const HOLD: f64 = 0.3; // share of an aim that a request may wait for a place; held longer it would fail late
const SILENCE: f64 = 0.35; // share of an aim after which an attempt at a silent backend is repeated elsewhere
const HEDGE: f64 = 0.6; // the same at a backend that talks
const RETRY_SHARE: f64 = 0.1; // further attempts per first attempt: retries cannot feed an overload
const RETRY_LEAST: f64 = 0.2; // least that one costs after an attempt that broke before it had done much
const RETRY_STORE: f64 = 30.0; // and the fleet's store of them: ten at each of many gateways is a storm
const COLD_MARGIN: f64 = 0.6; // part of the rule's budget spent on a cold backend: the rest is for chance
const SUBSET: usize = 32; // backends that a sliver of the load goes to: each once in a few seconds
const SICK_ERRORS: f64 = 0.25; // share of errors in recent answers from which a backend gets a trickle only
const REST: Micros = 500_000; // how long it rests before one attempt tries it again; doubles up to 2^3
const DOUBT_TAU: f64 = 4.0; // memory of doubts in seconds: a sick backend is tried again by and by
const DOUBTED: f64 = 0.4; // doubt from which a backend is looked past in the choice
const FEW_PERIOD: f64 = 0.35; // report period in seconds up to which all of a customer's gateways are homes
const UNHEARD: Micros = 350_000; // besides a period: how long a peer's use is under way (loss, chance)
const NO_AGAIN: Micros = 500_000; // the same where it says that there is no room
const FRESH: Micros = 100_000; // age up to which a home's news need not be asked again
const WORD: Micros = 150_000; // longest wait for a word: two homes may be asked one after the other
const SECOND_HOME: f64 = 0.4; // part of that wait after which a silent home's second is asked
const MUTE: u32 = 2; // asks without a word from a home after which its second is asked at once
const POOLED: f64 = 0.5; // part of a ceiling that lies with two gateways, who hand it out on demand
const ELDER: u32 = 1000; // a peer is older if it began so many ms before: fleets do not start in one instant
const GIFT_LIFE: Micros = 250_000; // ceiling units that come later than this after the asking lapse

impl Health {
    fn rest(&mut self, now: Micros) {
        self.rest_until = now + (REST << self.strikes.min(3));
        self.strikes = self.strikes.saturating_add(1);
    }

    fn doubt(&self, now: Micros) -> f64 {
        self.errors * decay(self.at, now, DOUBT_TAU)
    }

    fn note(&mut self, now: Micros, bad: bool, weight: f64) {
        let errors = self.doubt(now);
        self.errors = errors + weight * (f64::from(u8::from(bad)) - errors);
        self.at = now;
    }
}

impl Customer {
    /// The part of the use that is this gateway's own, with a floor for those that begin.
    fn share(&self, plan: &Plan) -> f64 {
        let floor = if self.home || self.news_at > 0 { 0.1 } else { 1.0 };
        let own = self.rate.max(plan.rate / self.width.max(1.0) * floor);
        own / (own + self.others).max(1e-9)
    }
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let usual =
            settings.classes.iter().map(|c| Usual { recent: c.aim as f64 * 0.15, ..Usual::default() });
        let usual = usual.map(|u| Usual { calm: u.recent, at: now, ..u }).collect();
        let shares = u64::from(settings.gateways.max(1));
        // Most of what a receiver takes in, over all senders; no faster than 20 a second: bytes cost.
        let period = 1.5 * (shares as f64 - 1.0) / settings.limits.peer_in_per_s.max(1.0);
        let few = period <= FEW_PERIOD;
        Gateway {
            rng: seed,
            now,
            born: now,
            usual,
            retries: (RETRY_STORE / shares as f64).max(1.0),
            places: PLACES,
            period: if few { ((period * SECOND) as Micros).max(50_000) } else { 0 },
            shares,
            s: settings,
            ..Gateway::default()
        }
    }

    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Micros, event: Event, act: &mut Vec<Action>) {
        let wake = (WAKE_TICKS * self.s.tick).max(1);
        // Stood still for several wake-ups: all that came meanwhile is read before anybody is judged by it.
        if self.wake_at > 0 && now > self.wake_at + 4 * wake {
            // What is past its time by now is answered in this very turn.
            let late = self.requests.values().filter(|o| o.attempts.is_empty() && !self.may_wait(o, now));
            let late: Vec<RequestId> = late.map(|o| o.req.id).collect();
            late.into_iter().for_each(|id| self.finish(id, act));
            self.woke = now;
            self.wake_at = now + wake;
            act.push(Action::SetTimer { delay: wake, token: 0 });
        }
        self.now = self.now.max(now);
        match event {
            Event::Request(req) => self.on_request(req, act),
            Event::Settled { .. } => self.on_settled(event, act),
            Event::Withdrawn(id) => self.on_gone(id, act),
            Event::FirstByte { id, attempt } => {
                if let Some(o) = self.requests.get_mut(&id) {
                    o.call_off(Some(attempt), self.s.limits.cancel, act);
                    o.streaming = true;
                }
            }
            Event::Peer { from, bytes } => self.on_peer(from, &bytes, act),
            // A home known to be gone need not be found silent: nobody waits for it, or asks it.
            Event::Reach { peer, there } if peer.0 < self.s.gateways => {
                self.peers.entry(peer.0).or_default().gone = !there;
            }
            Event::Roster(kind, list) => self.on_roster(kind, list, act),
            Event::Timer(_) if self.now < self.wake_at => return,
            Event::Timer(_) | Event::Probed { .. } | Event::Counted { .. } | Event::Reach { .. } => {}
        }
        if self.now >= self.wake_at {
            self.on_wake(act);
            self.wake_at = self.now + wake;
            act.push(Action::SetTimer { delay: wake, token: 0 });
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
        if !self.ladder_passes(req.customer, plan, unseen) {
            // Whom it cuts changes with the epoch.
            return self.refuse(req.id, EPOCH - self.now % EPOCH, act);
        }
        let open = Open { req, arrived: self.now, ..Open::default() };
        let (now, may_wait) = (self.now, self.may_wait(&open, self.now));
        let (quota, ceiling) = self.wait_for_room(&req);
        let c = &self.customers[&req.customer];
        // A no may rest on older news than a yes: else a red customer's retries ask without end.
        let red = quota.is_some() && self.s.plans[plan].open_cap == 0;
        let known = c.home || now - c.news_at.min(now) < if red { NO_AGAIN } else { FRESH };
        let short = ceiling.is_some() && quota.is_none() && c.pools != [self.s.me.0; 2];
        let nobody = c.pools.iter().all(|h| *h == self.s.me.0 || self.away(*h));
        if !may_wait || (known && !short) || nobody {
            self.requests.insert(req.id, open);
            return self.admit(req.id, true, act);
        }
        // The room is not known here: held until the homes' word comes, or for as long as that may take.
        let stage = self.word_by(&open) - now;
        self.requests.insert(req.id, Open { held: true, ..open });
        self.checks.push(Reverse((now + (stage as f64 * SECOND_HOME) as Micros, req.id)));
        let Some(c) = self.customers.get_mut(&req.customer) else { return };
        c.held.push(req.id);
        if c.held.len() == 1 || now - c.asked_at > FRESH || short {
            c.asked_at = now;
            (c.asked, c.answered, c.promised) = Default::default();
            (c.asks, c.short) = (req.units, ceiling.is_some());
            let [first, second] = c.pools;
            self.ask(req.customer, first, act);
            // Both hand out the ceiling. Else all ask the first of the two, which so knows the store; what it
            // lets through the second is told, for when the first is gone. To ask both, and to tell both what
            // came of it, was six messages a try: in a fleet of 300 the intake lost a fifth of them.
            if short || self.period > 0 || self.peers.get(&first).is_some_and(|p| p.unheard > MUTE || p.gone)
            {
                self.ask(req.customer, second, act);
            }
        }
    }

    /// Until when a request waits for the homes' word.
    fn word_by(&self, o: &Open) -> Micros {
        let most = if self.period > 0 { FRESH } else { WORD };
        o.arrived + most.min((o.patience(self.s.classes[usize::from(o.req.class)].aim) / 5.0) as Micros)
    }

    /// Whether the view of the fleet, if there is one, has lost a peer.
    fn away(&self, peer: u16) -> bool {
        self.peers.get(&peer).is_some_and(|p| p.gone)
    }

    /// Asks a home for room, once in a round of asking.
    fn ask(&mut self, id: CustomerId, home: u16, act: &mut Vec<Action>) {
        let away = self.away(home) || home == self.s.me.0 || !self.s.limits.peers;
        let fit = |c: &&mut Customer| !away && !c.asked.contains(&home);
        let Some(c) = self.customers.get_mut(&id).filter(fit) else { return };
        c.asked.push(home);
        let p = self.peers.entry(home).or_default();
        p.unheard = p.unheard.saturating_add(1);
        p.outbox.insert(id, (1, true));
        self.due.insert(home);
        self.flush(home, act);
    }

    /// Lets a request in if the stores have room; without it, one that is held stays so till the `last` word.
    fn admit(&mut self, id: RequestId, last: bool, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        let (req, held) = (o.req, std::mem::take(&mut o.held));
        let (quota_wait, ceiling_wait) = self.wait_for_room(&req);
        let wait = quota_wait.into_iter().chain(ceiling_wait).reduce(f64::max);
        // The fuller the line, the fewer customers may join it; the same ones for an epoch, as on the ladder.
        let line = self.waiting.len() as f64 / (self.limit() * HOLD);
        let full = self.out as f64 >= self.limit() && self.draw(req.customer) >= 1.0 - line;
        if wait.is_some() && !last {
            self.requests.entry(id).and_modify(|o| o.held = held);
            return;
        }
        // Homes that count it as used: they said so, or have not said that they don't.
        let (mut sure, mut maybe) = (Vec::new(), Vec::new());
        if let Some(c) = self.customers.get_mut(&req.customer).filter(|_| held) {
            maybe = c.asked.iter().filter(|h| !c.answered.contains(h)).copied().collect();
            if req.units == c.asks {
                sure = std::mem::take(&mut c.promised);
            }
        }
        self.let_go(req.customer, id, held && (wait.is_some() || full));
        if wait.is_some() || full {
            // Red, or no place and none soon.
            let pause = wait.map_or(self.place_in(req.class), |w| (w * SECOND) as Micros);
            self.turned_away += 0.05 * f64::from(u8::from(wait.is_none())) * (1.0 - self.turned_away);
            self.requests.remove(&id);
            self.refuse(id, pause, act);
            return self.report(req.customer, |h| sure.contains(&h) || maybe.contains(&h));
        }
        self.turned_away -= 0.05 * self.turned_away;
        self.sent_rate = self.sent_rate * decay(self.sent_at, self.now, RATE_TAU) + 1.0 / RATE_TAU;
        self.sent_at = self.now;
        self.charge(&req, 1.0);
        self.let_go(req.customer, id, held);
        self.report(req.customer, |h| !sure.contains(&h));
        self.waiting.push_back(id);
        self.dispatch(act);
        self.give_up(id, act);
    }

    /// A request is held no longer; what was granted for the last one lapses with it.
    fn let_go(&mut self, customer: CustomerId, id: RequestId, held: bool) {
        if let Some(c) = self.customers.get_mut(&customer).filter(|_| held) {
            c.held.retain(|h| *h != id);
            if c.held.is_empty() {
                c.granted = 0.0;
            }
        }
    }

    fn refuse(&self, id: RequestId, pause: Micros, act: &mut Vec<Action>) {
        let most = if self.s.limits.retry_after { self.s.limits.max_retry_after } else { 0 };
        act.push(Action::Refuse { id, pause: pause.min(most) });
    }

    /// Notes the customer; true if it was unseen within the ageing time.
    fn meet(&mut self, req: &Request) -> bool {
        let (now, life) = (self.now, (self.now - self.born) as f64 / SECOND);
        let plan = &self.s.plans[usize::from(req.plan)];
        let most = self.s.gateways.max(1) as f64;
        let sane = req.width.is_finite() && (0.0..most).contains(&req.first);
        let (first, width) = if sane { (req.first.floor(), req.width.clamp(1.0, most)) } else { (0.0, most) };
        // A customer unseen here: its share, or one request, and what has filled since this start.
        let level = ((plan.burst / width).max(req.units) + plan.rate * life).min(plan.burst);
        let others = plan.rate * (1.0 - 1.0 / width);
        let new = || Customer { level, others, filled: now, ..Customer::default() };
        let c = self.customers.entry(req.customer).or_insert_with(new);
        let unseen = c.seen == 0 || now - c.seen > AGING;
        (c.plan, c.seen) = (usize::from(req.plan), now);
        self.settle_in(req.customer, first as u16, width as u16);
        unseen
    }

    /// Fixes, for good, a customer's homes and the part of its ceiling here: not to be given out twice.
    fn settle_in(&mut self, id: CustomerId, first: u16, width: u16) {
        let (few, me, all, life) = (self.period > 0, self.s.me.0, self.s.gateways, self.now - self.born);
        let Some(c) = self.customers.get_mut(&id).filter(|c| c.homes.is_empty()) else { return };
        let (plan, set) = (&self.s.plans[c.plan], u64::from(width.clamp(1, all)));
        let at = |n: u64| ((u64::from(first) + n % set) % u64::from(all)) as u16;
        let one = (mix(id.0) * set as f64) as u64;
        let other = 1 + (mix(!id.0) * (set as f64 - 1.0)) as u64;
        (c.first, c.width, c.pools) = (first, set as f64, [at(one), at(one + other)]);
        c.homes = if few { (0..set).map(at).collect() } else { c.pools.to_vec() };
        c.homes.dedup();
        c.home = c.homes.contains(&me);
        // No peer is older than this start: the fleet began with it, the store is full, less what all tell.
        if c.home && !self.elders {
            c.level = plan.burst;
        }
        // Half of the ceiling lies with two, who hand it out; each has some for when they are not heard.
        let pools = c.pools.iter().filter(|p| **p == me).count() as f64;
        c.part = (1.0 - POOLED) / c.width + pools * POOLED / 2.0;
        // It counts from nothing at this start: what went before is not known here.
        c.ceiling = (plan.ceiling_rate * life as f64 / SECOND).min(plan.ceiling_burst) * c.part;
    }

    /// Fills a customer's stores up to now.
    fn fill(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let now = self.now;
        let c = self.customers.get_mut(&id)?;
        let plan = &self.s.plans[c.plan];
        let span = (now - c.filled) as f64 / SECOND;
        let keep = decay(c.filled, now, RATE_TAU);
        c.rate *= keep;
        let mut filling = plan.rate;
        if c.home {
            c.others *= keep;
        } else {
            // Between two words of a home, the use that goes on unheard is taken off the filling.
            filling = (plan.rate - c.others).max(plan.rate * c.share(plan));
        }
        c.level = (c.level + filling * span).min(plan.burst);
        c.ceiling = (c.ceiling + plan.ceiling_rate * c.part * span).min(plan.ceiling_burst * c.part);
        c.filled = now;
        Some(c)
    }

    /// Seconds until the quota, and the ceiling, may have room; none where there is room now.
    fn wait_for_room(&mut self, req: &Request) -> (Option<f64>, Option<f64>) {
        self.fill(req.customer);
        let c = &self.customers[&req.customer];
        let plan = &self.s.plans[c.plan];
        let span = self.period + UNHEARD;
        // Just told by a home, which others ask as well, there is as much under way as since it told.
        let span = if c.home { span } else { span.min(self.now - c.news_at.min(self.now)) };
        let unheard = c.others * span as f64 / SECOND;
        let mut quota = None;
        if plan.rate > 0.0 {
            // The room left, split by use heard; the peers' part is no more than what they pass unheard.
            let room = c.level - unheard.min(c.level.max(0.0) * (1.0 - c.share(plan)));
            if room + 1e-9 < req.units {
                quota = Some((req.units - room) / plan.rate);
            }
        }
        // Heavy users wait at every gateway for the same free place: what peers likely began unheard counts.
        let open = c.open + c.others_open + (unheard / req.units.max(0.1)) as u32;
        if plan.open_cap > 0 && open >= plan.open_cap {
            quota = Some(quota.unwrap_or(0.0).max(self.usual[usize::from(req.class)].calm / SECOND));
        }
        let has = c.ceiling + c.granted;
        let short = plan.ceiling_rate > 0.0 && has + 1e-9 < req.units;
        let ceiling = short.then(|| (req.units - has) / (plan.ceiling_rate * c.part.max(0.01)));
        (quota, ceiling)
    }

    /// Draws a request's units from the stores, or gives them back (`sign` -1) when it was never sent.
    fn charge(&mut self, req: &Request, sign: f64) {
        let Some(c) = self.customers.get_mut(&req.customer) else { return };
        let plan = &self.s.plans[c.plan];
        let units = req.units * sign;
        // Beyond the quota nothing is drawn; large fleets owe what homes promised, used or not.
        let least = if self.period > 0 { 0.0 } else { -plan.burst };
        c.level = (c.level - units).clamp(least, plan.burst);
        let granted = units.clamp(0.0, c.granted);
        c.granted -= granted;
        c.ceiling = (c.ceiling - units + granted).min(plan.ceiling_burst * c.part);
        c.used += units;
        c.rate = (c.rate + units / RATE_TAU).max(0.0);
    }

    /// Whether the rung lets this customer pass. Whom it cuts is fixed for an epoch, alike at all gateways:
    /// a coin for each request would let refused clients' retries in, too late to earn anything, until they
    /// fill the fleet and cause the next refusals. It hurts those cut for a whole epoch.
    fn ladder_passes(&self, customer: CustomerId, plan: usize, green: bool) -> bool {
        if self.rung == 0 || (green && self.rung < 2) {
            return true;
        }
        let top = self.s.plans.iter().map(|p| p.price).fold(f64::MIN, f64::max);
        let differ = self.s.plans.iter().any(|p| p.price < top);
        let share = if self.rung == LAST_RUNG && differ { 0.0 } else { AMBER[self.rung.min(3)] };
        (differ && self.s.plans[plan].price >= top) || self.draw(customer) < share
    }

    fn draw(&self, customer: CustomerId) -> f64 {
        mix(customer.0 ^ (self.now / EPOCH) << 33)
    }

    // ---- 2. The alert: pressure, rungs, and the bound on what is out ----

    fn feel(&mut self, ratio: f64) {
        let keep =
            decay(self.pressure_at, self.now, PRESSURE_TAU).min(1.0 - LEAST[usize::from(self.period == 0)]);
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
        (self.places * self.order.len() as f64 / self.shares as f64).max(1.0)
    }

    /// When a place is expected: the line before it moves by the bound in each usual answer time.
    fn place_in(&self, class: u8) -> Micros {
        let line = 1.0 + (self.waiting.len() as f64 + f64::from(self.out)) / self.limit();
        (self.usual[usize::from(class)].recent * line) as Micros
    }

    fn step_alert(&mut self, act: &mut Vec<Action>) {
        let (since, rung) = (self.now - self.rung_since, self.rung);
        // Who refuses all that comes hears no answers: what the last ones said holds no alert up for ever.
        if self.out == 0 && self.now > self.pressure_at + RUNG_DOWN {
            self.pressure = 0.0;
        }
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
            if ready && (self.out as f64 >= self.limit() || !self.send(id, act)) {
                return;
            }
            self.waiting.pop_front();
        }
    }

    /// How warm a backend is for sure, and whether this gateway alone may send it one more in the rule's
    /// window. Where its part is less than a request, it is drawn who may: one each would be a hundred.
    fn warmth(&self, b: &Backend) -> (f64, bool) {
        let (rules, age) = (&self.s.rules, self.now.saturating_sub(b.listed.started));
        if b.listed.started == 0 || age >= rules.cold_time {
            return (1.0, true);
        }
        let warmth = rules.cold_from + (1.0 - rules.cold_from) * age as f64 / rules.cold_time as f64;
        let span = rules.fall_time.max(1);
        let recent = b.cold_sends.iter().filter(|t| **t + span > self.now).count() as f64;
        let rate = self.sent_rate * decay(self.sent_at, self.now, RATE_TAU);
        let fair = rate * b.size / self.ready_size.max(b.size) * span as f64 / SECOND;
        let budget = rules.fall_factor * warmth * fair * COLD_MARGIN;
        if budget >= 1.0 {
            return (warmth, recent < budget);
        }
        // Drawn are as many as make up what it can do now; the subset of each holds but a part of the list.
        let (all, me) = (self.order.len(), u64::from(self.s.me.0));
        let part = all as f64 / all.clamp(1, SUBSET) as f64;
        let window = (self.now + (mix(me) * span as f64) as Micros) / span;
        let lot = mix(b.listed.backend.0 ^ window << 48 ^ me << 32);
        (warmth, recent < 1.0 && lot < (warmth * fair * part).max(1.0 / self.shares as f64))
    }

    fn choose(&mut self, id: RequestId) -> Option<BackendId> {
        self.rng = self.rng.wrapping_add(1);
        let (noise, now) = (mix(self.rng), self.now);
        let o = &self.requests[&id];
        let k = usize::from(o.req.class);
        let bound = match (self.s.classes[k].repeat, o.may_have_run()) {
            (Repeat::Keyed { window, .. }, Some(a)) if now + self.s.tick >= a.sent + window => return None,
            (Repeat::Keyed { group, .. }, Some(a)) => Some((group, a.to)),
            _ => None,
        };
        // Two drawn by their weight, and more the more of the load is its own: what many see as the
        // least would be the least for all of them at once.
        let (all, want) = (self.order.len(), 2 + 3 * self.order.len() / self.shares as usize);
        // Always among the same few: connections seldom used are closed, and made anew at each request.
        let n = if want < all && bound.is_none() { all.min(SUBSET) } else { all };
        // Whom the lot of a cold one falls on sends there first: a lot that is seldom used keeps it idle.
        if n < all && o.attempts.is_empty() {
            let drawn = |id: &&BackendId| {
                let b = self.backends.get(*id).filter(|b| b.health[k].strikes == 0);
                b.map(|b| self.warmth(b)).is_some_and(|(warmth, may)| warmth < 1.0 && may)
            };
            if let Some(id) = self.cold.iter().find(drawn) {
                return Some(*id);
            }
        }
        let (mut sound, mut sick, mut best) = (0, 0, (f64::MAX, None));
        for step in 0..if want < all { 4 * n } else { n } {
            let bid = self.order[((noise * n as f64) as usize + step) % n];
            let Some(b) = self.backends.get(&bid) else { continue };
            let fits = bound.map_or(true, |(group, l): (Group, Listed)| {
                let (zone, cell) = (b.listed.zone == l.zone, b.listed.cell == l.cell);
                group == Group::All || (group == Group::Zone && zone) || (group == Group::Cell && cell)
            });
            let tried = o.attempts.iter().any(|a| a.to.backend == bid);
            let (warmth, may) = self.warmth(b);
            let weight = b.size * warmth / b.slow * all as f64 / self.ready_size / 2.0;
            if !fits || !may || (want < all && mix(self.rng ^ (step as u64) << 40) > weight) {
                continue;
            }
            // Failing connections are laid to the zone as well: it may be cut off, with all that is in it.
            let zone = self.zones.get(&b.listed.zone).map_or(0.0, |z| z.doubt(now));
            let (h, doubt) = (&b.health[k], b.health[k].doubt(now).max(zone));
            let resting = h.strikes > 0 && (now < h.rest_until || b.out > 0);
            let jitter = 1.0 + 0.1 * ((noise + step as f64 * 0.618_034) % 1.0);
            let far = if b.listed.zone == self.s.zone { 1.0 } else { 1.05 };
            let load = f64::from(b.out)
                + 1.0
                + b.queue * decay(b.told_at, now, PRESSURE_TAU) / self.shares.min(4) as f64;
            let doubts = (1.0 + 10.0 * doubt) * if tried { 8.0 } else { 1.0 };
            let cost = load * jitter * far * doubts / if want < all { 1.0 } else { weight };
            // The sick come last, but none is shut out: else where most are sick the rest are pushed over.
            let cost = cost * if resting { 10.0 } else { 1.0 };
            best = if cost < best.0 { (cost, Some(bid)) } else { best };
            *if resting || doubt > DOUBTED { &mut sick } else { &mut sound } += 1;
            if sound >= want || sick > 4 * want {
                break;
            }
        }
        best.1
    }

    /// Sends a request's next attempt; false if no backend may take it now.
    fn send(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let (now, Some(bid)) = (self.now, self.choose(id)) else { return false };
        let Some(o) = self.requests.get_mut(&id) else { return false };
        if o.attempts.is_empty() {
            self.retries = (self.retries + RETRY_SHARE).min((RETRY_STORE / self.shares as f64).max(1.0));
        }
        self.customers.entry(o.req.customer).and_modify(|c| c.open += 1);
        // Backends remember a key for as long as this; a connection may come up long after the choice.
        let begin_by = match (self.s.classes[usize::from(o.req.class)].repeat, o.may_have_run()) {
            (Repeat::Keyed { window, .. }, Some(a)) => (a.sent + window).saturating_sub(self.s.tick),
            _ => 0,
        };
        let patience = o.patience(self.s.classes[usize::from(o.req.class)].aim);
        self.checks.push(Reverse((now + (patience * SILENCE) as Micros, id)));
        self.out += 1;
        if let Some(b) = self.backends.get_mut(&bid) {
            o.attempts.push(Attempt { to: b.listed, sent: now, out: true, cancelled: false, void: false });
            b.out += 1;
            // Oldest first: a walk over all of them, at each send, would grow with the square of the load.
            while b.cold_sends.front().is_some_and(|t| *t + self.s.rules.fall_time <= now) {
                b.cold_sends.pop_front();
            }
            b.cold_sends.push_back(now);
        }
        act.push(Action::Send { id, backend: bid, expires: 0, begin_by });
        true
    }

    // ---- 4. Answers: health, further attempts, the final answer ----

    /// An answer's lesson; one that a peer had (`own` false) counts, but rests nobody.
    fn learn(&mut self, bid: BackendId, class: usize, took: Option<f64>, own: bool) {
        let (now, aim) = (self.now, self.s.classes[class].aim.max(1) as f64);
        let Some(b) = self.backends.get_mut(&bid) else { return };
        b.health[class].note(now, took.is_none(), if own { 0.15 } else { 0.1 });
        if own && self.period == 0 && class <= MOST_CLASS {
            let sample = Sample { tag: tag(bid.0), class: class as u8, took: took.map(|t| t / aim) };
            self.samples.push_front((now, sample));
            self.samples.truncate(MOST_SAMPLES);
        }
        let Some(took) = took.filter(|_| now != self.woke) else { return };
        let u = &mut self.usual[class];
        let step = if self.period > 0 { 0.1 } else { (1.0 - decay(b.slow_at, now, SLOW_TAU)).max(0.1) };
        b.slow = (b.slow + step * ((took / u.recent.max(1.0)).min(4.0) - b.slow)).max(0.3);
        b.slow_at = now;
        u.count += 1.0;
        u.recent += (took - u.recent) / u.count.min(20.0);
        // Down at once, up by a percent a second: half a minute of overload must not pass for calm.
        let creep = 1.0 + (now - u.at) as f64 / SECOND * CALM_CREEP;
        // The least of a mean lies the further below it the fewer answers it is of: gateways of a large fleet
        // took, each by its own luck, a third to two thirds of the true time for calm, and stood on rungs.
        let over = CALM_OVER[usize::from(self.period == 0)];
        u.mean += (took - u.mean) / u.count.min(over);
        u.calm = if u.count <= over { u.mean.min(aim * 0.3) } else { u.mean.min(u.calm * creep) };
        u.at = now;
        let blind = if self.period == 0 { BLIND } else { 1.0 };
        let norm = (u.calm * CALM_MULTIPLE * blind).min(aim * AIM_SHARE);
        self.feel(took / norm.max(1.0));
    }

    fn on_answer(&mut self, bid: BackendId, outcome: Outcome, took: Micros, class: Option<usize>) {
        let (Some(b), Some(class)) = (self.backends.get_mut(&bid), class) else { return };
        if matches!(outcome, Outcome::Moot | Outcome::Cancelled | Outcome::TimedOut) {
            return;
        }
        let now = self.now;
        let bad = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        let reached = outcome != Outcome::ConnectFailed;
        self.zones.entry(b.listed.zone).or_default().note(now, !reached, if reached { 1.0 } else { 0.3 });
        let h = &mut b.health[class];
        h.heard = now;
        if outcome == Outcome::Full {
            b.queue += self.shares as f64;
            return self.feel(2.0);
        }
        let sick = h.doubt(now) * 0.85 + if bad { 0.15 } else { 0.0 } > SICK_ERRORS;
        if bad && (sick || h.strikes > 0) {
            h.rest(now);
        } else if !bad && !sick {
            h.strikes = 0;
        }
        self.learn(bid, class, (!bad).then_some(took as f64), true);
    }

    fn on_settled(&mut self, event: Event, act: &mut Vec<Action>) {
        let Event::Settled { id, attempt, backend, outcome, complete, took, charged, report, .. } = event
        else {
            return;
        };
        let class = self.requests.get(&id).map(|o| usize::from(o.req.class));
        self.on_answer(backend, outcome, took, class);
        if let (Some(b), Some(queue)) = (self.backends.get_mut(&backend), report.and_then(|r| r.queue)) {
            (b.queue, b.told_at) = (queue.clamp(0.0, 1000.0), self.now);
        }
        let Some(o) = self.requests.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else { return };
        (a.out, a.void) = (false, outcome.never_ran());
        self.out = self.out.saturating_sub(1);
        if let Some(b) = self.backends.get_mut(&a.to.backend) {
            b.out = b.out.saturating_sub(1);
        }
        let (customer, units) = (o.req.customer, o.req.units);
        let more = charged.filter(|_| self.s.post_paid).map_or(0.0, |u| u - units);
        let mut news = more != 0.0;
        if let Some(c) = self.customers.get_mut(&customer) {
            (c.open, c.level, c.used) = (c.open.saturating_sub(1), c.level - more, c.used + more);
            news |= self.s.plans[c.plan].open_cap > 0;
        }
        o.done |= complete || outcome == Outcome::Ok;
        if o.done {
            self.on_gone(id, act);
        } else if o.out() == 0 {
            // What broke early did little work: its repeat takes its place rather than adding to the load.
            // Else a network that breaks one in six uses the budget up. Turned away or late: in full.
            let early = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
            let usual = class.map_or(0.0, |k| self.usual[k].calm).max(1.0);
            let cost = if early { (took as f64 / usual).clamp(RETRY_LEAST, 1.0) } else { 1.0 };
            if !self.again(id, cost, act) {
                self.finish(id, act);
            }
        }
        if news {
            self.report(customer, |_| true);
        }
        self.dispatch(act);
    }

    /// Tries a further attempt, where the class, the time and the budget allow one.
    fn again(&mut self, id: RequestId, cost: f64, act: &mut Vec<Action>) -> bool {
        let o = &self.requests[&id];
        let class = &self.s.classes[usize::from(o.req.class)];
        let allowed = class.repeat != Repeat::Once || o.may_have_run().is_none();
        let useful = self.now + self.s.tick < (o.arrived + class.aim).min(o.req.deadline);
        let room = (o.attempts.len() as u32) < self.s.limits.max_attempts;
        let single = o.out() == 0 || self.s.limits.second_copies;
        let sent = allowed && useful && room && single && self.retries >= cost && self.send(id, act);
        self.retries -= if sent { cost } else { 0.0 };
        sent
    }

    /// The final answer of a request that is not served: refused where that is true, else failed.
    fn finish(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get(&id) else { return };
        let repeat = self.s.classes[usize::from(o.req.class)].repeat;
        if matches!(repeat, Repeat::Safe | Repeat::Keyed { group: Group::All, .. })
            || o.may_have_run().is_none()
        {
            self.refuse(id, self.place_in(o.req.class), act);
        } else {
            act.push(Action::Fail(id));
        }
        self.on_gone(id, act);
    }

    /// A request has ended: calls off what is out, forgets it once all is settled.
    fn on_gone(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        o.done = true;
        o.call_off(None, self.s.limits.cancel && !o.streaming, act);
        if o.out() == 0 {
            let (req, unsent, held) = (o.req, o.attempts.is_empty(), o.held);
            self.requests.remove(&id);
            if held {
                self.let_go(req.customer, id, true);
            } else if unsent {
                self.charge(&req, -1.0);
                self.report(req.customer, |_| true);
            }
        }
    }

    // ---- 5. Time passes: checks of requests, gossip, the list ----

    fn on_wake(&mut self, act: &mut Vec<Action>) {
        let now = self.now;
        while let Some(Reverse((_, id))) = self.checks.peek().copied().filter(|c| c.0 .0 <= now) {
            self.checks.pop();
            self.check(id, act);
        }
        for id in std::mem::take(&mut self.waiting) {
            if !self.give_up(id, act) {
                self.waiting.push_back(id);
            }
        }
        self.step_alert(act);
        self.dispatch(act);
        let ready = |p: &u16| self.peers.get(p).is_some_and(|p| p.next <= now);
        let ready: Vec<u16> = self.due.iter().copied().filter(ready).collect();
        ready.into_iter().for_each(|p| self.flush(p, act));
        self.sweep();
        if self.s.discovery == Discovery::Ask && now >= self.watch_at {
            self.watch_at = now + (self.s.rules.must_ask / 2).max(1);
            act.push(Action::Watch(true));
        }
    }

    /// Whether a request has the time to be held for two wake-ups.
    fn may_wait(&self, o: &Open, now: Micros) -> bool {
        now + 2 * WAKE_TICKS * self.s.tick <= o.req.deadline
    }

    /// Ends a request that has waited for a place for as long as it may; true if it need not wait.
    fn give_up(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let Some(o) = self.requests.get(&id).filter(|o| !o.done && o.out() == 0) else { return true };
        let patience = o.patience(self.s.classes[usize::from(o.req.class)].aim);
        let end = self.now > o.arrived + (patience * HOLD) as Micros || !self.may_wait(o, self.now);
        if end {
            self.finish(id, act);
        }
        end
    }

    fn check(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let now = self.now;
        if let Some(o) = self.requests.get(&id).filter(|o| o.held) {
            let (until, customer) = (self.word_by(o), o.req.customer);
            if now >= until {
                return self.admit(id, true, act); // the homes said nothing in time: by what is known here
            }
            self.checks.push(Reverse((until, id)));
            let pools = self.customers.get(&customer).map_or([self.s.me.0; 2], |c| c.pools);
            return pools.into_iter().for_each(|h| self.ask(customer, h, act));
        }
        let Some(o) = self.requests.get_mut(&id).filter(|o| !o.done && !o.streaming) else { return };
        let k = usize::from(o.req.class);
        let (once, patience) = (self.s.classes[k].repeat == Repeat::Once, o.patience(self.s.classes[k].aim));
        let Some(a) = o.attempts.iter_mut().rev().find(|a| a.out && !a.cancelled) else { return };
        let (bid, hedge_at) = (a.to.backend, a.sent + (patience * HEDGE) as Micros);
        // The check of a hold, or of an attempt before, is early for this one, which has its own: it would
        // call off sound attempts and rest sound backends.
        if now < a.sent + (patience * SILENCE) as Micros {
            return;
        }
        let Some(b) = self.backends.get_mut(&bid) else { return };
        let silent = b.health[k].heard < a.sent;
        // One of many gateways seldom hears from a backend at all: there it takes what peers found as well.
        let sure = silent && (self.period > 0 || b.health[k].doubt(now) > DOUBTED);
        let (hedge, limits) = ((sure || self.rung == 0) && !once, &self.s.limits);
        if hedge && !limits.second_copies && sure && limits.cancel && self.retries >= 1.0 {
            o.call_off(None, true, act);
        }
        if silent && (sure || now < hedge_at) && now >= b.health[k].rest_until {
            if sure {
                b.health[k].rest(now);
            }
            self.learn(bid, k, None, true);
        }
        if !sure && now < hedge_at {
            return self.checks.push(Reverse((hedge_at, id)));
        }
        if hedge && self.s.limits.second_copies {
            self.again(id, 1.0, act);
        }
    }

    // ---- 6. Peers: use told to homes, their word, hints ----

    /// Puts a customer on the way to those of its homes that are to hear of it.
    fn report(&mut self, id: CustomerId, hears: impl Fn(u16) -> bool) {
        let Some(c) = self.customers.get(&id).filter(|_| self.s.limits.peers) else { return };
        // Told twice where a lost end would hold a place for long.
        let times = 1 + u8::from(self.s.plans[c.plan].open_cap > 0);
        for home in c.homes.iter().copied().filter(|h| *h != self.s.me.0 && hears(*h)) {
            let entry = self.peers.entry(home).or_default().outbox.entry(id).or_default();
            *entry = (times, entry.1);
            self.due.insert(home);
        }
    }

    fn post(&mut self, to: u16, body: Body, act: &mut Vec<Action>) {
        let now = self.now;
        self.samples.retain(|s| now < s.0 + (PRESSURE_TAU * SECOND) as Micros); // as long as it weighs
        let samples = self.samples.iter().map(|s| s.1).collect();
        let p = self.peers.entry(to).or_default();
        p.sent = p.sent.wrapping_add(1);
        p.next = now + self.period;
        let bytes = Message { born: incarnation(self.born), seq: p.sent, samples, body }.pack();
        act.push(Action::Tell { to: Some(GatewayNo(to)), bytes });
    }

    /// Sends a peer what waits for it, as much as a message holds.
    fn flush(&mut self, to: u16, act: &mut Vec<Action>) {
        let Some(p) = self.peers.get_mut(&to) else { return };
        // Round from where the last message ended: else the last ids go untold when more change than fit.
        let round = p.outbox.range(p.told..).chain(p.outbox.range(..p.told)).take(MOST_USES);
        let list: Vec<(CustomerId, (u8, bool))> = round.map(|(c, o)| (*c, *o)).collect();
        p.told = list.last().map_or(p.told, |(id, _)| CustomerId(id.0 + 1));
        p.outbox.extend(list.iter().map(|(id, o)| (*id, (o.0 - 1, false))));
        p.outbox.retain(|_, o| o.0 > 0);
        if p.outbox.is_empty() {
            self.due.remove(&to);
        }
        let (mut uses, now, me) = (Vec::new(), self.now, self.s.me.0);
        for (customer, (_, ask)) in list {
            let Some(c) = self.fill(customer) else { continue };
            let known = c.home || now - c.news_at.min(now) < AGING / 10;
            // One of the two is asked for ceiling units, by lot: two gifts would waste one.
            let at = c.pools[usize::from(mix(now ^ customer.0) < 0.5)];
            let short = ask && c.short && (at == to || c.pools.contains(&me));
            let (first, width, units) = (c.first, c.width as u16, c.asks);
            let (total, open, plan, level) = (wrap(c.used), c.open.min(127) as u8, c.plan, c.level);
            let full = (level / self.s.plans[plan].burst.max(1e-9) * 254.0).clamp(0.0, 254.0) as u8;
            let (plan, level) = (plan.min(MOST_PLAN) as u8, if known { full } else { 255 });
            uses.push(Use { customer, plan, total, open, level, first, width, ask, units, short });
        }
        self.post(to, Body::Uses(uses), act);
    }

    /// What is done once a second: what is long out is told again, what is old is forgotten.
    fn sweep(&mut self) {
        let (now, plans, mut again) = (self.now, &self.s.plans, Vec::new());
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SECOND as Micros;
        self.customers.retain(|id, c| {
            let p = &plans[c.plan];
            if p.open_cap > 0 && c.home {
                // Attempts of a peer that fell silent hold no place for ever.
                c.heard.values_mut().filter(|h| now - h.at > 1_500_000).for_each(|h| h.open = 0);
                c.others_open = c.heard.values().map(|h| u32::from(h.open)).sum();
            }
            if p.open_cap > 0 && c.open > 0 {
                again.push(*id);
            }
            c.heard.retain(|_, h| now - h.at <= 2 * AGING);
            // Kept until both stores are full for sure: a customer met anew starts with full ones.
            let full = (p.burst / p.rate).max(p.ceiling_burst / p.ceiling_rate).clamp(0.0, 1e6); // NaN: 0 / 0
            c.open > 0 || !c.held.is_empty() || now - c.seen <= 2 * AGING.max((full * SECOND) as Micros)
        });
        again.into_iter().for_each(|id| self.report(id, |_| true));
    }

    fn on_peer(&mut self, from: GatewayNo, bytes: &[u8], act: &mut Vec<Action>) {
        let Some(m) = Message::unpack(bytes) else { return };
        let (now, mine) = (self.now, incarnation(self.born));
        if from == self.s.me || from.0 >= self.s.gateways {
            return;
        }
        self.elders |= later(mine, m.born.wrapping_add(ELDER));
        let peer = self.peers.entry(from.0).or_default();
        if peer.born != m.born {
            if peer.born != 0 && later(peer.born, m.born) {
                return; // from before its restart
            }
            // Heard for the first time it has not started anew: to tell it again would undo its promise.
            let anew = peer.born != 0 || self.period > 0;
            (peer.born, peer.seq) = (m.born, m.seq.wrapping_sub(1));
            for (id, c) in self.customers.iter_mut().filter(|_| anew) {
                if let Some(h) = c.heard.remove(&from.0) {
                    c.others_open -= u32::from(h.open).min(c.others_open);
                }
                if c.homes.contains(&from.0) && now - c.seen < AGING / 5 {
                    peer.outbox.insert(*id, (1, false)); // a home that starts knows nothing: it is told once
                    self.due.insert(from.0);
                }
            }
        }
        if m.seq.wrapping_sub(peer.seq) as i16 <= 0 {
            return; // a repeat, or overtaken
        }
        peer.seq = m.seq;
        for s in m.samples {
            let class = usize::from(s.class);
            if let (Some(bid), Some(k)) = (self.tags.get(&s.tag), self.s.classes.get(class)) {
                self.learn(*bid, class, s.took.map(|t| t * k.aim as f64), false);
            }
        }
        match m.body {
            Body::Uses(uses) => {
                let news = uses.into_iter().filter_map(|u| self.on_use(from.0, !later(mine, m.born), u));
                let news: Vec<News> = news.collect();
                if !news.is_empty() {
                    self.post(from.0, Body::News(m.born, news), act);
                }
            }
            // Only to the incarnation it was meant for, and by its number only once: a repeat mints nothing.
            Body::News(to, _) if to != mine => {}
            Body::News(_, news) => news.into_iter().for_each(|n| self.on_news(from.0, n, act)),
        }
    }

    /// A gateway told its use of a customer; the answer if it asked.
    fn on_use(&mut self, from: u16, younger: bool, u: Use) -> Option<News> {
        let (now, life) = (self.now, (self.now - self.born) as f64 / SECOND);
        let plan = self.s.plans.get(usize::from(u.plan))?;
        let (burst, cap, told) = (plan.burst, plan.open_cap, f64::from(u.level) / 254.0 * plan.burst);
        let (least, refill) = (if self.period > 0 { 0.0 } else { -burst }, burst / plan.rate.max(1e-9));
        let level = if u.level < 255 { told } else { (plan.rate * life).min(burst) };
        // Told of a customer that never came here: the sender's view, or what has filled since this start.
        let new = || Customer { plan: usize::from(u.plan), level, filled: now, ..Customer::default() };
        self.customers.entry(u.customer).or_insert_with(new);
        self.settle_in(u.customer, u.first, u.width);
        let c = self.fill(u.customer)?;
        if c.plan != usize::from(u.plan) || !c.home {
            return None; // not a home of this one
        }
        c.seen = c.seen.max(now);
        let known = c.heard.contains_key(&from);
        let h = c.heard.entry(from).or_default();
        let mut delta = gone_by(h.total, u.total);
        if !known && !younger && delta.abs() > burst / 4.0 {
            delta = 0.0; // its count is older than this start: its view of the store is what is left to go by
            if u.level < 255 {
                c.level = c.level.min((told - c.used).max(0.0));
            }
        } else if delta < -burst {
            delta = 0.0; // it counts anew
        }
        // Heard after the time in which a store fills, use is spread over that silence: most of it has filled
        // again, and what went beyond the quota drew nothing. After a cut of 6 s all ingresses told in turn
        // what they had let through unheard, and homes took it for new: 30% refused with room for 10 s more.
        let (silence, before) = ((now - h.at.min(now)) as f64 / SECOND, c.level + h.promised);
        let late = known && silence > refill && delta > h.promised;
        if late {
            delta = h.promised + (delta - h.promised) * refill / silence;
        }
        c.level = (before - delta).clamp(if late { before.min(0.0).max(least) } else { least }, burst);
        h.rate = (h.rate * decay(h.at, now, RATE_TAU) + delta / RATE_TAU).max(0.0);
        c.others = (c.others + delta / RATE_TAU).max(0.0);
        let others = c.open + c.others_open.saturating_sub(u32::from(h.open));
        // Where there is room it is taken as used at once: others ask before the asker's next message comes.
        let free =
            u.ask && (burst == 0.0 || c.level >= u.units) && (cap == 0 || others + u32::from(u.open) < cap);
        let open = u.open + u8::from(free && u.open < 127);
        c.others_open = others - c.open + u32::from(open);
        (h.total, h.at, h.open) = (u.total, now, open);
        let (level, its) = (c.level, h.rate); // what is promised is the asker's: its word is before it
        h.promised = if free { u.units } else { 0.0 };
        c.level -= h.promised;
        // Ceiling units are deducted here first: a lost message loses them.
        let gift = if u.ask && u.short && c.ceiling >= u.units { whole_parts(u.units) } else { 0.0 };
        c.ceiling -= gift;
        let (rate, open) = ((c.rate + c.others - its).max(0.0), others.min(127) as u8);
        let (customer, yours) = (u.customer, u.total);
        u.ask.then_some(News { customer, yours, level, rate, open, gift })
    }

    /// A home's word on a customer: the store is what it says, less what it cannot have heard.
    fn on_news(&mut self, from: u16, n: News, act: &mut Vec<Action>) {
        let (now, me, few, mine) = (self.now, self.s.me.0, self.period > 0, incarnation(self.born));
        let p = self.peers.entry(from).or_default();
        let lately = incarnation(now).wrapping_sub(p.born) < (AGING / 1000) as u32;
        let young = lately && later(p.born, mine.wrapping_add(ELDER));
        p.unheard = 0;
        let Some(plan) = self.customers.get(&n.customer).map(|c| c.plan) else { return };
        let (burst, cap) = (self.s.plans[plan].burst, self.s.plans[plan].open_cap);
        let Some(c) = self.fill(n.customer).filter(|c| c.homes.contains(&from)) else { return };
        if (burst == 0.0 || n.level >= c.asks) && (cap == 0 || u32::from(n.open) + c.open < cap) {
            c.promised.push(from);
        }
        if !c.home {
            (c.others, c.others_open, c.news_at) = (n.rate, u32::from(n.open), now);
            c.level = n.level - gone_by(n.yours, wrap(c.used));
        }
        c.answered.push(from);
        // A gift is for the request that waits: late ones lapse, or a full store would hold more than full.
        if now - c.asked_at < GIFT_LIFE {
            c.granted += n.gift;
        }
        let (held, customer, pools) = (c.held.clone(), n.customer, c.pools);
        let (said, short) = (c.answered.clone(), c.short);
        // The first home's no will do, unless it started so lately that it knows too little.
        let chief = from == pools[0] || self.away(pools[0]);
        let all = pools.iter().all(|h| *h == me || said.contains(h) || self.away(*h));
        let all = all || (!few && !young && chief && !short);
        held.iter().for_each(|id| self.admit(*id, all, act));
        if held.iter().any(|id| self.requests.get(id).is_some_and(|o| o.held)) {
            pools.into_iter().for_each(|h| self.ask(customer, h, act));
        }
    }

    // ---- 7. The list of backends ----

    fn on_roster(&mut self, kind: RosterKind, list: Vec<Listed>, act: &mut Vec<Action>) {
        if kind == RosterKind::Failed {
            return self.watch_at = self.watch_at.min(self.now + (self.s.rules.must_ask / 8).max(1));
        }
        if kind != RosterKind::Delta {
            self.backends.values_mut().for_each(|b| b.ready = false); // absent from a whole list: gone
        }
        let health = vec![Health::default(); self.s.classes.len()];
        for l in list {
            let b = self.backends.entry(l.backend).or_default();
            if b.health.is_empty() || l.started != b.listed.started {
                (b.slow, b.health, b.queue) = (1.0, health.clone(), 0.0); // a new process, a new record
            }
            b.listed = l;
            let sized = self.s.sizes == SizeMeaning::Capacity && l.size.is_finite() && l.size > 0.0;
            b.size = if sized { l.size } else { 1.0 };
            b.ready = l.availability == Availability::Ready;
        }
        self.backends.retain(|_, b| b.ready || b.out > 0);
        let ready: Vec<&Backend> = self.backends.values().filter(|b| b.ready).collect();
        self.ready_size = ready.iter().map(|b| b.size).sum();
        self.order = ready.iter().map(|b| b.listed.backend).collect();
        self.tags = self.order.iter().map(|id| (tag(id.0), *id)).collect();
        let place = |id: &BackendId| mix(id.0 ^ u64::from(self.s.me.0) << 48);
        self.order.sort_by(|a, b| place(a).total_cmp(&place(b)));
        let cold = |id: &&BackendId| self.backends.get(id).is_some_and(|b| self.warmth(b).0 < 1.0);
        self.cold = self.order.iter().take(SUBSET).filter(cold).copied().collect();
        self.dispatch(act);
    }
}
