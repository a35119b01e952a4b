//! The types at the border of the decision module: what a gateway is told at its start ([`Settings`]), what
//! it then sees ([`Event`]) and what it asks its host to do ([`Action`]). No decision lives here.

/// A time on the host's clock, or a span of it, in microseconds.
pub type Micros = u64;

/// A request, as named by the host. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);

/// A backend; means nothing but identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct BackendId(pub u64);

/// A customer, the holder of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct CustomerId(pub u64);

/// The number of a gateway among its peers, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct GatewayId(pub u16);

/// Which backends drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Any of them.
    Fleet,
    /// Those in the zone of the first backend.
    Zone,
    /// Those in the cell of the first backend.
    Cell,
}

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Always.
    Idempotent,
    /// Inside a group of backends, for `window` after the send of the first attempt that may have run.
    IdempotencyKey {
        /// The backends that know the key.
        scope: DeduplicationScope,
        /// How long they know it.
        window: Micros,
    },
    /// Only with proof that no earlier attempt ran.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of a request's own work.
    pub objective_per_work: f64,
    /// The longest a client waits, over all its tries.
    pub deadline: Micros,
    /// What a request is worth.
    pub priority_weight: f64,
    /// The share of the worth left after the aim.
    pub late_priority_weight: f64,
    /// Whether it may run again.
    pub retry_safety: RetrySafety,
    /// The answer comes as a stream.
    pub streaming: bool,
}

/// A plan, and the quotas that each of its customers has over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second that fill the store; 0 for no quota on the rate.
    pub quota_rate: f64,
    /// Units that the store holds.
    pub quota_burst: f64,
    /// Attempts out at once; 0 for no such quota.
    pub max_in_flight: u32,
    /// Units a second that fill the hard ceiling's store; 0 for no ceiling.
    pub hard_limit_rate: f64,
    /// Units that the ceiling's store holds.
    pub hard_limit_burst: f64,
    /// Units by which the ceiling's store may go below nothing.
    pub hard_limit_slack: f64,
    /// Factor on the worth.
    pub priority_factor: f64,
    /// Share of the worth earned beyond the quota.
    pub over_quota_weight: f64,
    /// Share of the worth that sending beyond the quota costs.
    pub over_quota_penalty: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub hedging: bool,
    /// Attempts may be called off.
    pub cancellation: bool,
    /// Backends may be probed.
    pub health_checks: bool,
    /// Gateways may send each other messages.
    pub gossip: bool,
    /// Messages that a gateway takes in a second.
    pub gossip_receive_rate: f64,
    /// Clients are told how long to keep away.
    pub retry_after: bool,
    /// The longest pause that a client keeps.
    pub max_retry_after: Micros,
    /// A shared counter may be used.
    pub shared_counter: bool,
    /// Requests open at once.
    pub max_in_flight: u32,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer counts until this long past the deadline.
    pub answer_grace: Micros,
    /// New work to a draining backend must have ended after this.
    pub drain_grace: Micros,
    /// A backend starts at this share of its capacity or more.
    pub slow_start_min_capacity: f64,
    /// It is warm after this long.
    pub slow_start_window: Micros,
    /// A cold backend falls over when sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// Discovery must be asked at least this often where it must be asked.
    pub max_poll_interval: Micros,
}

/// How the list of backends comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Discovery {
    /// By itself.
    #[default]
    Push,
    /// Only when asked for.
    Poll,
}

/// What the `size` of a backend means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// Nothing, it is always 1.
    #[default]
    None,
    /// Its capacity as registered, or roughly.
    Capacity,
    /// Capacity over load, as of some time ago.
    Live,
}

/// What a gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u16,
    /// The number of this one.
    pub self_id: GatewayId,
    /// The zone of this gateway.
    pub zone: u8,
    /// The least time between two calls with a new clock.
    pub tick: Micros,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// What is permitted.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// How the list of backends comes.
    pub discovery: Discovery,
    /// What sizes mean.
    pub weight_meaning: WeightMeaning,
    /// The period of the meter that reports use; 0 for none.
    pub meter_period: Micros,
    /// Units are guesses, settled with the answer.
    pub post_paid: bool,
}

/// The state of a backend as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Availability {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work, takes nothing new.
    Draining,
    /// Taken away.
    Gone,
}

/// A line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: u8,
    /// Its cell: backends that know each other's keys.
    pub cell: u16,
    /// The kind of its machine.
    pub kind: u16,
    /// Its state.
    pub availability: Availability,
    /// Its size, see [`WeightMeaning`].
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Micros,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed lines only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as last held before a restart, perhaps stale.
    Cached,
    /// A call to discovery failed; the list stays as it was.
    Failed,
}

/// The load that a backend reported, as far as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in work.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Share of the cores in use.
    pub utilization: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub requests_per_second: Option<f64>,
    /// Errors a second.
    pub errors_per_second: Option<f64>,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: u8,
    /// Index into [`Settings::plans`].
    pub plan: u16,
    /// Whose it is.
    pub customer: CustomerId,
    /// When the client abandons it.
    pub deadline: Micros,
    /// What it draws from the quota.
    pub units: f64,
    /// Over how many gateways the customer's requests come.
    pub gateway_count: f64,
    /// The first of these, counted round.
    pub first_gateway: f64,
}

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// OwnerReply of the list of backends.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptFinished {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u16,
        /// Where it went.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The request has its final answer.
        answered: bool,
        /// How long it was out.
        elapsed: Micros,
        /// The customer's metered use as a share of its rate or cap, where there is a meter.
        metered: Option<f64>,
        /// True units, where they are settled afterwards.
        charged_units: Option<f64>,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A streamed answer began; the attempt is the client's from now on.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// The client left; no answer is owed.
    ClientCancelled(RequestId),
    /// A timer came due.
    Timer(u32),
    /// A probe ended.
    HealthChecked {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A peer's message.
    GossipReceived {
        /// The sender.
        from: GatewayId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// What a view of the fleet says of a peer, where there is one. No rule rests on it.
    PeerReachability {
        /// Which one.
        peer: GatewayId,
        /// It counts as in; as all do that nothing was said of.
        reachable: bool,
    },
    /// A counter call ended.
    CounterUpdated {
        /// The number's name.
        name: u64,
        /// How it ended.
        outcome: Outcome,
        /// The total, with [`Outcome::Ok`].
        total: f64,
    },
}

/// What a gateway asks its host to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend; `expires` 0 means at the client's deadline. Nothing of it may leave after
    /// `begin_by`, however long a connection takes; 0 means at any time. One that did not begin is moot.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to give the attempt up.
        give_up_at: Micros,
        /// When it must have begun.
        start_by: Micros,
    },
    /// Final answer: refused, trying again is harmless; `pause` 0 gives no advice.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should keep away.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Wake the gateway after `delay` with [`Event::Timer`].
    SetTimer {
        /// From now.
        delay: Micros,
        /// Comes back with the event.
        token: u32,
    },
    /// Send a message of at most 256 bytes to one peer, or to all.
    SendGossip {
        /// The receiver; none means all.
        to: Option<GatewayId>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Probe a backend.
    CheckHealth(BackendId),
    /// Close idle connections to a backend.
    CloseIdle(BackendId),
    /// Subscribe to discovery, or no longer.
    WatchEndpoints(bool),
    /// Ask discovery for the whole list once.
    FetchEndpoints,
    /// Add to a shared number.
    AddToCounter {
        /// Its name.
        name: u64,
        /// The amount.
        delta: f64,
        /// How long a new name lives.
        lifetime: Micros,
    },
    /// A line for the log.
    Log(String),
}
