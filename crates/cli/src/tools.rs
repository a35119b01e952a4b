//! `ask` and `standin`: a client, a node and a registry for manual tests of an ingress.

use crate::output::print_line;
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

/// Send a single request to an ingress.
#[derive(clap::Args)]
pub(crate) struct Ask {
    /// The ingress's gRPC address, such as 127.0.0.1:8081.
    address: SocketAddr,
    /// Account of the request.
    #[arg(long)]
    account: String,
    /// Class of the request.
    #[arg(long)]
    class: String,
    /// Key of the request.
    #[arg(long)]
    key: Option<String>,
    /// Units that the request costs.
    #[arg(long, default_value_t = 1)]
    units: u32,
    /// Timeout in milliseconds.
    #[arg(long, default_value_t = 5000)]
    timeout: u64,
    /// Print the answer as a line of JSON.
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
        let request = client::Request {
            call: begun,
            account: args.account,
            class: args.class,
            units: args.units,
            key: args.key,
            timeout: args.timeout.saturating_mul(1000),
        };
        let result = client.call(&request).await;
        let elapsed_us = system.now() - begun;
        let headers = result.response.iter().flat_map(|r| &r.response_headers_to_add);
        let headers: Vec<String> = headers.map(|h| format!("{}: {}", h.key, h.value)).collect();
        let body = result.response.as_ref().map(|r| String::from_utf8_lossy(&r.raw_body).into_owned());
        let (outcome, exit) = match &result.answer {
            Answer::Served => ("served".to_owned(), Exit::Success),
            Answer::Refused { pause: 0 } => ("refused".to_owned(), Exit::Refused),
            Answer::Refused { pause } => {
                (format!("refused, retry after {:.3} s", *pause as f64 / 1e6), Exit::Refused)
            }
            Answer::Failed { code } => {
                let code = chalkgap_wire::grpc::Code::from_number(*code);
                (format!("failed, {code:?}: {}", result.message), Exit::Failure)
            }
            Answer::Broken | Answer::NotTaken | Answer::Left => {
                (format!("no answer {}", result.message), Exit::NoAnswer)
            }
        };
        if args.json {
            let line = serde_json::json!({
                "answer": result.answer, "took_us": elapsed_us, "headers": headers, "body": body, "message": result.message,
            });
            print_line!("{line}");
        } else {
            print_line!("{} after {:.1} ms", outcome.trim_end(), elapsed_us as f64 / 1000.0);
            headers.iter().for_each(|h| print_line!("  {h}"));
            body.filter(|b| !b.is_empty()).iter().for_each(|b| print_line!("  body: {b}"));
        }
        exit
    })
}

/// Simulated counterparts of an ingress.
#[derive(clap::Subcommand)]
pub(crate) enum Standin {
    /// Run a simulated node.
    Node {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Number of requests that the node processes at the same time.
        #[arg(long, default_value_t = 3)]
        cores: usize,
        /// Mean processing time of a class in milliseconds, such as `sig-check=20`.
        #[arg(long = "work", value_name = "CLASS=MS", value_parser = crate::pair)]
        work: Vec<(String, String)>,
        /// Share of requests that fail immediately.
        #[arg(long, default_value_t = 0.0)]
        fail: f64,
        /// Share of answers that are truncated.
        #[arg(long, default_value_t = 0.0)]
        halfway: f64,
        /// Accept requests and answer none.
        #[arg(long)]
        hang: bool,
    },
    /// Run a registry that publishes a node list from a file and reads the file again on SIGHUP.
    Roster {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// The node list as JSON, in the format of an ingress's file source.
        file: PathBuf,
    },
}

pub(crate) fn standin(command: Standin) -> Exit {
    let system = System::new();
    system.clone().run(async move {
        let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
            Ok(signals) => signals,
            Err(e) => return fail(Exit::System, format!("signals: {e}")),
        };
        match command {
            Standin::Node { listen, cores, work, fail: fail_share, halfway, hang } => {
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
                node.set_faults(Faults { fail: fail_share, halfway, hang, ..Faults::default() });
                print_line!("{}", serde_json::json!({"node": node.address().to_string()}));
                while !matches!(signals.next().await, Some(Ok(Signal::Term | Signal::Int)) | None) {}
                Exit::Success
            }
            Standin::Roster { listen, file } => {
                let registry = match Registry::start(system.clone(), listen, Journal::disabled()) {
                    Ok(registry) => registry,
                    Err(e) => return fail(Exit::System, format!("{listen}: {e}")),
                };
                print_line!("{}", serde_json::json!({"roster": registry.address().to_string()}));
                loop {
                    let list = std::fs::read(&file).map_err(|e| e.to_string());
                    let list =
                        list.and_then(|b| serde_json::from_slice::<NodeList>(&b).map_err(|e| e.to_string()));
                    match list {
                        Ok(list) => registry.set(list.nodes.iter().map(registry_node).collect()),
                        Err(e) => drop(fail(Exit::Settings, format!("{}: {e}", file.display()))),
                    }
                    if !matches!(signals.next().await, Some(Ok(Signal::Hup))) {
                        return Exit::Success;
                    }
                }
            }
        }
    })
}

/// Converts a node of a list file to the registry's message.
fn registry_node(node: &chalkgap::node_list::Node) -> roster::Node {
    roster::Node {
        address: node.address.to_string(),
        zone: node.zone.clone(),
        cell: node.cell.clone(),
        kind: node.kind.clone(),
        state: match node.state {
            State::Ready => roster::NODE_READY,
            State::Draining => roster::NODE_DRAINING,
            State::Gone => roster::NODE_REMOVED,
        },
        size: node.size,
        started_ms: node.started_ms,
    }
}
