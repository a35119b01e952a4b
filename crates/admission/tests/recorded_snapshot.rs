//! The snapshot format of known clients is unchanged: recorded bytes are restored, and the same bytes are written.

use chalkgap_admission::{KnownClientLimits, KnownClients, KnownTier};

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const SECOND: u64 = 1_000_000;
const NOW: u64 = 1_800_000_000 * SECOND;

fn empty_table() -> KnownClients {
    KnownClients::new(
        KnownClientLimits { max_addresses: 100, max_per_account: 10, remember_for: 3600 * SECOND },
        Vec::new(),
    )
}

#[test]
fn a_snapshot_equals_the_recorded_bytes() {
    let mut known = empty_table();
    known.record_served(NOW, "10.0.0.1".parse().unwrap(), 42, true);
    known.record_served(NOW + 2 * SECOND, "2001:db8::1".parse().unwrap(), u64::MAX, false);
    known.record_served(NOW + 3 * SECOND, "::ffff:10.0.0.2".parse().unwrap(), 42, false);
    let bytes = known.snapshot();
    recorded::check_messages("known_clients.txt", &[("known clients", bytes.clone())]);

    let mut restored = empty_table();
    assert_eq!(restored.restore(NOW + 4 * SECOND, &bytes).unwrap(), 3);
    assert_eq!(restored.lookup(NOW + 4 * SECOND, "10.0.0.1".parse().unwrap()), Some(KnownTier::Preferred));
    assert_eq!(restored.lookup(NOW + 4 * SECOND, "2001:db8::1".parse().unwrap()), Some(KnownTier::Standard));
    assert_eq!(restored.lookup(NOW + 4 * SECOND, "10.0.0.2".parse().unwrap()), Some(KnownTier::Standard));
    assert_eq!(restored.lookup(NOW + 4 * SECOND, "10.0.0.3".parse().unwrap()), None);
    assert_eq!(restored.snapshot(), bytes);
}
