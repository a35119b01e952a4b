//! Checks the membership views of the fleet's processes. The input is what the drill did to processes and links, the
//! state changes that each process logged, and the messages that each socket sent.

use crate::day::Stated;
use chalkgap_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An action of the drill on processes, by their ingress number, or on links.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// The process was started.
    Up(u16),
    /// The process was killed.
    Down(u16),
    /// The process was asked to leave the fleet.
    Leave(u16),
    /// The process was suspended (SIGSTOP).
    Stop(u16),
    /// The process was resumed (SIGCONT).
    Go(u16),
    /// A second process was started with this number while the first one was still running.
    Replace(u16),
    /// A disturbance of links or processes began (`true`) or ended (`false`). Views change during a disturbance, and
    /// several can overlap.
    Rough(bool),
    /// The fleet was partitioned into these groups, which cannot reach each other. Empty: the partition was healed.
    Parts(Vec<Vec<u16>>),
}

/// A log line of a process about its membership view.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ViewLogLine {
    /// Number of the process that logged the line.
    #[serde(rename = "me")]
    pub process: u16,
    /// Time in microseconds, by the clock of the machine that all processes run on.
    pub at: Micros,
    /// The member that the line is about; `None` if it is about no single member.
    #[serde(default, rename = "of")]
    pub member: Option<u16>,
    /// State of the member.
    #[serde(default)]
    pub state: Option<String>,
    /// Partition status of the process, if it changed.
    #[serde(default)]
    pub standing: Option<String>,
    /// Version number of the view.
    #[serde(default)]
    pub number: Option<u64>,
    /// Digest of the view.
    #[serde(default)]
    pub digest: Option<String>,
    /// Message text of the line.
    #[serde(default)]
    pub message: String,
}

impl ViewLogLine {
    /// Parses a JSON log line. Returns `None` if it is not a line of the log target `chalkgap::fleet`.
    pub fn read(text: &str) -> Option<ViewLogLine> {
        let mut value: serde_json::Value = serde_json::from_str(text).ok()?;
        if value.get("target")?.as_str()? != "chalkgap::fleet" {
            return None;
        }
        serde_json::from_value(value.get_mut("fields")?.take()).ok()
    }
}

/// A bound on a measured value, with the values of a day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Statement {
    /// Description of the value.
    pub what: String,
    /// Maximum allowed value.
    pub bound: f64,
    /// Measured values in ascending order; infinite if an expected event did not happen.
    pub seen: Vec<f64>,
    /// One text for each measurement that exceeded the bound.
    pub broken: Vec<String>,
}

impl Statement {
    fn new(what: &str, bound: f64) -> Statement {
        Statement { what: what.into(), bound, seen: Vec::new(), broken: Vec::new() }
    }

    /// Returns the quantile of the measured values for a share from 0 to 1; `None` if nothing was measured.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        self.seen.get(((self.seen.len().max(1) - 1) as f64 * share).ceil() as usize).copied()
    }

    /// Adds a measured value. `describe` is called if the value exceeds the bound.
    fn record(&mut self, value: f64, describe: impl FnOnce() -> String) {
        self.seen.insert(self.seen.partition_point(|s| *s <= value), value);
        if value > self.bound {
            self.broken.push(describe());
        }
    }
}

/// Input of the checks.
pub struct Evidence {
    /// The drill's actions, in order of time.
    pub actions: Vec<(Micros, FleetAction)>,
    /// Log lines of all processes, in order of time.
    pub lines: Vec<ViewLogLine>,
    /// Membership traffic of each process, by ingress number.
    pub sent: BTreeMap<u16, SentTraffic>,
    /// End of the day in microseconds.
    pub end: Micros,
}

/// Membership messages that a process sent.
pub struct SentTraffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the messages in bytes.
    pub bytes: u64,
    /// How long the process ran, in seconds.
    pub seconds: f64,
}

const MICROS_PER_SECOND: f64 = 1e6;

/// Checks a day against its stated bounds. A bound is also broken if the day had nothing to measure for it.
pub fn judge(evidence: &Evidence, stated: &Stated) -> Vec<Statement> {
    let all = [
        stated.death_s.map(|bound| deaths(evidence, bound)),
        stated.meet_s.map(|bound| convergence(evidence, bound)),
        stated.cut_s.map(|bound| partition_detection(evidence, bound)),
        stated.takeover_s.map(|bound| takeovers(evidence, bound)),
        stated.messages_per_s.map(|bound| message_rate(evidence, bound)),
        stated.bytes_per_s.map(|bound| byte_rate(evidence, bound)),
    ];
    let all = all.into_iter().flatten();
    let all = all.map(|mut statement| {
        if statement.seen.is_empty() {
            statement.broken.push("nothing to measure on this day".into());
        }
        statement
    });
    all.chain([false_detections(evidence)]).collect()
}

/// State of the fleet during an interval.
struct Span {
    /// Processes that ran without a suspension or a restart during the whole interval.
    running: BTreeSet<u16>,
    /// Partitions at the start of the interval and after each change; an empty one means no partition.
    partitions: Vec<Vec<Vec<u16>>>,
}

impl Span {
    fn of(evidence: &Evidence, from: Micros, to: Micros) -> Span {
        let mut up = BTreeSet::new();
        let mut awake = BTreeSet::new();
        let mut running: Option<BTreeSet<u16>> = None;
        let mut partitions: Vec<Vec<Vec<u16>>> = vec![Vec::new()];
        for (at, action) in evidence.actions.iter().filter(|a| a.0 <= to) {
            if *at > from && running.is_none() {
                running = Some(&up & &awake);
            }
            match action {
                FleetAction::Up(n) => {
                    up.insert(*n);
                    awake.insert(*n);
                    // A process that was started within the interval did not run all the time.
                    running.as_mut().map(|r| r.remove(n));
                }
                FleetAction::Down(n) | FleetAction::Leave(n) => {
                    up.remove(n);
                }
                FleetAction::Stop(n) => {
                    awake.remove(n);
                }
                FleetAction::Go(n) => {
                    awake.insert(*n);
                }
                FleetAction::Replace(n) => {
                    running.as_mut().map(|r| r.remove(n));
                }
                FleetAction::Rough(_) => {}
                FleetAction::Parts(p) if *at <= from => partitions = vec![p.clone()],
                FleetAction::Parts(p) => partitions.push(p.clone()),
            }
            if let Some(r) = &mut running {
                r.retain(|n| up.contains(n) && awake.contains(n));
            }
        }
        Span { running: running.unwrap_or_else(|| &up & &awake), partitions }
    }

    /// Whether no partition separated the two processes during the interval.
    fn connected(&self, a: u16, b: u16) -> bool {
        self.partitions.iter().all(|parts| connected(parts, a, b))
    }
}

fn connected(parts: &[Vec<u16>], a: u16, b: u16) -> bool {
    parts.is_empty() || parts.iter().any(|p| p.contains(&a) && p.contains(&b))
}

/// Whether the line says that a member is lost or has left.
fn reports_departure(line: &ViewLogLine) -> bool {
    matches!(line.state.as_deref(), Some("lost" | "left"))
}

fn deaths(evidence: &Evidence, bound: f64) -> Statement {
    let mut statement = Statement::new("seconds until each other process knows of a death or leave", bound);
    for (at, action) in &evidence.actions {
        let (FleetAction::Down(departed) | FleetAction::Leave(departed)) = action else { continue };
        let until = at + (bound * MICROS_PER_SECOND) as Micros;
        let restarted =
            evidence.actions.iter().any(|(t, a)| *t > *at && *t <= until && *a == FleetAction::Up(*departed));
        // A process that is killed after it left does not count as a second death.
        let last_action = evidence.actions.iter().rev().find(|(t, a)| {
            t < at && matches!(a, FleetAction::Up(n) | FleetAction::Leave(n) if n == departed)
        });
        if restarted || until > evidence.end || matches!(last_action, Some((_, FleetAction::Leave(_)))) {
            continue;
        }
        let span = Span::of(evidence, *at, until);
        for observer in span.running.iter().filter(|p| *p != departed && span.connected(**p, *departed)) {
            let known = evidence.lines.iter().find(|l| {
                l.process == *observer && l.member == Some(*departed) && l.at >= *at && reports_departure(l)
            });
            // No detection is expected of an observer that already listed the process as lost or left, for example because
            // it was suspended before.
            let last_line = evidence
                .lines
                .iter()
                .rev()
                .find(|l| l.process == *observer && l.member == Some(*departed) && l.at < *at);
            if known.is_none() && last_line.is_some_and(reports_departure) {
                continue;
            }
            let seen = known.map_or(f64::INFINITY, |l| (l.at - at) as f64 / MICROS_PER_SECOND);
            statement.record(seen, || format!("{observer} of {departed}: {seen:.2} s"));
        }
    }
    statement
}

/// A member that was listed as lost counts as a false detection if it ran and was reachable for this long before.
const FALSE_DETECTION_WINDOW_US: Micros = 3_000_000;

/// Members that were listed as lost although they ran and could be reached.
fn false_detections(evidence: &Evidence) -> Statement {
    let mut statement = Statement::new("members listed as lost that were running and reachable", 0.0);
    for line in evidence.lines.iter().filter(|line| line.state.as_deref() == Some("lost")) {
        let Some(member) = line.member else { continue };
        let span = Span::of(evidence, line.at.saturating_sub(FALSE_DETECTION_WINDOW_US), line.at);
        let is_false = span.running.contains(&member)
            && span.running.contains(&line.process)
            && span.connected(member, line.process);
        statement
            .record(f64::from(u8::from(is_false)), || format!("{} listed {member} as lost", line.process));
    }
    statement
}

/// Time from each start, resumption or end of a disturbance or partition until all views are equal. Views have to stay
/// equal until the bound is over.
fn convergence(evidence: &Evidence, bound: f64) -> Statement {
    let mut statement = Statement::new("seconds until all views are equal", bound);
    let mut disturbances = 0;
    for (n, (at, action)) in evidence.actions.iter().enumerate() {
        match action {
            FleetAction::Rough(true) => disturbances += 1,
            FleetAction::Rough(false) => disturbances -= 1,
            _ => {}
        }
        if disturbances > 0
            || !matches!(
                action,
                FleetAction::Up(_) | FleetAction::Go(_) | FleetAction::Parts(_) | FleetAction::Rough(false)
            )
        {
            continue;
        }
        // An action that is followed by another one before the bound is over is not checked by itself. Of several
        // actions at the same time only the last one is checked.
        let next = evidence.actions[n + 1..].first().map_or(evidence.end, |a| a.0);
        let until = at + (bound * MICROS_PER_SECOND) as Micros;
        if next < until {
            continue;
        }
        // Views during a partition depend on how fast failures are detected, which is checked separately.
        let span = Span::of(evidence, *at, until);
        if span.partitions != [Vec::<Vec<u16>>::new()] {
            continue;
        }
        let mut views: BTreeMap<u16, Option<(u64, String)>> =
            span.running.iter().map(|p| (*p, None)).collect();
        let mut equal_since = None;
        for l in evidence.lines.iter().filter(|l| l.at <= until) {
            let (Some(slot), Some(number), Some(digest)) = (views.get_mut(&l.process), l.number, &l.digest)
            else {
                continue;
            };
            *slot = Some((number, digest.clone()));
            let mut others = views.values();
            let first = others.next();
            let equal = others.all(|v| Some(v) == first);
            equal_since = if equal { equal_since.or(Some(l.at)) } else { None };
        }
        let seen = equal_since.map_or(f64::INFINITY, |t| t.saturating_sub(*at) as f64 / MICROS_PER_SECOND);
        statement.record(seen, || format!("after {action:?}: {views:?}"));
    }
    statement
}

/// Time until each process in a part with half of the fleet or less logs that it is cut off. A process of a larger part
/// must not log that.
fn partition_detection(evidence: &Evidence, bound: f64) -> Statement {
    let mut statement = Statement::new(
        "seconds until a part of half or fewer logs that it is cut off, and no larger part logs it",
        bound,
    );
    for (at, action) in &evidence.actions {
        let FleetAction::Parts(parts) = action else { continue };
        let until = at + (bound * MICROS_PER_SECOND) as Micros;
        let span = Span::of(evidence, *at, until);
        if parts.is_empty() || span.partitions.len() > 1 || until > evidence.end {
            continue;
        }
        let running = span.running.len();
        for part in parts {
            let running_in_part: Vec<u16> =
                part.iter().filter(|p| span.running.contains(p)).copied().collect();
            for p in &running_in_part {
                let changes = evidence.lines.iter().filter(|l| l.process == *p && l.standing.is_some());
                let status = changes.clone().rfind(|l| l.at <= until).and_then(|l| l.standing.as_deref());
                let cut_off =
                    changes.clone().find(|l| l.at >= *at && l.standing.as_deref() == Some("cut off"));
                if 2 * running_in_part.len() <= running {
                    let cut_off = cut_off.filter(|_| status == Some("cut off"));
                    let seen = cut_off.map_or(f64::INFINITY, |l| (l.at - at) as f64 / MICROS_PER_SECOND);
                    statement.record(seen, || format!("{p} in {part:?}: status {status:?}"));
                } else {
                    let seen = if status == Some("cut off") { f64::INFINITY } else { 0.0 };
                    statement
                        .record(seen, || format!("{p} in {part:?}: status {status:?} in the larger part"));
                }
            }
        }
    }
    statement
}

/// Time until a process logs that a second process has taken its number.
fn takeovers(evidence: &Evidence, bound: f64) -> Statement {
    let mut statement =
        Statement::new("seconds until a process knows that another one has taken its number", bound);
    for (at, action) in &evidence.actions {
        let FleetAction::Replace(n) = action else { continue };
        let superseded = evidence
            .lines
            .iter()
            .find(|l| l.process == *n && l.at >= *at && l.message.starts_with("superseded"));
        let seen = superseded.map_or(f64::INFINITY, |l| (l.at - at) as f64 / MICROS_PER_SECOND);
        statement.record(seen, || format!("{n}"));
    }
    statement
}

fn message_rate(evidence: &Evidence, bound: f64) -> Statement {
    let mut statement = Statement::new("membership messages that a process sends per second", bound);
    for (n, sent) in &evidence.sent {
        statement.record(sent.messages as f64 / sent.seconds.max(1.0), || format!("{n}"));
    }
    statement
}

fn byte_rate(evidence: &Evidence, bound: f64) -> Statement {
    let mut statement = Statement::new("membership bytes that a process sends per second", bound);
    for (n, sent) in &evidence.sent {
        statement.record(sent.bytes as f64 / sent.seconds.max(1.0), || format!("{n}"));
    }
    statement
}

#[cfg(test)]
mod tests;
