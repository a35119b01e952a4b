//! Requests from a client through an ingress to nodes, on loopback sockets.

mod common;

use chalkgap_testbed::journal::{Answer, Seen};
use chalkgap_testbed::node::{Faults, Machine};
use common::*;

#[test]
fn a_call_is_served_with_the_nodes_answer() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default()]).await;
        let result = fixture.client.call(&client_request(1, "big", "sig-check")).await;
        assert_eq!(result.answer, Answer::Served, "{}", result.message);
        let response = result.response.unwrap();
        assert_eq!(&response.raw_body[..], b"done 1");
        assert_eq!(response.statuses.len(), 1);
        let node = fixture.nodes[0].address().to_string();
        assert_eq!(response.response_headers_to_add[0].value, node);
        let arrived =
            fixture.journal.entries().iter().filter(|e| matches!(e.1, Seen::Arrived { call: 1, .. })).count();
        assert_eq!(arrived, 1);
    });
}

#[test]
fn requests_over_quota_are_refused_with_a_retry_after() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default()]).await;
        let mut answers = Vec::new();
        for n in 0..8 {
            answers.push(fixture.client.call(&client_request(n, "small", "sig-check")).await);
        }
        let served = answers.iter().take_while(|a| a.answer == Answer::Served).count();
        assert!((5..=6).contains(&served), "burst 5, rate 2/s: {served} served");
        let refused = &answers[7];
        let Answer::Refused { pause } = refused.answer else { panic!("{refused:?}") };
        assert!(pause > 0 && pause <= 2_000_000, "{pause}");
        let headers = &refused.response.as_ref().unwrap().response_headers_to_add;
        assert_eq!(headers[0].key, "retry-after");
        assert!(["1", "2"].contains(&&headers[0].value[..]));
        // The quota of another account is not affected.
        assert_eq!(
            fixture.client.call(&client_request(100, "big", "sig-check")).await.answer,
            Answer::Served
        );
    });
}

#[test]
fn invalid_requests_fail_with_their_cause() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default()]).await;
        let result = fixture.client.call(&client_request(1, "nobody", "sig-check")).await;
        assert_eq!(
            (result.answer, &result.message[..]),
            (Answer::Failed { code: 7 }, "account \"nobody\" is not known")
        );
        let result = fixture.client.call(&client_request(2, "big", "other")).await;
        assert_eq!(result.answer, Answer::Failed { code: 3 });
        assert!(result.message.contains("expected one of [\"referral\", \"report-upload\", \"sig-check\"]"));
    });
}

#[test]
fn a_request_with_too_short_a_timeout_is_refused_at_once() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default()]).await;
        for (n, timeout) in [0, 1, 1000, 5000].into_iter().enumerate() {
            let request =
                chalkgap_testbed::client::Request { timeout, ..client_request(n as u64, "big", "sig-check") };
            let result = fixture.client.call(&request).await;
            assert!(matches!(result.answer, Answer::Refused { .. }), "{timeout}: {result:?}");
        }
        assert!(fixture.journal.entries().iter().all(|e| !matches!(e.1, Seen::Arrived { .. })));
    });
}

#[test]
fn requests_that_a_node_fails_are_retried_on_another() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        fixture.nodes[0].set_faults(Faults { fail: 1.0, ..Faults::default() });
        for n in 0..20 {
            let result = fixture.client.call(&client_request(n, "big", "sig-check")).await;
            assert_eq!(result.answer, Answer::Served, "call {n}: {}", result.message);
        }
    });
}

/// A node that breaks off halfway may have run the request. An unsafe request is then not sent again, and it ends as failed,
/// not as refused.
#[test]
fn unsafe_requests_are_never_retried_after_a_halfway_failure() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        let halfway = Faults { halfway: 1.0, ..Faults::default() };
        fixture.nodes.iter().for_each(|n| n.set_faults(halfway.clone()));
        for n in 0..5 {
            let result = fixture.client.call(&client_request(n, "big", "referral")).await;
            assert_eq!(result.answer, Answer::Failed { code: 14 });
        }
        for n in 0..5 {
            let ran = fixture
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
fn unsafe_requests_to_a_stopped_node_are_sent_to_another() {
    run(|system| async move {
        let mut fixture =
            Fixture::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        fixture.nodes[0].kill();
        for n in 0..10 {
            let result = fixture.client.call(&client_request(n, "big", "referral")).await;
            assert_eq!(result.answer, Answer::Served, "it never ran, so another node may run it");
        }
    });
}

/// The node accepts connections and never sends SETTINGS. The request was not sent on them, so even an unsafe one may be sent
/// to another node.
#[test]
fn unsafe_requests_to_a_node_without_settings_are_sent_to_another() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default(), Machine::default()]).await;
        fixture.nodes[0].set_faults(Faults { mute: true, ..Faults::default() });
        for n in 0..6 {
            let result = fixture.client.call(&client_request(n, "big", "referral")).await;
            assert_eq!(result.answer, Answer::Served, "call {n}: {}", result.message);
        }
    });
}

#[test]
fn requests_to_a_hanging_node_fail_at_their_deadline() {
    run(|system| async move {
        let fixture = Fixture::start(system, settings(), vec![Machine::default()]).await;
        fixture.nodes[0].set_faults(Faults { hang: true, ..Faults::default() });
        let request =
            chalkgap_testbed::client::Request { timeout: 400_000, ..client_request(1, "big", "referral") };
        let result = fixture.client.call(&request).await;
        assert_eq!(result.answer, Answer::Failed { code: 4 }, "DEADLINE_EXCEEDED");
        let entries = fixture.journal.entries();
        let time_of = |wanted: fn(&Seen) -> bool| entries.iter().find(|e| wanted(&e.1)).unwrap().0;
        let elapsed = time_of(|seen| matches!(seen, Seen::Answered { .. }))
            - time_of(|seen| matches!(seen, Seen::Asked { .. }));
        assert!(elapsed >= 350_000, "failed after {elapsed} us, well before its deadline");
    });
}

#[test]
fn accepted_requests_are_answered_in_a_drain() {
    run(|system| async move {
        let machine = Machine { work: [("sig-check".into(), 100_000.0)].into(), ..Machine::default() };
        let mut fixture = Fixture::start(system, settings(), vec![machine]).await;
        let deadline = fixture.runtime.now() + 5_000_000;
        let request = client_request(1, "big", "sig-check");
        let call = fixture.client.call(&request);
        let drain = async {
            sleep_ms(&fixture.runtime, 20).await;
            fixture.ingress.drain(deadline).await
        };
        let (result, drained) = futures_lite::future::zip(call, drain).await;
        assert_eq!((result.answer, drained), (Answer::Served, true));
        assert!(fixture.client.closed());
    });
}
