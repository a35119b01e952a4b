//! The settings and the files of an instance, as recorded: the schema, what is taken and every complaint.

use chalkgap::node_list::NodeList;
use chalkgap::settings::{self, Compiled};
use serde_json::{json, Value};
use std::fmt::Write as _;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

/// Settings with a value for every key.
fn full() -> Value {
    serde_json::from_slice(&std::fs::read(recorded::fixture("settings.json")).unwrap()).unwrap()
}

/// A JSON value as an expression of a script.
fn expression(value: &Value) -> String {
    match value {
        Value::Null => "None".into(),
        Value::Bool(flag) => if *flag { "True" } else { "False" }.into(),
        Value::Array(list) => {
            format!("[{}]", list.iter().map(expression).collect::<Vec<_>>().join(", "))
        }
        Value::Object(map) => {
            let pairs = map.iter().map(|(key, value)| format!("{}: {}", json!(key), expression(value)));
            format!("{{{}}}", pairs.collect::<Vec<_>>().join(", "))
        }
        other => other.to_string(),
    }
}

/// What `chalkgap check` says of settings.
fn check(value: &Value) -> String {
    let script = format!("settings = {}\n", expression(value));
    let settings = match settings::read("test.star", script, &[]) {
        Ok(settings) => settings,
        Err(error) => return error.to_string(),
    };
    match Compiled::new(settings) {
        Ok(_) => "good".into(),
        Err(error) => format!("test.star: {error}"),
    }
}

fn leaves(value: &Value, path: String, paths: &mut Vec<String>) {
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                let escaped = key.replace('~', "~0").replace('/', "~1");
                leaves(value, format!("{path}/{escaped}"), paths);
            }
        }
        Value::Array(list) if !list.is_empty() => {
            list.iter().enumerate().for_each(|(n, value)| leaves(value, format!("{path}/{n}"), paths));
        }
        _ => paths.push(path),
    }
}

#[test]
fn every_setting_is_taken_and_complained_about_as_recorded() {
    let good = full();
    assert_eq!(check(&good), "good");
    let mut paths = Vec::new();
    leaves(&good, String::new(), &mut paths);
    let mut text = String::new();
    for path in paths {
        for bad in [json!("nonsense"), json!(-1), json!(0), json!(1e15), Value::Null, json!([])] {
            let mut changed = good.clone();
            *changed.pointer_mut(&path).unwrap() = bad.clone();
            let said = check(&changed).replace('\n', " / ");
            writeln!(text, "{path} = {bad}: {said}").unwrap();
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

/// What every key becomes, with its default where it is absent.
#[test]
fn settings_are_written_with_the_recorded_keys_and_defaults() {
    let mut least = full();
    let map = least.as_object_mut().unwrap();
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
    for value in [full(), least] {
        let script = format!("settings = {}\n", expression(&value));
        let settings = settings::read("test.star", script, &[]).expect("good settings");
        text += &serde_json::to_string_pretty(&settings).unwrap();
        text += "\n";
    }
    recorded::check_text("settings.txt", &text);
}

/// The schema with its definitions in the place of references, and without prose.
fn resolved(value: &Value, definitions: &Value, depth: usize) -> Value {
    assert!(depth < 40, "no definition holds itself");
    match value {
        Value::Object(map) => {
            if let Some(name) = map.get("$ref").and_then(Value::as_str) {
                let name = name.strip_prefix("#/$defs/").expect("a definition of this schema");
                let mut whole = resolved(&definitions[name], definitions, depth + 1);
                for (key, value) in
                    map.iter().filter(|(key, _)| !["$ref", "description"].contains(&key.as_str()))
                {
                    whole[key] = resolved(value, definitions, depth + 1);
                }
                return whole;
            }
            let mut out = serde_json::Map::new();
            for (key, value) in map {
                // A property may have one of these names: then it is no prose, but an object.
                let prose = ["description", "title"].contains(&key.as_str()) && value.is_string();
                if !prose && key != "$defs" {
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
    let whole = resolved(&schema, &schema["$defs"], 0);
    recorded::check_text("schema.json", &(serde_json::to_string_pretty(&whole).unwrap() + "\n"));
}

#[test]
fn a_kept_node_list_is_read_and_written_as_recorded() {
    let bytes = std::fs::read(recorded::fixture("nodes.json")).unwrap();
    let list = NodeList::parse(&bytes).unwrap();
    assert_eq!(serde_json::to_string(&list).unwrap() + "\n", String::from_utf8(bytes).unwrap());
    assert_eq!((list.revision, list.nodes.len()), (9, 3));
}
