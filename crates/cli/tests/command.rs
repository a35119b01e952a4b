//! The command as scripts see it: exit codes, complaints, the answer by hand.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

fn chalkgap() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chalkgap"))
}

fn run(args: &[&str]) -> Output {
    chalkgap().args(args).output().expect("it starts")
}

fn code(o: &Output) -> i32 {
    o.status.code().expect("it ended by itself")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("chalkgap-test-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path
}

/// Starts a command and reads the address from its first line.
fn start(args: &[&str], field: &str) -> (Child, String) {
    let mut child = chalkgap().args(args).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
    let line = BufReader::new(child.stdout.take().unwrap()).lines().next().unwrap().unwrap();
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    (child, value[field].as_str().unwrap().to_owned())
}

const SETTINGS: &str = r#"
settings = {
    "fleet": {"ingresses": 1, "me": 0, "zones": ["a"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0"},
    "classes": [{"name": "sig-check", "aim_ms": 1000, "deadline_ms": 4000, "repeat": "safe"}],
    "plans": [{"name": "starter", "rate": 0.1, "burst": 2.0}],
    "accounts": {"one": {"plan": "starter"}},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": {"file": {"path": given["list"]}}},
}
"#;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

/// Every subcommand and option, as the completions of a shell name them, and the answer to a good settings file.
#[test]
fn the_command_line_is_as_recorded() {
    let completions = run(&["completions", "bash"]);
    assert_eq!(code(&completions), 0);
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let checked = chalkgap().args(["check", "deploy/ingress.star"]).current_dir(root).output().unwrap();
    assert_eq!(code(&checked), 0);
    recorded::check_text("command_line.txt", &(text(&completions.stdout) + &text(&checked.stdout)));
}

#[test]
fn complaints_say_what_where_and_what_is_allowed() {
    let cases = [
        (
            SETTINGS.replace("\"burst\": 2.0", "\"burst\": -2.0"),
            "settings.plans[0].burst: lower than 0, found -2.0",
        ),
        (
            SETTINGS.replace("\"me\": 0", "\"me\": 1"),
            "settings.fleet.me: expected less than the 1 ingresses, found 1",
        ),
        (
            SETTINGS.replace(
                "\"me\": 0",
                r#""me": 0, "peers": {"listen": "0.0.0.0:7946", "key": "5a" * 32,
                    "view": {"seeds": ["127.0.0.1:9"]}}"#,
            ),
            "settings.fleet.peers.view.address: expected where others reach this one",
        ),
        (SETTINGS.replace("\"me\": 0", "\"my\": 0"), "settings.fleet.my: unknown field `my`"),
        (
            SETTINGS.replace("\"plan\": \"starter\"", "\"plan\": \"x\""),
            "settings.accounts.one.plan: \"x\" is none of starter",
        ),
        (
            SETTINGS.replace("\"zone\": \"a\"", "\"zone\": 7"),
            "settings.fleet.zone: invalid type: number, expected a string, found 7",
        ),
        (SETTINGS.replace("settings = {", "settings = {{"), ":"),
        ("other = 1".into(), "expected the script to bind `settings`"),
        ("load(\"x\", \"y\")".into(), ""),
        ("settings = [x for x in range(1000000000)]".into(), ""),
        ("def f(): f()\nf()\nsettings = {}".into(), ""),
    ];
    for (n, (script, expected)) in cases.iter().enumerate() {
        let path = file(&format!("bad-{n}.star"), script);
        let out = run(&["check", path.to_str().unwrap(), "--set", "list=x"]);
        assert_eq!(code(&out), 3, "case {n}: {}", text(&out.stderr));
        let said = text(&out.stderr);
        assert!(said.contains(expected) && said.contains("bad-"), "case {n}: {said}");
        std::fs::remove_file(path).unwrap();
    }
    assert_eq!(code(&run(&["check", "/nonexistent.star"])), 4);
    assert_eq!(code(&run(&["check"])), 2);
}

/// Two processes find each other by a seed; a third, with a later start under the second's number, ends that one.
#[test]
fn the_fleet_is_shown_from_any_ingress_and_a_number_is_taken_over() {
    let peers = r#""me": int(given["me"]), "peers": {"listen": "127.0.0.1:0", "key": "5a" * 32,
        "view": {"seeds": [given["seed"]], "round_ms": 100}}"#;
    let script = SETTINGS.replace("\"ingresses\": 1", "\"ingresses\": 4").replace("\"me\": 0", peers);
    let settings = file("fleet.star", &script);
    let settings = settings.to_str().unwrap();
    let serve = |me: &str, seed: &str| {
        let (me, seed) = (format!("me={me}"), format!("seed={seed}"));
        start(&["serve", settings, "--set", "list=x", "--set", &me, "--set", &seed], "peers")
    };
    let shown = |at: &str| -> serde_json::Value {
        let given = ["--set", "list=x", "--set", "me=0", "--set", "seed=127.0.0.1:9"];
        let out = run(&[&["fleet", "show", at, "--json", "--settings", settings][..], &given].concat());
        assert_eq!(code(&out), 0, "{}", text(&out.stderr));
        serde_json::from_slice(&out.stdout).unwrap()
    };
    let until = |at: &str, what: &dyn Fn(&serde_json::Value) -> bool| {
        let mut views = (0..300).map(|_| {
            std::thread::sleep(std::time::Duration::from_millis(50));
            shown(at)
        });
        views.find(|v| what(v)).expect("in time")
    };
    let (mut first, at) = serve("0", "127.0.0.1:9");
    assert_eq!(shown(&at)["standing"], "cut off", "it has a seed and has met nobody");
    let (mut second, other) = serve("1", &at);
    let view = until(&at, &|v| v["counting"] == 2 && v["standing"] == "whole");
    let same = until(&other, &|v| v["counting"] == 2);
    assert_eq!((&view["digest"], &view["number"]), (&same["digest"], &same["number"]));
    let states: Vec<&str> =
        view["members"].as_array().unwrap().iter().map(|m| m["state"].as_str().unwrap()).collect();
    assert_eq!(states, ["in", "in"]);
    let (mut third, later) = serve("1", &at);
    assert!(second.wait().unwrap().success(), "it hears that it is over, drains and ends");
    let address = |v: &serde_json::Value| v["members"][1]["address"] == later;
    until(&at, &address);
    first.kill().unwrap();
    third.kill().unwrap();
    let ended = (first.wait(), third.wait());
    assert!(ended.0.is_ok() && ended.1.is_ok());
    let given = ["--set", "list=x", "--set", "me=0", "--set", "seed=127.0.0.1:9"];
    let out = run(&[&["fleet", "show", &at, "--settings", settings][..], &given].concat());
    assert_eq!(code(&out), 11, "nobody is there: {}", text(&out.stderr));
}

#[test]
fn schema_and_completions() {
    let schema: serde_json::Value = serde_json::from_slice(&run(&["schema"]).stdout).unwrap();
    assert_eq!(schema["properties"]["classes"]["type"], "array");
    assert!(text(&run(&["completions", "bash"]).stdout).contains("chalkgap"));
}

#[test]
fn asked_by_hand() {
    let (mut node, address) = start(&["standin", "node", "--work", "sig-check=1"], "node");
    let list = file("list.json", &format!(r#"{{"nodes": [{{"address": "{address}", "zone": "a"}}]}}"#));
    let settings = file("good.star", SETTINGS);
    let given = format!("list={}", list.display());
    let serve = ["serve", settings.to_str().unwrap(), "--set", &given];
    assert_eq!(code(&run(&["check", settings.to_str().unwrap(), "--set", &given])), 0);
    let (mut ingress, grpc) = start(&serve, "grpc");
    let ask = |account: &str| run(&["ask", &grpc, "--account", account, "--class", "sig-check", "--json"]);
    // The list is read a moment after the start; until then there is no place for a request.
    let first = (0..50).map(|_| ask("one")).find(|o| code(o) == 0);
    let line: serde_json::Value = serde_json::from_slice(&first.expect("served").stdout).unwrap();
    assert_eq!(line["answer"], "Served");
    assert!(line["body"].as_str().unwrap().starts_with("done"));
    let refused = (0..4).map(|_| ask("one")).find(|o| code(o) == 10).expect("past its store");
    assert!(text(&refused.stdout).contains("retry-after"));
    let unknown = ask("two");
    assert_eq!((code(&unknown), text(&unknown.stdout).contains("is not known")), (1, true));
    // Drained by the first signal, it ends by itself and well.
    let term = Command::new("kill").args(["-TERM", &ingress.id().to_string()]).status().unwrap();
    assert!(term.success());
    assert_eq!(ingress.wait().unwrap().code(), Some(0));
    assert_eq!(code(&run(&["ask", &grpc, "--account", "one", "--class", "sig-check"])), 11);
    node.kill().unwrap();
    node.wait().unwrap();
    std::fs::remove_file(list).unwrap();
    std::fs::remove_file(settings).unwrap();
}

#[test]
fn a_ledger_is_shown_and_its_first_bad_byte_named() {
    use chalkgap_ledger::entry::{RequestOpened, RequestSettled};
    use chalkgap_ledger::{Entry, EntryBody, EntryId, Store};
    let folder = std::env::temp_dir().join(format!("chalkgap-test-ledger-{}", std::process::id()));
    let id = |number| EntryId { ingress: 1, incarnation: 9, number };
    let open = EntryBody::RequestOpened(RequestOpened {
        account: "acme".into(),
        plan: "team".into(),
        class: "c".into(),
        units: 4,
        request: "r".into(),
        node: "n".into(),
    });
    let ended = EntryBody::RequestSettled(RequestSettled { open: 1, units: 4, ..RequestSettled::default() });
    let system = chalkgap::runtime::system::System::new();
    system.clone().run(async {
        let mut store = Store::open(system.clone(), &folder, 1 << 20, |_| ()).await.unwrap();
        let list = [Entry { id: id(1), at: 90_000_000, body: open }, Entry { id: id(2), at: 0, body: ended }];
        store.commit(&list).await.unwrap();
    });
    let path = folder.to_str().unwrap();
    let shown = run(&["ledger", "show", path, "--period", "60", "--json"]);
    let line: serde_json::Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(
        (line["account"].as_str(), line["period"].as_u64(), line["units"].as_i64()),
        (Some("acme"), Some(1), Some(4))
    );
    assert_eq!(code(&run(&["ledger", "verify", path])), 0);
    // Handed over by hand: once, however often it is asked for.
    let (to, copy) = (folder.with_extension("to"), folder.with_extension("copy"));
    let export = |folder: &str| {
        let to = to.to_str().unwrap();
        let list = ["ledger", "export", folder, "--ingress", "1", "--group", "1", "--period", "60", "--json"];
        let done = run(&[&list[..], &["--all", "--to", to]].concat());
        assert_eq!(code(&done), 0, "{}", text(&done.stderr));
        text(&done.stdout).to_owned()
    };
    assert!(export(path).contains(r#""number":1"#) && export(path).is_empty());
    // A copy of the disk that is behind: reconciled, it knows what was handed over, and hands over nothing.
    std::fs::create_dir_all(&copy).unwrap();
    let reconciled = run(&["ledger", "reconcile", copy.to_str().unwrap(), path]);
    assert!(text(&reconciled.stdout).contains(" entries added, 0 conflicts"), "{}", text(&reconciled.stderr));
    assert_eq!(export(copy.to_str().unwrap()), "");
    std::fs::remove_dir_all(&copy).unwrap();
    std::fs::remove_dir_all(&to).unwrap();
    let file = folder.join("0000000000000001.seg");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[60] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    let verified = run(&["ledger", "verify", path]);
    assert_eq!(code(&verified), 1);
    assert!(text(&verified.stdout).contains("DAMAGED at byte 33"), "{}", text(&verified.stdout));
    assert_eq!(code(&run(&["ledger", "show", "/nonexistent"])), 4);
    std::fs::remove_dir_all(folder).unwrap();
}
