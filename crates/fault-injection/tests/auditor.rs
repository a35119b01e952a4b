//! The auditor finds each rule broken on purpose, on real sockets, and finds nothing where nothing is broken.

use chalkgap::runtime::{system::System, Shared};
use chalkgap_fault_injection::audit::{judge, Law, Plan, Repeat, Verdict};
use chalkgap_testbed::client::{Client, Request};
use chalkgap_testbed::journal::{Answer, Journal, Seen};
use chalkgap_testbed::node::{Cell, Machine, Node};
use chalkgap_testbed::rogue::{self, Defect};

fn law() -> Law {
    let classes = [("safe", Repeat::Safe), ("keyed", Repeat::Cell(1_000_000)), ("once", Repeat::Once)];
    Law {
        classes: classes.map(|(name, r)| (name.to_owned(), r)).into(),
        accounts: [("a".to_owned(), Plan { quota: (1.0, 3.0), ceiling: (1.0, 6.0), slack: 1.0 })].into(),
        drain_grace: 50_000,
        tolerance: 50_000,
        least: 20_000,
        ..Law::default()
    }
}

/// Five calls of a class through a rogue ingress.
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
        judge(&journal.entries(), &law())
    })
}

fn nothing(_: &Shared, _: &[Node], _: &Journal) {}

fn rules(v: &Verdict) -> Vec<u8> {
    let mut list: Vec<u8> = v.violations.iter().map(|b| b.rule).collect();
    list.dedup();
    list
}

#[test]
fn nothing_is_found_where_nothing_is_broken() {
    for class in ["safe", "keyed", "once"] {
        let v = play(Defect::None, class, "free", nothing, 5);
        assert_eq!((v.violations.len(), v.served), (0, 5), "{class}: {v:?}");
    }
}

#[test]
fn a_second_answer() {
    assert_eq!(rules(&play(Defect::AnswersTwice, "safe", "free", nothing, 2)), [1]);
}

#[test]
fn no_answer() {
    let v = play(Defect::Drops, "safe", "free", nothing, 2);
    assert_eq!((rules(&v), v.violations.len()), (vec![1], 2), "{v:?}");
}

#[test]
fn a_late_answer() {
    let v = play(Defect::Late, "safe", "free", nothing, 2);
    assert_eq!(rules(&v), [1]);
    assert!(v.violations[0].what.contains("after its time"), "{v:?}");
}

#[test]
fn an_answer_that_no_node_gave() {
    assert_eq!(rules(&play(Defect::Invents, "safe", "free", nothing, 1)), [1]);
}

#[test]
fn an_unsafe_request_sent_twice() {
    assert_eq!(rules(&play(Defect::SendsTwice, "once", "free", nothing, 2)), [2]);
}

#[test]
fn a_keyed_request_outside_its_cell() {
    let v = play(Defect::SendsTwice, "keyed", "free", nothing, 1);
    assert!(rules(&v) == [2] && v.violations.iter().any(|b| b.what.contains("outside of cell")), "{v:?}");
    assert!(play(Defect::SendsTwice, "safe", "free", nothing, 1).violations.is_empty());
}

#[test]
fn a_refusal_of_what_ran() {
    assert_eq!(rules(&play(Defect::RefusesWhatRan, "once", "free", nothing, 1)), [2]);
    assert_eq!(rules(&play(Defect::RefusesWhatRan, "keyed", "free", nothing, 1)), [2]);
    assert!(play(Defect::RefusesWhatRan, "safe", "free", nothing, 1).violations.is_empty());
}

#[test]
fn work_for_a_drained_node() {
    let told = |runtime: &Shared, nodes: &[Node], journal: &Journal| {
        let node = nodes[0].address();
        journal.note(runtime.now() - 200_000, Seen::Told { ingress: 0, node, ready: false });
    };
    assert_eq!(rules(&play(Defect::None, "safe", "free", told, 1)), [3]);
    // Told again that it takes work; told a moment ago; another ingress was told.
    let back = |runtime: &Shared, nodes: &[Node], journal: &Journal| {
        let (node, now) = (nodes[0].address(), runtime.now());
        journal.note(now - 200_000, Seen::Told { ingress: 0, node, ready: false });
        journal.note(now - 100_000, Seen::Told { ingress: 0, node, ready: true });
        journal.note(now, Seen::Told { ingress: 0, node, ready: false });
        journal.note(now - 200_000, Seen::Told { ingress: 1, node, ready: false });
    };
    assert!(play(Defect::None, "safe", "free", back, 1).violations.is_empty());
}

#[test]
fn a_cold_node_pushed_over() {
    let v = play(Defect::Floods, "safe", "free", nothing, 3);
    assert!(rules(&v).contains(&4), "{v:?}");
}

#[test]
fn a_ceiling_passed() {
    let v = play(Defect::None, "safe", "a", nothing, 12);
    assert_eq!(rules(&v), [5]);
    assert!(v.beyond_quota >= 8.0 && v.beyond_quota <= 9.0, "three at once, one a second: {v:?}");
    assert!(play(Defect::None, "safe", "a", nothing, 6).violations.is_empty());
}

#[test]
fn what_a_killed_ingress_held_is_the_clients() {
    let ask = |call| Seen::Asked {
        call,
        ingress: 3,
        account: "a".into(),
        class: "safe".into(),
        units: 1,
        key: None,
        deadline: 900_000,
    };
    let broken = |call| Seen::Answered { call, answer: Answer::Broken };
    let journal = vec![(100_000, ask(1)), (200_000, Seen::Killed { ingress: 3 }), (201_000, broken(1))];
    assert!(judge(&journal, &law()).violations.is_empty());
    let journal = vec![(100_000, ask(1)), (200_000, Seen::Killed { ingress: 2 }), (201_000, broken(1))];
    assert_eq!(rules(&judge(&journal, &law())), [1]);
}
