//! gRPC timeouts, statuses and message framing, rate limit messages, and load reports.

use chalkgap_wire::grpc::{self, Code, Deframer, Status};
use chalkgap_wire::orca::{self, Load};
use chalkgap_wire::ratelimit::{Descriptor, Entry, RateLimitRequest};
use proptest::prelude::*;
use prost::Message;

#[test]
fn valid_timeouts_are_parsed_and_others_rejected() {
    let valid =
        [("1H", 3_600_000_000), ("2M", 120_000_000), ("3S", 3_000_000), ("99999999m", 99_999_999_000)];
    for (text, micros) in valid.into_iter().chain([("0u", 0), ("7u", 7), ("1999n", 1)]) {
        assert_eq!(grpc::parse_timeout(text.as_bytes()), Some(micros), "{text}");
    }
    for text in ["", "S", "5", "123456789m", "-1S", "+1S", "1.5S", "1s", " 1S", "1S "] {
        assert_eq!(grpc::parse_timeout(text.as_bytes()), None, "{text:?}");
    }
}

#[test]
fn deframer_rejects_a_message_by_its_prefix() {
    let mut deframer = Deframer::new(100);
    deframer.push(&[0, 0, 0, 0, 101]);
    assert_eq!(deframer.message().unwrap_err().code, Code::ResourceExhausted);
    let mut deframer = Deframer::new(100);
    deframer.push(&[1, 0, 0, 0, 1, 0]);
    assert_eq!(deframer.message().unwrap_err().code, Code::Unimplemented);
    let mut deframer = Deframer::new(100);
    deframer.push(&[7, 0, 0, 0, 1, 0]);
    assert_eq!(deframer.message().unwrap_err().code, Code::Internal);
}

/// Encoding by the published definition, written by hand: field 1 "d", field 2 { field 1 { "k", "v" } }, field 3 with
/// value 5, and an unknown field 99.
#[test]
fn rate_limit_request_has_the_published_field_numbers() {
    let bytes = b"\x0a\x01d\x12\x08\x0a\x06\x0a\x01k\x12\x01v\x18\x05\x9a\x06\x01x";
    let entries = vec![Entry { key: "k".into(), value: "v".into() }];
    let descriptors = vec![Descriptor { entries, hits_addend: None }];
    let expected = RateLimitRequest { domain: "d".into(), descriptors, hits_addend: 5 };
    assert_eq!(RateLimitRequest::decode(&bytes[..]).unwrap(), expected);
    assert_eq!(expected.encode_to_vec(), bytes[..bytes.len() - 4]);
}

#[test]
fn valid_load_reports_are_parsed_and_others_rejected() {
    let load = Load { queue: Some(3.0), cpu_utilization: Some(0.25), ..Load::default() };
    assert_eq!(
        orca::parse(b"TEXT cpu_utilization=0.25, named_metrics.queue=3, named_metrics.x=1"),
        Some(load)
    );
    for invalid in
        ["", "BIN abc", "TEXT named_metrics.queue=-1", "TEXT named_metrics.queue=NaN", "TEXT queue"]
    {
        assert_eq!(orca::parse(invalid.as_bytes()), None, "{invalid}");
    }
    assert_eq!(orca::parse(&[b'T'; 2000]), None);
}

proptest! {
    #[test]
    fn percent_encoding_round_trip(text in any::<String>()) {
        let encoded = grpc::percent_encode(&text);
        prop_assert!(encoded.iter().all(|byte| (0x20..=0x7e).contains(byte)));
        prop_assert_eq!(grpc::percent_decode(&encoded), text);
    }

    #[test]
    fn status_round_trip(code in 0u32..17, text in any::<String>()) {
        let status = Status::new(Code::from_number(code), text);
        prop_assert_eq!(Status::from_fields(&status.fields()), status);
    }

    /// A formatted timeout is never longer than the original, and less than a second shorter.
    #[test]
    fn timeout_round_trip(micros in 0u64..90_000_000_000_000) {
        let parsed = grpc::parse_timeout(grpc::format_timeout(micros).as_bytes()).unwrap();
        prop_assert!(parsed <= micros && micros - parsed < 1_000_000);
    }

    /// The deframer returns the same messages however the bytes are split.
    #[test]
    fn deframer_accepts_any_split(sizes in proptest::collection::vec(0usize..90, 0..6), step in 1usize..9) {
        let mut bytes = Vec::new();
        for size in &sizes {
            bytes.extend([0, 0, 0, 0, *size as u8]);
            bytes.extend(vec![7u8; *size]);
        }
        let mut deframer = Deframer::new(100);
        let mut received = Vec::new();
        for part in bytes.chunks(step) {
            deframer.push(part);
            while let Some(message) = deframer.message().unwrap() {
                received.push(message.len());
            }
        }
        prop_assert_eq!(received, sizes);
        prop_assert!(!deframer.partial());
    }

    /// A parsed report is the same after formatting and parsing it again.
    #[test]
    fn any_load_report(bytes in proptest::collection::vec(any::<u8>(), 0..100)) {
        if let Some(load) = orca::parse(&bytes) {
            prop_assert_eq!(orca::parse(orca::format(&load).as_bytes()), Some(load));
        }
    }
}
