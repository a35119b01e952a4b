//! Client connections: replies in the order of their commands, limits, errors.

use crate::builders::{encoded_command, parser, CUSTOMER, ID, QUERY};
use bytes::Bytes;
use chalkgap::frontend::Answer;
use chalkgap_platform::session::{Session, MAX_PENDING_COMMANDS};
use chalkgap_transport::Machine;
use std::net::SocketAddr;
use std::sync::Arc;

/// Passes bytes to the session and returns the tokens of the requests that it yields.
pub(crate) fn receive_requests(session: &mut Session, bytes: &[u8]) -> Vec<u32> {
    let Ok(()) = session.receive(0, bytes);
    std::iter::from_fn(|| session.next_request(|_| true)).map(|request| request.token).collect()
}

fn served(text: &'static str) -> Answer {
    Answer::Served { body: Bytes::from(text), node: SocketAddr::from(([127, 0, 0, 1], 1)) }
}

#[test]
fn replies_follow_the_order_of_the_commands() {
    let mut session = Session::new(Arc::new(parser()));
    let mut bytes = encoded_command(&["SVC.QUERY", CUSTOMER, ID, QUERY]);
    bytes.extend_from_slice(&encoded_command(&["PING"]));
    bytes.extend_from_slice(&encoded_command(&["SVC.QUERY", CUSTOMER, "000000000000000a", QUERY]));
    bytes.extend_from_slice(b"*1\r\n$99999999\r\n");
    let tokens = receive_requests(&mut session, &bytes);
    assert_eq!(tokens.len(), 2);
    assert_eq!(session.pending_requests().map(|(_, id)| id).collect::<Vec<_>>(), [0x9b1f_03aa_5c7e_2d41, 10]);
    assert!(!session.wants_input(), "input after a malformed command is not read");
    assert_eq!(session.answer(tokens[1], Answer::Rejected { retry_after: 1500 }), Some(10));
    assert!(session.output().is_empty(), "the earlier request has no reply yet");
    assert!(!session.can_close(), "earlier requests still get their replies");
    session.answer(tokens[0], served("value"));
    let text = String::from_utf8(session.output().to_vec()).unwrap();
    assert!(text.starts_with("$5\r\nvalue\r\n+PONG\r\n-BUSY 2\r\n-ERR unreadable command: byte 5"), "{text}");
    assert!(session.can_close());
    assert_eq!(session.answer(tokens[0], served("again")), None, "a request is answered once");
}

#[test]
fn pending_commands_are_bounded_and_an_open_id_is_rejected() {
    let mut session = Session::new(Arc::new(parser()));
    let commands = encoded_command(&["SVC.QUERY", CUSTOMER, ID, QUERY]).repeat(200);
    assert_eq!(receive_requests(&mut session, &commands).len(), MAX_PENDING_COMMANDS);
    assert!(session.wants_input(), "the end of the connection stands behind its last byte");
    session.answer(0, served("v"));
    assert_eq!(receive_requests(&mut session, b"").len(), 1, "each reply admits one more command");
    let mut session = Session::new(Arc::new(parser()));
    let Ok(()) = session.receive(0, &encoded_command(&["SVC.QUERY", CUSTOMER, ID, QUERY]));
    assert!(session.next_request(|_| false).is_none());
    assert_eq!(&session.output()[..], b"-ERR id: a request of this id is open\r\n");
}

/// Commands that need no backend stayed in the buffer behind the first 32 of one read, and timed out there.
#[test]
fn any_number_of_commands_that_need_no_backend_is_answered_at_once() {
    let count = 3 * MAX_PENDING_COMMANDS;
    let mut session = Session::new(Arc::new(parser()));
    assert!(receive_requests(&mut session, &encoded_command(&["PING"]).repeat(count)).is_empty());
    assert_eq!(&session.output()[..], b"+PONG\r\n".repeat(count));
    let mut session = Session::new(Arc::new(parser()));
    session.start_rejecting();
    let queries = encoded_command(&["SVC.QUERY", CUSTOMER, ID, QUERY]).repeat(count);
    assert!(receive_requests(&mut session, &queries).is_empty());
    assert_eq!(&session.output()[..], b"-BUSY\r\n".repeat(count));
    assert!(session.can_close());
}

/// Commands behind a full buffer stayed unread, and with them the end of the connection.
#[test]
fn commands_behind_a_full_buffer_are_rejected_within_a_bound() {
    const BUFFER_BYTES: usize = (64 << 10) + 4096;
    const MAX_REJECTED: usize = 8192;
    let command = encoded_command(&["SVC.QUERY", CUSTOMER, ID, QUERY]);
    let mut session = Session::new(Arc::new(parser()));
    let mut tokens = receive_requests(&mut session, &command.repeat(MAX_PENDING_COMMANDS));
    let mut behind = 0;
    while session.wants_input() && behind <= 2 * MAX_REJECTED {
        tokens.extend(receive_requests(&mut session, &command));
        behind += 1;
    }
    assert_eq!(tokens.len(), MAX_PENDING_COMMANDS);
    assert!(behind <= MAX_REJECTED + BUFFER_BYTES / command.len() + 2, "{behind} commands were read");
    assert!(session.held_bytes() <= 2 * BUFFER_BYTES);
    tokens.into_iter().for_each(|token| {
        session.answer(token, served("v"));
    });
    let output = String::from_utf8(session.output().to_vec()).unwrap();
    assert_eq!(output.matches("$1\r\nv\r\n").count(), MAX_PENDING_COMMANDS);
    assert_eq!(output.matches("-BUSY\r\n").count(), MAX_REJECTED);
}
