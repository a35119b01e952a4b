//! Compares the settings schema, the parsed settings, each validation error and the node list file with recorded fixtures.

use chalkgap::node_list::NodeList;
use chalkgap::settings::{self, Compiled};
use serde_json::{json, Value};
use std::fmt::Write as _;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

/// Settings with a value for every key.
fn complete_settings() -> Value {
    serde_json::from_slice(&std::fs::read(recorded::fixture("settings.json")).unwrap()).unwrap()
}

/// Writes a JSON value as a Starlark expression.
fn starlark_expression(value: &Value) -> String {
    match value {
        Value::Null => "None".into(),
        Value::Bool(flag) => if *flag { "True" } else { "False" }.into(),
        Value::Array(list) => {
            format!("[{}]", list.iter().map(starlark_expression).collect::<Vec<_>>().join(", "))
        }
        Value::Object(map) => {
            let pairs =
                map.iter().map(|(key, value)| format!("{}: {}", json!(key), starlark_expression(value)));
            format!("{{{}}}", pairs.collect::<Vec<_>>().join(", "))
        }
        other => other.to_string(),
    }
}

/// Returns what `chalkgap check` reports on settings: `good`, or the error.
fn check(value: &Value) -> String {
    let script = format!("settings = {}\n", starlark_expression(value));
    let settings = match settings::read("test.star", script, &[]) {
        Ok(settings) => settings,
        Err(error) => return error.to_string(),
    };
    match Compiled::new(settings) {
        Ok(_) => "good".into(),
        Err(error) => format!("test.star: {error}"),
    }
}

/// Collects the JSON pointers of all leaves of `value`.
fn collect_leaves(value: &Value, path: String, paths: &mut Vec<String>) {
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                let escaped = key.replace('~', "~0").replace('/', "~1");
                collect_leaves(value, format!("{path}/{escaped}"), paths);
            }
        }
        Value::Array(list) if !list.is_empty() => {
            list.iter()
                .enumerate()
                .for_each(|(n, value)| collect_leaves(value, format!("{path}/{n}"), paths));
        }
        _ => paths.push(path),
    }
}

#[test]
fn settings_are_accepted_and_rejected_as_recorded() {
    let good = complete_settings();
    assert_eq!(check(&good), "good");
    let mut paths = Vec::new();
    collect_leaves(&good, String::new(), &mut paths);
    let mut text = String::new();
    for path in paths {
        for bad in [json!("nonsense"), json!(-1), json!(0), json!(1e15), Value::Null, json!([])] {
            let mut changed = good.clone();
            *changed.pointer_mut(&path).unwrap() = bad.clone();
            let result = check(&changed).replace('\n', " / ");
            writeln!(text, "{path} = {bad}: {result}").unwrap();
        }
        let (parent, key) = path.rsplit_once('/').unwrap();
        let mut changed = good.clone();
        if let Some(map) = changed.pointer_mut(parent).and_then(Value::as_object_mut) {
            map.remove(&key.replace("~1", "/").replace("~0", "~"));
            writeln!(text, "{path} absent: {}", check(&changed).replace('\n', " / ")).unwrap();
            let mut changed = good.clone();
            changed.pointer_mut(parent).unwrap()["unknown"] = json!(1);
            writeln!(text, "{parent}/unknown: {}", check(&changed).replace('\n', " / ")).unwrap();
        }
    }
    recorded::check_text("complaints.txt", &text);
}

/// Serializes settings with every key, and settings with only the required keys, which shows the defaults of the others.
#[test]
fn settings_are_written_with_the_recorded_keys_and_defaults() {
    let mut minimal = complete_settings();
    let map = minimal.as_object_mut().unwrap();
    map.retain(|key, _| {
        ["fleet", "front", "classes", "plans", "accounts", "rules", "nodes"].contains(&key.as_str())
    });
    map["fleet"] = json!({"ingresses": 1, "me": 0, "zones": ["a"], "zone": "a"});
    map["front"] = json!({"listen": "127.0.0.1:0"});
    map["classes"] = json!([{"name": "c", "aim_ms": 1, "deadline_ms": 4, "repeat": "safe"}]);
    map["plans"] = json!([{"name": "team"}]);
    map["accounts"] = json!({"acme": {"plan": "team"}});
    map["nodes"] = json!({"source": "handle"});
    let mut text = String::new();
    for value in [complete_settings(), minimal] {
        let script = format!("settings = {}\n", starlark_expression(&value));
        let settings = settings::read("test.star", script, &[]).expect("good settings");
        text += &serde_json::to_string_pretty(&settings).unwrap();
        text += "\n";
    }
    recorded::check_text("settings.txt", &text);
}

/// Returns the schema with references replaced by their definitions, and without titles and descriptions.
fn resolved(value: &Value, definitions: &Value, depth: usize) -> Value {
    assert!(depth < 40, "a definition refers to itself");
    match value {
        Value::Object(map) => {
            if let Some(name) = map.get("$ref").and_then(Value::as_str) {
                let name = name.strip_prefix("#/$defs/").expect("a definition of this schema");
                let mut definition = resolved(&definitions[name], definitions, depth + 1);
                for (key, value) in
                    map.iter().filter(|(key, _)| !["$ref", "description"].contains(&key.as_str()))
                {
                    definition[key] = resolved(value, definitions, depth + 1);
                }
                return definition;
            }
            let mut out = serde_json::Map::new();
            for (key, value) in map {
                // A property may have one of these names. Its value is then an object, not a text.
                let is_prose = ["description", "title"].contains(&key.as_str()) && value.is_string();
                if !is_prose && key != "$defs" {
                    out.insert(key.clone(), resolved(value, definitions, depth + 1));
                }
            }
            Value::Object(out)
        }
        Value::Array(list) => list.iter().map(|value| resolved(value, definitions, depth + 1)).collect(),
        other => other.clone(),
    }
}

#[test]
fn the_schema_is_as_recorded() {
    let schema: Value = serde_json::to_value(settings::schema()).unwrap();
    let resolved_schema = resolved(&schema, &schema["$defs"], 0);
    recorded::check_text("schema.json", &(serde_json::to_string_pretty(&resolved_schema).unwrap() + "\n"));
}

#[test]
fn a_saved_node_list_is_read_and_written_as_recorded() {
    let bytes = std::fs::read(recorded::fixture("nodes.json")).unwrap();
    let list = NodeList::parse(&bytes).unwrap();
    assert_eq!(serde_json::to_string(&list).unwrap() + "\n", String::from_utf8(bytes).unwrap());
    assert_eq!((list.revision, list.nodes.len()), (9, 3));
}
