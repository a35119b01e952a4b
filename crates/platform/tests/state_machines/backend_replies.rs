//! Decoding of backend replies, and the limit on their memory.

use bytes::BytesMut;
use chalkgap_core::Outcome;
use chalkgap_platform::backend_reply::decode_backend_reply;
use chalkgap_transport::{MemoryBudget, MemoryOwner};

/// Decodes a reply. Returns its outcome, its value, the queue length in its load report, and whether the connection is reusable.
pub(crate) fn decode(bytes: &[u8]) -> Option<(Outcome, String, Option<f64>, bool)> {
    let reply = decode_backend_reply(&mut BytesMut::from(bytes), &["depth".to_owned()])?;
    let value = String::from_utf8(reply.value.to_vec()).unwrap();
    Some((reply.outcome, value, reply.load_report.and_then(|report| report.queued), reply.reusable))
}

#[test]
fn backend_replies_are_decoded_or_reset() {
    let good = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$7\r\ndepth=2\r\n";
    assert_eq!(decode(good), Some((Outcome::Ok, "value".into(), Some(2.0), true)));
    assert_eq!(decode(&good[..good.len() - 1]), None);
    assert_eq!(decode(b"-BUSY\r\n"), Some((Outcome::Rejected, String::new(), None, true)));
    assert_eq!(decode(b"-ERR failed depth=3\r\n"), Some((Outcome::Error, String::new(), Some(3.0), true)));
    // A valid reply with bytes behind it: the reply counts, and the connection is not reusable.
    assert_eq!(decode(&good.repeat(2)), Some((Outcome::Ok, "value".into(), Some(2.0), false)));
    assert_eq!(
        decode(&[&good[..], b"noise"].concat()),
        Some((Outcome::Ok, "value".into(), Some(2.0), false))
    );
    // A malformed second element or load report does not affect the outcome and the value.
    for report in ["depth=x", "depth=nan", "depth=-1", "what", "depth=1,other=2"] {
        let bytes = format!("*3\r\n$5\r\nvalue\r\n$2\r\n?!\r\n${}\r\n{report}\r\n", report.len());
        assert_eq!(decode(bytes.as_bytes()), Some((Outcome::Ok, "value".into(), None, true)), "{report}");
    }
    let malformed = Some((Outcome::Reset, String::new(), None, false));
    for bytes in [
        &b"noise"[..],
        b"$3000000000\r\nxx",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b":1\r\n",
        b"+OK\r\n",
        b"$5\r\nvalue\r\n",
        b"-MOVED 1\r\n",
        &[b'-'; 600],
    ] {
        assert_eq!(decode(bytes), malformed, "{bytes:?}");
    }
}

/// Observed in a run with many faults: valid replies of 250 KB were rejected as malformed by a limit of 64 KiB, one in ten of all
/// replies. The memory budget is the limit now: a reply that would exceed it is abandoned.
#[test]
fn large_replies_are_accepted_within_the_memory_budget() {
    let body = "v".repeat(250_790);
    let bytes = format!("*3\r\n${}\r\n{body}\r\n$-1\r\n$-1\r\n", body.len());
    assert_eq!(decode(bytes.as_bytes()), Some((Outcome::Ok, body, None, true)));
    let budget = MemoryBudget::new(100);
    let mut first = budget.reservation(MemoryOwner::Replies);
    let mut second = budget.reservation(MemoryOwner::Replies);
    assert!(first.grow(60) && second.grow(40) && !second.grow(1) && !first.grow(usize::MAX));
    drop(first);
    assert!(second.grow(60) && !second.grow(1));
}
