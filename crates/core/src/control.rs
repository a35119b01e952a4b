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
        self.ejected_until = now + (REST << self.consecutive_ejections.min(3));
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    fn doubt(&self, now: Micros) -> f64 {
        self.failure_rate * decay(self.updated_at, now, DOUBT_TAU)
    }

    fn note(&mut self, now: Micros, bad: bool, weight: f64) {
        let errors = self.doubt(now);
        self.failure_rate = errors + weight * (f64::from(u8::from(bad)) - errors);
        self.updated_at = now;
    }
}

impl Customer {
    /// The part of the use that is this gateway's own, with a floor for those that begin.
    fn share(&self, plan: &Plan) -> f64 {
        let floor = if self.is_owner || self.owner_reply_at > 0 { 0.1 } else { 1.0 };
        let own = self.use_rate.max(plan.quota_rate / self.gateway_count.max(1.0) * floor);
        own / (own + self.peer_rate).max(1e-9)
    }
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let usual = settings.classes.iter().map(|c| LatencyBaseline {
            recent: c.latency_objective as f64 * 0.15,
            ..LatencyBaseline::default()
        });
        let usual = usual.map(|u| LatencyBaseline { unloaded: u.recent, updated_at: now, ..u }).collect();
        let shares = u64::from(settings.gateways.max(1));
        // Most of what a receiver takes in, over all senders; no faster than 20 a second: bytes cost.
        let period = 1.5 * (shares as f64 - 1.0) / settings.limits.gossip_receive_rate.max(1.0);
        let few = period <= FEW_PERIOD;
        Gateway {
            random_state: seed,
            now,
            started_at: now,
            latency_baselines: usual,
            retry_budget: (RETRY_STORE / shares as f64).max(1.0),
            in_flight_per_endpoint: PLACES,
            report_period: if few { ((period * SECOND) as Micros).max(50_000) } else { 0 },
            gateway_count: shares,
            settings,
            ..Gateway::default()
        }
    }

    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Micros, event: Event, act: &mut Vec<Action>) {
        let wake = (WAKE_TICKS * self.settings.tick).max(1);
        // Stood still for several wake-ups: all that came meanwhile is read before anybody is judged by it.
        if self.next_wakeup > 0 && now > self.next_wakeup + 4 * wake {
            // What is past its time by now is answered in this very turn.
            let late = self.requests.values().filter(|o| o.attempts.is_empty() && !self.may_wait(o, now));
            let late: Vec<RequestId> = late.map(|o| o.request.id).collect();
            late.into_iter().for_each(|id| self.finish(id, act));
            self.resumed_at = now;
            self.next_wakeup = now + wake;
            act.push(Action::SetTimer { delay: wake, token: 0 });
        }
        self.now = self.now.max(now);
        match event {
            Event::Request(req) => self.on_request(req, act),
            Event::AttemptFinished { .. } => self.on_settled(event, act),
            Event::ClientCancelled(id) => self.on_gone(id, act),
            Event::FirstByte { id, attempt } => {
                if let Some(o) = self.requests.get_mut(&id) {
                    o.call_off(Some(attempt), self.settings.limits.cancellation, act);
                    o.streaming = true;
                }
            }
            Event::GossipReceived { from, bytes } => self.on_peer(from, &bytes, act),
            // A home known to be gone need not be found silent: nobody waits for it, or asks it.
            Event::PeerReachability { peer, reachable: there } if peer.0 < self.settings.gateways => {
                self.peers.entry(peer.0).or_default().unreachable = !there;
            }
            Event::Endpoints(kind, list) => self.on_roster(kind, list, act),
            Event::Timer(_) if self.now < self.next_wakeup => return,
            Event::Timer(_)
            | Event::HealthChecked { .. }
            | Event::CounterUpdated { .. }
            | Event::PeerReachability { .. } => {}
        }
        if self.now >= self.next_wakeup {
            self.on_wake(act);
            self.next_wakeup = self.now + wake;
            act.push(Action::SetTimer { delay: wake, token: 0 });
        }
    }

    // ---- 1. A request arrives: its colour, its store, the ladder ----

    fn on_request(&mut self, req: Request, act: &mut Vec<Action>) {
        let (class, plan) = (usize::from(req.class), usize::from(req.plan));
        let known = class < self.settings.classes.len() && plan < self.settings.plans.len();
        let sane = req.units.is_finite() && req.units >= 0.0;
        if self.requests.contains_key(&req.id) {
            return; // told twice: the first telling gets the answer
        }
        // With less than two wake-ups left nothing can be held, watched or served: answered at once.
        if !known || !sane || req.deadline < self.now + 2 * WAKE_TICKS * self.settings.tick {
            return self.refuse(req.id, 0, act);
        }
        let unseen = self.meet(&req);
        if !self.ladder_passes(req.customer, plan, unseen) {
            // Whom it cuts changes with the epoch.
            return self.refuse(req.id, EPOCH - self.now % EPOCH, act);
        }
        let open = InFlightRequest { request: req, arrived_at: self.now, ..InFlightRequest::default() };
        let (now, may_wait) = (self.now, self.may_wait(&open, self.now));
        let (quota, ceiling) = self.wait_for_room(&req);
        let c = &self.customers[&req.customer];
        // A no may rest on older news than a yes: else a red customer's retries ask without end.
        let red = quota.is_some() && self.settings.plans[plan].max_in_flight == 0;
        let known = c.is_owner || now - c.owner_reply_at.min(now) < if red { NO_AGAIN } else { FRESH };
        let short =
            ceiling.is_some() && quota.is_none() && c.hard_limit_owners != [self.settings.self_id.0; 2];
        let nobody = c.hard_limit_owners.iter().all(|h| *h == self.settings.self_id.0 || self.away(*h));
        if !may_wait || (known && !short) || nobody {
            self.requests.insert(req.id, open);
            return self.admit(req.id, true, act);
        }
        // The room is not known here: held until the homes' word comes, or for as long as that may take.
        let stage = self.word_by(&open) - now;
        self.requests.insert(req.id, InFlightRequest { awaiting_owner: true, ..open });
        self.checks.push(Reverse((now + (stage as f64 * SECOND_HOME) as Micros, req.id)));
        let Some(c) = self.customers.get_mut(&req.customer) else { return };
        c.awaiting_owner.push(req.id);
        if c.awaiting_owner.len() == 1 || now - c.owners_asked_at > FRESH || short {
            c.owners_asked_at = now;
            (c.owners_asked, c.owners_replied, c.owners_reserving) = Default::default();
            (c.requested_units, c.hard_limit_requested) = (req.units, ceiling.is_some());
            let [first, second] = c.hard_limit_owners;
            self.ask(req.customer, first, act);
            // Both hand out the ceiling. Else all ask the first of the two, which so knows the store; what it
            // lets through the second is told, for when the first is gone. To ask both, and to tell both what
            // came of it, was six messages a try: in a fleet of 300 the intake lost a fifth of them.
            if short
                || self.report_period > 0
                || self.peers.get(&first).is_some_and(|p| p.unanswered > MUTE || p.unreachable)
            {
                self.ask(req.customer, second, act);
            }
        }
    }

    /// Until when a request waits for the homes' word.
    fn word_by(&self, o: &InFlightRequest) -> Micros {
        let most = if self.report_period > 0 { FRESH } else { WORD };
        o.arrived_at
            + most.min(
                (o.patience(self.settings.classes[usize::from(o.request.class)].latency_objective) / 5.0)
                    as Micros,
            )
    }

    /// Whether the view of the fleet, if there is one, has lost a peer.
    fn away(&self, peer: u16) -> bool {
        self.peers.get(&peer).is_some_and(|p| p.unreachable)
    }

    /// Asks a home for room, once in a round of asking.
    fn ask(&mut self, id: CustomerId, home: u16, act: &mut Vec<Action>) {
        let away = self.away(home) || home == self.settings.self_id.0 || !self.settings.limits.gossip;
        let fit = |c: &&mut Customer| !away && !c.owners_asked.contains(&home);
        let Some(c) = self.customers.get_mut(&id).filter(fit) else { return };
        c.owners_asked.push(home);
        let p = self.peers.entry(home).or_default();
        p.unanswered = p.unanswered.saturating_add(1);
        p.outbox.insert(id, (1, true));
        self.peers_to_notify.insert(home);
        self.flush(home, act);
    }

    /// Lets a request in if the stores have room; without it, one that is held stays so till the `last` word.
    fn admit(&mut self, id: RequestId, last: bool, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        let (req, held) = (o.request, std::mem::take(&mut o.awaiting_owner));
        let (quota_wait, ceiling_wait) = self.wait_for_room(&req);
        let wait = quota_wait.into_iter().chain(ceiling_wait).reduce(f64::max);
        // The fuller the line, the fewer customers may join it; the same ones for an epoch, as on the ladder.
        let line = self.waiting.len() as f64 / (self.limit() * HOLD);
        let full = self.in_flight as f64 >= self.limit() && self.draw(req.customer) >= 1.0 - line;
        if wait.is_some() && !last {
            self.requests.entry(id).and_modify(|o| o.awaiting_owner = held);
            return;
        }
        // Homes that count it as used: they said so, or have not said that they don't.
        let (mut sure, mut maybe) = (Vec::new(), Vec::new());
        if let Some(c) = self.customers.get_mut(&req.customer).filter(|_| held) {
            maybe = c.owners_asked.iter().filter(|h| !c.owners_replied.contains(h)).copied().collect();
            if req.units == c.requested_units {
                sure = std::mem::take(&mut c.owners_reserving);
            }
        }
        self.let_go(req.customer, id, held && (wait.is_some() || full));
        if wait.is_some() || full {
            // Red, or no place and none soon.
            let pause = wait.map_or(self.place_in(req.class), |w| (w * SECOND) as Micros);
            self.rejection_rate += 0.05 * f64::from(u8::from(wait.is_none())) * (1.0 - self.rejection_rate);
            self.requests.remove(&id);
            self.refuse(id, pause, act);
            return self.report(req.customer, |h| sure.contains(&h) || maybe.contains(&h));
        }
        self.rejection_rate -= 0.05 * self.rejection_rate;
        self.send_rate = self.send_rate * decay(self.send_rate_at, self.now, RATE_TAU) + 1.0 / RATE_TAU;
        self.send_rate_at = self.now;
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
            c.awaiting_owner.retain(|h| *h != id);
            if c.awaiting_owner.is_empty() {
                c.transferred_tokens = 0.0;
            }
        }
    }

    fn refuse(&self, id: RequestId, pause: Micros, act: &mut Vec<Action>) {
        let most = if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0 };
        act.push(Action::Reject { id, retry_after: pause.min(most) });
    }

    /// Notes the customer; true if it was unseen within the ageing time.
    fn meet(&mut self, req: &Request) -> bool {
        let (now, life) = (self.now, (self.now - self.started_at) as f64 / SECOND);
        let plan = &self.settings.plans[usize::from(req.plan)];
        let most = self.settings.gateways.max(1) as f64;
        let sane = req.gateway_count.is_finite() && (0.0..most).contains(&req.first_gateway);
        let (first, width) =
            if sane { (req.first_gateway.floor(), req.gateway_count.clamp(1.0, most)) } else { (0.0, most) };
        // A customer unseen here: its share, or one request, and what has filled since this start.
        let level =
            ((plan.quota_burst / width).max(req.units) + plan.quota_rate * life).min(plan.quota_burst);
        let others = plan.quota_rate * (1.0 - 1.0 / width);
        let new = || Customer { tokens: level, peer_rate: others, refilled_at: now, ..Customer::default() };
        let c = self.customers.entry(req.customer).or_insert_with(new);
        let unseen = c.last_request_at == 0 || now - c.last_request_at > AGING;
        (c.plan, c.last_request_at) = (usize::from(req.plan), now);
        self.settle_in(req.customer, first as u16, width as u16);
        unseen
    }

    /// Fixes, for good, a customer's homes and the part of its ceiling here: not to be given out twice.
    fn settle_in(&mut self, id: CustomerId, first: u16, width: u16) {
        let (few, me, all, life) = (
            self.report_period > 0,
            self.settings.self_id.0,
            self.settings.gateways,
            self.now - self.started_at,
        );
        let Some(c) = self.customers.get_mut(&id).filter(|c| c.owners.is_empty()) else { return };
        let (plan, set) = (&self.settings.plans[c.plan], u64::from(width.clamp(1, all)));
        let at = |n: u64| ((u64::from(first) + n % set) % u64::from(all)) as u16;
        let one = (mix(id.0) * set as f64) as u64;
        let other = 1 + (mix(!id.0) * (set as f64 - 1.0)) as u64;
        (c.first_gateway, c.gateway_count, c.hard_limit_owners) =
            (first, set as f64, [at(one), at(one + other)]);
        c.owners = if few { (0..set).map(at).collect() } else { c.hard_limit_owners.to_vec() };
        c.owners.dedup();
        c.is_owner = c.owners.contains(&me);
        // No peer is older than this start: the fleet began with it, the store is full, less what all tell.
        if c.is_owner && !self.older_peer_seen {
            c.tokens = plan.quota_burst;
        }
        // Half of the ceiling lies with two, who hand it out; each has some for when they are not heard.
        let pools = c.hard_limit_owners.iter().filter(|p| **p == me).count() as f64;
        c.hard_limit_share = (1.0 - POOLED) / c.gateway_count + pools * POOLED / 2.0;
        // It counts from nothing at this start: what went before is not known here.
        c.hard_limit_tokens =
            (plan.hard_limit_rate * life as f64 / SECOND).min(plan.hard_limit_burst) * c.hard_limit_share;
    }

    /// Fills a customer's stores up to now.
    fn fill(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let now = self.now;
        let c = self.customers.get_mut(&id)?;
        let plan = &self.settings.plans[c.plan];
        let span = (now - c.refilled_at) as f64 / SECOND;
        let keep = decay(c.refilled_at, now, RATE_TAU);
        c.use_rate *= keep;
        let mut filling = plan.quota_rate;
        if c.is_owner {
            c.peer_rate *= keep;
        } else {
            // Between two words of a home, the use that goes on unheard is taken off the filling.
            filling = (plan.quota_rate - c.peer_rate).max(plan.quota_rate * c.share(plan));
        }
        c.tokens = (c.tokens + filling * span).min(plan.quota_burst);
        c.hard_limit_tokens = (c.hard_limit_tokens + plan.hard_limit_rate * c.hard_limit_share * span)
            .min(plan.hard_limit_burst * c.hard_limit_share);
        c.refilled_at = now;
        Some(c)
    }

    /// Seconds until the quota, and the ceiling, may have room; none where there is room now.
    fn wait_for_room(&mut self, req: &Request) -> (Option<f64>, Option<f64>) {
        self.fill(req.customer);
        let c = &self.customers[&req.customer];
        let plan = &self.settings.plans[c.plan];
        let span = self.report_period + UNHEARD;
        // Just told by a home, which others ask as well, there is as much under way as since it told.
        let span = if c.is_owner { span } else { span.min(self.now - c.owner_reply_at.min(self.now)) };
        let unheard = c.peer_rate * span as f64 / SECOND;
        let mut quota = None;
        if plan.quota_rate > 0.0 {
            // The room left, split by use heard; the peers' part is no more than what they pass unheard.
            let room = c.tokens - unheard.min(c.tokens.max(0.0) * (1.0 - c.share(plan)));
            if room + 1e-9 < req.units {
                quota = Some((req.units - room) / plan.quota_rate);
            }
        }
        // Heavy users wait at every gateway for the same free place: what peers likely began unheard counts.
        let open = c.in_flight + c.peers_in_flight + (unheard / req.units.max(0.1)) as u32;
        if plan.max_in_flight > 0 && open >= plan.max_in_flight {
            quota = Some(
                quota.unwrap_or(0.0).max(self.latency_baselines[usize::from(req.class)].unloaded / SECOND),
            );
        }
        let has = c.hard_limit_tokens + c.transferred_tokens;
        let short = plan.hard_limit_rate > 0.0 && has + 1e-9 < req.units;
        let ceiling =
            short.then(|| (req.units - has) / (plan.hard_limit_rate * c.hard_limit_share.max(0.01)));
        (quota, ceiling)
    }

    /// Draws a request's units from the stores, or gives them back (`sign` -1) when it was never sent.
    fn charge(&mut self, req: &Request, sign: f64) {
        let Some(c) = self.customers.get_mut(&req.customer) else { return };
        let plan = &self.settings.plans[c.plan];
        let units = req.units * sign;
        // Beyond the quota nothing is drawn; large fleets owe what homes promised, used or not.
        let least = if self.report_period > 0 { 0.0 } else { -plan.quota_burst };
        c.tokens = (c.tokens - units).clamp(least, plan.quota_burst);
        let granted = units.clamp(0.0, c.transferred_tokens);
        c.transferred_tokens -= granted;
        c.hard_limit_tokens =
            (c.hard_limit_tokens - units + granted).min(plan.hard_limit_burst * c.hard_limit_share);
        c.used_units += units;
        c.use_rate = (c.use_rate + units / RATE_TAU).max(0.0);
    }

    /// Whether the rung lets this customer pass. Whom it cuts is fixed for an epoch, alike at all gateways:
    /// a coin for each request would let refused clients' retries in, too late to earn anything, until they
    /// fill the fleet and cause the next refusals. It hurts those cut for a whole epoch.
    fn ladder_passes(&self, customer: CustomerId, plan: usize, green: bool) -> bool {
        if self.shedding_step == 0 || (green && self.shedding_step < 2) {
            return true;
        }
        let top = self.settings.plans.iter().map(|p| p.priority_factor).fold(f64::MIN, f64::max);
        let differ = self.settings.plans.iter().any(|p| p.priority_factor < top);
        let share =
            if self.shedding_step == LAST_RUNG && differ { 0.0 } else { AMBER[self.shedding_step.min(3)] };
        (differ && self.settings.plans[plan].priority_factor >= top) || self.draw(customer) < share
    }

    fn draw(&self, customer: CustomerId) -> f64 {
        mix(customer.0 ^ (self.now / EPOCH) << 33)
    }

    // ---- 2. The alert: pressure, rungs, and the bound on what is out ----

    fn feel(&mut self, ratio: f64) {
        let keep = decay(self.pressure_at, self.now, PRESSURE_TAU)
            .min(1.0 - LEAST[usize::from(self.report_period == 0)]);
        self.pressure = self.pressure * keep + ratio.min(4.0) * (1.0 - keep);
        self.pressure_at = self.now;
        // Back to where it began at any pressure short of an alert: else a bound once cut stays cut.
        let below = if self.in_flight_per_endpoint < PLACES { ALERT_OFF } else { GROW };
        if self.pressure < below && self.in_flight as f64 > self.limit() * 0.7 {
            self.in_flight_per_endpoint *= 1.0 + 2.0 / self.limit().max(2.0).powi(2);
        }
    }

    /// The bound on what this gateway has out: those left when backends fall must not inherit their load.
    fn limit(&self) -> f64 {
        (self.in_flight_per_endpoint * self.sampling_order.len() as f64 / self.gateway_count as f64).max(1.0)
    }

    /// When a place is expected: the line before it moves by the bound in each usual answer time.
    fn place_in(&self, class: u8) -> Micros {
        let line = 1.0 + (self.waiting.len() as f64 + f64::from(self.in_flight)) / self.limit();
        (self.latency_baselines[usize::from(class)].recent * line) as Micros
    }

    fn step_alert(&mut self, act: &mut Vec<Action>) {
        let (since, rung) = (self.now - self.shedding_step_since, self.shedding_step);
        // Who refuses all that comes hears no answers: what the last ones said holds no alert up for ever.
        if self.in_flight == 0 && self.now > self.pressure_at + RUNG_DOWN {
            self.pressure = 0.0;
        }
        // Refusals alone hold no alert up: cutting causes refusals, and the fleet may be idle behind them.
        let refusing = self.pressure > ALERT_OFF && self.rejection_rate > AWAY;
        if (self.pressure > ALERT_ON || refusing) && since > RUNG_UP && rung < LAST_RUNG {
            self.shedding_step += 1;
        } else if self.pressure < ALERT_OFF && since > RUNG_DOWN && rung > 0 {
            self.shedding_step -= 1;
        }
        if rung != self.shedding_step {
            self.shedding_step_since = self.now;
            let (now, p, limit, out) = (self.shedding_step, self.pressure, self.limit(), self.in_flight);
            let text = format!("ladder: rung {rung} to {now}, pressure {p:.2}, limit {limit:.0}, out {out}");
            act.push(Action::Log(text));
        }
        // One cut in a memory of the pressure: answers sent before a cut must not cause the next one.
        if self.pressure > ALERT_ON && self.now - self.limit_reduced_at > (PRESSURE_TAU * SECOND) as Micros {
            self.in_flight_per_endpoint = (self.in_flight_per_endpoint * 0.85).max(PLACES / 6.0);
            self.limit_reduced_at = self.now;
        }
    }

    // ---- 3. Choice of a backend ----

    fn dispatch(&mut self, act: &mut Vec<Action>) {
        while let Some(id) = self.waiting.front().copied() {
            let ready = self.requests.get(&id).is_some_and(|o| !o.finished && o.out() == 0);
            if ready && (self.in_flight as f64 >= self.limit() || !self.send(id, act)) {
                return;
            }
            self.waiting.pop_front();
        }
    }

    /// How warm a backend is for sure, and whether this gateway alone may send it one more in the rule's
    /// window. Where its part is less than a request, it is drawn who may: one each would be a hundred.
    fn warmth(&self, b: &Backend) -> (f64, bool) {
        let (rules, age) = (&self.settings.rules, self.now.saturating_sub(b.endpoint.started_at));
        if b.endpoint.started_at == 0 || age >= rules.slow_start_window {
            return (1.0, true);
        }
        let warmth = rules.slow_start_min_capacity
            + (1.0 - rules.slow_start_min_capacity) * age as f64 / rules.slow_start_window as f64;
        let span = rules.overload_window.max(1);
        let recent = b.recent_sends.iter().filter(|t| **t + span > self.now).count() as f64;
        let rate = self.send_rate * decay(self.send_rate_at, self.now, RATE_TAU);
        let fair = rate * b.weight / self.ready_weight.max(b.weight) * span as f64 / SECOND;
        let budget = rules.overload_factor * warmth * fair * COLD_MARGIN;
        if budget >= 1.0 {
            return (warmth, recent < budget);
        }
        // Drawn are as many as make up what it can do now; the subset of each holds but a part of the list.
        let (all, me) = (self.sampling_order.len(), u64::from(self.settings.self_id.0));
        let part = all as f64 / all.clamp(1, SUBSET) as f64;
        let window = (self.now + (mix(me) * span as f64) as Micros) / span;
        let lot = mix(b.endpoint.backend.0 ^ window << 48 ^ me << 32);
        (warmth, recent < 1.0 && lot < (warmth * fair * part).max(1.0 / self.gateway_count as f64))
    }

    fn choose(&mut self, id: RequestId) -> Option<BackendId> {
        self.random_state = self.random_state.wrapping_add(1);
        let (noise, now) = (mix(self.random_state), self.now);
        let o = &self.requests[&id];
        let k = usize::from(o.request.class);
        let bound = match (self.settings.classes[k].retry_safety, o.may_have_run()) {
            (RetrySafety::IdempotencyKey { window, .. }, Some(a))
                if now + self.settings.tick >= a.sent_at + window =>
            {
                return None
            }
            (RetrySafety::IdempotencyKey { scope: group, .. }, Some(a)) => Some((group, a.endpoint)),
            _ => None,
        };
        // Two drawn by their weight, and more the more of the load is its own: what many see as the
        // least would be the least for all of them at once.
        let (all, want) =
            (self.sampling_order.len(), 2 + 3 * self.sampling_order.len() / self.gateway_count as usize);
        // Always among the same few: connections seldom used are closed, and made anew at each request.
        let n = if want < all && bound.is_none() { all.min(SUBSET) } else { all };
        // Whom the lot of a cold one falls on sends there first: a lot that is seldom used keeps it idle.
        if n < all && o.attempts.is_empty() {
            let drawn = |id: &&BackendId| {
                let b = self.backends.get(*id).filter(|b| b.health[k].consecutive_ejections == 0);
                b.map(|b| self.warmth(b)).is_some_and(|(warmth, may)| warmth < 1.0 && may)
            };
            if let Some(id) = self.warming_up.iter().find(drawn) {
                return Some(*id);
            }
        }
        let (mut sound, mut sick, mut best) = (0, 0, (f64::MAX, None));
        for step in 0..if want < all { 4 * n } else { n } {
            let bid = self.sampling_order[((noise * n as f64) as usize + step) % n];
            let Some(b) = self.backends.get(&bid) else { continue };
            let fits = bound.map_or(true, |(group, l): (DeduplicationScope, Endpoint)| {
                let (zone, cell) = (b.endpoint.zone == l.zone, b.endpoint.cell == l.cell);
                group == DeduplicationScope::Fleet
                    || (group == DeduplicationScope::Zone && zone)
                    || (group == DeduplicationScope::Cell && cell)
            });
            let tried = o.attempts.iter().any(|a| a.endpoint.backend == bid);
            let (warmth, may) = self.warmth(b);
            let weight = b.weight * warmth / b.relative_latency * all as f64 / self.ready_weight / 2.0;
            if !fits || !may || (want < all && mix(self.random_state ^ (step as u64) << 40) > weight) {
                continue;
            }
            // Failing connections are laid to the zone as well: it may be cut off, with all that is in it.
            let zone = self.zone_health.get(&b.endpoint.zone).map_or(0.0, |z| z.doubt(now));
            let (h, doubt) = (&b.health[k], b.health[k].doubt(now).max(zone));
            let resting = h.consecutive_ejections > 0 && (now < h.ejected_until || b.in_flight > 0);
            let jitter = 1.0 + 0.1 * ((noise + step as f64 * 0.618_034) % 1.0);
            let far = if b.endpoint.zone == self.settings.zone { 1.0 } else { 1.05 };
            let load = f64::from(b.in_flight)
                + 1.0
                + b.queued * decay(b.queued_at, now, PRESSURE_TAU) / self.gateway_count.min(4) as f64;
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
            self.retry_budget =
                (self.retry_budget + RETRY_SHARE).min((RETRY_STORE / self.gateway_count as f64).max(1.0));
        }
        self.customers.entry(o.request.customer).and_modify(|c| c.in_flight += 1);
        // Backends remember a key for as long as this; a connection may come up long after the choice.
        let begin_by =
            match (self.settings.classes[usize::from(o.request.class)].retry_safety, o.may_have_run()) {
                (RetrySafety::IdempotencyKey { window, .. }, Some(a)) => {
                    (a.sent_at + window).saturating_sub(self.settings.tick)
                }
                _ => 0,
            };
        let patience = o.patience(self.settings.classes[usize::from(o.request.class)].latency_objective);
        self.checks.push(Reverse((now + (patience * SILENCE) as Micros, id)));
        self.in_flight += 1;
        if let Some(b) = self.backends.get_mut(&bid) {
            o.attempts.push(Attempt {
                endpoint: b.endpoint,
                sent_at: now,
                in_flight: true,
                cancelled: false,
                never_ran: false,
            });
            b.in_flight += 1;
            // Oldest first: a walk over all of them, at each send, would grow with the square of the load.
            while b.recent_sends.front().is_some_and(|t| *t + self.settings.rules.overload_window <= now) {
                b.recent_sends.pop_front();
            }
            b.recent_sends.push_back(now);
        }
        act.push(Action::StartAttempt { id, backend: bid, give_up_at: 0, start_by: begin_by });
        true
    }

    // ---- 4. Answers: health, further attempts, the final answer ----

    /// An answer's lesson; one that a peer had (`own` false) counts, but rests nobody.
    fn learn(&mut self, bid: BackendId, class: usize, took: Option<f64>, own: bool) {
        let (now, aim) = (self.now, self.settings.classes[class].latency_objective.max(1) as f64);
        let Some(b) = self.backends.get_mut(&bid) else { return };
        b.health[class].note(now, took.is_none(), if own { 0.15 } else { 0.1 });
        if own && self.report_period == 0 && class <= MAX_CLASS {
            let sample = Sample { tag: tag(bid.0), class: class as u8, elapsed: took.map(|t| t / aim) };
            self.samples.push_front((now, sample));
            self.samples.truncate(MAX_SAMPLES);
        }
        let Some(took) = took.filter(|_| now != self.resumed_at) else { return };
        let u = &mut self.latency_baselines[class];
        let step = if self.report_period > 0 {
            0.1
        } else {
            (1.0 - decay(b.relative_latency_at, now, SLOW_TAU)).max(0.1)
        };
        b.relative_latency =
            (b.relative_latency + step * ((took / u.recent.max(1.0)).min(4.0) - b.relative_latency)).max(0.3);
        b.relative_latency_at = now;
        u.samples += 1.0;
        u.recent += (took - u.recent) / u.samples.min(20.0);
        // Down at once, up by a percent a second: half a minute of overload must not pass for calm.
        let creep = 1.0 + (now - u.updated_at) as f64 / SECOND * CALM_CREEP;
        // The least of a mean lies the further below it the fewer answers it is of: gateways of a large fleet
        // took, each by its own luck, a third to two thirds of the true time for calm, and stood on rungs.
        let over = CALM_OVER[usize::from(self.report_period == 0)];
        u.mean += (took - u.mean) / u.samples.min(over);
        u.unloaded = if u.samples <= over { u.mean.min(aim * 0.3) } else { u.mean.min(u.unloaded * creep) };
        u.updated_at = now;
        let blind = if self.report_period == 0 { BLIND } else { 1.0 };
        let norm = (u.unloaded * CALM_MULTIPLE * blind).min(aim * AIM_SHARE);
        self.feel(took / norm.max(1.0));
    }

    fn on_answer(&mut self, bid: BackendId, outcome: Outcome, took: Micros, class: Option<usize>) {
        let (Some(b), Some(class)) = (self.backends.get_mut(&bid), class) else { return };
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut) {
            return;
        }
        let now = self.now;
        let bad = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        let reached = outcome != Outcome::ConnectFailed;
        self.zone_health.entry(b.endpoint.zone).or_default().note(
            now,
            !reached,
            if reached { 1.0 } else { 0.3 },
        );
        let h = &mut b.health[class];
        h.last_answer_at = now;
        if outcome == Outcome::Rejected {
            b.queued += self.gateway_count as f64;
            return self.feel(2.0);
        }
        let sick = h.doubt(now) * 0.85 + if bad { 0.15 } else { 0.0 } > SICK_ERRORS;
        if bad && (sick || h.consecutive_ejections > 0) {
            h.rest(now);
        } else if !bad && !sick {
            h.consecutive_ejections = 0;
        }
        self.learn(bid, class, (!bad).then_some(took as f64), true);
    }

    fn on_settled(&mut self, event: Event, act: &mut Vec<Action>) {
        let Event::AttemptFinished {
            id,
            attempt,
            backend,
            outcome,
            answered: complete,
            elapsed: took,
            charged_units: charged,
            report,
            ..
        } = event
        else {
            return;
        };
        let class = self.requests.get(&id).map(|o| usize::from(o.request.class));
        self.on_answer(backend, outcome, took, class);
        if let (Some(b), Some(queue)) = (self.backends.get_mut(&backend), report.and_then(|r| r.queued)) {
            (b.queued, b.queued_at) = (queue.clamp(0.0, 1000.0), self.now);
        }
        let Some(o) = self.requests.get_mut(&id) else { return };
        let Some(a) = o.attempts.get_mut(usize::from(attempt)).filter(|a| a.in_flight) else { return };
        (a.in_flight, a.never_ran) = (false, outcome.never_ran());
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(b) = self.backends.get_mut(&a.endpoint.backend) {
            b.in_flight = b.in_flight.saturating_sub(1);
        }
        let (customer, units) = (o.request.customer, o.request.units);
        let more = charged.filter(|_| self.settings.post_paid).map_or(0.0, |u| u - units);
        let mut news = more != 0.0;
        if let Some(c) = self.customers.get_mut(&customer) {
            (c.in_flight, c.tokens, c.used_units) =
                (c.in_flight.saturating_sub(1), c.tokens - more, c.used_units + more);
            news |= self.settings.plans[c.plan].max_in_flight > 0;
        }
        o.finished |= complete || outcome == Outcome::Ok;
        if o.finished {
            self.on_gone(id, act);
        } else if o.out() == 0 {
            // What broke early did little work: its repeat takes its place rather than adding to the load.
            // Else a network that breaks one in six uses the budget up. Turned away or late: in full.
            let early = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
            let usual = class.map_or(0.0, |k| self.latency_baselines[k].unloaded).max(1.0);
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
        let class = &self.settings.classes[usize::from(o.request.class)];
        let allowed = class.retry_safety != RetrySafety::NotIdempotent || o.may_have_run().is_none();
        let useful =
            self.now + self.settings.tick < (o.arrived_at + class.latency_objective).min(o.request.deadline);
        let room = (o.attempts.len() as u32) < self.settings.limits.max_attempts;
        let single = o.out() == 0 || self.settings.limits.hedging;
        let sent = allowed && useful && room && single && self.retry_budget >= cost && self.send(id, act);
        self.retry_budget -= if sent { cost } else { 0.0 };
        sent
    }

    /// The final answer of a request that is not served: refused where that is true, else failed.
    fn finish(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get(&id) else { return };
        let repeat = self.settings.classes[usize::from(o.request.class)].retry_safety;
        if matches!(
            repeat,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey { scope: DeduplicationScope::Fleet, .. }
        ) || o.may_have_run().is_none()
        {
            self.refuse(id, self.place_in(o.request.class), act);
        } else {
            act.push(Action::Fail(id));
        }
        self.on_gone(id, act);
    }

    /// A request has ended: calls off what is out, forgets it once all is settled.
    fn on_gone(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else { return };
        o.finished = true;
        o.call_off(None, self.settings.limits.cancellation && !o.streaming, act);
        if o.out() == 0 {
            let (req, unsent, held) = (o.request, o.attempts.is_empty(), o.awaiting_owner);
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
        let ready = |p: &u16| self.peers.get(p).is_some_and(|p| p.next_message_at <= now);
        let ready: Vec<u16> = self.peers_to_notify.iter().copied().filter(ready).collect();
        ready.into_iter().for_each(|p| self.flush(p, act));
        self.sweep();
        if self.settings.discovery == Discovery::Poll && now >= self.next_poll {
            self.next_poll = now + (self.settings.rules.max_poll_interval / 2).max(1);
            act.push(Action::WatchEndpoints(true));
        }
    }

    /// Whether a request has the time to be held for two wake-ups.
    fn may_wait(&self, o: &InFlightRequest, now: Micros) -> bool {
        now + 2 * WAKE_TICKS * self.settings.tick <= o.request.deadline
    }

    /// Ends a request that has waited for a place for as long as it may; true if it need not wait.
    fn give_up(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let Some(o) = self.requests.get(&id).filter(|o| !o.finished && o.out() == 0) else { return true };
        let patience = o.patience(self.settings.classes[usize::from(o.request.class)].latency_objective);
        let end = self.now > o.arrived_at + (patience * HOLD) as Micros || !self.may_wait(o, self.now);
        if end {
            self.finish(id, act);
        }
        end
    }

    fn check(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let now = self.now;
        if let Some(o) = self.requests.get(&id).filter(|o| o.awaiting_owner) {
            let (until, customer) = (self.word_by(o), o.request.customer);
            if now >= until {
                return self.admit(id, true, act); // the homes said nothing in time: by what is known here
            }
            self.checks.push(Reverse((until, id)));
            let pools =
                self.customers.get(&customer).map_or([self.settings.self_id.0; 2], |c| c.hard_limit_owners);
            return pools.into_iter().for_each(|h| self.ask(customer, h, act));
        }
        let Some(o) = self.requests.get_mut(&id).filter(|o| !o.finished && !o.streaming) else { return };
        let k = usize::from(o.request.class);
        let (once, patience) = (
            self.settings.classes[k].retry_safety == RetrySafety::NotIdempotent,
            o.patience(self.settings.classes[k].latency_objective),
        );
        let Some(a) = o.attempts.iter_mut().rev().find(|a| a.in_flight && !a.cancelled) else { return };
        let (bid, hedge_at) = (a.endpoint.backend, a.sent_at + (patience * HEDGE) as Micros);
        // The check of a hold, or of an attempt before, is early for this one, which has its own: it would
        // call off sound attempts and rest sound backends.
        if now < a.sent_at + (patience * SILENCE) as Micros {
            return;
        }
        let Some(b) = self.backends.get_mut(&bid) else { return };
        let silent = b.health[k].last_answer_at < a.sent_at;
        // One of many gateways seldom hears from a backend at all: there it takes what peers found as well.
        let sure = silent && (self.report_period > 0 || b.health[k].doubt(now) > DOUBTED);
        let (hedge, limits) = ((sure || self.shedding_step == 0) && !once, &self.settings.limits);
        if hedge && !limits.hedging && sure && limits.cancellation && self.retry_budget >= 1.0 {
            o.call_off(None, true, act);
        }
        if silent && (sure || now < hedge_at) && now >= b.health[k].ejected_until {
            if sure {
                b.health[k].rest(now);
            }
            self.learn(bid, k, None, true);
        }
        if !sure && now < hedge_at {
            return self.checks.push(Reverse((hedge_at, id)));
        }
        if hedge && self.settings.limits.hedging {
            self.again(id, 1.0, act);
        }
    }

    // ---- 6. Peers: use told to homes, their word, hints ----

    /// Puts a customer on the way to those of its homes that are to hear of it.
    fn report(&mut self, id: CustomerId, hears: impl Fn(u16) -> bool) {
        let Some(c) = self.customers.get(&id).filter(|_| self.settings.limits.gossip) else { return };
        // Told twice where a lost end would hold a place for long.
        let times = 1 + u8::from(self.settings.plans[c.plan].max_in_flight > 0);
        for home in c.owners.iter().copied().filter(|h| *h != self.settings.self_id.0 && hears(*h)) {
            let entry = self.peers.entry(home).or_default().outbox.entry(id).or_default();
            *entry = (times, entry.1);
            self.peers_to_notify.insert(home);
        }
    }

    fn post(&mut self, to: u16, body: Body, act: &mut Vec<Action>) {
        let now = self.now;
        self.samples.retain(|s| now < s.0 + (PRESSURE_TAU * SECOND) as Micros); // as long as it weighs
        let samples = self.samples.iter().map(|s| s.1).collect();
        let p = self.peers.entry(to).or_default();
        p.last_sent = p.last_sent.wrapping_add(1);
        p.next_message_at = now + self.report_period;
        let bytes =
            Message { incarnation: incarnation(self.started_at), sequence: p.last_sent, samples, body }
                .pack();
        act.push(Action::SendGossip { to: Some(GatewayId(to)), bytes });
    }

    /// Sends a peer what waits for it, as much as a message holds.
    fn flush(&mut self, to: u16, act: &mut Vec<Action>) {
        let Some(p) = self.peers.get_mut(&to) else { return };
        // Round from where the last message ended: else the last ids go untold when more change than fit.
        let round =
            p.outbox.range(p.last_reported..).chain(p.outbox.range(..p.last_reported)).take(MAX_REPORTS);
        let list: Vec<(CustomerId, (u8, bool))> = round.map(|(c, o)| (*c, *o)).collect();
        p.last_reported = list.last().map_or(p.last_reported, |(id, _)| CustomerId(id.0 + 1));
        p.outbox.extend(list.iter().map(|(id, o)| (*id, (o.0 - 1, false))));
        p.outbox.retain(|_, o| o.0 > 0);
        if p.outbox.is_empty() {
            self.peers_to_notify.remove(&to);
        }
        let (mut uses, now, me) = (Vec::new(), self.now, self.settings.self_id.0);
        for (customer, (_, ask)) in list {
            let Some(c) = self.fill(customer) else { continue };
            let known = c.is_owner || now - c.owner_reply_at.min(now) < AGING / 10;
            // One of the two is asked for ceiling units, by lot: two gifts would waste one.
            let at = c.hard_limit_owners[usize::from(mix(now ^ customer.0) < 0.5)];
            let short = ask && c.hard_limit_requested && (at == to || c.hard_limit_owners.contains(&me));
            let (first, width, units) = (c.first_gateway, c.gateway_count as u16, c.requested_units);
            let (total, open, plan, level) =
                (wrap(c.used_units), c.in_flight.min(127) as u8, c.plan, c.tokens);
            let full =
                (level / self.settings.plans[plan].quota_burst.max(1e-9) * 254.0).clamp(0.0, 254.0) as u8;
            let (plan, level) = (plan.min(MAX_PLAN) as u8, if known { full } else { 255 });
            uses.push(UsageReport {
                customer,
                plan,
                total_units: total,
                in_flight: open,
                fill_level: level,
                first_gateway: first,
                gateway_count: width,
                wants_reply: ask,
                requested_units: units,
                wants_hard_limit_tokens: short,
            });
        }
        self.post(to, Body::Reports(uses), act);
    }

    /// What is done once a second: what is long out is told again, what is old is forgotten.
    fn sweep(&mut self) {
        let (now, plans, mut again) = (self.now, &self.settings.plans, Vec::new());
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SECOND as Micros;
        self.customers.retain(|id, c| {
            let p = &plans[c.plan];
            if p.max_in_flight > 0 && c.is_owner {
                // Attempts of a peer that fell silent hold no place for ever.
                c.usage_by_peer
                    .values_mut()
                    .filter(|h| now - h.heard_at > 1_500_000)
                    .for_each(|h| h.in_flight = 0);
                c.peers_in_flight = c.usage_by_peer.values().map(|h| u32::from(h.in_flight)).sum();
            }
            if p.max_in_flight > 0 && c.in_flight > 0 {
                again.push(*id);
            }
            c.usage_by_peer.retain(|_, h| now - h.heard_at <= 2 * AGING);
            // Kept until both stores are full for sure: a customer met anew starts with full ones.
            let full =
                (p.quota_burst / p.quota_rate).max(p.hard_limit_burst / p.hard_limit_rate).clamp(0.0, 1e6); // NaN: 0 / 0
            c.in_flight > 0
                || !c.awaiting_owner.is_empty()
                || now - c.last_request_at <= 2 * AGING.max((full * SECOND) as Micros)
        });
        again.into_iter().for_each(|id| self.report(id, |_| true));
    }

    fn on_peer(&mut self, from: GatewayId, bytes: &[u8], act: &mut Vec<Action>) {
        let Some(m) = Message::unpack(bytes) else { return };
        let (now, mine) = (self.now, incarnation(self.started_at));
        if from == self.settings.self_id || from.0 >= self.settings.gateways {
            return;
        }
        self.older_peer_seen |= later(mine, m.incarnation.wrapping_add(ELDER));
        let peer = self.peers.entry(from.0).or_default();
        if peer.incarnation != m.incarnation {
            if peer.incarnation != 0 && later(peer.incarnation, m.incarnation) {
                return; // from before its restart
            }
            // PeerUsage for the first time it has not started anew: to tell it again would undo its promise.
            let anew = peer.incarnation != 0 || self.report_period > 0;
            (peer.incarnation, peer.last_received) = (m.incarnation, m.sequence.wrapping_sub(1));
            for (id, c) in self.customers.iter_mut().filter(|_| anew) {
                if let Some(h) = c.usage_by_peer.remove(&from.0) {
                    c.peers_in_flight -= u32::from(h.in_flight).min(c.peers_in_flight);
                }
                if c.owners.contains(&from.0) && now - c.last_request_at < AGING / 5 {
                    peer.outbox.insert(*id, (1, false)); // a home that starts knows nothing: it is told once
                    self.peers_to_notify.insert(from.0);
                }
            }
        }
        if m.sequence.wrapping_sub(peer.last_received) as i16 <= 0 {
            return; // a repeat, or overtaken
        }
        peer.last_received = m.sequence;
        for s in m.samples {
            let class = usize::from(s.class);
            if let (Some(bid), Some(k)) =
                (self.endpoints_by_tag.get(&s.tag), self.settings.classes.get(class))
            {
                self.learn(*bid, class, s.elapsed.map(|t| t * k.latency_objective as f64), false);
            }
        }
        match m.body {
            Body::Reports(uses) => {
                let news =
                    uses.into_iter().filter_map(|u| self.on_use(from.0, !later(mine, m.incarnation), u));
                let news: Vec<OwnerReply> = news.collect();
                if !news.is_empty() {
                    self.post(from.0, Body::Replies(m.incarnation, news), act);
                }
            }
            // Only to the incarnation it was meant for, and by its number only once: a repeat mints nothing.
            Body::Replies(to, _) if to != mine => {}
            Body::Replies(_, news) => news.into_iter().for_each(|n| self.on_news(from.0, n, act)),
        }
    }

    /// A gateway told its use of a customer; the answer if it asked.
    fn on_use(&mut self, from: u16, younger: bool, u: UsageReport) -> Option<OwnerReply> {
        let (now, life) = (self.now, (self.now - self.started_at) as f64 / SECOND);
        let plan = self.settings.plans.get(usize::from(u.plan))?;
        let (burst, cap, told) =
            (plan.quota_burst, plan.max_in_flight, f64::from(u.fill_level) / 254.0 * plan.quota_burst);
        let (least, refill) =
            (if self.report_period > 0 { 0.0 } else { -burst }, burst / plan.quota_rate.max(1e-9));
        let level = if u.fill_level < 255 { told } else { (plan.quota_rate * life).min(burst) };
        // Told of a customer that never came here: the sender's view, or what has filled since this start.
        let new =
            || Customer { plan: usize::from(u.plan), tokens: level, refilled_at: now, ..Customer::default() };
        self.customers.entry(u.customer).or_insert_with(new);
        self.settle_in(u.customer, u.first_gateway, u.gateway_count);
        let c = self.fill(u.customer)?;
        if c.plan != usize::from(u.plan) || !c.is_owner {
            return None; // not a home of this one
        }
        c.last_request_at = c.last_request_at.max(now);
        let known = c.usage_by_peer.contains_key(&from);
        let h = c.usage_by_peer.entry(from).or_default();
        let mut delta = gone_by(h.total, u.total_units);
        if !known && !younger && delta.abs() > burst / 4.0 {
            delta = 0.0; // its count is older than this start: its view of the store is what is left to go by
            if u.fill_level < 255 {
                c.tokens = c.tokens.min((told - c.used_units).max(0.0));
            }
        } else if delta < -burst {
            delta = 0.0; // it counts anew
        }
        // PeerUsage after the time in which a store fills, use is spread over that silence: most of it has filled
        // again, and what went beyond the quota drew nothing. After a cut of 6 s all ingresses told in turn
        // what they had let through unheard, and homes took it for new: 30% refused with room for 10 s more.
        let (silence, before) = ((now - h.heard_at.min(now)) as f64 / SECOND, c.tokens + h.reserved);
        let late = known && silence > refill && delta > h.reserved;
        if late {
            delta = h.reserved + (delta - h.reserved) * refill / silence;
        }
        c.tokens = (before - delta).clamp(if late { before.min(0.0).max(least) } else { least }, burst);
        h.rate = (h.rate * decay(h.heard_at, now, RATE_TAU) + delta / RATE_TAU).max(0.0);
        c.peer_rate = (c.peer_rate + delta / RATE_TAU).max(0.0);
        let others = c.in_flight + c.peers_in_flight.saturating_sub(u32::from(h.in_flight));
        // Where there is room it is taken as used at once: others ask before the asker's next message comes.
        let free = u.wants_reply
            && (burst == 0.0 || c.tokens >= u.requested_units)
            && (cap == 0 || others + u32::from(u.in_flight) < cap);
        let open = u.in_flight + u8::from(free && u.in_flight < 127);
        c.peers_in_flight = others - c.in_flight + u32::from(open);
        (h.total, h.heard_at, h.in_flight) = (u.total_units, now, open);
        let (level, its) = (c.tokens, h.rate); // what is promised is the asker's: its word is before it
        h.reserved = if free { u.requested_units } else { 0.0 };
        c.tokens -= h.reserved;
        // Ceiling units are deducted here first: a lost message loses them.
        let gift = if u.wants_reply && u.wants_hard_limit_tokens && c.hard_limit_tokens >= u.requested_units {
            whole_parts(u.requested_units)
        } else {
            0.0
        };
        c.hard_limit_tokens -= gift;
        let (rate, open) = ((c.use_rate + c.peer_rate - its).max(0.0), others.min(127) as u8);
        let (customer, yours) = (u.customer, u.total_units);
        u.wants_reply.then_some(OwnerReply {
            customer,
            your_total: yours,
            tokens: level,
            peer_rate: rate,
            peers_in_flight: open,
            transferred_tokens: gift,
        })
    }

    /// A home's word on a customer: the store is what it says, less what it cannot have heard.
    fn on_news(&mut self, from: u16, n: OwnerReply, act: &mut Vec<Action>) {
        let (now, me, few, mine) =
            (self.now, self.settings.self_id.0, self.report_period > 0, incarnation(self.started_at));
        let p = self.peers.entry(from).or_default();
        let lately = incarnation(now).wrapping_sub(p.incarnation) < (AGING / 1000) as u32;
        let young = lately && later(p.incarnation, mine.wrapping_add(ELDER));
        p.unanswered = 0;
        let Some(plan) = self.customers.get(&n.customer).map(|c| c.plan) else { return };
        let (burst, cap) = (self.settings.plans[plan].quota_burst, self.settings.plans[plan].max_in_flight);
        let Some(c) = self.fill(n.customer).filter(|c| c.owners.contains(&from)) else { return };
        if (burst == 0.0 || n.tokens >= c.requested_units)
            && (cap == 0 || u32::from(n.peers_in_flight) + c.in_flight < cap)
        {
            c.owners_reserving.push(from);
        }
        if !c.is_owner {
            (c.peer_rate, c.peers_in_flight, c.owner_reply_at) =
                (n.peer_rate, u32::from(n.peers_in_flight), now);
            c.tokens = n.tokens - gone_by(n.your_total, wrap(c.used_units));
        }
        c.owners_replied.push(from);
        // A gift is for the request that waits: late ones lapse, or a full store would hold more than full.
        if now - c.owners_asked_at < GIFT_LIFE {
            c.transferred_tokens += n.transferred_tokens;
        }
        let (held, customer, pools) = (c.awaiting_owner.clone(), n.customer, c.hard_limit_owners);
        let (said, short) = (c.owners_replied.clone(), c.hard_limit_requested);
        // The first home's no will do, unless it started so lately that it knows too little.
        let chief = from == pools[0] || self.away(pools[0]);
        let all = pools.iter().all(|h| *h == me || said.contains(h) || self.away(*h));
        let all = all || (!few && !young && chief && !short);
        held.iter().for_each(|id| self.admit(*id, all, act));
        if held.iter().any(|id| self.requests.get(id).is_some_and(|o| o.awaiting_owner)) {
            pools.into_iter().for_each(|h| self.ask(customer, h, act));
        }
    }

    // ---- 7. The list of backends ----

    fn on_roster(&mut self, kind: EndpointUpdate, list: Vec<Endpoint>, act: &mut Vec<Action>) {
        if kind == EndpointUpdate::Failed {
            return self.next_poll =
                self.next_poll.min(self.now + (self.settings.rules.max_poll_interval / 8).max(1));
        }
        if kind != EndpointUpdate::Delta {
            self.backends.values_mut().for_each(|b| b.ready = false); // absent from a whole list: gone
        }
        let health = vec![Health::default(); self.settings.classes.len()];
        for l in list {
            let b = self.backends.entry(l.backend).or_default();
            if b.health.is_empty() || l.started_at != b.endpoint.started_at {
                (b.relative_latency, b.health, b.queued) = (1.0, health.clone(), 0.0);
                // a new process, a new record
            }
            b.endpoint = l;
            let sized = self.settings.weight_meaning == WeightMeaning::Capacity
                && l.weight.is_finite()
                && l.weight > 0.0;
            b.weight = if sized { l.weight } else { 1.0 };
            b.ready = l.availability == Availability::Ready;
        }
        self.backends.retain(|_, b| b.ready || b.in_flight > 0);
        let ready: Vec<&Backend> = self.backends.values().filter(|b| b.ready).collect();
        self.ready_weight = ready.iter().map(|b| b.weight).sum();
        self.sampling_order = ready.iter().map(|b| b.endpoint.backend).collect();
        self.endpoints_by_tag = self.sampling_order.iter().map(|id| (tag(id.0), *id)).collect();
        let place = |id: &BackendId| mix(id.0 ^ u64::from(self.settings.self_id.0) << 48);
        self.sampling_order.sort_by(|a, b| place(a).total_cmp(&place(b)));
        let cold = |id: &&BackendId| self.backends.get(id).is_some_and(|b| self.warmth(b).0 < 1.0);
        self.warming_up = self.sampling_order.iter().take(SUBSET).filter(cold).copied().collect();
        self.dispatch(act);
    }
}
