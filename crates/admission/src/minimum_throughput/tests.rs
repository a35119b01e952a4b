use super::*;

#[test]
fn a_transfer_below_the_minimum_is_too_slow_and_one_above_never_is() {
    let minimum = MinimumThroughput { grace_period: 1_000_000, bytes_per_second: 1000 };
    assert!(!minimum.is_too_slow(999_999, 0, 0));
    assert!(minimum.is_too_slow(1_000_000, 0, 999), "one byte less than the minimum");
    // One byte per second: too slow once the grace period has passed.
    assert!((1..60u64).any(|seconds| minimum.is_too_slow(seconds * 1_000_000, 0, seconds)));
    // Twice the minimum: never too slow.
    assert!((1..3600u64).all(|seconds| !minimum.is_too_slow(seconds * 1_000_000, 0, seconds * 2000)));
}
