//! The file of known clients: what earlier versions wrote is read, and the same bytes are written.

use chalkgap_admission::known::{Known, Places};

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const SECOND: u64 = 1_000_000;
const NOW: u64 = 1_800_000_000 * SECOND;

fn empty() -> Known {
    Known::new(Places { most: 100, per_account: 10, lasts: 3600 * SECOND }, Vec::new())
}

#[test]
fn a_snapshot_is_the_bytes_that_were_recorded() {
    let mut known = empty();
    known.served(NOW, "10.0.0.1".parse().unwrap(), 42, true);
    known.served(NOW + 2 * SECOND, "2001:db8::1".parse().unwrap(), u64::MAX, false);
    known.served(NOW + 3 * SECOND, "::ffff:10.0.0.2".parse().unwrap(), 42, false);
    let bytes = known.snapshot();
    recorded::check_messages("known_clients.txt", &[("known clients", bytes.clone())]);

    let mut restored = empty();
    assert_eq!(restored.restore(NOW + 4 * SECOND, &bytes).unwrap(), 3);
    assert_eq!(restored.look(NOW + 4 * SECOND, "10.0.0.1".parse().unwrap()), Some(true));
    assert_eq!(restored.look(NOW + 4 * SECOND, "2001:db8::1".parse().unwrap()), Some(false));
    assert_eq!(restored.look(NOW + 4 * SECOND, "10.0.0.2".parse().unwrap()), Some(false));
    assert_eq!(restored.look(NOW + 4 * SECOND, "10.0.0.3".parse().unwrap()), None);
    assert_eq!(restored.snapshot(), bytes);
}
