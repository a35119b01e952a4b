//! Replies of backends, and the memory that they may take.

use bytes::BytesMut;
use chalkgap_core::Outcome;
use chalkgap_platform::backend_reply::decode_backend_reply;
use chalkgap_platform::memory_budget::MemoryBudget;

pub(crate) fn answer(bytes: &[u8]) -> Option<(Outcome, String, Option<f64>, bool)> {
    let found = decode_backend_reply(&mut BytesMut::from(bytes), &["depth".to_owned()])?;
    let value = String::from_utf8(found.value.to_vec()).unwrap();
    Some((found.outcome, value, found.load_report.and_then(|r| r.queued), found.reusable))
}

#[test]
fn backend_replies_are_decoded_or_reset() {
    let good = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$7\r\ndepth=2\r\n";
    assert_eq!(answer(good), Some((Outcome::Ok, "value".into(), Some(2.0), true)));
    assert_eq!(answer(&good[..good.len() - 1]), None);
    assert_eq!(answer(b"-BUSY\r\n"), Some((Outcome::Rejected, String::new(), None, true)));
    assert_eq!(answer(b"-ERR failed depth=3\r\n"), Some((Outcome::Error, String::new(), Some(3.0), true)));
    // Good, and more than belongs to it: the answer stands, the connection is done.
    assert_eq!(answer(&good.repeat(2)), Some((Outcome::Ok, "value".into(), Some(2.0), false)));
    assert_eq!(
        answer(&[&good[..], b"noise"].concat()),
        Some((Outcome::Ok, "value".into(), Some(2.0), false))
    );
    // A report or figures that cannot be read take nothing from it.
    for report in ["depth=x", "depth=nan", "depth=-1", "what", "depth=1,other=2"] {
        let bytes = format!("*3\r\n$5\r\nvalue\r\n$2\r\n?!\r\n${}\r\n{report}\r\n", report.len());
        assert_eq!(answer(bytes.as_bytes()), Some((Outcome::Ok, "value".into(), None, true)), "{report}");
    }
    let spoilt = Some((Outcome::Reset, String::new(), None, false));
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
        assert_eq!(answer(bytes), spoilt, "{bytes:?}");
    }
}

/// Seen on a rough day: usual answers of 250 KB, which a limit of 64 KiB took for spoilt ones, one in ten of all. What
/// claims more than memory allows is given up, whatever it claims.
#[test]
fn large_replies_are_accepted_within_the_memory_budget() {
    let body = "v".repeat(250_790);
    let bytes = format!("*3\r\n${}\r\n{body}\r\n$-1\r\n$-1\r\n", body.len());
    assert_eq!(answer(bytes.as_bytes()), Some((Outcome::Ok, body, None, true)));
    let budget = MemoryBudget::new(100);
    let (mut one, mut two) = (budget.reservation(), budget.reservation());
    assert!(one.grow(60) && two.grow(40) && !two.grow(1) && !one.grow(usize::MAX));
    drop(one);
    assert!(two.grow(60) && !two.grow(1));
}
