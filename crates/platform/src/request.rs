//! What a client asks, read out of a command's words. Whatever is not of the protocol's form is refused here: it never
//! reaches a backend, nor the quota of the customer in whose name it comes.

use bytes::{Bytes, BytesMut};
use chalkgap_core::{Micros, RetrySafety};
use chalkgap_deployment_config::DeploymentConfig;
use chalkgap_resp::{put_array, put_bulk, Command};
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;

/// Numbers of customers are below this.
const CUSTOMERS: u64 = 1 << 33;
/// Bytes of the list of names and values.
const MOST_LIST: usize = 512;
/// Digits that any number may have.
const DIGITS: usize = 15;

/// Why a command is no request: what is wrong, and what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// No such command.
    #[error("unknown command, expected SVC.QUERY, SVC.SUBMIT or PING")]
    Command,
    /// Too few or too many words.
    #[error("wrong number of words: expected customer, id, list and, with SVC.SUBMIT, a body")]
    Words,
    /// The customer's number.
    #[error("customer: expected 16 hexadecimal digits of a number below 2^33")]
    Customer,
    /// The request's id.
    #[error("id: expected 16 hexadecimal digits")]
    Id,
    /// The id is that of an open request.
    #[error("id: a request of this id is open")]
    Open,
    /// The list is not of its form.
    #[error("list: expected NAME=VALUE, joined by commas, each name once")]
    List,
    /// The class.
    #[error("c: no such class, or it goes by the other command")]
    Class,
    /// The plan.
    #[error("t: no such plan")]
    Plan,
    /// The deadline.
    #[error("d: expected milliseconds")]
    Deadline,
    /// The key.
    #[error("k: expected 16 hexadecimal digits, with a keyed class only")]
    Key,
    /// The units.
    #[error("units: expected a number within the settings' limit")]
    Units,
    /// The customer's set.
    #[error("spread, first: expected a set of the ingresses there are")]
    Set,
}

/// A client's request.
#[derive(Debug)]
pub struct Request {
    /// Whose it is.
    pub customer: u64,
    /// Its id.
    pub id: u64,
    /// Index of its class.
    pub class: u8,
    /// Index of its plan.
    pub plan: u16,
    /// How long its client waits.
    pub wait: Micros,
    /// What it draws from the quota.
    pub units: f64,
    /// Over how many ingresses the customer's requests come.
    pub width: f64,
    /// The first of these.
    pub first: f64,
    /// For backends.
    pub work: Work,
}

#[derive(Debug)]
struct Parts {
    words: Vec<Bytes>,
    /// Where the digits of `d` lie in the list.
    wait: (usize, usize),
}

/// A command as it came, to be sent on with what is left of its time.
#[derive(Clone, Debug)]
pub struct Work(Arc<Parts>);

impl Work {
    /// Writes the command; `left` milliseconds take the place of the client's.
    pub fn put(&self, out: &mut BytesMut, left: u64) {
        let Parts { words, wait } = &*self.0;
        put_array(out, words.len());
        for (n, word) in words.iter().enumerate() {
            if n != LIST {
                put_bulk(out, word);
                continue;
            }
            let mut list = Vec::with_capacity(word.len() + DIGITS);
            list.extend_from_slice(&word[..wait.0]);
            let _ = write!(list, "{left}"); // memory takes all
            list.extend_from_slice(&word[wait.1..]);
            put_bulk(out, &list);
        }
    }
}

/// Which word is the list.
const LIST: usize = 3;

/// The settings, as requests are looked up in them.
pub struct Grammar {
    classes: HashMap<Vec<u8>, (u8, RetrySafety, Micros)>,
    plans: HashMap<Vec<u8>, u16>,
    most_units: f64,
    ingresses: f64,
}

fn hex(word: &[u8]) -> Option<u64> {
    let digit = |n: u64, d: &u8| Some(n << 4 | u64::from(char::from(*d).to_digit(16)?));
    (word.len() == 16).then(|| word.iter().try_fold(0, digit)).flatten()
}

/// A plain number, from nought up.
fn number(word: &[u8]) -> Option<f64> {
    let plain = |b: &u8| b.is_ascii_digit() || *b == b'.';
    let text = std::str::from_utf8(word).ok().filter(|t| t.len() <= DIGITS && word.iter().all(plain))?;
    text.parse::<f64>().ok().filter(|n| n.is_finite())
}

impl Grammar {
    /// The grammar of these settings.
    pub fn new(terms: &DeploymentConfig) -> Self {
        let classes = terms.class_names.iter().zip(&terms.settings.classes).enumerate();
        let class = |(n, (name, c)): (usize, (&String, &chalkgap_core::RequestClass))| {
            (name.clone().into_bytes(), (n.min(255) as u8, c.retry_safety, c.deadline))
        };
        let plans = terms.plan_names.iter().enumerate();
        Grammar {
            classes: classes.map(class).collect(),
            plans: plans.map(|(n, name)| (name.clone().into_bytes(), n.min(65_535) as u16)).collect(),
            most_units: terms.max_units,
            ingresses: f64::from(terms.settings.gateways),
        }
    }

    /// Reads a command that is no `PING`.
    ///
    /// # Errors
    /// See [`Invalid`].
    pub fn read(&self, command: Command) -> Result<Request, Invalid> {
        let words = command.words;
        let name: &[u8] = words.first().map_or(&[], |w| w);
        let query = match name {
            b"SVC.QUERY" => true,
            b"SVC.SUBMIT" => false,
            _ => return Err(Invalid::Command),
        };
        // A query has no body; where a client sends one all the same, it is passed on as it came.
        if !(4..=5).contains(&words.len()) {
            return Err(Invalid::Words);
        }
        let customer = hex(&words[1]).filter(|c| *c < CUSTOMERS).ok_or(Invalid::Customer)?;
        let id = hex(&words[2]).ok_or(Invalid::Id)?;
        let list = &words[LIST];
        if list.len() > MOST_LIST {
            return Err(Invalid::List);
        }
        let (mut class, mut plan, mut wait, mut key) = (None, None, None, None);
        let (mut units, mut spread, mut first, mut retry) = (None, None, None, None);
        let mut at = 0;
        for item in list.split(|b| *b == b',') {
            let split = item.iter().position(|b| *b == b'=').ok_or(Invalid::List)?;
            let (name, value) = (&item[..split], &item[split + 1..]);
            let from = at + split + 1;
            at += item.len() + 1;
            let place = match name {
                b"c" => &mut class,
                b"t" => &mut plan,
                b"d" => &mut wait,
                b"k" => &mut key,
                b"units" => &mut units,
                b"spread" => &mut spread,
                b"first" => &mut first,
                b"r" => &mut retry,
                _ => return Err(Invalid::List),
            };
            if place.replace((value, from)).is_some() {
                return Err(Invalid::List);
            }
        }
        let (class, repeat, most) =
            class.and_then(|c| self.classes.get(c.0)).copied().ok_or(Invalid::Class)?;
        if query != (repeat == RetrySafety::Idempotent) {
            return Err(Invalid::Class);
        }
        let plan = plan.and_then(|p| self.plans.get(p.0)).copied().ok_or(Invalid::Plan)?;
        let (digits, from) = wait.ok_or(Invalid::Deadline)?;
        let left =
            number(digits).filter(|_| digits.iter().all(u8::is_ascii_digit)).ok_or(Invalid::Deadline)?;
        let keyed = matches!(repeat, RetrySafety::IdempotencyKey { .. });
        if keyed != key.is_some() || key.is_some_and(|k| hex(k.0).is_none()) {
            return Err(Invalid::Key);
        }
        let units = units.and_then(|u| number(u.0)).filter(|u| *u > 0.0 && *u <= self.most_units);
        let units = units.ok_or(Invalid::Units)?;
        let whole = |w: Option<(&[u8], usize)>| w.and_then(|w| number(w.0)).filter(|n| n.fract() == 0.0);
        let width = whole(spread).filter(|w| (1.0..=self.ingresses).contains(w)).ok_or(Invalid::Set)?;
        let first = whole(first).filter(|f| *f < self.ingresses).ok_or(Invalid::Set)?;
        if retry.is_some_and(|r| r.0 != b"1") {
            return Err(Invalid::List);
        }
        let wait = ((left * 1000.0) as Micros).min(most);
        let work = Work(Arc::new(Parts { wait: (from, from + digits.len()), words }));
        Ok(Request { customer, id, class, plan, wait, units, width, first, work })
    }
}
