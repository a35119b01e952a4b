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
