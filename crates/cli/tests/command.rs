//! The `chalkgap` command as a script sees it: exit codes, error texts, and the output of `ask`, `fleet` and `ledger`.

use std::io::{BufRead, BufReader};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

fn chalkgap() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chalkgap"))
}

fn run(args: &[&str]) -> Output {
    chalkgap().args(args).output().expect("the command starts")
}

fn code(o: &Output) -> i32 {
    o.status.code().expect("the command ends by itself")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("chalkgap-test-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path
}

/// Starts a command and returns it with the address from its first line of output.
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

/// Compares all subcommands and options, as shell completions list them, and the output of `check` for valid settings.
#[test]
fn the_command_line_matches_its_recording() {
    let completions = run(&["completions", "bash"]);
    assert_eq!(code(&completions), 0);
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let checked = chalkgap().args(["check", "deploy/ingress.star"]).current_dir(root).output().unwrap();
    assert_eq!(code(&checked), 0);
    recorded::check_text("command_line.txt", &(text(&completions.stdout) + &text(&checked.stdout)));
}

#[test]
fn errors_name_the_place_the_value_and_what_is_expected() {
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
            "settings.fleet.peers.view.address: expected the address at which other ingresses reach this one, \
             as `listen` is 0.0.0.0:7946; found none",
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
        let error = text(&out.stderr);
        assert!(error.contains(expected) && error.contains("bad-"), "case {n}: {error}");
        std::fs::remove_file(path).unwrap();
    }
    assert_eq!(code(&run(&["check", "/nonexistent.star"])), 4);
    assert_eq!(code(&run(&["check"])), 2);
}

/// Two processes find each other through a seed. A third one, started later with the second one's number, supersedes it.
#[test]
fn any_ingress_shows_the_fleet_and_a_later_process_takes_over_a_number() {
    let peers = r#""me": int(given["me"]), "peers": {"listen": "127.0.0.1:0", "key": "5a" * 32,
        "view": {"seeds": [given["seed"]], "round_ms": 100}}"#;
    let script = SETTINGS.replace("\"ingresses\": 1", "\"ingresses\": 4").replace("\"me\": 0", peers);
    let settings = file("fleet.star", &script);
    let settings = settings.to_str().unwrap();
    let serve = |me: &str, seed: &str| {
        let (me, seed) = (format!("me={me}"), format!("seed={seed}"));
        start(&["serve", settings, "--set", "list=x", "--set", &me, "--set", &seed], "peers")
    };
    let show = |at: &str| -> serde_json::Value {
        let given = ["--set", "list=x", "--set", "me=0", "--set", "seed=127.0.0.1:9"];
        let out = run(&[&["fleet", "show", at, "--json", "--settings", settings][..], &given].concat());
        assert_eq!(code(&out), 0, "{}", text(&out.stderr));
        serde_json::from_slice(&out.stdout).unwrap()
    };
    let wait_for_view = |at: &str, condition: &dyn Fn(&serde_json::Value) -> bool| {
        let mut views = (0..300).map(|_| {
            std::thread::sleep(std::time::Duration::from_millis(50));
            show(at)
        });
        views.find(|v| condition(v)).expect("a view that meets the condition within 15 s")
    };
    let (mut first, at) = serve("0", "127.0.0.1:9");
    assert_eq!(show(&at)["standing"], "cut off", "no other member is known, and a seed is configured");
    let (mut second, second_at) = serve("1", &at);
    let view = wait_for_view(&at, &|v| v["counting"] == 2 && v["standing"] == "whole");
    let same = wait_for_view(&second_at, &|v| v["counting"] == 2);
    assert_eq!((&view["digest"], &view["number"]), (&same["digest"], &same["number"]));
    let states: Vec<&str> =
        view["members"].as_array().unwrap().iter().map(|m| m["state"].as_str().unwrap()).collect();
    assert_eq!(states, ["in", "in"]);
    let (mut third, third_at) = serve("1", &at);
    assert!(second.wait().unwrap().success(), "the superseded process drains and ends");
    let address = |v: &serde_json::Value| v["members"][1]["address"] == third_at;
    wait_for_view(&at, &address);
    first.kill().unwrap();
    third.kill().unwrap();
    assert!(first.wait().is_ok());
    assert!(third.wait().is_ok());
    let given = ["--set", "list=x", "--set", "me=0", "--set", "seed=127.0.0.1:9"];
    let out = run(&[&["fleet", "show", &at, "--settings", settings][..], &given].concat());
    assert_eq!(code(&out), 11, "no process listens: {}", text(&out.stderr));
}

#[test]
fn the_schema_and_the_completions_are_printed() {
    let schema: serde_json::Value = serde_json::from_slice(&run(&["schema"]).stdout).unwrap();
    assert_eq!(schema["properties"]["classes"]["type"], "array");
    assert!(text(&run(&["completions", "bash"]).stdout).contains("chalkgap"));
}

/// A reader that closes its pipe early, such as `head`, must not make a command panic or fail.
#[test]
fn a_closed_pipe_is_an_ordinary_end_of_the_output() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    for args in [&["schema"][..], &["completions", "bash"], &["check", "deploy/ingress.star"]] {
        let (reader, writer) = UnixStream::pair().unwrap();
        drop(reader);
        let stdout = Stdio::from(OwnedFd::from(writer));
        let out = chalkgap().args(args).current_dir(&root).stdout(stdout).output().unwrap();
        assert_eq!((code(&out), text(&out.stderr)), (0, String::new()), "{args:?}");
    }
}

#[test]
fn ask_prints_answers_refusals_and_failures() {
    let (mut node, address) = start(&["standin", "node", "--work", "sig-check=1"], "node");
    let list = file("list.json", &format!(r#"{{"nodes": [{{"address": "{address}", "zone": "a"}}]}}"#));
    let settings = file("good.star", SETTINGS);
    let given = format!("list={}", list.display());
    let serve = ["serve", settings.to_str().unwrap(), "--set", &given];
    assert_eq!(code(&run(&["check", settings.to_str().unwrap(), "--set", &given])), 0);
    let (mut ingress, grpc) = start(&serve, "grpc");
    let ask = |account: &str| run(&["ask", &grpc, "--account", account, "--class", "sig-check", "--json"]);
    // The node list is read shortly after the start. Until then no node can serve a request.
    let served = (0..50).map(|_| ask("one")).find(|o| code(o) == 0);
    let line: serde_json::Value = serde_json::from_slice(&served.expect("served").stdout).unwrap();
    assert_eq!(line["answer"], "Served");
    assert!(line["body"].as_str().unwrap().starts_with("done"));
    let refused = (0..4).map(|_| ask("one")).find(|o| code(o) == 10).expect("a refusal after the burst");
    assert!(text(&refused.stdout).contains("retry-after"));
    let unknown = ask("two");
    assert_eq!((code(&unknown), text(&unknown.stdout).contains("is not known")), (1, true));
    // The first signal drains the ingress, which then ends by itself with exit code 0.
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
fn a_ledger_is_shown_exported_reconciled_and_verified() {
    use chalkgap_ledger::entry::{RequestOpened, RequestSettled};
    use chalkgap_ledger::{Entry, EntryBody, EntryId, Store};
    let folder = std::env::temp_dir().join(format!("chalkgap-test-ledger-{}", std::process::id()));
    let id = |number| EntryId { ingress: 1, incarnation: 9, number };
    let opened = EntryBody::RequestOpened(RequestOpened {
        account: "acme".into(),
        plan: "team".into(),
        class: "c".into(),
        units: 4,
        request: "r".into(),
        node: "n".into(),
    });
    let settled =
        EntryBody::RequestSettled(RequestSettled { open: 1, units: 4, ..RequestSettled::default() });
    let system = chalkgap::runtime::system::System::new();
    system.clone().run(async {
        let mut store = Store::open(system.clone(), &folder, 1 << 20, |_| ()).await.unwrap();
        let list =
            [Entry { id: id(1), at: 90_000_000, body: opened }, Entry { id: id(2), at: 0, body: settled }];
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
    // A second export delivers nothing.
    let to = folder.with_extension("to");
    let copy = folder.with_extension("copy");
    let export = |folder: &str| {
        let to = to.to_str().unwrap();
        let list = ["ledger", "export", folder, "--ingress", "1", "--group", "1", "--period", "60", "--json"];
        let done = run(&[&list[..], &["--all", "--to", to]].concat());
        assert_eq!(code(&done), 0, "{}", text(&done.stderr));
        text(&done.stdout).to_owned()
    };
    assert!(export(path).contains(r#""number":1"#) && export(path).is_empty());
    // A ledger that lacks all entries: after the reconciliation it knows what was delivered, and delivers nothing.
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
