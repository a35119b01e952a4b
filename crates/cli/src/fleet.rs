//! `fleet`: shows the membership view of an ingress.

use crate::output::print_line;
use crate::{fail, serve, Exit};
use chalkgap::fleet::{fetch_snapshot, FleetSnapshot, MemberSnapshot};
use chalkgap::peers::Key;
use chalkgap::runtime::system::System;
use chalkgap::runtime::Shared;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Show the fleet's membership.
#[derive(clap::Subcommand)]
pub(crate) enum Fleet {
    /// Show the view of one ingress: members, their states and ages, the version of the view, and the maximum time until it
    /// includes a failure.
    Show {
        /// Address on which the ingress receives datagrams (`fleet.peers.listen`).
        address: SocketAddr,
        /// A settings file of the fleet, which contains its key.
        #[arg(long)]
        settings: PathBuf,
        /// Text that the script reads as `given["KEY"]`.
        #[arg(long = "set", value_name = "KEY=VALUE", value_parser = crate::pair)]
        given: Vec<(String, String)>,
        /// Print the view as JSON.
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
    match system.run(async move { fetch_snapshot(&shared, key, address).await }) {
        Ok(view) if json => print_line!("{}", serde_json::to_string(&view).unwrap_or_default()),
        Ok(view) => print(&view),
        Err(e) => return fail(Exit::NoAnswer, e),
    }
    Exit::Success
}

fn print(fleet: &FleetSnapshot) {
    print_line!("view of {}: number {}, digest {}", fleet.owner, fleet.version, fleet.digest);
    print_line!(
        "{}: {} in, of {} that were",
        fleet.partition_status,
        fleet.member_count,
        fleet.majority_basis
    );
    print_line!("a death is known within {:.1} s", fleet.max_detection_time as f64 / 1e6);
    print_line!("{:>6}  {:<10} {:>12}  {:>6}  {:>6}  address", "number", "state", "for", "turn", "by");
    for member in &fleet.members {
        let MemberSnapshot { id, state, state_version, reported_by, address, .. } = member;
        let in_state_for = format!("{:.1} s", member.in_state_for as f64 / 1e6);
        print_line!(
            "{id:>6}  {state:<10} {in_state_for:>12}  {state_version:>6}  {reported_by:>6}  {address}"
        );
    }
}
