//! The whole list of backends at a start and after an outage: from the service by [`Turns`], else from a neighbour by
//! version and digest.
//!
//! A list is *confirmed* once the service itself gave it or two others hold the same. One that a single neighbour vouches for
//! serves only where none is confirmed, and for a stated time. None is taken that is older than the one confirmed.

use crate::turns::{Fleet, Turns};
use crate::{Micros, Number};
use std::collections::{BTreeMap, BTreeSet};

/// What a list is known by among neighbours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Word {
    /// The service's version.
    pub version: u64,
    /// Of the list's bytes.
    pub digest: u64,
}

impl Word {
    /// The word of a list.
    pub fn of(version: u64, body: &[u8]) -> Word {
        let mut short = [0; 8];
        short.copy_from_slice(&blake3::hash(body).as_bytes()[..8]);
        Word { version, digest: u64::from_be_bytes(short) }
    }
}

/// Who gave a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The service.
    Service,
    /// A neighbour.
    Peer(Number),
    /// Kept from an earlier life.
    Kept,
}

/// A list that is in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// What it is known by.
    pub word: Word,
    /// The list.
    pub body: Vec<u8>,
    /// Who gave it.
    pub from: Source,
    /// When it was taken.
    pub at: Micros,
    /// Whether the service gave it or two others hold it.
    pub confirmed: bool,
}

/// Why a list is not taken. What is in use stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Older than the confirmed one.
    #[error("list {found}: older than {held}, which is confirmed; whoever gave it is behind: see its link to the service")]
    Older {
        /// Its version.
        found: u64,
        /// The confirmed one's.
        held: u64,
    },
    /// It is not what the neighbour said it had.
    #[error("list of member {by}: its bytes are not those that it told of; it is asked no more until it starts anew")]
    Forged {
        /// The neighbour.
        by: Number,
    },
    /// Nobody asked for it.
    #[error("list of member {by}: it was not asked for one")]
    Unasked {
        /// The neighbour.
        by: Number,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Call the service for the whole list.
    Call,
    /// Ask a neighbour for the list that it told of.
    Fetch(Number),
    /// Serve by the list now [`held`](Lists::held); none: by none.
    Use,
}

/// Figures, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// This member.
    pub me: Number,
    /// How many members there may be.
    pub most: u16,
    /// Calls for whole lists that the fleet may make in a second.
    pub per_second: u32,
    /// How long a list serves that only one neighbour vouches for.
    pub alone: Micros,
    /// How long a neighbour may take to give its list.
    pub patience: Micros,
    /// From which age of its last confirmation on a list is asked for again.
    pub stale: Micros,
}

/// The decider.
pub struct Lists {
    config: Config,
    turns: Turns,
    /// The last confirmed one, and a later one that is not confirmed yet.
    confirmed: Option<Held>,
    tried: Option<Held>,
    /// What neighbours said last, each once.
    words: BTreeMap<Number, Word>,
    forgers: BTreeSet<Number>,
    /// Whose list nobody else had in the time for which it may serve alone: fetched again only where others have it.
    alone: BTreeSet<Number>,
    fetch: Option<(Number, Word, Micros)>,
    /// When the service, or two others, last stood for the confirmed one.
    sure_at: Option<Micros>,
}

impl Lists {
    /// One that starts with what an earlier life kept, if it did: it serves at once, and is confirmed by nobody yet.
    pub fn new(config: Config, kept: Option<(u64, Vec<u8>)>, now: Micros) -> Lists {
        let kept = kept.map(|(version, body)| {
            let word = Word::of(version, &body);
            Held { word, body, from: Source::Kept, at: now, confirmed: false }
        });
        Lists {
            turns: Turns::new(config.me, config.most, config.per_second),
            config,
            confirmed: kept,
            tried: None,
            words: BTreeMap::new(),
            forgers: BTreeSet::new(),
            alone: BTreeSet::new(),
            fetch: None,
            sure_at: None,
        }
    }

    /// The list to serve by. One that a single neighbour vouches for serves where there is no better one: whoever holds a
    /// confirmed list waits for a second voice, or the service's.
    pub fn held(&self) -> Option<&Held> {
        self.sure().or(self.tried.as_ref()).or(self.confirmed.as_ref())
    }

    /// The confirmed one; not what was kept and nobody has confirmed.
    fn sure(&self) -> Option<&Held> {
        self.confirmed.as_ref().filter(|h| h.confirmed)
    }

    /// What to tell neighbours: never of a list that this one was only given by one of them, or nobody's word would become two.
    pub fn word(&self) -> Option<Word> {
        self.sure().map(|h| h.word)
    }

    /// A neighbour told of its list.
    pub fn heard(&mut self, now: Micros, from: Number, word: Word, acts: &mut Vec<Act>) {
        if from == self.config.me || from >= self.config.most || self.forgers.contains(&from) {
            return;
        }
        self.words.insert(from, word);
        self.settle(now, acts);
        self.look(now, acts);
    }

    /// A neighbour started anew, or is gone: its word is nobody's, its forgeries are an earlier life's.
    pub fn parted(&mut self, from: Number) {
        self.words.remove(&from);
        self.forgers.remove(&from);
        self.alone.remove(&from);
        if self.fetch.is_some_and(|f| f.0 == from) {
            self.fetch = None;
        }
    }

    /// A list came.
    ///
    /// # Errors
    /// See [`Refused`].
    pub fn came(
        &mut self,
        now: Micros,
        from: Source,
        version: u64,
        body: Vec<u8>,
        acts: &mut Vec<Act>,
    ) -> Result<(), Refused> {
        let word = Word::of(version, &body);
        if let Source::Peer(by) = from {
            let Some((_, want, _)) = self.fetch.take_if(|f| f.0 == by) else {
                return Err(Refused::Unasked { by });
            };
            if word != want {
                self.words.remove(&by);
                self.forgers.insert(by);
                self.look(now, acts);
                return Err(Refused::Forged { by });
            }
        }
        let sure = self.sure().map(|h| h.word.version);
        if let Some(held) = sure.filter(|held| *held > version) {
            return Err(Refused::Older { found: version, held });
        }
        let held = Held { word, body, from, at: now, confirmed: from == Source::Service };
        if held.confirmed {
            (self.confirmed, self.tried, self.sure_at) = (Some(held), None, Some(now));
        } else {
            self.tried = Some(held);
            self.settle(now, acts);
        }
        acts.push(Act::Use);
        Ok(())
    }

    /// A call to the service, or a fetch, came to nothing.
    pub fn failed(&mut self, now: Micros, from: Source, acts: &mut Vec<Act>) {
        if let Source::Peer(by) = from {
            self.fetch.take_if(|f| f.0 == by);
            self.words.remove(&by); // it may tell of it again
            self.look(now, acts);
        }
    }

    /// Time has passed; the next time to be woken.
    pub fn wake(&mut self, now: Micros, fleet: Fleet, acts: &mut Vec<Act>) -> Micros {
        if let Some((by, ..)) = self.fetch.filter(|f| now >= f.2) {
            self.failed(now, Source::Peer(by), acts);
        }
        if let Some(held) = self.tried.take_if(|h| now >= h.at + self.config.alone) {
            if let Source::Peer(by) = held.from {
                self.alone.insert(by);
            }
            acts.push(Act::Use);
            self.look(now, acts);
        }
        let mut next = self.turns.next(now, fleet);
        if next <= now {
            let wants = self.sure_at.is_none_or(|at| now >= at + self.config.stale);
            if wants {
                acts.push(Act::Call);
            }
            self.turns.called(now); // a turn that is not needed is over as well
            next = self.turns.next(now + 1, fleet);
        }
        let tried = self.tried.as_ref().map(|h| h.at + self.config.alone);
        [Some(next), tried, self.fetch.map(|f| f.2)].into_iter().flatten().min().unwrap_or(next)
    }

    /// How many neighbours hold this list.
    fn vouch(&self, word: Word) -> usize {
        self.words.values().filter(|w| **w == word).count()
    }

    /// Confirms what two others hold.
    fn settle(&mut self, now: Micros, acts: &mut Vec<Act>) {
        let two = |held: &Held| self.vouch(held.word) >= 2;
        if self.tried.as_ref().is_some_and(two) {
            let held = self.tried.take().map(|h| Held { confirmed: true, ..h });
            (self.confirmed, self.sure_at) = (held, Some(now));
            acts.push(Act::Use);
        } else if self.confirmed.as_ref().is_some_and(two) {
            self.sure_at = Some(now);
            if let Some(held) = self.confirmed.as_mut() {
                held.confirmed = true;
            }
        }
    }

    /// Fetches a later list than the one in use, of those that most vouch for; by which of them is this one's lot, so that not
    /// all ask the same.
    fn look(&mut self, now: Micros, acts: &mut Vec<Act>) {
        if self.fetch.is_some() {
            return;
        }
        // What two hold is measured by the confirmed list alone: one that a single neighbour gave does not keep it out.
        let sure = self.sure().map(|h| h.word.version);
        let tried = self.tried.as_ref().map(|h| h.word.version).max(sure);
        let fits = |by: &Number, w: &Word| match self.vouch(*w) {
            0 | 1 => tried.is_none_or(|v| w.version > v) && !self.alone.contains(by),
            _ => sure.is_none_or(|v| w.version > v) && self.tried.as_ref().is_none_or(|h| h.word != *w),
        };
        let later = self.words.iter().filter(|(by, w)| fits(by, w)).map(|(_, w)| *w);
        let Some(word) = later.max_by_key(|w| (self.vouch(*w).min(2), w.version, w.digest)) else {
            return;
        };
        let lot = |by: &Number| {
            blake3::hash(&[by.to_be_bytes(), self.config.me.to_be_bytes()].concat()).as_bytes()[0]
        };
        let givers = self.words.iter().filter(|(_, w)| **w == word).map(|(by, _)| *by);
        if let Some(by) = givers.min_by_key(lot) {
            self.fetch = Some((by, word, now + self.config.patience));
            acts.push(Act::Fetch(by));
        }
    }
}
