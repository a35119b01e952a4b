//! A soak's scenarios: everything that a run does is drawn from its seed.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

/// Times of a scenario are relative to the first SIGTERM.
pub type RelativeMs = i64;

/// How a backend treats its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// Replies at once.
    Quick,
    /// Replies after a random time of up to the longest deadline.
    Slow,
    /// Never replies to every third request.
    Hanging,
    /// Closes the connection in the middle of every fourth reply.
    BreakingOff,
    /// Replies at once; discovery announces that it drains.
    Draining {
        /// When that is announced.
        at: RelativeMs,
    },
}

/// What happens to the configuration file before the first SIGHUP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileChange {
    /// It names another address of discovery.
    Replaced,
    /// It is no longer valid JSON.
    Broken,
    /// Nothing.
    Unchanged,
}

/// The service at the address of discovery that the process starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// Answers all requests.
    Working,
    /// Accepts connections and answers nothing.
    Hanging,
    /// Answers the first list, and sends nothing on watches.
    Silent,
}

/// Clients that connect together.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// When they connect.
    pub at: RelativeMs,
    /// Clients with one request.
    pub active: usize,
    /// Clients that send nothing.
    pub silent: usize,
    /// Clients that send several requests and read the replies slowly.
    pub slow_readers: usize,
    /// Clients that send half a command.
    pub partial: usize,
}

/// Clients that keep several commands on their connections.
#[derive(Clone, Copy, Debug)]
pub struct Pipelining {
    /// Clients of each process.
    pub clients: usize,
    /// Commands that a client keeps on its connection.
    pub window: usize,
    /// Longest body of a submit.
    pub max_body_bytes: usize,
}

/// One run of the soak.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// The longest request deadline of the settings, in milliseconds.
    pub deadline_ms: u64,
    /// Whether submits must not be repeated at all, instead of within a window only.
    pub once: bool,
    /// Clients of each process that use their connections until the kill.
    pub clients: usize,
    pub crowd: Option<Crowd>,
    pub pipelining: Option<Pipelining>,
    pub backends: Vec<BackendKind>,
    pub discovery: DiscoveryKind,
    pub file_change: FileChange,
    /// Signals to each process in the order of their times; the first SIGTERM is at 0.
    pub signals: Vec<(RelativeMs, Signal)>,
    /// Time between the first SIGTERMs of two processes.
    pub stagger_ms: u64,
}

/// The window within which a submit may be repeated, as a fraction of the longest deadline.
pub const REPEAT_WINDOW_DIVISOR: u64 = 2;
/// Largest number of commands that a client keeps on its connection.
const MAX_WINDOW: usize = 150;
/// Longest body that the platform's protocol allows.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Longest request deadline that counts for the kill.
const MAX_COUNTED_DEADLINE_MS: u64 = 3000;
/// Shortest time from SIGTERM to the kill, beyond the longest deadline.
const KILL_DELAY_MS: u64 = 700;

impl Scenario {
    /// Draws the scenario of a seed.
    pub fn draw(seed: u64, processes: usize) -> Scenario {
        let mut rng = SmallRng::seed_from_u64(seed << 8 | processes as u64);
        let clients = rng.random_range(14..40) / processes.min(2);
        let crowd = (rng.random_range(0..5) < 2).then(|| draw_crowd(&mut rng));
        Scenario {
            seed,
            processes,
            deadline_ms: *[300, 1000, 3000, 10_000].choose(&mut rng).unwrap(),
            once: rng.random(),
            clients,
            crowd,
            pipelining: draw_pipelining(seed, processes),
            backends: draw_backends(&mut rng),
            discovery: *[
                DiscoveryKind::Working,
                DiscoveryKind::Working,
                DiscoveryKind::Hanging,
                DiscoveryKind::Silent,
            ]
            .choose(&mut rng)
            .unwrap(),
            file_change: *[FileChange::Replaced, FileChange::Broken, FileChange::Unchanged]
                .choose(&mut rng)
                .unwrap(),
            signals: draw_signals(&mut rng),
            stagger_ms: rng.random_range(0..300),
        }
    }

    /// Earliest time of the kill, in milliseconds after the first SIGTERM.
    pub fn kill_after_ms(&self) -> u64 {
        self.deadline_ms.min(MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS
    }

    /// The window within which a submit may be repeated.
    pub fn repeat_window_ms(&self) -> u64 {
        self.deadline_ms / REPEAT_WINDOW_DIVISOR
    }
}

fn draw_crowd(rng: &mut SmallRng) -> Crowd {
    Crowd {
        at: rng.random_range(-150..200),
        active: rng.random_range(60..200),
        silent: rng.random_range(0..60),
        slow_readers: rng.random_range(0..10),
        partial: rng.random_range(0..40),
    }
}

/// Draws from a generator of its own, so that the rest of a seed's scenario stays as it was.
fn draw_pipelining(seed: u64, processes: usize) -> Option<Pipelining> {
    let mut rng = SmallRng::seed_from_u64(!(seed << 8 | processes as u64));
    (rng.random_range(0..3) < 2).then(|| Pipelining {
        clients: rng.random_range(1..4) / processes.min(2) + usize::from(processes > 1),
        window: rng.random_range(2..=MAX_WINDOW),
        max_body_bytes: *[0, 1000, MAX_BODY_BYTES].choose(&mut rng).unwrap(),
    })
}

fn draw_backends(rng: &mut SmallRng) -> Vec<BackendKind> {
    let mut backends = vec![BackendKind::Quick];
    for _ in 0..rng.random_range(1..4) {
        backends.push(match rng.random_range(0..5) {
            0 => BackendKind::Quick,
            1 => BackendKind::Slow,
            2 => BackendKind::Hanging,
            3 => BackendKind::BreakingOff,
            _ => BackendKind::Draining { at: rng.random_range(-300..300) },
        });
    }
    backends
}

/// SIGTERM once to four times, and in most runs SIGHUP once to four times before, at or after the first one.
fn draw_signals(rng: &mut SmallRng) -> Vec<(RelativeMs, Signal)> {
    let mut signals = vec![(0, Signal::TERM)];
    let spread = *[3, 40, 700].choose(rng).unwrap();
    for _ in 0..rng.random_range(0..4) {
        signals.push((rng.random_range(0..spread), Signal::TERM));
    }
    if rng.random_range(0..5) > 0 {
        let at = *[-200, 0, 100].choose(rng).unwrap();
        for _ in 0..rng.random_range(1..=4) {
            signals.push((at + rng.random_range(-3..6), Signal::HUP));
        }
    }
    signals.sort_by_key(|(at, _)| *at);
    signals
}
