//! State shared by the connections of the gRPC and MQTT frontends, and the conversion of their requests to those of the
//! driver.

use super::Acceptor;
use crate::messages::{node_request_id, DriverEvent, PendingRequest, Response, Work};
use crate::settings::{Class, Compiled, KeyRule};
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_core::RequestId;
use chalkgap_runtime::Micros;
use chalkgap_transport::{MemoryBudget, MemoryOwner};
use chalkgap_wire::grpc as framing;
use chalkgap_wire::intake;
use chalkgap_wire::ratelimit::Entry;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Number of hexadecimal digits of an idempotency key that is sent to nodes.
const KEY_DIGITS: usize = 32;

/// Upper bound of the memory of a request beside its body: the records of driver, core and ledger.
const REQUEST_RECORD_BYTES: usize = 2048;

/// State shared by all connections of the gRPC and MQTT frontends.
#[derive(Clone)]
pub struct FrontendContext {
    pub(crate) acceptor: Acceptor,
    pub(crate) settings: Arc<Compiled>,
    pub(crate) driver: Sender<DriverEvent>,
    /// Limits what is held for clients.
    pub(crate) memory: Arc<MemoryBudget>,
    /// Number of the next request.
    pub(crate) next_request: Arc<AtomicU64>,
    /// Name of this run of the gateway's process. It makes request ids and generated idempotency keys unique among all
    /// gateways and restarts.
    pub(crate) instance_name: String,
}

impl std::ops::Deref for FrontendContext {
    type Target = Acceptor;

    fn deref(&self) -> &Acceptor {
        &self.acceptor
    }
}

/// A client's request, independent of the protocol.
pub(crate) struct ClientRequest {
    pub account: String,
    /// Name of the class; `None` for the default class.
    pub class: Option<String>,
    /// The client's idempotency key.
    pub idempotency_key: Option<String>,
    pub units: u32,
    pub arrived_at: Micros,
    /// Time after `arrived_at` for which the client waits.
    pub timeout: Option<Micros>,
    /// Descriptor entries that are forwarded to the node.
    pub entries: Vec<Entry>,
    /// Body that is forwarded to the node.
    pub payload: Bytes,
}

/// Reason for which a client's request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidRequest {
    #[error("account {0:?} is not known")]
    Account(String),
    #[error("entry {entry:?}: expected one of {known:?}, found {found}")]
    Class { entry: String, known: Vec<String>, found: String },
    #[error("hits_addend: at most {most}, found {found}")]
    Units { most: u32, found: u32 },
}

impl FrontendContext {
    /// Returns a request id that is unique within this instance.
    pub(crate) fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns whether the account's plan is preferred (has the highest price).
    pub(crate) fn is_preferred(&self, request: &PendingRequest) -> bool {
        self.settings.preferred[usize::from(request.customer.plan)]
    }

    /// Checks a client's request and converts it to one for the driver.
    pub(crate) fn pending_request(
        &self,
        id: RequestId,
        request: ClientRequest,
        token: u32,
        response_sender: Sender<Response>,
    ) -> Result<PendingRequest, InvalidRequest> {
        let settings = &self.settings.settings;
        let frontend = &settings.front;
        let ClientRequest { account, units, .. } = request;
        if units > frontend.most_units {
            return Err(InvalidRequest::Units { most: frontend.most_units, found: units });
        }
        let Some(customer) = self.settings.account(&account) else {
            return Err(InvalidRequest::Account(account));
        };
        let Some(class_index) = self.settings.class(request.class.as_deref()) else {
            return Err(self.unknown_class(request.class));
        };
        let class = &settings.classes[usize::from(class_index)];
        let sends_key = self.settings.keys[usize::from(class_index)] == KeyRule::Sent;
        let client_key = request.idempotency_key.as_deref();
        let idempotency_key = sends_key.then(|| self.idempotency_key(id, &account, class, client_key));
        let timeout = request.timeout.unwrap_or(u64::MAX).min(class.deadline_ms * 1000);
        let client_deadline = request.arrived_at.saturating_add(timeout);
        let work = intake::Work {
            account: account.clone(),
            units,
            entries: request.entries,
            payload: request.payload,
        };
        let body = framing::frame(&work);
        let body = self.memory.draw(MemoryOwner::Requests, body.len() + REQUEST_RECORD_BYTES).attach(body);
        Ok(PendingRequest {
            id,
            class: class_index,
            account,
            customer,
            units: f64::from(units),
            deadline: client_deadline.saturating_sub(frontend.answer_margin_ms * 1000),
            work: Work { body, idempotency_key },
            response_sender,
            token,
        })
    }

    fn unknown_class(&self, class: Option<String>) -> InvalidRequest {
        let mut known: Vec<String> = self.settings.classes.keys().cloned().collect();
        known.sort_unstable();
        let found = class.map_or("none".into(), |class| format!("{class:?}"));
        InvalidRequest::Class { entry: self.settings.settings.front.class_entry.clone(), known, found }
    }

    /// Returns the key by which nodes recognize duplicates. It is a hash that includes account and class, so that equal
    /// keys of two accounts do not collide.
    fn idempotency_key(
        &self,
        id: RequestId,
        account: &str,
        class: &Class,
        client_key: Option<&str>,
    ) -> Bytes {
        let generated = node_request_id(&self.instance_name, id);
        let (origin, key) = match client_key {
            Some(key) => ("theirs", key),
            None => ("ours", &generated[..]),
        };
        let mut hasher = blake3::Hasher::new();
        for part in [origin, account, &class.name, key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Bytes::from(hasher.finalize().to_hex()[..KEY_DIGITS].to_owned())
    }
}
