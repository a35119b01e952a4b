//! Parsing of commands to requests, and encoding of requests to forwarded commands.

use crate::builders::{command, encoded_command, parser, CUSTOMER, ID, QUERY, SUBMIT};
use bytes::BytesMut;
use chalkgap_platform::request::InvalidRequest;
use chalkgap_resp::{decode_command, Limits};
use proptest::prelude::*;

#[test]
fn requests_are_forwarded_with_their_remaining_time() {
    let request = parser().parse(command(&["SVC.QUERY", CUSTOMER, ID, QUERY])).unwrap();
    assert_eq!((request.customer, request.id), (0xb4d6_5521, 0x9b1f_03aa_5c7e_2d41));
    assert_eq!((request.class, request.plan, request.timeout), (0, 1, 480_000));
    assert_eq!((request.units, request.spread, request.first_ingress), (2.0, 3.0, 1.0));
    let mut out = BytesMut::new();
    request.command.encode(&mut out, 77);
    assert_eq!(out, encoded_command(&["SVC.QUERY", CUSTOMER, ID, &QUERY.replace("d=480", "d=77")]));
    let request = parser().parse(command(&["SVC.SUBMIT", CUSTOMER, ID, SUBMIT, "body"])).unwrap();
    let mut out = BytesMut::new();
    request.command.encode(&mut out, 12_345);
    assert_eq!(
        out,
        encoded_command(&["SVC.SUBMIT", CUSTOMER, ID, &SUBMIT.replace("d=7500", "d=12345"), "body"])
    );
}

#[test]
fn invalid_requests_are_rejected_with_their_cause() {
    let parser = parser();
    let query_error =
        |attributes: &str| parser.parse(command(&["SVC.QUERY", CUSTOMER, ID, attributes])).unwrap_err();
    let error_with = |from: &str, to: &str| query_error(&QUERY.replace(from, to));
    assert_eq!(parser.parse(command(&["GET", "x"])).unwrap_err(), InvalidRequest::UnknownCommand);
    assert_eq!(
        parser.parse(command(&["SVC.QUERY", CUSTOMER, ID])).unwrap_err(),
        InvalidRequest::ArgumentCount
    );
    for customer in ["", "b4d65521", "0000000200000000", "00000000b4d6552g", "-0000000b4d65521"] {
        assert_eq!(
            parser.parse(command(&["SVC.QUERY", customer, ID, QUERY])).unwrap_err(),
            InvalidRequest::Customer
        );
    }
    for id in ["", "1", "9b1f03aa5c7e2d411", "+b1f03aa5c7e2d41"] {
        assert_eq!(
            parser.parse(command(&["SVC.QUERY", CUSTOMER, id, QUERY])).unwrap_err(),
            InvalidRequest::Id
        );
    }
    assert_eq!(error_with("sig-check", "nothing"), InvalidRequest::Class);
    assert_eq!(
        error_with("sig-check", "report-upload"),
        InvalidRequest::Class,
        "a class that queries may not use"
    );
    assert_eq!(error_with("team", "gold"), InvalidRequest::Plan);
    for deadline in ["-1", "", "x", "1e9", "4.5", "9999999999999999999"] {
        assert_eq!(error_with("480", deadline), InvalidRequest::Deadline, "{deadline}");
    }
    for units in ["0", "-2", "3", "1e1", "nan", "inf", "", "2000000000000000000"] {
        assert_eq!(error_with("units=2", &format!("units={units}")), InvalidRequest::Units, "{units}");
    }
    for spread in ["0", "4", "1.5", "x", ""] {
        assert_eq!(error_with("spread=3", &format!("spread={spread}")), InvalidRequest::Spread, "{spread}");
    }
    assert_eq!(error_with("first=1", "first=3"), InvalidRequest::Spread);
    assert_eq!(error_with(",first=1", ""), InvalidRequest::Spread);
    assert_eq!(error_with("first=1", "first=1,first=1"), InvalidRequest::Attributes, "a repeated attribute");
    assert_eq!(error_with("first=1", "first=1,more=1"), InvalidRequest::Attributes);
    assert_eq!(
        error_with("first=1", "first=1,k=5c0f6e1a2b3d4c59"),
        InvalidRequest::IdempotencyKey,
        "a key in a class without keys"
    );
    assert_eq!(query_error(&"x".repeat(600)), InvalidRequest::Attributes);
    let submit_error =
        |attributes: &str| parser.parse(command(&["SVC.SUBMIT", CUSTOMER, ID, attributes, "b"])).unwrap_err();
    assert_eq!(submit_error(&SUBMIT.replace("5c0f6e1a2b3d4c59", "5c")), InvalidRequest::IdempotencyKey);
    assert_eq!(submit_error(&SUBMIT.replace("k=5c0f6e1a2b3d4c59,", "")), InvalidRequest::IdempotencyKey);
}

proptest! {
    #[test]
    fn any_attributes_are_forwarded_or_rejected(attributes in "[a-z=,0-9.]{0,60}", id in "[0-9a-f]{16}") {
        if let Ok(request) = parser().parse(command(&["SVC.QUERY", CUSTOMER, &id, &attributes])) {
            let mut out = BytesMut::new();
            request.command.encode(&mut out, 1);
            let limits = Limits { max_elements: 8, max_depth: 1, max_bulk_bytes: 1 << 16, max_line_bytes: 24, max_item_bytes: 1 << 17 };
            prop_assert!(decode_command(&mut out, &limits).unwrap().is_some());
        }
    }
}
