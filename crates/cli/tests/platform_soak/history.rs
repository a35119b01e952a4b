//! The record of a run, and the rules that it is checked against. All of it is recorded outside the processes.

use std::collections::BTreeMap;

/// Seconds since the start of the run.
pub type Seconds = f64;

/// How long after its deadline an answer may arrive.
const ANSWER_SLACK: Seconds = 0.066;
/// A request that is sent at most this long before its client reads the end of the connection may have crossed the close.
const CROSSING: Seconds = 0.1;
/// New connections are accepted for this long after SIGTERM.
const ACCEPT: Seconds = 0.4;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A value.
    Value(String),
    /// An error reply: refused or failed.
    Error(String),
    /// The connection ended without a reply.
    Closed,
}

/// A request, as its client recorded it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub process: usize,
    /// Whether it is the first one on its connection.
    pub is_first: bool,
    /// When its connection was requested.
    pub connected_at: Seconds,
    /// Before the first byte was sent; with several commands on a connection, after the last byte was written.
    pub sent_at: Seconds,
    /// When the reply before it on its connection was read; the time up to then does not count. `sent_at` if there is none.
    pub previous_reply_at: Seconds,
    /// After the last byte of the reply, or the end of the connection, was read.
    pub ended_at: Seconds,
    pub timeout: Seconds,
    pub ending: Ending,
}

/// A request that arrived at a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Seconds,
    pub id: u64,
    pub is_submit: bool,
}

/// The end of a process.
#[derive(Clone, Debug)]
pub struct ProcessEnd {
    /// When the first SIGTERM was sent.
    pub sigterm_at: Seconds,
    /// The earliest time at which the platform kills it.
    pub kill_at: Seconds,
    /// When it ended; `None` if it had to be killed.
    pub ended_at: Option<Seconds>,
    pub exit_code: Option<i32>,
}

/// A connection that was refused by the system or could not be established.
#[derive(Clone, Debug)]
pub struct RefusedConnection {
    pub at: Seconds,
    pub process: usize,
}

/// The record of a run.
#[derive(Clone, Debug)]
pub struct History {
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub refused: Vec<RefusedConnection>,
    pub processes: Vec<ProcessEnd>,
    /// Whether a submit must not be repeated at all.
    pub once: bool,
    /// The window within which a submit may be repeated.
    pub repeat_window: Seconds,
}

impl History {
    /// Returns a description of each violation of a rule.
    pub fn violations(&self) -> Vec<String> {
        let mut arrivals: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
        self.arrivals.iter().for_each(|arrival| arrivals.entry(arrival.id).or_default().push(arrival));
        let requests = self.requests.iter().filter_map(|request| {
            let what = self.request_violation(request, arrivals.contains_key(&request.id))?;
            Some(format!("{what}: {request:?}, arrivals {:?}", arrivals.get(&request.id)))
        });
        let repeats = arrivals.values().filter_map(|list| {
            let what = self.repeat_violation(list)?;
            Some(format!("{what}: {list:?}"))
        });
        let refused = self.refused.iter().filter_map(|refused| {
            let accepts_until = self.processes[refused.process].sigterm_at + ACCEPT;
            (refused.at < accepts_until).then(|| format!("connection refused: {refused:?}"))
        });
        let ends = self.processes.iter().filter_map(|end| {
            let what = process_violation(end)?;
            Some(format!("{what}: {end:?}"))
        });
        requests.chain(repeats).chain(refused).chain(ends).collect()
    }

    fn request_violation(&self, request: &Request, reached_backend: bool) -> Option<&'static str> {
        match &request.ending {
            Ending::Value(value) if *value != format!("{:016x}", request.id) => return Some("a wrong value"),
            Ending::Value(_) if !reached_backend => return Some("a value that no backend sent"),
            Ending::Closed => return self.unanswered_violation(request, reached_backend),
            Ending::Value(_) | Ending::Error(_) => {}
        }
        let counts_from = request.sent_at.max(request.previous_reply_at);
        let is_late = request.ended_at > counts_from + request.timeout + ANSWER_SLACK;
        is_late.then_some("answered too late")
    }

    fn unanswered_violation(&self, request: &Request, reached_backend: bool) -> Option<&'static str> {
        let end = &self.processes[request.process];
        if reached_backend {
            return Some("reached a backend, not answered");
        }
        if request.is_first && request.connected_at < end.sigterm_at + ACCEPT {
            return Some("new connection closed without a reply");
        }
        (request.ended_at - request.sent_at > CROSSING).then_some("arrived before the close, not answered")
    }

    fn repeat_violation(&self, arrivals: &[&Arrival]) -> Option<&'static str> {
        let first = arrivals.iter().map(|arrival| arrival.at).fold(f64::INFINITY, f64::min);
        let last = arrivals.iter().map(|arrival| arrival.at).fold(0.0, f64::max);
        if !arrivals[0].is_submit || arrivals.len() == 1 {
            return None;
        }
        if self.once {
            return Some("sent more than once");
        }
        (last > first + self.repeat_window + ANSWER_SLACK).then_some("repeated after its window")
    }
}

fn process_violation(end: &ProcessEnd) -> Option<&'static str> {
    match end.ended_at {
        None => Some("still running at the kill"),
        Some(ended_at) if ended_at > end.kill_at => Some("ended after the kill"),
        Some(_) if end.exit_code != Some(0) => Some("exit code is not 0"),
        Some(_) => None,
    }
}
