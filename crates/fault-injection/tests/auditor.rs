//! Each defect of the rogue ingress, on real sockets, is reported as a violation of its rule, and an ingress without a
//! defect causes no violation.

use chalkgap::runtime::{system::System, Shared};
use chalkgap_fault_injection::audit::{judge, AuditConfig, Plan, Repeat, Verdict};
use chalkgap_testbed::client::{Client, Request};
use chalkgap_testbed::journal::{Answer, Journal, Seen};
use chalkgap_testbed::node::{Cell, Machine, Node};
use chalkgap_testbed::rogue::{self, Defect};

fn config() -> AuditConfig {
    let classes = [("safe", Repeat::Safe), ("keyed", Repeat::Cell(1_000_000)), ("once", Repeat::Once)];
    AuditConfig {
        classes: classes.map(|(name, r)| (name.to_owned(), r)).into(),
        accounts: [("a".to_owned(), Plan { quota: (1.0, 3.0), ceiling: (1.0, 6.0), slack: 1.0 })].into(),
        drain_grace: 50_000,
        tolerance: 50_000,
        min_timeout: 20_000,
        ..AuditConfig::default()
    }
}

/// Sends calls of a class through a rogue ingress and audits the journal. `before` runs before the first call.
fn play(
    defect: Defect,
    class: &str,
    account: &str,
    before: fn(&Shared, &[Node], &Journal),
    calls: u64,
) -> Verdict {
    let system = System::new();
    system.threads(1);
    system.clone().run(async {
        let (runtime, journal): (Shared, _) = (system.clone(), Journal::default());
        let nodes: Vec<Node> = (0..2)
            .map(|n| {
                let machine = Machine {
                    work: [("safe".to_owned(), 2000.0)].into(),
                    cell: Cell::new(&format!("cell-{n}"), 1_000_000),
                    slow_start_window: if defect == Defect::Floods { 5_000_000 } else { 0 },
                    overload_window: 1_000_000,
                    cores: if defect == Defect::Floods { 1 } else { 3 },
                    overload_factor: 0.2,
                    ..Machine::default()
                };
                Node::start(runtime.clone(), ([127, 0, 0, 1], 0).into(), machine, journal.clone()).unwrap()
            })
            .collect();
        before(&runtime, &nodes, &journal);
        let at = rogue::start(runtime.clone(), nodes.iter().map(Node::address).collect(), defect).unwrap();
        let client = Client::connect(runtime.clone(), at, 0, journal.clone()).await.unwrap();
        for call in 0..calls {
            let (account, class) = (account.to_owned(), class.to_owned());
            client.call(&Request { call, account, class, units: 1, key: None, timeout: 500_000 }).await;
        }
        runtime.sleep_until(runtime.now() + 50_000).await;
        judge(&journal.entries(), &config())
    })
}

fn no_preparation(_: &Shared, _: &[Node], _: &Journal) {}

/// Returns the rules that were violated, in order of time and without immediate repetitions.
fn violated_rules(verdict: &Verdict) -> Vec<u8> {
    let mut rules: Vec<u8> = verdict.violations.iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn an_ingress_without_a_defect_causes_no_violation() {
    for class in ["safe", "keyed", "once"] {
        let verdict = play(Defect::None, class, "free", no_preparation, 5);
        assert_eq!((verdict.violations.len(), verdict.served), (0, 5), "{class}: {verdict:?}");
    }
}

#[test]
fn a_second_final_answer_violates_rule_1() {
    assert_eq!(violated_rules(&play(Defect::AnswersTwice, "safe", "free", no_preparation, 2)), [1]);
}

#[test]
fn a_missing_answer_violates_rule_1() {
    let verdict = play(Defect::Drops, "safe", "free", no_preparation, 2);
    assert_eq!((violated_rules(&verdict), verdict.violations.len()), (vec![1], 2), "{verdict:?}");
}

#[test]
fn a_late_answer_violates_rule_1() {
    let verdict = play(Defect::Late, "safe", "free", no_preparation, 2);
    assert_eq!(violated_rules(&verdict), [1]);
    assert!(verdict.violations[0].what.contains("after its deadline"), "{verdict:?}");
}

#[test]
fn a_served_call_that_reached_no_node_violates_rule_1() {
    assert_eq!(violated_rules(&play(Defect::Invents, "safe", "free", no_preparation, 1)), [1]);
}

#[test]
fn sending_an_unsafe_request_twice_violates_rule_2() {
    assert_eq!(violated_rules(&play(Defect::SendsTwice, "once", "free", no_preparation, 2)), [2]);
}

#[test]
fn sending_a_keyed_request_outside_its_cell_violates_rule_2() {
    let verdict = play(Defect::SendsTwice, "keyed", "free", no_preparation, 1);
    assert!(
        violated_rules(&verdict) == [2]
            && verdict.violations.iter().any(|violation| violation.what.contains("outside of cell")),
        "{verdict:?}"
    );
    assert!(play(Defect::SendsTwice, "safe", "free", no_preparation, 1).violations.is_empty());
}

#[test]
fn refusing_a_request_that_ran_violates_rule_2_unless_it_is_safe() {
    assert_eq!(violated_rules(&play(Defect::RefusesWhatRan, "once", "free", no_preparation, 1)), [2]);
    assert_eq!(violated_rules(&play(Defect::RefusesWhatRan, "keyed", "free", no_preparation, 1)), [2]);
    assert!(play(Defect::RefusesWhatRan, "safe", "free", no_preparation, 1).violations.is_empty());
}

#[test]
fn new_requests_to_a_draining_node_violate_rule_3() {
    let draining = |runtime: &Shared, nodes: &[Node], journal: &Journal| {
        let node = nodes[0].address();
        journal.note(runtime.now() - 200_000, Seen::Told { ingress: 0, node, ready: false });
    };
    assert_eq!(violated_rules(&play(Defect::None, "safe", "free", draining, 1)), [3]);
    // No violation: the node accepts requests again, drains only since now, or another ingress was informed.
    let accepting_again = |runtime: &Shared, nodes: &[Node], journal: &Journal| {
        let (node, now) = (nodes[0].address(), runtime.now());
        journal.note(now - 200_000, Seen::Told { ingress: 0, node, ready: false });
        journal.note(now - 100_000, Seen::Told { ingress: 0, node, ready: true });
        journal.note(now, Seen::Told { ingress: 0, node, ready: false });
        journal.note(now - 200_000, Seen::Told { ingress: 1, node, ready: false });
    };
    assert!(play(Defect::None, "safe", "free", accepting_again, 1).violations.is_empty());
}

#[test]
fn overloading_a_cold_node_violates_rule_4() {
    let verdict = play(Defect::Floods, "safe", "free", no_preparation, 3);
    assert!(violated_rules(&verdict).contains(&4), "{verdict:?}");
}

#[test]
fn exceeding_a_ceiling_violates_rule_5() {
    let verdict = play(Defect::None, "safe", "a", no_preparation, 12);
    assert_eq!(violated_rules(&verdict), [5]);
    assert!(
        verdict.beyond_quota >= 8.0 && verdict.beyond_quota <= 9.0,
        "a burst of 3 units and 1 unit per second: {verdict:?}"
    );
    assert!(play(Defect::None, "safe", "a", no_preparation, 6).violations.is_empty());
}

#[test]
fn calls_held_by_a_killed_ingress_need_no_final_answer() {
    let sent = |call| Seen::Asked {
        call,
        ingress: 3,
        account: "a".into(),
        class: "safe".into(),
        units: 1,
        key: None,
        deadline: 900_000,
    };
    let connection_broken = |call| Seen::Answered { call, answer: Answer::Broken };
    let journal =
        vec![(100_000, sent(1)), (200_000, Seen::Killed { ingress: 3 }), (201_000, connection_broken(1))];
    assert!(judge(&journal, &config()).violations.is_empty());
    let journal =
        vec![(100_000, sent(1)), (200_000, Seen::Killed { ingress: 2 }), (201_000, connection_broken(1))];
    assert_eq!(violated_rules(&judge(&journal, &config())), [1]);
}
