//! Events: what a gateway sees.

use super::{
    BackendId, CustomerId, Endpoint, EndpointUpdate, GatewayId, LoadReport, Micros, Outcome, RequestId,
};

/// A client's request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: u8,
    /// Index into [`Settings::plans`](super::Settings::plans).
    pub plan: u16,
    /// Whose it is.
    pub customer: CustomerId,
    /// When the client gives it up.
    pub deadline: Micros,
    /// Units that it draws from the quota.
    pub units: f64,
    /// Over how many gateways the customer's requests come.
    pub gateway_count: f64,
    /// The first of these gateways; the others have the numbers after it, counted round.
    pub first_gateway: f64,
}

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of endpoints, or changes to it.
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
        /// The request has its final answer.
        answered: bool,
        /// How long it was in flight.
        elapsed: Micros,
        /// The customer's metered use as a share of its rate or limit, where there is a meter.
        metered: Option<f64>,
        /// The units that the request used, where they are settled afterwards.
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
    /// The client left; no answer is owed.
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
    /// A message of a peer came.
    GossipReceived {
        /// The sender.
        from: GatewayId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The membership view, where there is one, has lost a peer or has it again. Unreachable owners of a quota are not asked;
    /// without a reachable one a request is decided at once. Quotas and hard limits hold whatever the view says.
    PeerReachability {
        /// The peer.
        peer: GatewayId,
        /// It is a member. So are all that nothing was said of.
        reachable: bool,
    },
    /// A call to the shared counter ended.
    CounterUpdated {
        /// The number's name.
        name: u64,
        /// How it ended.
        outcome: Outcome,
        /// The total, with [`Outcome::Ok`].
        total: f64,
    },
}
