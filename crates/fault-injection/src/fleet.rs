//! Judges the fleet's views: from what the drill did to processes and links, from each process's own account of what it
//! knew when, and from what its socket sent. What a process says it would do is not asked.

use crate::day::Stated;
use chalkgap_runtime::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a drill did.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A process was started.
    Up(u16),
    /// A process was killed.
    Down(u16),
    /// A process was asked to leave.
    Leave(u16),
    /// A process was stopped.
    Stop(u16),
    /// It goes on.
    Go(u16),
    /// The number has gone to another process, while the first one is alive.
    Replace(u16),
    /// Links or processes are disturbed from now on, or one such trouble less: views change all the time meanwhile.
    Rough(bool),
    /// These parts do not reach each other any more. Empty: all do.
    Parts(Vec<Vec<u16>>),
}

/// A line of a process's own journal of states.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Line {
    /// Whose.
    pub me: u16,
    /// When, by its clock: the machine's.
    pub at: Micros,
    /// About whom, where it is about a member.
    #[serde(default)]
    pub of: Option<u16>,
    /// Its state then.
    #[serde(default)]
    pub state: Option<String>,
    /// How the process stands to the fleet, where that has changed.
    #[serde(default)]
    pub standing: Option<String>,
    /// The view's number.
    #[serde(default)]
    pub number: Option<u64>,
    /// The view's digest.
    #[serde(default)]
    pub digest: Option<String>,
    /// What happened, in words.
    #[serde(default)]
    pub message: String,
}

impl Line {
    /// Reads a line of a process's log; none if it is not one of its fleet.
    pub fn read(text: &str) -> Option<Line> {
        let mut value: serde_json::Value = serde_json::from_str(text).ok()?;
        if value.get("target")?.as_str()? != "chalkgap::fleet" {
            return None;
        }
        serde_json::from_value(value.get_mut("fields")?.take()).ok()
    }
}

/// One thing that has to hold, with what was seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Statement {
    /// What.
    pub what: String,
    /// At most.
    pub bound: f64,
    /// Each time that it was looked at, in order of size.
    pub seen: Vec<f64>,
    /// Where it did not hold.
    pub broken: Vec<String>,
}

impl Statement {
    fn new(what: &str, bound: f64) -> Statement {
        Statement { what: what.into(), bound, seen: Vec::new(), broken: Vec::new() }
    }

    /// The value that a share of all cases does not pass; none where there was no case.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        self.seen.get(((self.seen.len().max(1) - 1) as f64 * share).ceil() as usize).copied()
    }

    fn case(&mut self, seen: f64, where_: impl FnOnce() -> String) {
        self.seen.insert(self.seen.partition_point(|s| *s <= seen), seen);
        if seen > self.bound {
            self.broken.push(where_());
        }
    }
}

/// All that is judged by.
pub struct Evidence {
    /// What was done, in order.
    pub acts: Vec<(Micros, Act)>,
    /// What processes wrote down, in order of time.
    pub lines: Vec<Line>,
    /// Messages and bytes of the view that each has sent, and for how many seconds it lived.
    pub sent: BTreeMap<u16, (u64, u64, f64)>,
    /// When the day ended.
    pub end: Micros,
}

const S: f64 = 1e6;

/// Judges a day.
pub fn judge(e: &Evidence, stated: &Stated) -> Vec<Statement> {
    let all = [
        stated.death_s.map(|bound| deaths(e, bound)),
        stated.meet_s.map(|bound| meetings(e, bound)),
        stated.cut_s.map(|bound| cuts(e, bound)),
        stated.takeover_s.map(|bound| takeovers(e, bound)),
        stated.messages_per_s.map(|bound| messages(e, bound)),
        stated.bytes_per_s.map(|bound| bytes(e, bound)),
    ];
    let all = all.into_iter().flatten();
    let all = all.map(|mut s| {
        if s.seen.is_empty() {
            s.broken.push("the day never shows it".into());
        }
        s
    });
    all.chain([wrongly(e)]).collect()
}

/// Who was up and awake all the time, and which parts there were.
struct Span {
    well: BTreeSet<u16>,
    /// Of each that was well: with whom it was in one part all the time.
    parts: Vec<Vec<Vec<u16>>>,
}

impl Span {
    fn of(e: &Evidence, from: Micros, to: Micros) -> Span {
        let (mut up, mut awake) = (BTreeSet::new(), BTreeSet::new());
        let mut well: Option<BTreeSet<u16>> = None;
        let mut parts: Vec<Vec<Vec<u16>>> = vec![Vec::new()];
        for (at, act) in e.acts.iter().filter(|a| a.0 <= to) {
            if *at > from && well.is_none() {
                well = Some(&up & &awake);
            }
            match act {
                Act::Up(n) => {
                    up.insert(*n);
                    awake.insert(*n);
                    // Up anew within the span is not well all the time.
                    well.as_mut().map(|w| w.remove(n));
                }
                Act::Down(n) | Act::Leave(n) => {
                    up.remove(n);
                }
                Act::Stop(n) => {
                    awake.remove(n);
                }
                Act::Go(n) => {
                    awake.insert(*n);
                }
                Act::Replace(n) => {
                    well.as_mut().map(|w| w.remove(n));
                }
                Act::Rough(_) => {}
                Act::Parts(p) if *at <= from => parts = vec![p.clone()],
                Act::Parts(p) => parts.push(p.clone()),
            }
            if let Some(w) = &mut well {
                w.retain(|n| up.contains(n) && awake.contains(n));
            }
        }
        Span { well: well.unwrap_or_else(|| &up & &awake), parts }
    }

    fn together(&self, a: u16, b: u16) -> bool {
        self.parts.iter().all(|parts| together(parts, a, b))
    }
}

fn together(parts: &[Vec<u16>], a: u16, b: u16) -> bool {
    parts.is_empty() || parts.iter().any(|p| p.contains(&a) && p.contains(&b))
}

fn gone(line: &Line) -> bool {
    matches!(line.state.as_deref(), Some("lost" | "left"))
}

fn deaths(e: &Evidence, bound: f64) -> Statement {
    let mut s = Statement::new("seconds until a death or leave is known to each of the others", bound);
    for (at, act) in &e.acts {
        let (Act::Down(x) | Act::Leave(x)) = act else { continue };
        let until = at + (bound * S) as Micros;
        let back = e.acts.iter().any(|(t, a)| *t > *at && *t <= until && *a == Act::Up(*x));
        // One that is killed after it left is no second death.
        let before =
            e.acts.iter().rev().find(|(t, a)| t < at && matches!(a, Act::Up(n) | Act::Leave(n) if n == x));
        if back || until > e.end || matches!(before, Some((_, Act::Leave(_)))) {
            continue;
        }
        let span = Span::of(e, *at, until);
        for p in span.well.iter().filter(|p| *p != x && span.together(**p, *x)) {
            let known = e.lines.iter().find(|l| l.me == *p && l.of == Some(*x) && l.at >= *at && gone(l));
            // Who held it for gone already, as it was stopped before, has nothing to find out.
            let before = e.lines.iter().rev().find(|l| l.me == *p && l.of == Some(*x) && l.at < *at);
            if known.is_none() && before.is_some_and(gone) {
                continue;
            }
            let seen = known.map_or(f64::INFINITY, |l| (l.at - at) as f64 / S);
            s.case(seen, || format!("{p} of {x}: {seen:.2} s"));
        }
    }
    s
}

/// How long before somebody was held for lost it must have been well and in reach, for that to be wrong.
const GRACE: Micros = 3_000_000;

fn wrongly(e: &Evidence) -> Statement {
    let mut s = Statement::new("members held for lost that were there and in reach", 0.0);
    for l in e.lines.iter().filter(|l| l.state.as_deref() == Some("lost")) {
        let Some(x) = l.of else { continue };
        let span = Span::of(e, l.at.saturating_sub(GRACE), l.at);
        let wrong = span.well.contains(&x) && span.well.contains(&l.me) && span.together(x, l.me);
        s.case(f64::from(u8::from(wrong)), || format!("{} held {x} for lost", l.me));
    }
    s
}

/// After each act that brings members together: until all views are equal, and stay so until the next act.
fn meetings(e: &Evidence, bound: f64) -> Statement {
    let mut s = Statement::new("seconds until all views are equal again", bound);
    let mut rough = 0;
    for (n, (at, act)) in e.acts.iter().enumerate() {
        match act {
            Act::Rough(true) => rough += 1,
            Act::Rough(false) => rough -= 1,
            _ => {}
        }
        if rough > 0 || !matches!(act, Act::Up(_) | Act::Go(_) | Act::Parts(_) | Act::Rough(false)) {
            continue;
        }
        // Several at one stroke are one act; one that something else follows soon is not judged by itself.
        let next = e.acts[n + 1..].first().map_or(e.end, |a| a.0);
        let until = at + (bound * S) as Micros;
        if next < until {
            continue;
        }
        // A cut takes as long as deaths do; only a heal is judged here.
        let span = Span::of(e, *at, until);
        if span.parts != [Vec::<Vec<u16>>::new()] {
            continue;
        }
        let mut held: BTreeMap<u16, Option<(u64, String)>> = span.well.iter().map(|p| (*p, None)).collect();
        let mut last = None;
        for l in e.lines.iter().filter(|l| l.at <= until) {
            let (Some(slot), Some(number), Some(digest)) = (held.get_mut(&l.me), l.number, &l.digest) else {
                continue;
            };
            *slot = Some((number, digest.clone()));
            let mut views = held.values();
            let first = views.next();
            let equal = views.all(|v| Some(v) == first);
            last = if equal { last.or(Some(l.at)) } else { None };
        }
        let seen = last.map_or(f64::INFINITY, |t| t.saturating_sub(*at) as f64 / S);
        s.case(seen, || format!("after {act:?}: {held:?}"));
    }
    s
}

fn cuts(e: &Evidence, bound: f64) -> Statement {
    let mut s = Statement::new(
        "seconds until a part of half or fewer knows that it is cut off, and no other says so",
        bound,
    );
    for (at, act) in &e.acts {
        let Act::Parts(parts) = act else { continue };
        let until = at + (bound * S) as Micros;
        let span = Span::of(e, *at, until);
        if parts.is_empty() || span.parts.len() > 1 || until > e.end {
            continue;
        }
        let all = span.well.len();
        for part in parts {
            let there: Vec<u16> = part.iter().filter(|p| span.well.contains(p)).copied().collect();
            for p in &there {
                let said = e.lines.iter().filter(|l| l.me == *p && l.standing.is_some());
                let now = said.clone().rfind(|l| l.at <= until).and_then(|l| l.standing.as_deref());
                let when = said.clone().find(|l| l.at >= *at && l.standing.as_deref() == Some("cut off"));
                if 2 * there.len() <= all {
                    let seen = when.filter(|_| now == Some("cut off"));
                    let seen = seen.map_or(f64::INFINITY, |l| (l.at - at) as f64 / S);
                    s.case(seen, || format!("{p} in {part:?}: says {now:?}"));
                } else {
                    let seen = if now == Some("cut off") { f64::INFINITY } else { 0.0 };
                    s.case(seen, || format!("{p} in {part:?}: says {now:?}, and is of the greater part"));
                }
            }
        }
    }
    s
}

fn takeovers(e: &Evidence, bound: f64) -> Statement {
    let mut s =
        Statement::new("seconds until a process whose number another one took knows that it is over", bound);
    for (at, act) in &e.acts {
        let Act::Replace(n) = act else { continue };
        let over = e.lines.iter().find(|l| l.me == *n && l.at >= *at && l.message.starts_with("superseded"));
        let seen = over.map_or(f64::INFINITY, |l| (l.at - at) as f64 / S);
        s.case(seen, || format!("{n}"));
    }
    s
}

fn messages(e: &Evidence, bound: f64) -> Statement {
    let mut s = Statement::new("messages of the view that one sends in a second", bound);
    for (n, (messages, _, seconds)) in &e.sent {
        s.case(*messages as f64 / seconds.max(1.0), || format!("{n}"));
    }
    s
}

fn bytes(e: &Evidence, bound: f64) -> Statement {
    let mut s = Statement::new("bytes of the view that one sends in a second", bound);
    for (n, (_, bytes, seconds)) in &e.sent {
        s.case(*bytes as f64 / seconds.max(1.0), || format!("{n}"));
    }
    s
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Micros = 1_000_000;

    fn line(me: u16, at: u64, of: u16, state: &str, digest: &str) -> Line {
        let (of, state, number) = (Some(of), Some(state.into()), Some(7));
        Line {
            me,
            at: at * T,
            of,
            state,
            standing: None,
            number,
            digest: Some(digest.into()),
            message: "member".into(),
        }
    }

    fn says(me: u16, at: u64, standing: &str) -> Line {
        Line { standing: Some(standing.into()), of: None, state: None, ..line(me, at, 0, "in", "x") }
    }

    /// Four up since the first second; what is done and written down later is the test's.
    fn day(acts: Vec<(u64, Act)>, mut lines: Vec<Line>) -> Evidence {
        let up = (0..4).map(|n| (T, Act::Up(n)));
        let acts = up.chain(acts.into_iter().map(|(at, a)| (at * T, a))).collect();
        lines.sort_by_key(|l| l.at);
        Evidence { acts, lines, sent: [(0, (100, 1000, 10.0))].into(), end: 100 * T }
    }

    fn broken(e: &Evidence, stated: Stated) -> Vec<String> {
        judge(e, &stated).into_iter().flat_map(|s| s.broken).collect()
    }

    #[test]
    fn a_death_that_one_does_not_hear_of_in_time_is_found() {
        let stated = Stated { death_s: Some(5.0), ..Stated::default() };
        let acts = || vec![(20, Act::Down(3))];
        let known = |last| (0..3).map(|n| line(n, if n == 2 { last } else { 22 }, 3, "lost", "a")).collect();
        assert_eq!(broken(&day(acts(), known(24)), stated), Vec::<String>::new());
        assert_eq!(broken(&day(acts(), known(26)), stated), ["2 of 3: 6.00 s"]);
        assert_eq!(broken(&day(acts(), Vec::new()), stated).len(), 3);
        // One that is cut off, or stopped, cannot know; and a day without a death shows nothing.
        let apart = vec![(19, Act::Parts(vec![vec![0, 1, 3], vec![2]])), (20, Act::Down(3))];
        assert_eq!(broken(&day(apart, known(90)), stated), Vec::<String>::new());
        let stopped = vec![(19, Act::Stop(2)), (20, Act::Down(3)), (60, Act::Go(2))];
        assert_eq!(broken(&day(stopped, known(90)), stated), Vec::<String>::new());
        assert_eq!(broken(&day(Vec::new(), Vec::new()), stated), ["the day never shows it"]);
    }

    #[test]
    fn one_that_is_held_for_lost_while_it_was_there_is_found() {
        let lost = || vec![line(0, 50, 3, "lost", "a")];
        assert_eq!(broken(&day(Vec::new(), lost()), Stated::default()), ["0 held 3 for lost"]);
        for act in [Act::Down(3), Act::Stop(3), Act::Parts(vec![vec![0, 1], vec![2, 3]])] {
            assert_eq!(broken(&day(vec![(40, act)], lost()), Stated::default()), Vec::<String>::new());
        }
        // It was back for long, or the link was whole again for long.
        let back = vec![(10, Act::Stop(3)), (20, Act::Go(3))];
        assert_eq!(broken(&day(back, lost()), Stated::default()).len(), 1);
    }

    #[test]
    fn views_that_stay_different_are_found() {
        let stated = Stated { meet_s: Some(5.0), ..Stated::default() };
        let acts = || vec![(20, Act::Parts(vec![vec![0, 1], vec![2, 3]])), (40, Act::Parts(Vec::new()))];
        let lines = |last: &str| {
            let all =
                (0..4).map(|n| line(n, 2, 0, "in", "a")).chain((0..4).map(|n| line(n, 43, 0, "in", "b")));
            all.chain([line(3, 44, 0, "in", last)]).collect::<Vec<_>>()
        };
        assert_eq!(broken(&day(acts(), lines("b")), stated).len(), 0);
        // While all is disturbed nothing is stated of it.
        let rough = acts().into_iter().chain([(41, Act::Rough(true))]).collect();
        assert_eq!(broken(&day(rough, lines("c")), stated).len(), 0);
        let found = broken(&day(acts(), lines("c")), stated);
        assert!(found.len() == 1 && found[0].starts_with("after Parts([])"), "{found:?}");
    }

    #[test]
    fn a_part_that_does_not_know_that_it_is_cut_off_is_found_and_one_that_says_so_wrongly() {
        let stated = Stated { cut_s: Some(5.0), ..Stated::default() };
        let cut = || vec![(20, Act::Parts(vec![vec![0], vec![1, 2, 3]]))];
        let good = vec![says(0, 23, "cut off"), says(1, 23, "most")];
        assert_eq!(broken(&day(cut(), good), stated), Vec::<String>::new());
        assert_eq!(broken(&day(cut(), vec![says(0, 27, "cut off")]), stated).len(), 1);
        assert_eq!(broken(&day(cut(), vec![says(0, 23, "cut off"), says(0, 24, "most")]), stated).len(), 1);
        let wrong = vec![says(0, 23, "cut off"), says(2, 23, "cut off")];
        assert_eq!(broken(&day(cut(), wrong), stated).len(), 1);
    }

    #[test]
    fn a_first_process_that_goes_on_and_too_many_messages_are_found() {
        let stated = Stated { takeover_s: Some(2.0), ..Stated::default() };
        let over = |at| Line { message: "superseded: ...".into(), ..says(1, at, "") };
        let acts = || vec![(30, Act::Replace(1)), (30, Act::Up(1))];
        assert_eq!(broken(&day(acts(), vec![over(31)]), stated).len(), 0);
        assert_eq!(broken(&day(acts(), vec![over(40)]), stated).len(), 1);
        assert_eq!(broken(&day(acts(), Vec::new()), stated).len(), 1);
        let rates = |m, b| Stated { messages_per_s: Some(m), bytes_per_s: Some(b), ..Stated::default() };
        assert_eq!(broken(&day(Vec::new(), Vec::new()), rates(10.0, 100.0)).len(), 0);
        assert_eq!(broken(&day(Vec::new(), Vec::new()), rates(9.0, 100.0)).len(), 1);
        assert_eq!(broken(&day(Vec::new(), Vec::new()), rates(10.0, 99.0)).len(), 1);
    }

    #[test]
    fn lines_of_a_log_are_read_and_others_are_not() {
        let text = r#"{"timestamp":"x","level":"INFO","fields":{"message":"member","me":1,"at":5,"of":2,"state":"lost",
            "turn":3,"start":9,"by":1,"number":12,"counting":4,"digest":"00ab"},"target":"chalkgap::fleet"}"#;
        let line = Line::read(text).expect("one of the fleet");
        assert_eq!(
            (line.me, line.of, line.state.as_deref(), line.number),
            (1, Some(2), Some("lost"), Some(12))
        );
        assert_eq!(Line::read(&text.replace("::fleet", "::gate")), None);
        assert_eq!(Line::read("thread main panicked"), None);
    }
}
