//! Query for the members that a running gateway knows.

use super::{FleetSnapshot, MemberSnapshot};
use crate::peers::{Channel, Key, Opener, ReceiveRates, Sealer, MAX_DATAGRAM};
use chalkgap_membership::wire::{Kind, Message, ViewSummary};
use chalkgap_membership::{MemberId, Micros, ANY_MEMBER, OBSERVER};
use chalkgap_runtime::{Datagrams, Runtime, Shared};
use futures_lite::future;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Reason why a query has no result.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The socket cannot be opened.
    #[error("cannot open a datagram socket: {0}")]
    Socket(std::io::Error),
    /// No gateway with this key answers at the address.
    #[error(
        "no answer from {0}: no gateway runs there, or it has no view (settings.fleet.peers.view) or another key"
    )]
    NoAnswer(SocketAddr),
    /// A page does not continue after the one before.
    #[error("{0}: inconsistent view: a page continues at a member that was already sent")]
    Inconsistent(SocketAddr),
}

/// Number of times that a page is requested before the query fails.
const TRIES_PER_PAGE: u32 = 5;
/// Time after which a request without an answer is repeated, in microseconds. The answer to an earlier one still counts.
const TRY_TIMEOUT: Micros = 400_000;
/// Maximum number of pages. A view has at most 65,536 members; a page has at least one, and usually more than three.
const MAX_PAGES: usize = 20_000;
/// Rate limits for received datagrams, too high to limit a query.
const RECEIVE_RATES: ReceiveRates = ReceiveRates { gossip: 1.0, membership: 10_000.0 };

/// Fetches the view of the gateway that receives datagrams at `address`.
///
/// # Errors
/// Returns [`FetchError`] if the socket cannot be opened, no answer arrives or the answers are inconsistent.
pub async fn fetch_snapshot(
    runtime: &Shared,
    key: Key,
    address: SocketAddr,
) -> Result<FleetSnapshot, FetchError> {
    let socket = runtime.datagrams(local_address_for(address.ip())).map_err(FetchError::Socket)?;
    let mut query = Query {
        runtime: &**runtime,
        socket: &*socket,
        sealer: Sealer::new(Channel::Membership, key.clone(), OBSERVER, runtime.now()),
        opener: Opener::new(key, OBSERVER, OBSERVER, RECEIVE_RATES),
        address,
    };
    let mut from = 0;
    let mut members = Vec::new();
    let mut last_summary: Option<(ViewSummary, u64)> = None;
    for _ in 0..MAX_PAGES {
        let (summary, message) = query.fetch_page(from).await?;
        members.extend(
            message.records.iter().map(|(record, in_state_for)| MemberSnapshot::new(record, *in_state_for)),
        );
        // If the view changes between pages, the result has the version of the last one.
        last_summary = Some((summary, message.digest));
        match summary.next {
            Some(next) if next > from => from = next,
            Some(_) => return Err(FetchError::Inconsistent(address)),
            None => break,
        }
    }
    let (summary, digest) = last_summary.ok_or(FetchError::NoAnswer(address))?;
    Ok(FleetSnapshot::new(summary, digest, members))
}

/// Returns the local address to bind for datagrams to `remote`.
fn local_address_for(remote: IpAddr) -> SocketAddr {
    let ip = match remote {
        ip if ip.is_loopback() => ip,
        IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    (ip, 0).into()
}

struct Query<'a> {
    runtime: &'a dyn Runtime,
    socket: &'a dyn Datagrams,
    sealer: Sealer,
    opener: Opener,
    address: SocketAddr,
}

impl Query<'_> {
    /// Fetches one page of the view: the members with ids of at least `from`, as many as fit into one answer.
    async fn fetch_page(&mut self, from: MemberId) -> Result<(ViewSummary, Message), FetchError> {
        let mut nonces = Vec::new();
        for _ in 0..TRIES_PER_PAGE {
            let nonce = self.runtime.random() as u32;
            nonces.push(nonce);
            let request = Message::new(Kind::ViewRequest { from }, nonce, 0);
            let datagram = self.sealer.seal(ANY_MEMBER, &request.encode());
            // A send error is treated like a lost datagram: no answer arrives.
            let _ = self.socket.send(&datagram, self.address).await;
            let deadline = self.runtime.now() + TRY_TIMEOUT;
            let mut buffer = [0; MAX_DATAGRAM + 1];
            while self.runtime.now() < deadline {
                let Some(length) = self.receive(&mut buffer, deadline).await else { continue };
                let Ok(opened) = self.opener.open(self.runtime.now(), &buffer[..length]) else { continue };
                let Ok(message) = Message::decode(opened.message) else { continue };
                if !nonces.contains(&message.nonce) {
                    continue; // the answer to a request for an earlier page
                }
                if let Kind::ViewPage(summary) = message.kind {
                    return Ok((summary, message));
                }
            }
        }
        Err(FetchError::NoAnswer(self.address))
    }

    async fn receive(&self, buffer: &mut [u8], deadline: Micros) -> Option<usize> {
        let timeout = async {
            self.runtime.sleep_until(deadline).await;
            None
        };
        let received = async { self.socket.receive(buffer).await.ok().map(|(length, _)| length) };
        future::or(received, timeout).await
    }
}
