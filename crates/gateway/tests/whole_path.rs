//! A client, an ingress, nodes: what passes on the sockets, case by case.

mod common;

use chalkgap_testbed::journal::{Answer, Seen};
use chalkgap_testbed::node::{Faults, Machine};
use common::*;

#[test]
fn a_call_is_served_with_the_nodes_answer() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default()]).await;
        let end = s.client.call(&ask(1, "big", "sig-check")).await;
        assert_eq!(end.answer, Answer::Served, "{}", end.message);
        let response = end.response.unwrap();
        assert_eq!(&response.raw_body[..], b"done 1");
        assert_eq!(response.statuses.len(), 1);
        let node = s.nodes[0].address().to_string();
        assert_eq!(response.response_headers_to_add[0].value, node);
        let arrived =
            s.journal.entries().iter().filter(|e| matches!(e.1, Seen::Arrived { call: 1, .. })).count();
        assert_eq!(arrived, 1);
    });
}

#[test]
fn past_the_store_it_is_refused_and_told_when_to_come_back() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default()]).await;
        let mut answers = Vec::new();
        for n in 0..8 {
            answers.push(s.client.call(&ask(n, "small", "sig-check")).await);
        }
        let served = answers.iter().take_while(|a| a.answer == Answer::Served).count();
        assert!((5..=6).contains(&served), "a burst of five units, two a second: {served} served");
        let refused = &answers[7];
        let Answer::Refused { pause } = refused.answer else { panic!("{refused:?}") };
        assert!(pause > 0 && pause <= 2_000_000, "{pause}");
        let headers = &refused.response.as_ref().unwrap().response_headers_to_add;
        assert_eq!(headers[0].key, "retry-after");
        assert!(["1", "2"].contains(&&headers[0].value[..]));
        // Another account is not concerned.
        assert_eq!(s.client.call(&ask(100, "big", "sig-check")).await.answer, Answer::Served);
    });
}

#[test]
fn what_is_no_request_is_told_why() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default()]).await;
        let end = s.client.call(&ask(1, "nobody", "sig-check")).await;
        assert_eq!(
            (end.answer, &end.message[..]),
            (Answer::Failed { code: 7 }, "account \"nobody\" is not known")
        );
        let end = s.client.call(&ask(2, "big", "other")).await;
        assert_eq!(end.answer, Answer::Failed { code: 3 });
        assert!(end.message.contains("expected one of [\"referral\", \"report-upload\", \"sig-check\"]"));
    });
}

#[test]
fn a_client_without_time_is_refused_at_once() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default()]).await;
        for (n, timeout) in [0, 1, 1000, 5000].into_iter().enumerate() {
            let asked = chalkgap_testbed::client::Request { timeout, ..ask(n as u64, "big", "sig-check") };
            let end = s.client.call(&asked).await;
            assert!(matches!(end.answer, Answer::Refused { .. }), "{timeout}: {end:?}");
        }
        assert!(s.journal.entries().iter().all(|e| !matches!(e.1, Seen::Arrived { .. })));
    });
}

#[test]
fn a_node_that_fails_fast_is_tried_elsewhere() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        s.nodes[0].faults(Faults { fail: 1.0, ..Faults::default() });
        for n in 0..20 {
            let end = s.client.call(&ask(n, "big", "sig-check")).await;
            assert_eq!(end.answer, Answer::Served, "call {n}: {}", end.message);
        }
    });
}

/// It may have run: an unsafe request is never sent again, and is failed, not refused.
#[test]
fn halfway_failures_of_unsafe_requests_are_failed_and_never_repeated() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        let halfway = Faults { halfway: 1.0, ..Faults::default() };
        s.nodes.iter().for_each(|n| n.faults(halfway.clone()));
        for n in 0..5 {
            let end = s.client.call(&ask(n, "big", "referral")).await;
            assert_eq!(end.answer, Answer::Failed { code: 14 });
        }
        for n in 0..5 {
            let ran = s
                .journal
                .entries()
                .iter()
                .filter(|e| matches!(e.1, Seen::Ran { call, .. } if call == n))
                .count();
            assert_eq!(ran, 1);
        }
    });
}

#[test]
fn a_dead_node_never_ran_an_unsafe_request() {
    run(|system| async move {
        let mut s = Small::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        s.nodes[0].kill();
        for n in 0..10 {
            let end = s.client.call(&ask(n, "big", "referral")).await;
            assert_eq!(end.answer, Answer::Served, "never ran: an unsafe one may go elsewhere");
        }
    });
}

/// It takes connections and never says SETTINGS: nothing was sent, so the request may go elsewhere, even an unsafe one.
#[test]
fn a_mute_node_never_ran_an_unsafe_request() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        s.nodes[0].faults(Faults { mute: true, ..Faults::default() });
        for n in 0..6 {
            let end = s.client.call(&ask(n, "big", "referral")).await;
            assert_eq!(end.answer, Answer::Served, "call {n}: {}", end.message);
        }
    });
}

#[test]
fn a_hanging_node_costs_nobody_the_answer() {
    run(|system| async move {
        let s = Small::start(system, settings(), vec![Machine::default()]).await;
        s.nodes[0].faults(Faults { hang: true, ..Faults::default() });
        let asked = chalkgap_testbed::client::Request { timeout: 400_000, ..ask(1, "big", "referral") };
        let end = s.client.call(&asked).await;
        assert_eq!(end.answer, Answer::Failed { code: 4 }, "in time, by the deadline's name");
        let entries = s.journal.entries();
        let at = |want: fn(&Seen) -> bool| entries.iter().find(|e| want(&e.1)).unwrap().0;
        let took = at(|s| matches!(s, Seen::Answered { .. })) - at(|s| matches!(s, Seen::Asked { .. }));
        assert!(took >= 350_000, "not before it had to: {took}");
    });
}

#[test]
fn drained_all_that_was_taken_is_answered() {
    run(|system| async move {
        let machine = Machine { work: [("sig-check".into(), 100_000.0)].into(), ..Machine::default() };
        let mut s = Small::start(system, settings(), vec![machine]).await;
        let until = s.runtime.now() + 5_000_000;
        let asked = ask(1, "big", "sig-check");
        let call = s.client.call(&asked);
        let drain = async {
            pause(&s.runtime, 20).await;
            s.ingress.drain(until).await
        };
        let (end, drained) = futures_lite::future::zip(call, drain).await;
        assert_eq!((end.answer, drained), (Answer::Served, true));
        assert!(s.client.closed());
    });
}
