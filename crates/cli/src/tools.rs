//! `ask` and `standin`: an ingress's neighbours by hand.

use crate::{fail, Exit};
use async_signal::{Signal, Signals};
use chalkgap::node_list::{NodeList, State};
use chalkgap::runtime::{system::System, Runtime};
use chalkgap_testbed::client::{self, Client};
use chalkgap_testbed::journal::{Answer, Journal};
use chalkgap_testbed::node::{Faults, Machine, Node};
use chalkgap_testbed::registry::Registry;
use chalkgap_wire::roster;
use futures_lite::StreamExt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Ask an ingress by hand.
#[derive(clap::Args)]
pub(crate) struct Ask {
    /// The ingress's gRPC address, such as 127.0.0.1:8081.
    address: SocketAddr,
    /// The account.
    #[arg(long)]
    account: String,
    /// The class.
    #[arg(long)]
    class: String,
    /// The request's key.
    #[arg(long)]
    key: Option<String>,
    /// Units.
    #[arg(long, default_value_t = 1)]
    units: u32,
    /// Milliseconds to wait.
    #[arg(long, default_value_t = 5000)]
    timeout: u64,
    /// The answer as a line of JSON.
    #[arg(long)]
    json: bool,
}

pub(crate) fn ask(args: Ask) -> Exit {
    let system = System::new();
    system.clone().run(async move {
        let runtime: Arc<System> = system.clone();
        let client = match Client::connect(runtime, args.address, 0, Journal::disabled()).await {
            Ok(client) => client,
            Err(e) => return fail(Exit::NoAnswer, format!("{}: {e}", args.address)),
        };
        let begun = system.now();
        let ask = client::Request {
            call: begun,
            account: args.account,
            class: args.class,
            units: args.units,
            key: args.key,
            timeout: args.timeout.saturating_mul(1000),
        };
        let end = client.call(&ask).await;
        let took = system.now() - begun;
        let headers = end.response.iter().flat_map(|r| &r.response_headers_to_add);
        let headers: Vec<String> = headers.map(|h| format!("{}: {}", h.key, h.value)).collect();
        let body = end.response.as_ref().map(|r| String::from_utf8_lossy(&r.raw_body).into_owned());
        let (word, exit) = match &end.answer {
            Answer::Served => ("served".to_owned(), Exit::Good),
            Answer::Refused { pause: 0 } => ("refused".to_owned(), Exit::Refused),
            Answer::Refused { pause } => {
                (format!("refused, come back in {:.3} s", *pause as f64 / 1e6), Exit::Refused)
            }
            Answer::Failed { code } => {
                let code = chalkgap_wire::grpc::Code::from_number(*code);
                (format!("failed, {code:?}: {}", end.message), Exit::Bad)
            }
            Answer::Broken | Answer::NotTaken | Answer::Left => {
                (format!("no answer {}", end.message), Exit::NoAnswer)
            }
        };
        if args.json {
            let line = serde_json::json!({
                "answer": end.answer, "took_us": took, "headers": headers, "body": body, "message": end.message,
            });
            println!("{line}");
        } else {
            println!("{} after {:.1} ms", word.trim_end(), took as f64 / 1000.0);
            headers.iter().for_each(|h| println!("  {h}"));
            body.filter(|b| !b.is_empty()).iter().for_each(|b| println!("  body: {b}"));
        }
        exit
    })
}

/// Stand-ins.
#[derive(clap::Subcommand)]
pub(crate) enum Standin {
    /// An intake node.
    Node {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Requests in work at once.
        #[arg(long, default_value_t = 3)]
        cores: usize,
        /// Mean work of a class in milliseconds, such as `sig-check=20`.
        #[arg(long = "work", value_name = "CLASS=MS", value_parser = crate::pair)]
        work: Vec<(String, String)>,
        /// Share of requests that fail at once.
        #[arg(long, default_value_t = 0.0)]
        fail: f64,
        /// Share of answers that break off halfway.
        #[arg(long, default_value_t = 0.0)]
        halfway: f64,
        /// It answers nothing.
        #[arg(long)]
        hang: bool,
    },
    /// A roster that pushes a list from a file, again at each SIGHUP.
    Roster {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// The list: JSON, as the file source of an ingress reads it.
        file: PathBuf,
    },
}

pub(crate) fn standin(what: Standin) -> Exit {
    let system = System::new();
    system.clone().run(async move {
        let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
            Ok(signals) => signals,
            Err(e) => return fail(Exit::System, format!("signals: {e}")),
        };
        match what {
            Standin::Node { listen, cores, work, fail: share, halfway, hang } => {
                let mut machine = Machine { cores: cores.max(1), ..Machine::default() };
                for (class, ms) in work {
                    let Ok(ms) = ms.parse::<f64>() else {
                        return fail(
                            Exit::Settings,
                            format!("--work {class}: expected milliseconds, found {ms:?}"),
                        );
                    };
                    machine.work.insert(class, ms * 1000.0);
                }
                let node = match Node::start(system.clone(), listen, machine, Journal::disabled()) {
                    Ok(node) => node,
                    Err(e) => return fail(Exit::System, format!("{listen}: {e}")),
                };
                node.faults(Faults { fail: share, halfway, hang, ..Faults::default() });
                println!("{}", serde_json::json!({"node": node.address().to_string()}));
                while !matches!(signals.next().await, Some(Ok(Signal::Term | Signal::Int)) | None) {}
                Exit::Good
            }
            Standin::Roster { listen, file } => {
                let roster = match Registry::start(system.clone(), listen, Journal::disabled()) {
                    Ok(roster) => roster,
                    Err(e) => return fail(Exit::System, format!("{listen}: {e}")),
                };
                println!("{}", serde_json::json!({"roster": roster.address().to_string()}));
                loop {
                    let list = std::fs::read(&file).map_err(|e| e.to_string());
                    let list =
                        list.and_then(|b| serde_json::from_slice::<NodeList>(&b).map_err(|e| e.to_string()));
                    match list {
                        Ok(list) => roster.set(list.nodes.iter().map(line).collect()),
                        Err(e) => drop(fail(Exit::Settings, format!("{}: {e}", file.display()))),
                    }
                    if !matches!(signals.next().await, Some(Ok(Signal::Hup))) {
                        return Exit::Good;
                    }
                }
            }
        }
    })
}

fn line(n: &chalkgap::node_list::Node) -> roster::Node {
    roster::Node {
        address: n.address.to_string(),
        zone: n.zone.clone(),
        cell: n.cell.clone(),
        kind: n.kind.clone(),
        state: match n.state {
            State::Ready => 0,
            State::Draining => 1,
            State::Gone => 2,
        },
        size: n.size,
        started_ms: n.started_ms,
    }
}
