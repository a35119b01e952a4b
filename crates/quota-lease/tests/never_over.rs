//! Owners, voters and holders with clocks that differ, messages that are lost, late, doubled and overtake each other,
//! instances that are killed, started again, stopped, and cut off; and one who counts every unit that is spent.

use chalkgap_quota_lease::{Ask, Candidate, Grant, Holder, Limit, Micros, Owner, Terms, Units, Voter};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const TERMS: Terms = Terms { term: 2_000 * MS, drift: 20 };
const COUNT: u16 = 5;

#[derive(Clone, Copy)]
enum Word {
    Stand { question: u64, epoch: u64 },
    Vote(chalkgap_quota_lease::slot::Vote),
    Want { ask: Ask, units: Units },
    Give { question: u64, grant: Grant },
    Back { grant: Grant, spent: Units },
}

struct Instance {
    voter: Voter,
    candidate: Candidate,
    owner: Option<Owner>,
    holder: Holder,
    /// Who granted last.
    owner_is: Option<u16>,
    /// Parts of a thousand that its clock runs by.
    pace: u64,
    stopped: Micros,
}

/// What goes wrong with the two rules that make an owner, to see that the count finds it.
#[derive(Clone, Copy, PartialEq)]
enum Plant {
    None,
    /// Whoever stands is the owner at once, whatever others say.
    TwoOwners,
    /// Holders spend what they hold long after its term.
    Stale,
}

struct World {
    rng: SmallRng,
    now: Micros,
    all: Vec<Instance>,
    post: BTreeMap<(Micros, u64), (u16, u16, Word)>,
    set: u64,
    parts: Option<u16>,
    plant: Plant,
    /// Troubles a second.
    rough: f64,
    /// Nobody wants anything for four seconds, then all do for as long.
    strokes: bool,
    limit: Limit,
    /// The counter's own store, filled by the fastest clock that there is.
    level: f64,
    counted: Micros,
    spent: u64,
    wanted: u64,
    least: f64,
}

impl World {
    fn new(seed: u64, plant: Plant, rough: f64, limit: Limit) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let all = (0..COUNT).map(|n| World::instance(n, 0, rng.random_range(990..=1010), plant)).collect();
        World {
            rng,
            now: 0,
            all,
            post: BTreeMap::new(),
            set: 0,
            parts: None,
            plant,
            rough,
            strokes: false,
            limit,
            level: limit.burst as f64,
            counted: 0,
            spent: 0,
            wanted: 0,
            least: limit.burst as f64,
        }
    }

    fn instance(n: u16, now: Micros, pace: u64, plant: Plant) -> Instance {
        let held = if plant == Plant::Stale { Terms { term: 20 * TERMS.term, ..TERMS } } else { TERMS };
        let own = now * pace / 1000;
        Instance {
            voter: Voter::new(TERMS, own),
            candidate: Candidate::new(TERMS, usize::from(COUNT), u32::from(n)),
            owner: None,
            holder: Holder::new(n, held, now),
            owner_is: None,
            pace,
            stopped: 0,
        }
    }

    fn own(&self, n: u16) -> Micros {
        self.now * self.all[usize::from(n)].pace / 1000
    }

    fn send(&mut self, from: u16, to: u16, word: Word) {
        let apart = self.parts.is_some_and(|p| (from < p) != (to < p));
        if apart || self.rng.random::<f64>() < 0.1 {
            return;
        }
        for _ in 0..1 + u64::from(self.rng.random::<f64>() < 0.1) {
            // Some are later than any term.
            let most = if self.rng.random::<f64>() < 0.02 { 6_000 } else { 40 };
            let at = self.now + self.rng.random_range(1..=most) * MS;
            self.set += 1;
            self.post.insert((at, self.set), (from, to, word));
        }
    }

    fn hear(&mut self, from: u16, to: u16, word: Word) {
        let own = self.own(to);
        let me = &mut self.all[usize::from(to)];
        match word {
            Word::Stand { question, epoch } => {
                let vote = me.voter.ask(own, to, from, question, epoch);
                self.send(to, from, Word::Vote(vote));
            }
            Word::Vote(vote) => {
                if let Some((epoch, until)) = me.candidate.vote(own, vote) {
                    let limit = self.limit;
                    self.own_it(to, epoch, until, limit);
                }
            }
            Word::Want { ask, units } => {
                me.candidate.saw(ask.epoch);
                let owns = me.candidate.owns(own).is_some() || self.plant == Plant::TwoOwners;
                let grant =
                    me.owner.as_mut().filter(|_| owns).and_then(|o| o.grant(own, from, &ask, units).ok());
                if let Some(mut grant) = grant {
                    if self.plant == Plant::TwoOwners {
                        // As if nobody looked at it: each is newer than the last.
                        self.set += 1;
                        grant.epoch = self.set;
                    }
                    self.send(to, from, Word::Give { question: ask.question, grant });
                }
            }
            Word::Give { question, grant } => {
                if me.holder.take(own, question, grant) {
                    me.owner_is = Some(from);
                }
            }
            Word::Back { grant, spent } => {
                if let Some(owner) = &mut me.owner {
                    let epoch = if self.plant == Plant::TwoOwners { owner.epoch() } else { grant.epoch };
                    owner.give_back(own, Grant { epoch, ..grant }, spent);
                }
            }
        }
    }

    fn own_it(&mut self, n: u16, epoch: u64, until: Micros, limit: Limit) {
        let own = self.own(n);
        let me = &mut self.all[usize::from(n)];
        match &mut me.owner {
            Some(o) if o.epoch() == epoch => o.renew(until),
            other => {
                *other = Some(Owner::new(limit, TERMS, epoch, own, until));
            }
        }
    }

    fn step(&mut self) {
        self.now += MS;
        while let Some(entry) = self.post.first_entry().filter(|e| e.key().0 <= self.now) {
            let (key, (from, to, word)) = entry.remove_entry();
            let stopped = self.all[usize::from(to)].stopped;
            if stopped > self.now {
                self.post.insert((stopped, key.1), (from, to, word)); // it waits in the socket
            } else {
                self.hear(from, to, word);
            }
        }
        for n in 0..COUNT {
            if self.all[usize::from(n)].stopped <= self.now {
                self.act(n);
            }
        }
        if self.rng.random::<f64>() < self.rough / 1000.0 {
            self.trouble();
        }
    }

    fn act(&mut self, n: u16) {
        let own = self.own(n);
        let me = &mut self.all[usize::from(n)];
        // Two would own the slot; each stands again well within its term.
        if n < 2 && self.rng.random::<f64>() < 1.0 / 400.0 {
            let stands = me.candidate.stand(own);
            if self.plant == Plant::TwoOwners {
                let (epoch, limit) = (1 + u64::from(n), self.limit);
                self.own_it(n, epoch, own + TERMS.term, limit);
            } else if let Some((question, epoch)) = stands {
                (0..COUNT).for_each(|to| self.send(n, to, Word::Stand { question, epoch }));
            }
        }
        let me = &mut self.all[usize::from(n)];
        // In strokes: what was saved up in between is wanted at once.
        let stroke = self.strokes && self.now / (4_000 * MS) % 2 == 0;
        let times = if !self.strokes {
            4.0
        } else if stroke {
            20.0
        } else {
            0.0
        };
        let busy = times * self.limit.rate as f64 / f64::from(COUNT) / 1000.0;
        if self.rng.random::<f64>() < busy {
            self.wanted += 1;
            if me.holder.spend(own, 1) {
                self.count(1.0);
            }
        }
        let me = &mut self.all[usize::from(n)];
        if me.holder.left(own) < 3 && self.rng.random::<f64>() < 0.02 {
            let Some(ask) = me.holder.ask(own) else { return };
            let done = me.holder.done();
            // Whoever granted last, unless it says nothing any more.
            let chance = self.rng.random::<f64>() < 0.1;
            let to = me.owner_is.filter(|_| !chance).unwrap_or(self.rng.random_range(0..2));
            for (grant, spent) in done {
                (0..2).for_each(|to| self.send(n, to, Word::Back { grant, spent }));
            }
            self.send(n, to, Word::Want { ask, units: 6 });
        }
        if self.rng.random::<f64>() < 0.0005 {
            for (grant, spent) in self.all[usize::from(n)].holder.give_up() {
                (0..2).for_each(|to| self.send(n, to, Word::Back { grant, spent }));
            }
        }
    }

    fn trouble(&mut self) {
        let n = self.rng.random_range(0..COUNT);
        match self.rng.random_range(0..4) {
            0 => {
                let pace = self.all[usize::from(n)].pace;
                self.all[usize::from(n)] = World::instance(n, self.now, pace, self.plant);
            }
            1 => self.all[usize::from(n)].stopped = self.now + self.rng.random_range(0..5_000) * MS,
            2 => self.parts = Some(self.rng.random_range(1..COUNT)),
            _ => self.parts = None,
        }
    }

    fn count(&mut self, units: f64) {
        // Clocks run by a hundredth faster than the counter's at most.
        let came = (self.now - self.counted) as f64 / 1e6 * self.limit.rate as f64 * 1.01;
        self.level = (self.level + came).min(self.limit.burst as f64) - units;
        self.counted = self.now;
        self.spent += units as u64;
        self.least = self.least.min(self.level);
    }
}

/// The least that the counter's store ever had, and how much was spent.
fn play(seed: u64, plant: Plant, rough: f64, limit: Limit, seconds: u64) -> (f64, u64) {
    let mut world = World::new(seed, plant, rough, limit);
    world.strokes = seed % 2 == 1;
    (0..seconds * 1000).for_each(|_| world.step());
    (world.least, world.spent)
}

const LIMITS: [Limit; 3] =
    [Limit { rate: 20, burst: 20 }, Limit { rate: 5, burst: 40 }, Limit { rate: 1, burst: 1 }];

#[test]
fn a_limit_is_never_passed_whatever_fails() {
    // Odd seeds in strokes: there the share that is spent says less.
    for (limit, rough) in LIMITS.into_iter().flat_map(|l| [(l, 0.0), (l, 0.07), (l, 0.5)]) {
        let (mut least, mut spent) = (f64::INFINITY, 0);
        for seed in 0..30 {
            let (low, used) = play(seed, Plant::None, rough, limit, 120);
            assert!(low > -1e-6, "{limit:?}, seed {seed}: {low} units");
            (least, spent) = (least.min(low), spent + used);
        }
        let share = spent as f64 / (30.0 * 120.0 * limit.rate as f64);
        println!(
            "{limit:?}, {rough} troubles a second: least {least:.2} units left, {:.0}% spent",
            100.0 * share
        );
        assert!(spent > 0);
    }
}

#[test]
fn two_owners_at_once_and_spending_after_the_term_are_found() {
    for plant in [Plant::TwoOwners, Plant::Stale] {
        let found = (0..60).filter(|seed| play(*seed, plant, 0.2, LIMITS[0], 300).0 < -1e-6).count();
        println!("found in {found} of 60");
        assert!(found >= 3, "{found} of 60");
    }
}
