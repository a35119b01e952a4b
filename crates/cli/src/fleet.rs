//! `fleet`: what an ingress knows of the others.

use crate::{fail, serve, Exit};
use chalkgap::fleet::{show, ShownView};
use chalkgap::peers::Key;
use chalkgap::runtime::system::System;
use chalkgap::runtime::Shared;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Look at the fleet.
#[derive(clap::Subcommand)]
pub(crate) enum Fleet {
    /// Show the view of one ingress: members, states, ages, the view's number, how late it may be.
    Show {
        /// Where it receives datagrams (`fleet.peers.listen`).
        address: SocketAddr,
        /// A settings file of the fleet: its key is in there.
        #[arg(long)]
        settings: PathBuf,
        /// Text that the script reads as `given["KEY"]`.
        #[arg(long = "set", value_name = "KEY=VALUE", value_parser = crate::pair)]
        given: Vec<(String, String)>,
        /// The view as JSON.
        #[arg(long)]
        json: bool,
    },
}

pub(crate) fn run(command: Fleet) -> Exit {
    let Fleet::Show { address, settings, given, json } = command;
    let settings = match serve::read(&settings, &given) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let Some(key) = settings.fleet.peers.and_then(|p| Key::parse(&p.key)) else {
        return fail(Exit::Settings, "settings.fleet.peers.key: expected 64 hexadecimal digits, found none");
    };
    let system = System::new();
    let shared: Shared = system.clone();
    match system.run(async move { show(&shared, key, address).await }) {
        Ok(view) if json => println!("{}", serde_json::to_string(&view).unwrap_or_default()),
        Ok(view) => print(&view),
        Err(e) => return fail(Exit::NoAnswer, e),
    }
    Exit::Good
}

fn print(v: &ShownView) {
    println!("view of {}: number {}, digest {}", v.owner, v.number, v.digest);
    println!("{}: {} in, of {} that were", v.standing, v.counting, v.of);
    println!("a death is known within {:.1} s", v.late as f64 / 1e6);
    println!("{:>6}  {:<10} {:>12}  {:>6}  {:>6}  address", "number", "state", "for", "turn", "by");
    for m in &v.members {
        let held = format!("{:.1} s", m.held as f64 / 1e6);
        println!("{:>6}  {:<10} {:>12}  {:>6}  {:>6}  {}", m.number, m.state, held, m.turn, m.by, m.address);
    }
}
