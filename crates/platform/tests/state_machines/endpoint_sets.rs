//! Acceptance of endpoint lists from discovery.

use crate::builders::{endpoint_list, loopback};
use chalkgap_core::{Availability, EndpointUpdate};
use chalkgap_platform::endpoint_list::{backend_id, EndpointList};
use chalkgap_platform::endpoint_set::{EndpointChange, EndpointSet};

#[test]
fn stale_lists_are_rejected_for_a_while() {
    let mut endpoints = EndpointSet::new(vec!["a".into(), "b".into()], vec!["k".into()]);
    let EndpointChange { update, endpoints: changed } =
        endpoints.apply(0, &endpoint_list(41, true, &[("s-1", "ready"), ("s-2", "draining")])).unwrap();
    assert_eq!((update, changed.len()), (EndpointUpdate::Snapshot, 2));
    let (endpoint, address) = changed[0];
    assert_eq!(
        (endpoint.backend, address, endpoint.zone, endpoint.kind, endpoint.cell),
        (backend_id("s-1"), loopback(1), 1, 0, 3)
    );
    assert_eq!((endpoint.weight, endpoint.started_at), (2.5, 7000));
    assert_eq!(
        endpoints.apply(1, &endpoint_list(42, false, &[("s-1", "gone")])).unwrap().update,
        EndpointUpdate::Delta
    );
    // A list of an agent that lags behind would mark draining backends as ready.
    assert!(endpoints.apply(2, &endpoint_list(40, true, &[("s-1", "ready"), ("s-2", "ready")])).is_err());
    assert!(endpoints.apply(3, &endpoint_list(41, false, &[("s-2", "ready")])).is_err());
    assert_eq!(endpoints.version(), 42);
    assert!(endpoints.apply(2_000_000, &endpoint_list(40, true, &[])).is_err());
    // After three seconds with only lower versions, discovery is taken to have restarted its version numbers.
    assert!(endpoints.apply(3_000_002, &endpoint_list(2, true, &[("s-3", "ready")])).is_ok());
    assert_eq!(endpoints.version(), 2);
}

/// An agent that lags behind for long looks like a discovery service that restarted its version numbers. Backends that were draining
/// or removed before stay withdrawn, unless the backend was restarted, a list with a newer version names it, or a minute has
/// passed.
#[test]
fn a_rolled_back_list_keeps_withdrawn_backends_away() {
    let ready = |endpoints: &mut EndpointSet, now, list: &EndpointList| {
        let changed = endpoints.apply(now, list).unwrap().endpoints;
        let ready = changed.into_iter().filter(|(endpoint, _)| endpoint.availability == Availability::Ready);
        ready.map(|(endpoint, _)| endpoint.backend).collect::<Vec<_>>()
    };
    let withdraw = |endpoints: &mut EndpointSet| {
        endpoints.restore_cached(
            0,
            &endpoint_list(40, true, &[("s-1", "ready"), ("s-2", "ready"), ("s-3", "ready")]),
        );
        let remaining =
            ready(endpoints, 1, &endpoint_list(41, true, &[("s-1", "ready"), ("s-2", "draining")]));
        assert_eq!(remaining, [backend_id("s-1")], "s-2 drains, s-3 is removed");
        assert!(endpoints.apply(2, &endpoint_list(39, true, &[])).is_err());
    };
    let stale_hosts = [("s-1", "ready"), ("s-2", "ready"), ("s-3", "ready"), ("s-4", "ready")];
    let mut endpoints = EndpointSet::new(vec!["a".into()], vec!["k".into()]);
    withdraw(&mut endpoints);
    let now = 3_000_002;
    assert_eq!(
        ready(&mut endpoints, now, &endpoint_list(39, true, &stale_hosts)),
        [backend_id("s-1"), backend_id("s-4")]
    );
    let mut restarted = endpoint_list(39, true, &stale_hosts);
    restarted.endpoints[1].started_at_millis += 1;
    assert_eq!(
        ready(&mut endpoints, now, &restarted),
        [backend_id("s-1"), backend_id("s-2"), backend_id("s-4")]
    );
    assert_eq!(
        ready(&mut endpoints, now, &endpoint_list(42, true, &stale_hosts)).len(),
        4,
        "the agent has caught up"
    );
    let mut endpoints = EndpointSet::new(vec!["a".into()], vec!["k".into()]);
    withdraw(&mut endpoints);
    assert_eq!(ready(&mut endpoints, now, &endpoint_list(39, true, &stale_hosts)).len(), 2);
    assert_eq!(
        ready(&mut endpoints, now + 60_000_000, &endpoint_list(39, true, &stale_hosts)).len(),
        4,
        "after a minute the version count is taken as restarted"
    );
    // Later lists are applied as before, and the agent may lag behind again.
    let now = now + 61_000_000;
    assert_eq!(ready(&mut endpoints, now, &endpoint_list(50, false, &[("s-4", "draining")])), []);
    assert!(endpoints.apply(now + 1, &endpoint_list(45, true, &stale_hosts)).is_err());
    assert_eq!(ready(&mut endpoints, now + 3_000_002, &endpoint_list(45, true, &stale_hosts)).len(), 3);
}

/// Guards against a former address whose list was computed before the change that the new address has told, and against changes that
/// are applied to another list than the one they were made to.
#[test]
fn a_former_address_adds_only_newer_versions_that_follow_the_current_one() {
    let mut endpoints = EndpointSet::new(vec!["a".into()], vec!["k".into()]);
    endpoints.apply(0, &endpoint_list(41, true, &[("s-1", "draining"), ("s-2", "ready")])).unwrap();
    let older = endpoint_list(40, true, &[("s-1", "ready"), ("s-2", "ready")]);
    let same_version = endpoint_list(41, true, &[("s-1", "ready")]);
    let older_change = endpoint_list(40, false, &[("s-1", "ready")]);
    let change_with_a_gap = endpoint_list(44, false, &[("s-1", "ready")]);
    for (list, base) in [(&older, 39), (&same_version, 39), (&older_change, 39), (&change_with_a_gap, 42)] {
        assert!(endpoints.apply_from_former_address(1, list, base).is_none(), "{list:?} after {base}");
    }
    assert_eq!(endpoints.version(), 41);
    let overlapping_change = endpoint_list(42, false, &[("s-2", "draining")]);
    let change = endpoints.apply_from_former_address(2, &overlapping_change, 40).unwrap();
    assert_eq!((change.update, endpoints.version()), (EndpointUpdate::Delta, 42));
    let newer = endpoint_list(43, true, &[("s-2", "ready")]);
    let change = endpoints.apply_from_former_address(3, &newer, 0).unwrap();
    assert_eq!((change.update, endpoints.version()), (EndpointUpdate::Snapshot, 43));
}

/// Guards against a call that is made again because a former address has told a newer list than the current one.
#[test]
fn a_list_is_overtaken_only_by_versions_that_its_call_did_not_know() {
    let mut endpoints = EndpointSet::new(Vec::new(), Vec::new());
    endpoints.apply(0, &endpoint_list(41, true, &[("s-1", "ready")])).unwrap();
    endpoints.apply_from_former_address(1, &endpoint_list(43, false, &[("s-1", "draining")]), 41).unwrap();
    let list = |version| endpoint_list(version, true, &[("s-1", "ready")]);
    assert!(endpoints.is_overtaken(&list(41), 41) && endpoints.is_overtaken(&list(42), 41));
    assert!(!endpoints.is_overtaken(&list(43), 41), "not older");
    assert!(!endpoints.is_overtaken(&list(40), 41), "the call knew a newer one: it is outdated");
}

/// Guards against a former address that postpones the lists of a new one whose versions count from another start, and against backends
/// that these lists make available again.
#[test]
fn a_former_address_does_not_delay_a_restart_of_the_versions() {
    let mut endpoints = EndpointSet::new(Vec::new(), Vec::new());
    endpoints.apply(0, &endpoint_list(41, true, &[("s-1", "ready"), ("s-2", "ready")])).unwrap();
    let restarted = endpoint_list(3, true, &[("s-1", "ready"), ("s-2", "ready")]);
    assert!(endpoints.apply(10, &restarted).is_err());
    endpoints
        .apply_from_former_address(1_500_000, &endpoint_list(42, false, &[("s-2", "draining")]), 41)
        .unwrap();
    let change = endpoints.apply(3_000_011, &restarted).unwrap();
    let ready = change.endpoints.iter().filter(|(endpoint, _)| endpoint.availability == Availability::Ready);
    let ready: Vec<_> = ready.map(|(endpoint, _)| endpoint.backend).collect();
    assert_eq!(ready, [backend_id("s-1")], "s-2 drains");
}
