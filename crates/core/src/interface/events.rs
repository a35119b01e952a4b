//! Events: the inputs of a gateway.

use super::{
    BackendId, CustomerId, Endpoint, EndpointUpdate, GatewayId, LoadReport, Micros, Outcome, RequestId,
};

/// A client's request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: u8,
    /// Index into [`Settings::plans`](super::Settings::plans).
    pub plan: u16,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// When the client stops waiting for an answer.
    pub deadline: Micros,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of gateways that receive the customer's requests.
    pub gateway_count: f64,
    /// Number of the first of these gateways. The others have the following numbers, continued at 0 after the last
    /// gateway.
    pub first_gateway: f64,
}

/// An input of a gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery sent the list of endpoints or changes to it, or a call to discovery failed.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u16,
        /// The endpoint.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has its final answer.
        answered: bool,
        /// How long it was in flight.
        elapsed: Micros,
        /// The customer's metered use as a share of its rate or limit; `None` without a meter.
        metered: Option<f64>,
        /// Units that the request used, if units are settled afterwards.
        charged_units: Option<f64>,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// A streamed answer began; from now on the client depends on this attempt.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// The client left and needs no answer.
    ClientCancelled(RequestId),
    /// A timer expired.
    Timer(u32),
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// A message from a peer arrived.
    GossipReceived {
        /// The sender.
        from: GatewayId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The membership view, if the deployment has one, reports that a peer became unreachable or reachable again.
    /// Unreachable owners of a quota are not queried; if no owner is reachable, a request is decided at once. Quotas
    /// and hard limits are enforced regardless of the view.
    PeerReachability {
        /// The peer.
        peer: GatewayId,
        /// Whether the peer is reachable. Peers without such an event are reachable.
        reachable: bool,
    },
    /// A call to the shared counter ended.
    CounterUpdated {
        /// Name of the counter.
        name: u64,
        /// How it ended.
        outcome: Outcome,
        /// The counter's total; valid only with [`Outcome::Ok`].
        total: f64,
    },
}
