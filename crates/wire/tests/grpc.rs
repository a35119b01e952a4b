//! gRPC's small parts, the messages, and load reports.

use chalkgap_wire::grpc::{self, Code, Deframer, Status};
use chalkgap_wire::orca::{self, Load};
use chalkgap_wire::ratelimit::{Descriptor, Entry, RateLimitRequest};
use proptest::prelude::*;
use prost::Message;

#[test]
fn timeouts() {
    let good = [("1H", 3_600_000_000), ("2M", 120_000_000), ("3S", 3_000_000), ("99999999m", 99_999_999_000)];
    for (text, micros) in good.into_iter().chain([("0u", 0), ("7u", 7), ("1999n", 1)]) {
        assert_eq!(grpc::parse_timeout(text.as_bytes()), Some(micros), "{text}");
    }
    for text in ["", "S", "5", "123456789m", "-1S", "+1S", "1.5S", "1s", " 1S", "1S "] {
        assert_eq!(grpc::parse_timeout(text.as_bytes()), None, "{text:?}");
    }
}

#[test]
fn messages_over_the_limit_are_known_from_their_prefix() {
    let mut d = Deframer::new(100);
    d.push(&[0, 0, 0, 0, 101]);
    assert_eq!(d.message().unwrap_err().code, Code::ResourceExhausted);
    let mut d = Deframer::new(100);
    d.push(&[1, 0, 0, 0, 1, 0]);
    assert_eq!(d.message().unwrap_err().code, Code::Unimplemented);
    let mut d = Deframer::new(100);
    d.push(&[7, 0, 0, 0, 1, 0]);
    assert_eq!(d.message().unwrap_err().code, Code::Internal);
}

/// Bytes of the public definition, written by hand: field 1 "d", field 2 { field 1 { "k", "v" } }, field 3 of 5, and
/// a field 99 that is not known.
#[test]
fn request_has_the_public_field_numbers() {
    let bytes = b"\x0a\x01d\x12\x08\x0a\x06\x0a\x01k\x12\x01v\x18\x05\x9a\x06\x01x";
    let entries = vec![Entry { key: "k".into(), value: "v".into() }];
    let descriptors = vec![Descriptor { entries, hits_addend: None }];
    let expected = RateLimitRequest { domain: "d".into(), descriptors, hits_addend: 5 };
    assert_eq!(RateLimitRequest::decode(&bytes[..]).unwrap(), expected);
    assert_eq!(expected.encode_to_vec(), bytes[..bytes.len() - 4]);
}

#[test]
fn load_reports() {
    let load = Load { queue: Some(3.0), cpu_utilization: Some(0.25), ..Load::default() };
    assert_eq!(
        orca::parse(b"TEXT cpu_utilization=0.25, named_metrics.queue=3, named_metrics.x=1"),
        Some(load)
    );
    for bad in ["", "BIN abc", "TEXT named_metrics.queue=-1", "TEXT named_metrics.queue=NaN", "TEXT queue"] {
        assert_eq!(orca::parse(bad.as_bytes()), None, "{bad}");
    }
    assert_eq!(orca::parse(&[b'T'; 2000]), None);
}

proptest! {
    #[test]
    fn texts_survive(text in any::<String>()) {
        let coded = grpc::percent_encode(&text);
        prop_assert!(coded.iter().all(|b| (0x20..=0x7e).contains(b)));
        prop_assert_eq!(grpc::percent_decode(&coded), text);
    }

    #[test]
    fn status_round_trip(code in 0u32..17, text in any::<String>()) {
        let status = Status::new(Code::from_number(code), text);
        prop_assert_eq!(Status::from_fields(&status.fields()), status);
    }

    /// Written times are never longer than the true ones, and at most a second shorter.
    #[test]
    fn timeout_round_trip(micros in 0u64..90_000_000_000_000) {
        let read = grpc::parse_timeout(grpc::format_timeout(micros).as_bytes()).unwrap();
        prop_assert!(read <= micros && micros - read < 1_000_000);
    }

    #[test]
    fn deframed_in_any_cut(sizes in proptest::collection::vec(0usize..90, 0..6), step in 1usize..9) {
        let mut bytes = Vec::new();
        for n in &sizes {
            bytes.extend([0, 0, 0, 0, *n as u8]);
            bytes.extend(vec![7u8; *n]);
        }
        let (mut d, mut got) = (Deframer::new(100), Vec::new());
        for part in bytes.chunks(step) {
            d.push(part);
            while let Some(m) = d.message().unwrap() {
                got.push(m.len());
            }
        }
        prop_assert_eq!(got, sizes);
        prop_assert!(!d.partial());
    }

    #[test]
    fn any_load_report(bytes in proptest::collection::vec(any::<u8>(), 0..100)) {
        if let Some(l) = orca::parse(&bytes) {
            prop_assert_eq!(orca::parse(orca::format(&l).as_bytes()), Some(l));
        }
    }
}
