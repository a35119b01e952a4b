//! Which of discovery's lists are applied.

use crate::builders::{at, list};
use chalkgap_core::{Availability, EndpointUpdate};
use chalkgap_platform::endpoint_list::{backend_id, EndpointList};
use chalkgap_platform::endpoint_set::{EndpointChange, EndpointSet};

#[test]
fn stale_lists_are_rejected_for_a_while() {
    let mut endpoints = EndpointSet::new(vec!["a".into(), "b".into()], vec!["k".into()]);
    let EndpointChange { update, endpoints: lines } =
        endpoints.apply(0, &list(41, true, &[("s-1", "ready"), ("s-2", "draining")])).unwrap();
    assert_eq!((update, lines.len()), (EndpointUpdate::Snapshot, 2));
    let (l, address) = lines[0];
    assert_eq!((l.backend, address, l.zone, l.kind, l.cell), (backend_id("s-1"), at(1), 1, 0, 3));
    assert_eq!((l.weight, l.started_at), (2.5, 7000));
    assert_eq!(
        endpoints.apply(1, &list(42, false, &[("s-1", "gone")])).unwrap().update,
        EndpointUpdate::Delta
    );
    // An agent that is behind would bring back what drains.
    assert!(endpoints.apply(2, &list(40, true, &[("s-1", "ready"), ("s-2", "ready")])).is_err());
    assert!(endpoints.apply(3, &list(41, false, &[("s-2", "ready")])).is_err());
    assert_eq!(endpoints.version(), 42);
    assert!(endpoints.apply(2_000_000, &list(40, true, &[])).is_err());
    // All that comes for seconds: discovery counts anew.
    assert!(endpoints.apply(3_000_002, &list(2, true, &[("s-3", "ready")])).is_ok());
    assert_eq!(endpoints.version(), 2);
}

/// An agent that is behind for long looks like discovery that counts anew: what was told to drain, or to be gone, stays away,
/// unless it has started anew, a list that is new again names it, or a minute has passed.
#[test]
fn a_rolled_back_list_keeps_withdrawn_backends_away() {
    let ready = |endpoints: &mut EndpointSet, now, list: &EndpointList| {
        let lines = endpoints.apply(now, list).unwrap().endpoints;
        let ready = lines.into_iter().filter(|(l, _)| l.availability == Availability::Ready);
        ready.map(|(l, _)| l.backend).collect::<Vec<_>>()
    };
    let held = |endpoints: &mut EndpointSet| {
        endpoints.restore_cached(0, &list(40, true, &[("s-1", "ready"), ("s-2", "ready"), ("s-3", "ready")]));
        let left = ready(endpoints, 1, &list(41, true, &[("s-1", "ready"), ("s-2", "draining")]));
        assert_eq!(left, [backend_id("s-1")], "one drains, one is named no more");
        assert!(endpoints.apply(2, &list(39, true, &[])).is_err());
    };
    let old = [("s-1", "ready"), ("s-2", "ready"), ("s-3", "ready"), ("s-4", "ready")];
    let mut endpoints = EndpointSet::new(vec!["a".into()], vec!["k".into()]);
    held(&mut endpoints);
    let at = 3_000_002;
    assert_eq!(ready(&mut endpoints, at, &list(39, true, &old)), [backend_id("s-1"), backend_id("s-4")]);
    let mut anew = list(39, true, &old);
    anew.endpoints[1].started_at_millis += 1;
    assert_eq!(ready(&mut endpoints, at, &anew), [backend_id("s-1"), backend_id("s-2"), backend_id("s-4")]);
    assert_eq!(ready(&mut endpoints, at, &list(42, true, &old)).len(), 4, "it is not behind any more");
    let mut endpoints = EndpointSet::new(vec!["a".into()], vec!["k".into()]);
    held(&mut endpoints);
    assert_eq!(ready(&mut endpoints, at, &list(39, true, &old)).len(), 2);
    assert_eq!(
        ready(&mut endpoints, at + 60_000_000, &list(39, true, &old)).len(),
        4,
        "discovery counts anew"
    );
    // From then on it is followed as before, and may be behind again.
    let at = at + 61_000_000;
    assert_eq!(ready(&mut endpoints, at, &list(50, false, &[("s-4", "draining")])), []);
    assert!(endpoints.apply(at + 1, &list(45, true, &old)).is_err());
    assert_eq!(ready(&mut endpoints, at + 3_000_002, &list(45, true, &old)).len(), 3);
}
