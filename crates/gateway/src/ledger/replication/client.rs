//! Fetches entries that are missing here from one other ingress.

use super::authentication::{Authenticator, Direction};
use super::{from_wire, to_wire, MAX_ANSWER_BYTES};
use crate::ledger::{lock, LedgerHandle};
use crate::telemetry::add;
use bytes::Bytes;
use chalkgap_ledger::entry::{self, Entry, EntryError};
use chalkgap_ledger::reconcile::{Config, NextAction, PeerError, PeerRequest, Reconciler};
use chalkgap_ledger::IncarnationId;
use chalkgap_transport::unary::{self, CallTimeouts};
use chalkgap_wire::fleet::{Entries, Ranges, FETCH, HAVE};
use chalkgap_wire::grpc;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;

/// A peer that is down is called again after 5 s; one that is alive may take longer for its answer.
const CALL_TIMEOUTS: CallTimeouts = CallTimeouts { silence: 5_000_000, total: 30_000_000 };
/// Maximum number of bytes that authentication adds to an answer.
const AUTHENTICATION_BYTES: usize = 65_536;

/// Reason for which a call failed or its answer was rejected.
#[derive(Debug, thiserror::Error)]
enum ReplicationError {
    #[error("no answer that is authenticated by the group's key")]
    NoAnswer,
    #[error(transparent)]
    Message(#[from] prost::DecodeError),
    #[error(transparent)]
    Entry(#[from] EntryError),
    #[error(transparent)]
    Peer(#[from] PeerError),
}

struct Client {
    ledger: Arc<LedgerHandle>,
    authenticator: Arc<Authenticator>,
    peer: u16,
    address: SocketAddr,
    reconciler: Reconciler,
}

/// Replicates from one other ingress until the instance stops.
pub(super) async fn run(
    ledger: Arc<LedgerHandle>,
    authenticator: Arc<Authenticator>,
    peer: u16,
    address: SocketAddr,
    config: Config,
) {
    let runtime = ledger.runtime.clone();
    let incarnation = lock(&ledger.recorder).incarnation();
    let own = IncarnationId { ingress: ledger.ingress, incarnation };
    let reconciler = Reconciler::new(own, config);
    let mut client = Client { ledger, authenticator, peer, address, reconciler };
    loop {
        let action = client.reconciler.next_action(runtime.now(), &lock(&client.ledger.totals));
        let request = match action {
            NextAction::WaitUntil(at) => {
                runtime.sleep_until(at).await;
                continue;
            }
            NextAction::Send(request) => request,
        };
        if let Err(error) = client.send(request).await {
            add(&client.ledger.telemetry.ledger_peer_failed);
            tracing::debug!(ingress = peer, %error, "ledger: replication failed, retrying later");
            client.reconciler.failed(runtime.now());
        }
    }
}

impl Client {
    async fn send(&mut self, request: PeerRequest) -> Result<(), ReplicationError> {
        match request {
            PeerRequest::List => {
                let answer = self.call(HAVE, Vec::new()).await?;
                self.listed(answer)
            }
            PeerRequest::Fetch(ranges) => {
                let ranges = Ranges { ranges: ranges.iter().map(to_wire).collect() };
                let answer = self.call(FETCH, ranges.encode_to_vec()).await?;
                self.fetched(answer).await
            }
        }
    }

    /// Calls the peer and returns the body of its answer.
    async fn call(&self, path: &str, body: Vec<u8>) -> Result<Bytes, ReplicationError> {
        let runtime = &self.ledger.runtime;
        let nonce = runtime.random();
        let question = self.authenticator.seal(path, Direction::Question, self.peer, nonce, body.into());
        let question = grpc::frame(&question);
        let max_bytes = MAX_ANSWER_BYTES + AUTHENTICATION_BYTES;
        let answer = unary::call(runtime, self.address, path, question, max_bytes, CALL_TIMEOUTS).await;
        let opened = answer.ok().and_then(|answer| self.authenticator.open(path, Direction::Answer, answer));
        let answer = opened
            .filter(|answer| answer.nonce == nonce && answer.from == u32::from(self.peer))
            .ok_or(ReplicationError::NoAnswer)?;
        Ok(answer.body)
    }

    fn listed(&mut self, answer: Bytes) -> Result<(), ReplicationError> {
        let listed = Ranges::decode(answer)?;
        let ranges: Vec<entry::Range> = listed.ranges.iter().map(from_wire).collect();
        let last_written = lock(&self.ledger.recorder).last_number();
        self.reconciler.listed(&ranges, last_written)?;
        Ok(())
    }

    async fn fetched(&mut self, answer: Bytes) -> Result<(), ReplicationError> {
        let encoded = Entries::decode(answer)?.entries;
        let entries: Result<Vec<Entry>, EntryError> =
            encoded.iter().map(|entry| Entry::decode(entry)).collect();
        let entries = entries?;
        self.reconciler.fetched(&entries)?;
        if !entries.is_empty() {
            self.ledger.write_replicated(entries).await;
        }
        Ok(())
    }
}
