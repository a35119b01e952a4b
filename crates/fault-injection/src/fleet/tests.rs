use super::*;

const SECOND_US: Micros = 1_000_000;

fn line(process: u16, at: u64, member: u16, state: &str, digest: &str) -> ViewLogLine {
    ViewLogLine {
        process,
        at: at * SECOND_US,
        member: Some(member),
        state: Some(state.into()),
        standing: None,
        number: Some(7),
        digest: Some(digest.into()),
        message: "member".into(),
    }
}

fn status_line(process: u16, at: u64, standing: &str) -> ViewLogLine {
    ViewLogLine {
        standing: Some(standing.into()),
        member: None,
        state: None,
        ..line(process, at, 0, "in", "x")
    }
}

/// Evidence of a day of 100 seconds on which four processes are started after one second, followed by `actions`, each with
/// its time in seconds.
fn evidence(actions: Vec<(u64, FleetAction)>, mut lines: Vec<ViewLogLine>) -> Evidence {
    let starts = (0..4).map(|n| (SECOND_US, FleetAction::Up(n)));
    let actions = starts.chain(actions.into_iter().map(|(at, a)| (at * SECOND_US, a))).collect();
    lines.sort_by_key(|l| l.at);
    Evidence {
        actions,
        lines,
        sent: [(0, SentTraffic { messages: 100, bytes: 1000, seconds: 10.0 })].into(),
        end: 100 * SECOND_US,
    }
}

/// Returns a description of each violation of the stated bounds.
fn violations(evidence: &Evidence, stated: Stated) -> Vec<String> {
    judge(evidence, &stated).into_iter().flat_map(|s| s.broken).collect()
}

#[test]
fn a_death_that_is_detected_late_is_reported() {
    let stated = Stated { death_s: Some(5.0), ..Stated::default() };
    let actions = || vec![(20, FleetAction::Down(3))];
    let detections = |last| (0..3).map(|n| line(n, if n == 2 { last } else { 22 }, 3, "lost", "a")).collect();
    assert_eq!(violations(&evidence(actions(), detections(24)), stated), Vec::<String>::new());
    assert_eq!(violations(&evidence(actions(), detections(26)), stated), ["2 of 3: 6.00 s"]);
    assert_eq!(violations(&evidence(actions(), Vec::new()), stated).len(), 3);
    // A partitioned or suspended process cannot detect the death. A day without a death has nothing to measure.
    let partitioned =
        vec![(19, FleetAction::Parts(vec![vec![0, 1, 3], vec![2]])), (20, FleetAction::Down(3))];
    assert_eq!(violations(&evidence(partitioned, detections(90)), stated), Vec::<String>::new());
    let stopped = vec![(19, FleetAction::Stop(2)), (20, FleetAction::Down(3)), (60, FleetAction::Go(2))];
    assert_eq!(violations(&evidence(stopped, detections(90)), stated), Vec::<String>::new());
    assert_eq!(violations(&evidence(Vec::new(), Vec::new()), stated), ["nothing to measure on this day"]);
}

#[test]
fn a_reachable_member_listed_as_lost_is_reported() {
    let lost = || vec![line(0, 50, 3, "lost", "a")];
    assert_eq!(violations(&evidence(Vec::new(), lost()), Stated::default()), ["0 listed 3 as lost"]);
    for action in
        [FleetAction::Down(3), FleetAction::Stop(3), FleetAction::Parts(vec![vec![0, 1], vec![2, 3]])]
    {
        assert_eq!(
            violations(&evidence(vec![(40, action)], lost()), Stated::default()),
            Vec::<String>::new()
        );
    }
    // The process was resumed long before it was listed as lost.
    let resumed = vec![(10, FleetAction::Stop(3)), (20, FleetAction::Go(3))];
    assert_eq!(violations(&evidence(resumed, lost()), Stated::default()).len(), 1);
}

#[test]
fn views_that_stay_different_are_reported() {
    let stated = Stated { meet_s: Some(5.0), ..Stated::default() };
    let actions =
        || vec![(20, FleetAction::Parts(vec![vec![0, 1], vec![2, 3]])), (40, FleetAction::Parts(Vec::new()))];
    let lines = |last: &str| {
        let all = (0..4).map(|n| line(n, 2, 0, "in", "a")).chain((0..4).map(|n| line(n, 43, 0, "in", "b")));
        all.chain([line(3, 44, 0, "in", last)]).collect::<Vec<_>>()
    };
    assert_eq!(violations(&evidence(actions(), lines("b")), stated).len(), 0);
    // Views are not compared during a disturbance.
    let disturbed = actions().into_iter().chain([(41, FleetAction::Rough(true))]).collect();
    assert_eq!(violations(&evidence(disturbed, lines("c")), stated).len(), 0);
    let found = violations(&evidence(actions(), lines("c")), stated);
    assert!(found.len() == 1 && found[0].starts_with("after Parts([])"), "{found:?}");
}

#[test]
fn a_smaller_part_without_and_a_larger_part_with_the_status_cut_off_are_reported() {
    let stated = Stated { cut_s: Some(5.0), ..Stated::default() };
    let cut = || vec![(20, FleetAction::Parts(vec![vec![0], vec![1, 2, 3]]))];
    let good = vec![status_line(0, 23, "cut off"), status_line(1, 23, "most")];
    assert_eq!(violations(&evidence(cut(), good), stated), Vec::<String>::new());
    assert_eq!(violations(&evidence(cut(), vec![status_line(0, 27, "cut off")]), stated).len(), 1);
    assert_eq!(
        violations(&evidence(cut(), vec![status_line(0, 23, "cut off"), status_line(0, 24, "most")]), stated)
            .len(),
        1
    );
    let wrong = vec![status_line(0, 23, "cut off"), status_line(2, 23, "cut off")];
    assert_eq!(violations(&evidence(cut(), wrong), stated).len(), 1);
}

#[test]
fn a_superseded_process_that_does_not_notice_and_too_much_traffic_are_reported() {
    let stated = Stated { takeover_s: Some(2.0), ..Stated::default() };
    let superseded = |at| ViewLogLine { message: "superseded: ...".into(), ..status_line(1, at, "") };
    let actions = || vec![(30, FleetAction::Replace(1)), (30, FleetAction::Up(1))];
    assert_eq!(violations(&evidence(actions(), vec![superseded(31)]), stated).len(), 0);
    assert_eq!(violations(&evidence(actions(), vec![superseded(40)]), stated).len(), 1);
    assert_eq!(violations(&evidence(actions(), Vec::new()), stated).len(), 1);
    let rates = |messages, bytes| Stated {
        messages_per_s: Some(messages),
        bytes_per_s: Some(bytes),
        ..Stated::default()
    };
    assert_eq!(violations(&evidence(Vec::new(), Vec::new()), rates(10.0, 100.0)).len(), 0);
    assert_eq!(violations(&evidence(Vec::new(), Vec::new()), rates(9.0, 100.0)).len(), 1);
    assert_eq!(violations(&evidence(Vec::new(), Vec::new()), rates(10.0, 99.0)).len(), 1);
}

#[test]
fn only_log_lines_of_the_fleet_are_parsed() {
    let text = r#"{"timestamp":"x","level":"INFO","fields":{"message":"member","me":1,"at":5,"of":2,"state":"lost",
        "turn":3,"start":9,"by":1,"number":12,"counting":4,"digest":"00ab"},"target":"chalkgap::fleet"}"#;
    let line = ViewLogLine::read(text).expect("a line of the fleet");
    assert_eq!(
        (line.process, line.member, line.state.as_deref(), line.number),
        (1, Some(2), Some("lost"), Some(12))
    );
    assert_eq!(ViewLogLine::read(&text.replace("::fleet", "::gate")), None);
    assert_eq!(ViewLogLine::read("thread main panicked"), None);
}
