//! The query for the members that a running gateway knows.

use super::{FleetSnapshot, MemberSnapshot};
use crate::peers::{Channel, Key, Opener, ReceiveRates, Sealer, MAX_DATAGRAM};
use chalkgap_membership::wire::{Kind, Message, ViewSummary};
use chalkgap_membership::{MemberId, Micros, ANY_MEMBER, OBSERVER};
use chalkgap_runtime::{Datagrams, Runtime, Shared};
use futures_lite::future;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Why there is no answer to a query.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The socket cannot be opened.
    #[error("a socket for datagrams: {0}")]
    Socket(std::io::Error),
    /// No gateway with this key answers at the address.
    #[error(
        "{0} does not answer: it is not there, has no view (settings.fleet.peers.view), or has another key"
    )]
    NoAnswer(SocketAddr),
    /// The view changed during every try, or is inconsistent.
    #[error("{0}: the view changed all the time, or it makes no sense")]
    Inconsistent(SocketAddr),
}

/// Tries for each page of a view.
const TRIES_PER_PAGE: u32 = 5;
const TRY_TIMEOUT: Micros = 400_000;
/// Each page has at least one of at most 65,536 members, and usually more than three.
const MAX_PAGES: usize = 20_000;
/// Does not limit a query.
const RECEIVE_RATES: ReceiveRates = ReceiveRates { gossip: 1.0, membership: 10_000.0 };

/// Fetches the members that the gateway knows which receives datagrams at `address`.
///
/// # Errors
/// See [`FetchError`].
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
    let mut last_page: Option<(ViewSummary, u64)> = None;
    for _ in 0..MAX_PAGES {
        let (shown, message) = query.fetch_page(from).await?;
        members.extend(message.records.iter().map(|(fact, held)| MemberSnapshot::new(fact, *held)));
        // If the view changes between pages, the result has the version of the last one.
        last_page = Some((shown, message.digest));
        match shown.next {
            Some(next) if next > from => from = next,
            Some(_) => return Err(FetchError::Inconsistent(address)),
            None => break,
        }
    }
    let (shown, digest) = last_page.ok_or(FetchError::NoAnswer(address))?;
    Ok(FleetSnapshot::new(shown, digest, members))
}

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
    /// Fetches the members from the id `from` on, as many as fit into one answer.
    async fn fetch_page(&mut self, from: MemberId) -> Result<(ViewSummary, Message), FetchError> {
        for _ in 0..TRIES_PER_PAGE {
            let nonce = self.runtime.random() as u32;
            let request = Message::new(Kind::ViewRequest { from }, nonce, 0);
            let datagram = self.sealer.seal(ANY_MEMBER, &request.encode());
            // An error shows as a missing answer.
            let _ = self.socket.send(&datagram, self.address).await;
            let deadline = self.runtime.now() + TRY_TIMEOUT;
            let mut buffer = [0; MAX_DATAGRAM + 1];
            while self.runtime.now() < deadline {
                let Some(length) = self.receive(&mut buffer, deadline).await else { continue };
                let Ok(opened) = self.opener.open(self.runtime.now(), &buffer[..length]) else { continue };
                let Ok(message) = Message::decode(opened.message) else { continue };
                if message.nonce != nonce {
                    continue; // the answer to an earlier try
                }
                if let Kind::ViewPage(shown) = message.kind {
                    return Ok((shown, message));
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
