//! The timeouts of a graceful shutdown.

use chalkgap_platform::shutdown::ShutdownTimeouts;

/// SIGKILL comes no sooner than 0.7 s plus the longest deadline (three seconds at most) after SIGTERM.
#[test]
fn shutdown_ends_before_the_kill() {
    for deadline in [300_000, 1_000_000, 3_000_000, 10_000_000u64] {
        let timeouts = ShutdownTimeouts::new(deadline);
        let kill_after = deadline.min(3_000_000) + 700_000;
        assert!(
            timeouts.accept >= 400_000 && timeouts.accept < timeouts.fail_pending,
            "connections are accepted for 0.4 s"
        );
        assert!(
            timeouts.fail_pending >= timeouts.accept + deadline.min(3_000_000),
            "the last accepted request has its whole deadline"
        );
        assert!(timeouts.fail_pending + 200_000 <= timeouts.exit && timeouts.exit < kill_after);
    }
}
