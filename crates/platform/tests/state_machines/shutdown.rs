//! The timetable of a graceful shutdown.

use chalkgap_platform::shutdown::ShutdownTimeouts;

/// SIGKILL comes no sooner than the longest deadline, three seconds at most, and 0.7 s after SIGTERM.
#[test]
fn shutdown_ends_before_the_kill() {
    for deadline in [300_000, 1_000_000, 3_000_000, 10_000_000u64] {
        let timeouts = ShutdownTimeouts::new(deadline);
        let killed = deadline.min(3_000_000) + 700_000;
        assert!(
            timeouts.accept >= 400_000 && timeouts.accept < timeouts.fail_pending,
            "clients come for 0.4 s"
        );
        assert!(
            timeouts.fail_pending >= timeouts.accept + deadline.min(3_000_000),
            "the last one has its whole time"
        );
        assert!(timeouts.fail_pending + 200_000 <= timeouts.exit && timeouts.exit < killed);
    }
}
