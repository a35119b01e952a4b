use super::*;

#[test]
fn a_trickle_ends_and_a_stream_does_not() {
    let minimum = MinimumThroughput { grace_period: 1_000_000, bytes_per_second: 1000 };
    assert!(!minimum.is_too_slow(999_999, 0, 0));
    assert!(minimum.is_too_slow(1_000_000, 0, 999), "a byte a millisecond, late by one");
    // One byte a second: too slow as soon as the grace period is over.
    assert!((1..60u64).any(|seconds| minimum.is_too_slow(seconds * 1_000_000, 0, seconds)));
    // Twice the minimum: never.
    assert!((1..3600u64).all(|seconds| !minimum.is_too_slow(seconds * 1_000_000, 0, seconds * 2000)));
}
