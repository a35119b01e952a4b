//! Reads recorded configurations and endpoint lists of the platform, and compares each parsed value and error with fixtures.

use chalkgap_platform::config::Config;
use chalkgap_platform::endpoint_list::EndpointList;
use chalkgap_platform::endpoint_set::EndpointSet;
use std::fmt::Write as _;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

/// Reads a fixture.
fn document(name: &str) -> Vec<u8> {
    std::fs::read(recorded::fixture(name)).expect("the recorded document")
}

/// Appends a line for each endpoint.
fn write_endpoints(text: &mut String, endpoints: &[(chalkgap_core::Endpoint, std::net::SocketAddr)]) {
    for (endpoint, address) in endpoints {
        writeln!(
            text,
            "{:016x} zone {} cell {} kind {} {:?} size {} started {} at {address}",
            endpoint.backend.0,
            endpoint.zone,
            endpoint.cell,
            endpoint.kind,
            endpoint.availability,
            endpoint.weight,
            endpoint.started_at
        )
        .unwrap();
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn a_configuration_is_read_as_recorded() {
    let config = Config::parse("config.json", &document("config.json")).expect("a valid configuration");
    let mut text = String::new();
    writeln!(text, "name {} listen {} discovery {}", config.name, config.listen, config.discovery).unwrap();
    writeln!(text, "seed {:016x} memory {} sockets {}", config.seed, config.memory_bytes, config.descriptors)
        .unwrap();
    writeln!(text, "peer_listen {:?} peers {:?}", config.peer_listen, config.peers).unwrap();
    let deployment = &config.deployment;
    let settings = &deployment.settings;
    writeln!(text, "gateways {} self {} zone {}", settings.gateways, settings.self_id.0, settings.zone)
        .unwrap();
    writeln!(text, "tick {} meter {} post-paid {}", settings.tick, settings.meter_period, settings.post_paid)
        .unwrap();
    writeln!(
        text,
        "names {:?} {:?} {:?} {:?}",
        deployment.class_names, deployment.plan_names, deployment.zone_names, deployment.machine_kinds
    )
    .unwrap();
    writeln!(text, "report {:?} units {}", deployment.load_report_fields, deployment.max_units).unwrap();
    writeln!(text, "keepalive {} connect {}", deployment.keepalive, deployment.connect_timeout).unwrap();
    for class in &settings.classes {
        writeln!(
            text,
            "class: {} {} {} {} {} {}",
            class.latency_objective,
            class.objective_per_work,
            class.deadline,
            class.priority_weight,
            class.late_priority_weight,
            class.streaming
        )
        .unwrap();
    }
    for plan in &settings.plans {
        let rates = [
            plan.quota_rate,
            plan.quota_burst,
            plan.hard_limit_rate,
            plan.hard_limit_burst,
            plan.hard_limit_slack,
        ];
        writeln!(text, "plan: {rates:?} cap {}", plan.max_in_flight).unwrap();
        writeln!(text, "plan: {:?}", [plan.priority_factor, plan.over_quota_weight, plan.over_quota_penalty])
            .unwrap();
    }
    let limits = &settings.limits;
    let flags = [
        limits.hedging,
        limits.cancellation,
        limits.health_checks,
        limits.gossip,
        limits.retry_after,
        limits.shared_counter,
    ];
    writeln!(text, "limits: {} {flags:?} {}", limits.max_attempts, limits.gossip_receive_rate).unwrap();
    writeln!(text, "limits: {} {}", limits.max_retry_after, limits.max_in_flight).unwrap();
    let rules = &settings.rules;
    writeln!(
        text,
        "rules: {} {} {} {} {} {} {}",
        rules.answer_grace,
        rules.drain_grace,
        rules.slow_start_min_capacity,
        rules.slow_start_window,
        rules.overload_factor,
        rules.overload_window,
        rules.max_poll_interval
    )
    .unwrap();
    let mut endpoints = EndpointSet::new(deployment.zone_names.clone(), deployment.machine_kinds.clone());
    let known: &EndpointList = config.cached_endpoints.as_ref().expect("a cached list");
    let restored = endpoints.restore_cached(1, known).endpoints;
    writeln!(text, "known {} whole {}", known.version, known.is_complete).unwrap();
    write_endpoints(&mut text, &restored);
    recorded::check_text("config.txt", &text);
}

#[test]
fn lists_of_backends_are_read_as_recorded() {
    let mut endpoints = EndpointSet::new(vec!["bldg-a".into(), "bldg-b".into()], vec!["k".into()]);
    let mut text = String::new();
    for name in ["list.json", "changes.json"] {
        let list: EndpointList = serde_json::from_slice(&document(name)).expect("a valid list");
        let applied = endpoints.apply(1_000, &list).expect("an acceptable list").endpoints;
        writeln!(text, "{name}: version {} whole {}", list.version, list.is_complete).unwrap();
        write_endpoints(&mut text, &applied);
    }
    recorded::check_text("lists.txt", &text);
}

/// Errors about a configuration name the field and what was expected there. `complaints.txt` records the error for each bad
/// value, or `taken` if the value was accepted.
#[test]
fn configuration_errors_are_as_recorded() {
    let good: serde_json::Value = serde_json::from_slice(&document("config.json")).unwrap();
    let mut text = String::new();
    let mut paths = Vec::new();
    collect_leaves(&good, String::new(), &mut paths);
    for path in paths {
        for bad in [serde_json::json!("nonsense"), serde_json::json!(-1), serde_json::Value::Null] {
            let mut changed = good.clone();
            *changed.pointer_mut(&path).unwrap() = bad.clone();
            let result = match Config::parse("config.json", changed.to_string().as_bytes()) {
                Ok(_) => "taken".to_owned(),
                Err(error) => error.to_string(),
            };
            writeln!(text, "{path} = {bad}: {result}").unwrap();
        }
    }
    recorded::check_text("complaints.txt", &text);
}

/// Collects the JSON pointers of all leaves of `value`. An array without objects is a leaf.
fn collect_leaves(value: &serde_json::Value, path: String, paths: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(map) => {
            map.iter().for_each(|(key, value)| collect_leaves(value, format!("{path}/{key}"), paths));
        }
        serde_json::Value::Array(list) if list.iter().any(serde_json::Value::is_object) => {
            list.iter()
                .enumerate()
                .for_each(|(n, value)| collect_leaves(value, format!("{path}/{n}"), paths));
        }
        _ => paths.push(path),
    }
}
