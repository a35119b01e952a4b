//! The decider: whom to ask when, what silence means, what to tell whom.

use crate::standing::{Basis, Standing};
use crate::view::{Fact, State, View, BUCKETS, LAST_TURN};
use crate::wire::{Kind, Malformed, Message, Shown};
use crate::{Micros, Number, ANYONE, VISITOR};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Others that are asked to ask for one.
const HELPERS: usize = 3;
/// How many members' word a suspicion has at most: what more of them say tells nothing more.
const ACCUSERS: usize = 3;
/// Questions and errands open at once.
const OPEN: usize = 64;
/// Suspected ones from which on a last question has one helper only: a death of half the fleet is not to take all the
/// messages that a member may send.
const MASS: usize = 8;
/// Messages that each such question then costs each member, as asker and as helper.
const MASS_QUESTION: f64 = 5.0;
/// One's own slowness at most: rounds and spans are this many times as long then.
const SLOWEST: u32 = 8;
/// Each piece of news rides this many times the logarithm of the fleet.
const TELLINGS: u32 = 3;
/// One round in so many also asks somebody who is gone, or a seed.
const RECALL: u64 = 4;
/// Rounds without any answer after which a member holds itself for cut off.
const SILENT: u64 = 4;
/// Facts that a message has room for, and some.
const MOST_FACTS: usize = 16;
/// Messages of facts in answer to one comparison.
const PAGES: usize = 4;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its number.
    pub me: Number,
    /// Its incarnation: later than at all starts before. The time of its start in microseconds will do.
    pub start: u64,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Where others may be. Its own address among them does no harm.
    pub seeds: Vec<SocketAddr>,
    /// Numbers are below this.
    pub most: Number,
    /// The length of a round: in each, every member asks one and is asked by one, more or less.
    pub round: Micros,
    /// The least time that a suspected one has to object, whatever the size of the fleet.
    pub objection: Micros,
    /// Messages that it sends in a second at most.
    pub per_second: f64,
    /// Seed of its chance.
    pub seed: u64,
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiver's number; [`ANYONE`] where it is not known; [`VISITOR`] is the same one.
    pub to: Number,
    /// Where it is.
    pub address: SocketAddr,
    /// The message.
    pub bytes: Vec<u8>,
}

/// Something that has changed in the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member's state, or its start or address.
    Member(Fact),
    /// How this member stands to its fleet.
    Standing(Standing),
    /// A later start of this member's own number is there: this one has to end, and says nothing any more.
    Superseded,
}

/// What a question is for, and so what comes of silence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    /// The round's: suspicion.
    Round,
    /// The last before a suspected one is held for gone.
    Last,
    /// Whether one that is gone, or a seed, is there: nothing.
    Recall,
    /// Another member wants to know: it is told.
    Errand { of: Number, nonce: u32 },
}

struct Question {
    target: Number,
    purpose: Purpose,
    sent: Micros,
    /// When others are asked to ask; none: they have been, or never will.
    help: Option<Micros>,
    /// When it counts as not answered.
    end: Micros,
    /// A helper that was asked has said anything.
    helped: bool,
}

struct Suspicion {
    since: Micros,
    accusers: Vec<Number>,
    /// What others hold it for already, if they do. Who left has nothing to object; where others have waited for an
    /// objection, there is only the time to be given that one needs to come here.
    claim: Option<State>,
    asked: bool,
    /// There was no room to ask it the last question before then.
    not_before: Micros,
}

/// One member.
pub struct Membership {
    config: Config,
    rng: SmallRng,
    view: View,
    basis: Basis,
    standing: Standing,
    /// The view is not as it was when the standing was last looked at, or who is silent.
    changed: bool,
    silent: bool,
    /// This member's own fact; what it last said of itself holds.
    mine: Fact,
    superseded: bool,
    suspicions: BTreeMap<Number, Suspicion>,
    questions: BTreeMap<u32, Question>,
    /// Members that know too little of themselves: told what is held of them with the next message.
    behind: BTreeSet<Number>,
    /// News: how often each was told, least often told first.
    news: BTreeSet<(u32, Number)>,
    told: BTreeMap<Number, u32>,
    /// Messages in a row whose senders had the same view.
    alike: u32,
    slow: u32,
    next_round: Micros,
    /// When this member meant to wake, as of the last time that it was awake.
    due: Micros,
    next_compare: Micros,
    rounds: u64,
    recalled: usize,
    /// When anybody last answered a question of this member.
    answered: Micros,
    /// When anything last came from another member.
    heard_any: Micros,
    allowance: f64,
    allowed: Micros,
    out: VecDeque<Outgoing>,
    changes: VecDeque<Change>,
}

impl Membership {
    /// A member that has just started, at `now`.
    pub fn new(now: Micros, config: Config) -> Membership {
        let (number, start, address) = (config.me, config.start, config.address);
        let mine = Fact { number, state: State::In, turn: 0, start, address, by: number };
        let mut view = View::default();
        view.put(mine, now);
        let mut rng = SmallRng::seed_from_u64(config.seed ^ start.rotate_left(17) ^ u64::from(number));
        // Not all in one moment, though all were started in one.
        let first = now + rng.random_range(0..=config.round / 2);
        let alone = config.seeds.iter().all(|s| *s == address);
        let mut me = Membership {
            rng,
            view,
            basis: Basis::default(),
            standing: Standing::Whole,
            changed: false,
            silent: !alone,
            mine,
            superseded: false,
            suspicions: BTreeMap::new(),
            questions: BTreeMap::new(),
            behind: BTreeSet::new(),
            news: BTreeSet::new(),
            told: BTreeMap::new(),
            alike: 0,
            slow: 1,
            next_round: first,
            due: first,
            next_compare: now,
            rounds: 0,
            recalled: 0,
            // Whoever has seeds and has heard nobody is not a fleet by itself.
            answered: if alone { now } else { 0 },
            heard_any: now,
            allowance: config.per_second,
            allowed: now,
            out: VecDeque::new(),
            changes: VecDeque::new(),
            config,
        };
        me.standing = me.basis.look(&me.view, !alone);
        me
    }

    /// This member's number.
    pub fn number(&self) -> Number {
        self.config.me
    }

    /// What is known, as of now.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How this member stands to its fleet.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// By how many members halves are counted.
    pub fn basis(&self) -> usize {
        self.basis.of()
    }

    /// What is said of the view beside its facts.
    pub fn shown(&self) -> Shown {
        let short = |n: usize| n.min(usize::from(u16::MAX)) as u16;
        Shown {
            owner: self.config.me,
            number: self.view.number(),
            counting: short(self.view.counting()),
            of: short(self.basis.of()),
            standing: self.standing as u8,
            late: self.late(1),
            next: None,
        }
    }

    /// How late the view may be about a death, where a message in five is lost or fewer and half the fleet dies or less.
    /// A round until somebody asks, another one where that one has died too, one until it gives up, the rounds that news
    /// take to all, the longest time to object, the last question.
    ///
    /// `deaths` at once are asked their last question one by one, as the messages of a second allow.
    pub fn late(&self, deaths: usize) -> Micros {
        let news = 2 * u64::from(self.magnitude());
        let questions = deaths as f64 * MASS_QUESTION / self.config.per_second * 1e6;
        self.config.round * u64::from(self.slow) * (5 + news) + self.objection(1) + questions as Micros
    }

    /// The next message to be sent.
    pub fn send(&mut self) -> Option<Outgoing> {
        self.out.pop_front()
    }

    /// The next change.
    pub fn change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// When [`Membership::tick`] is due.
    pub fn wake(&self) -> Micros {
        let questions = self.questions.values().map(|q| q.help.unwrap_or(q.end));
        let suspicions = self.suspicions.values().filter(|s| !s.asked).map(|s| self.last_question(s));
        questions.chain(suspicions).fold(self.next_round, Micros::min)
    }

    /// Leaves in order: others are told now, and with each answer as long as this member is asked.
    pub fn leave(&mut self, now: Micros) {
        self.awake(now);
        if self.mine.state.counts() {
            self.say(now, State::Left, self.mine.turn + 1);
            // Some of them at once, as this one may end at any moment; they tell the rest.
            let all: Vec<Number> = self.others().collect();
            let some = all.len().min(2 * HELPERS);
            for n in (0..some).map(|k| all[(k * all.len()) / some]) {
                self.tell(now, n, Kind::Facts, 0);
            }
            self.look(now);
        }
    }

    // ---- time ----

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        if self.superseded {
            self.next_round = now + self.config.round * 1000;
            return;
        }
        self.awake(now);
        self.ask_helpers(now);
        self.end_questions(now);
        self.end_suspicions(now);
        if now >= self.next_round {
            // Rounds go by the clock, not from the last one: a tick that is a little late does not shift the next.
            let length = self.config.round * u64::from(self.slow);
            self.next_round = (self.next_round + length).max(now + length / 2);
            self.round(now);
        }
        self.look(now);
    }

    /// If this member was stopped or starved: what others may have said meanwhile was not heard. Looked at before anything
    /// that comes is taken in, as what waited in a socket would hide how late it is.
    fn awake(&mut self, now: Micros) {
        let by = now.saturating_sub(self.due);
        if by <= self.config.round / 2 {
            return;
        }
        self.questions.clear();
        for s in self.suspicions.values_mut() {
            s.since = (s.since + by).min(now);
            s.asked = false;
        }
        self.answered += by.min(now.saturating_sub(self.answered));
        self.slower();
    }

    fn slower(&mut self) {
        self.slow = (self.slow + 1).min(SLOWEST);
    }

    fn round(&mut self, now: Micros) {
        self.rounds += 1;
        if !self.mine.state.counts() {
            return; // it has left: it answers, and asks nobody
        }
        // The others in a ring, each with another turn at the same time: were all clocks and views alike, everybody
        // would be asked once in each round. They are not, and it is still less left to chance than a lot.
        let ring: Vec<Number> = self.view.counted().map(|m| m.fact.number).collect();
        let rank = ring.iter().position(|n| *n == self.config.me).unwrap_or(0);
        if ring.len() > 1 {
            let turn = (now / self.config.round) as usize % (ring.len() - 1);
            self.ask(now, ring[(rank + 1 + turn) % ring.len()], Purpose::Round);
        }
        if self.rounds % RECALL == 0 || ring.len() == 1 {
            self.recall(now);
        }
        // News that nobody's question has carried yet.
        if let Some(n) = (!self.news.is_empty()).then(|| self.chance(&[])).flatten() {
            self.tell(now, n, Kind::Facts, 0);
        }
    }

    /// Asks somebody who is gone, or a seed where nobody known is: so cuts heal, and who is new finds the rest.
    fn recall(&mut self, now: Micros) {
        let known: BTreeSet<SocketAddr> = self.view.members().map(|m| m.fact.address).collect();
        let gone = self.view.members().filter(|m| m.fact.state == State::Lost);
        let gone = gone.map(|m| (m.fact.number, m.fact.address));
        let seeds = self.config.seeds.iter().filter(|s| !known.contains(*s)).map(|s| (ANYONE, *s));
        let all: Vec<(Number, SocketAddr)> = gone.chain(seeds).collect();
        if all.is_empty() {
            return;
        }
        self.recalled = (self.recalled + 1) % all.len();
        let (number, address) = all[self.recalled];
        self.question(now, number, address, Purpose::Recall);
    }

    // ---- questions ----

    fn question(&mut self, now: Micros, target: Number, address: SocketAddr, purpose: Purpose) {
        let length = self.config.round * u64::from(self.slow);
        let (help, end) = match purpose {
            Purpose::Round | Purpose::Last => (Some(now + length * 3 / 10), now + length * 9 / 10),
            Purpose::Recall => (None, now + 2 * length),
            // By its own clock, as the asking one waits: it knows its own slowness, not this one's.
            Purpose::Errand { .. } => (None, now + self.config.round / 4),
        };
        let nonce = self.rng.random();
        let question = Question { target, purpose, sent: now, help, end, helped: false };
        // Where there is no room the question is not asked, and nobody's silence counts.
        if self.questions.len() < OPEN && self.post(now, target, address, Kind::Ping, nonce) {
            self.questions.insert(nonce, question);
        }
    }

    fn ask(&mut self, now: Micros, target: Number, purpose: Purpose) {
        if let Some(at) = self.view.get(target).map(|m| m.fact.address) {
            self.question(now, target, at, purpose);
        }
    }

    fn ask_helpers(&mut self, now: Micros) {
        let due = |q: &Question| q.help.is_some_and(|at| at <= now);
        let list: Vec<u32> = self.questions.iter().filter(|q| due(q.1)).map(|q| *q.0).collect();
        for nonce in list {
            let Some(q) = self.questions.get_mut(&nonce) else { continue };
            q.help = None;
            let target = q.target;
            let mass = q.purpose == Purpose::Last && self.suspicions.len() > MASS;
            let Some(at) = self.view.get(target).map(|m| m.fact.address) else { continue };
            let mut not = vec![target];
            for _ in 0..if mass { 1 } else { HELPERS } {
                let Some(helper) = self.chance(&not) else { break };
                not.push(helper);
                self.tell(now, helper, Kind::Ask { target, at }, nonce);
            }
            // Once more by itself, as one message in some is lost.
            if !mass {
                self.tell(now, target, Kind::Ping, nonce);
            }
        }
    }

    fn end_questions(&mut self, now: Micros) {
        let list: Vec<u32> = self.questions.iter().filter(|q| q.1.end <= now).map(|q| *q.0).collect();
        for nonce in list {
            let Some(q) = self.questions.remove(&nonce) else { continue };
            match q.purpose {
                Purpose::Recall => {}
                Purpose::Errand { of, nonce } => {
                    self.tell(now, of, Kind::Unheard, nonce);
                }
                Purpose::Round => {
                    // If none of those says anything who were to help, and nobody else does, it may well be this one
                    // that hears nobody. In a small part of a cut fleet most helpers are out of reach, too.
                    if !q.helped && now - self.heard_any > 2 * self.config.round * u64::from(self.slow) {
                        self.slower();
                    }
                    self.accuse(now, q.target, self.config.me, None);
                }
                Purpose::Last => self.gone(now, q.target),
            }
        }
    }

    /// The answer to a question has come, from its target or through a helper.
    fn heard(&mut self, now: Micros, nonce: u32, from: Number, direct: bool) {
        let Some(q) = self.questions.get_mut(&nonce) else { return };
        if direct && q.target != from && q.target != ANYONE {
            return; // another one's number, or a guess
        }
        self.answered = now;
        let Some(q) = self.questions.remove(&nonce) else { return };
        if let Purpose::Errand { of, nonce } = q.purpose {
            self.tell(now, of, Kind::Heard, nonce);
            return;
        }
        if q.purpose == Purpose::Round && now - q.sent < self.config.round / 2 {
            self.slow = (self.slow - 1).max(1);
        }
        // It lives: what others suspect is theirs to find out, and it is told by what this member tells it anyway. One
        // that is leaving says so itself, and its own word has been read by now.
        if self.suspicions.remove(&q.target).is_some() {
            if let Some(m) = self.view.get(q.target).filter(|m| m.fact.state == State::Suspected) {
                self.put(now, Fact { state: State::In, by: self.config.me, ..m.fact });
            }
        }
    }

    // ---- suspicion ----

    fn objection(&self, accusers: usize) -> Micros {
        let rounds = u64::from(4 + 2 * self.magnitude());
        let whole = (self.config.round * rounds).max(self.config.objection) * u64::from(self.slow);
        match accusers {
            0 | 1 => whole * 2,
            2 => whole * 7 / 5,
            _ => whole,
        }
    }

    /// When the last question is due.
    fn last_question(&self, s: &Suspicion) -> Micros {
        let whole = self.objection(s.accusers.len());
        let patience = match s.claim {
            Some(State::Left) => 0,
            Some(_) => whole.min(self.config.round * u64::from(self.slow * (2 + self.magnitude()))),
            None => whole,
        };
        (s.since + patience).max(s.not_before)
    }

    /// The fleet's size as the rounds that news take: its logarithm, one or more.
    fn magnitude(&self) -> u32 {
        (self.view.counting().max(2) as u32).ilog2() + 1
    }

    fn accuse(&mut self, now: Micros, number: Number, by: Number, claim: Option<State>) {
        let Some(m) = self.view.get(number).filter(|m| m.fact.state.counts()) else { return };
        let fact = Fact { state: State::Suspected, by, ..m.fact };
        let fresh = !self.suspicions.contains_key(&number);
        let s = self.suspicions.entry(number).or_insert(Suspicion {
            since: now,
            accusers: Vec::new(),
            claim,
            asked: false,
            not_before: now,
        });
        s.claim = s.claim.max(claim);
        let more = s.accusers.len() < ACCUSERS && !s.accusers.contains(&by);
        if more {
            s.accusers.push(by);
        }
        if fresh {
            self.put(now, fact);
        } else if more && !self.told.contains_key(&number) {
            // Another one's word; as long as the first still goes round, both do.
            self.tell_all(number);
        }
    }

    fn end_suspicions(&mut self, now: Micros) {
        let due = |s: &Suspicion| !s.asked && now >= self.last_question(s);
        let list: Vec<Number> = self.suspicions.iter().filter(|s| due(s.1)).map(|s| *s.0).collect();
        for number in list {
            let before = self.questions.len();
            self.ask(now, number, Purpose::Last);
            if let Some(s) = self.suspicions.get_mut(&number) {
                s.asked = self.questions.len() > before;
                s.not_before = now + self.config.round / 2;
            }
        }
    }

    /// It has not answered the last question either.
    fn gone(&mut self, now: Micros, number: Number) {
        let Some(s) = self.suspicions.remove(&number) else { return };
        let Some(m) = self.view.get(number).filter(|m| m.fact.state.counts()) else { return };
        let state = s.claim.unwrap_or(State::Lost);
        let by = s.accusers.first().copied().unwrap_or(self.config.me);
        self.put(now, Fact { state, turn: m.fact.turn + 1, by, ..m.fact });
    }

    // ---- facts ----

    fn put(&mut self, now: Micros, fact: Fact) {
        self.view.put(fact, now);
        (self.changed, self.alike) = (true, 0);
        if !fact.state.counts() {
            self.suspicions.remove(&fact.number);
        }
        self.changes.push_back(Change::Member(fact));
        self.tell_all(fact.number);
    }

    /// Says something new of this member itself.
    fn say(&mut self, now: Micros, state: State, turn: u32) {
        (self.mine.state, self.mine.turn) = (state, turn);
        self.put(now, self.mine);
    }

    fn tell_all(&mut self, number: Number) {
        let times = self.told.insert(number, 0).unwrap_or(0);
        self.news.remove(&(times, number));
        self.news.insert((0, number));
    }

    /// Takes in a fact that `from` tells.
    fn learn(&mut self, now: Micros, fact: Fact, from: Number) {
        if fact.number == self.config.me {
            return self.about_me(now, fact);
        }
        if fact.number >= self.config.most {
            return;
        }
        let Some(known) = self.view.get(fact.number).map(|m| m.fact) else {
            self.put(now, Fact { state: if fact.state.counts() { State::In } else { fact.state }, ..fact });
            if fact.state == State::Suspected {
                self.accuse(now, fact.number, fact.by, None);
            }
            return;
        };
        if fact.number == from {
            // Its own word of itself: where it knows less than this member, it is told.
            if fact.order() < known.order() {
                self.behind.insert(from);
            } else {
                self.behind.remove(&from);
            }
        }
        match fact.state {
            State::In => {
                if fact.order() > known.order() {
                    self.suspicions.remove(&fact.number);
                    self.put(now, fact);
                }
            }
            State::Suspected => {
                if (fact.turn, fact.start) > (known.turn, known.start) {
                    self.suspicions.remove(&fact.number);
                    self.put(now, Fact { state: State::In, ..fact });
                }
                if (fact.turn, fact.start) >= (known.turn, known.start) {
                    self.accuse(now, fact.number, fact.by, None);
                }
            }
            State::Lost | State::Left if !known.state.counts() || fact.number == from => {
                if fact.order() > known.order() {
                    self.put(now, fact);
                }
            }
            // Somebody says that one is gone who counts as in here: it is asked itself, and told.
            State::Lost | State::Left => {
                if fact.turn > known.turn + 1 {
                    self.put(now, Fact { state: State::In, turn: fact.turn - 1, start: fact.start, ..known });
                }
                if fact.turn > known.turn {
                    self.accuse(now, fact.number, from, Some(fact.state));
                }
            }
        }
    }

    /// What others hold of this member. It objects, with the next turn, to all that is not so.
    fn about_me(&mut self, now: Micros, fact: Fact) {
        if fact.start > self.mine.start {
            self.superseded = true;
            self.out.clear();
            self.changes.push_back(Change::Superseded);
            return;
        }
        if fact.turn < self.mine.turn || fact.turn + 2 >= LAST_TURN {
            return;
        }
        if !self.mine.state.counts() {
            if fact.turn > self.mine.turn {
                self.say(now, State::Left, fact.turn | 1);
            }
        } else if fact.turn > self.mine.turn || fact.state != State::In || fact.start != self.mine.start {
            if fact.state == State::Suspected && fact.turn == self.mine.turn {
                self.slower(); // somebody waited for it in vain
            }
            self.say(now, State::In, (fact.turn | 1) + 1);
        }
    }

    // ---- messages ----

    /// Takes in a message that came at `now`; `from` is who sealed it with that incarnation, `source` where it came from.
    ///
    /// # Errors
    /// It is no message of this protocol; nothing has come of it.
    pub fn hear(
        &mut self,
        now: Micros,
        from: Number,
        source: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), Malformed> {
        let message = Message::decode(bytes)?;
        if self.superseded {
            return Ok(());
        }
        self.awake(now);
        if from == VISITOR {
            if let Kind::Show { from } = message.kind {
                self.show(now, source, message.nonce, from);
            }
            return Ok(());
        }
        self.heard_any = now;
        for (fact, _) in &message.facts {
            self.learn(now, *fact, from);
            if self.superseded {
                return Ok(());
            }
        }
        let nonce = message.nonce;
        match message.kind {
            Kind::Ping => {
                // To where this very one says that it is: an earlier start of the same number has another address, and
                // has to hear that it is over.
                let own = message.facts.iter().find(|f| f.0.number == from);
                self.post(now, from, own.map_or(source, |f| f.0.address), Kind::Ack, nonce);
            }
            Kind::Ack => self.heard(now, nonce, from, true),
            Kind::Heard => self.heard(now, nonce, from, false),
            Kind::Unheard => {
                if let Some(q) = self.questions.get_mut(&nonce) {
                    q.helped = true;
                    self.answered = now;
                }
            }
            Kind::Ask { target, at } => {
                if target == self.config.me {
                    self.tell(now, from, Kind::Heard, nonce);
                } else {
                    self.question(now, target, at, Purpose::Errand { of: from, nonce });
                }
            }
            Kind::Sums { ask, sums } => self.compare(now, from, ask, sums),
            Kind::Facts | Kind::Show { .. } | Kind::Shown(_) => {}
        }
        if message.digest == self.view.digest() {
            // If everybody around has the same view, the news is no news.
            self.alike += 1;
            if self.alike > 2 * self.magnitude() {
                let counts = |n: &Number| self.suspicions.contains_key(n);
                self.told.retain(|n, _| counts(n));
                self.news.retain(|n| counts(&n.1));
            }
        } else {
            self.alike = 0;
            // One that differs while there is news is about to be the same by itself; what is left then is compared.
            if now >= self.next_compare && self.view.get(from).is_some() {
                self.next_compare = now + self.config.round;
                self.tell(now, from, Kind::Sums { ask: true, sums: self.view.sums() }, 0);
            }
        }
        self.look(now);
        Ok(())
    }

    fn compare(&mut self, now: Micros, with: Number, ask: bool, sums: [u32; BUCKETS]) {
        let mine = self.view.sums();
        let first = self.rng.random_range(0..BUCKETS);
        let differ = (0..BUCKETS).map(|k| (first + k) % BUCKETS).filter(|k| mine[*k] != sums[*k]);
        let facts: Vec<Fact> = differ.flat_map(|k| self.view.bucket(k)).copied().collect();
        let mut rest = facts.into_iter().peekable();
        for _ in 0..PAGES {
            let mut page = Message::new(Kind::Facts, 0, self.view.digest());
            while rest.peek().is_some_and(|f| page.add(*f, 0)) {
                rest.next();
            }
            let Some(address) = self.view.get(with).map(|m| m.fact.address) else { return };
            if page.facts.is_empty() || !self.send_message(now, with, address, &page) {
                break;
            }
        }
        if ask {
            self.tell(now, with, Kind::Sums { ask: false, sums: mine }, 0);
        }
    }

    fn show(&mut self, now: Micros, to: SocketAddr, nonce: u32, from: Number) {
        let shown = self.shown();
        let mut page = Message::new(Kind::Shown(shown), nonce, self.view.digest());
        let rest = self.view.members().filter(|m| m.fact.number >= from);
        let mut next = None;
        for m in rest {
            if !page.add(m.fact, now.saturating_sub(m.since)) {
                next = Some(m.fact.number);
                break;
            }
        }
        page.kind = Kind::Shown(Shown { next, ..shown });
        self.send_message(now, VISITOR, to, &page);
    }

    fn others(&self) -> impl Iterator<Item = Number> + '_ {
        let me = self.config.me;
        self.view.counted().map(|m| m.fact.number).filter(move |n| *n != me)
    }

    /// Another one by lot, none of `not`.
    fn chance(&mut self, not: &[Number]) -> Option<Number> {
        let fit = |n: &Number| !not.contains(n) && !self.suspicions.contains_key(n);
        let list: Vec<Number> = self.others().filter(fit).collect();
        let at = self.rng.random_range(0..list.len().max(1));
        list.get(at).copied()
    }

    fn tell(&mut self, now: Micros, to: Number, kind: Kind, nonce: u32) -> bool {
        let address = self.view.get(to).map(|m| m.fact.address);
        address.is_some_and(|at| self.post(now, to, at, kind, nonce))
    }

    /// Sends a message with what the receiver has to know, and what is new.
    fn post(&mut self, now: Micros, to: Number, address: SocketAddr, kind: Kind, nonce: u32) -> bool {
        let mut m = Message::new(kind, nonce, self.view.digest());
        m.add(self.mine, 0);
        if matches!(kind, Kind::Sums { .. }) {
            return self.send_message(now, to, address, &m);
        }
        // Whoever is held for anything else than in, or for later than it knows, is told so that it can object.
        let odd = |f: &Fact| f.state != State::In || self.behind.contains(&to);
        if let Some(f) = self.view.get(to).map(|m| m.fact).filter(odd) {
            m.add(f, 0);
        }
        let most = TELLINGS * self.magnitude();
        let list: Vec<(u32, Number)> = self.news.iter().take(MOST_FACTS).copied().collect();
        for (times, number) in list {
            let Some(known) = self.view.get(number).map(|m| m.fact) else { continue };
            let by = self
                .suspicions
                .get(&number)
                .and_then(|s| s.accusers.get(times as usize % s.accusers.len().max(1)));
            let fact = Fact { by: by.copied().unwrap_or(known.by), ..known };
            if !m.add(fact, 0) {
                break;
            }
            self.news.remove(&(times, number));
            if times + 1 < most {
                self.news.insert((times + 1, number));
                self.told.insert(number, times + 1);
            } else {
                self.told.remove(&number);
            }
        }
        self.send_message(now, to, address, &m)
    }

    fn send_message(&mut self, now: Micros, to: Number, address: SocketAddr, message: &Message) -> bool {
        if self.superseded {
            return false;
        }
        let span = now.saturating_sub(self.allowed) as f64 / 1e6;
        self.allowed = self.allowed.max(now);
        self.allowance = (self.allowance + span * self.config.per_second).min(self.config.per_second);
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        self.out.push_back(Outgoing { to, address, bytes: message.encode() });
        true
    }

    /// Looks at the standing anew, where something has changed, and sets when to wake.
    fn look(&mut self, now: Micros) {
        self.due = self.wake().max(now);
        // Alone is no silence where all others went in order, or where there never was another one to be met.
        let met = self.view.known() > 1;
        let expects = if met {
            self.basis.of() > 1
        } else {
            self.config.seeds.iter().any(|s| *s != self.config.address)
        };
        let quiet = SILENT * self.config.round * u64::from(self.slow);
        let silent = expects && self.mine.state.counts() && now.saturating_sub(self.answered) > quiet;
        if !self.changed && silent == self.silent {
            return;
        }
        (self.changed, self.silent) = (false, silent);
        let standing = self.basis.look(&self.view, silent);
        if standing != self.standing {
            self.standing = standing;
            self.changes.push_back(Change::Standing(standing));
        }
    }
}
