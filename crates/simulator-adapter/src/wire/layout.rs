//! Sizes, codes and field offsets of the simulator's wire protocol. Where the protocol has another name for an item,
//! the comment on the item begins with that name in backticks.
//!
//! Offsets count from the first byte of a header, record or row. A range of the tail is an offset and a count, 32
//! bits each. A load report is one byte with the number of its values, and then [`MAX_REPORT_VALUES`] 32-bit floats.

/// Length of a batch header.
pub const BATCH_HEADER_BYTES: usize = 20;
/// Length of an event record.
pub const EVENT_BYTES: usize = 48;
/// Length of a reply header.
pub const REPLY_HEADER_BYTES: usize = 12;
/// Length of an action record.
pub const ACTION_BYTES: usize = 32;
/// Length of a row in an endpoint update.
pub const ENDPOINT_BYTES: usize = 24;
/// Length of a backend's identity: an address and a port.
pub const BACKEND_BYTES: usize = 6;
/// Maximum number of values in a load report.
pub const MAX_REPORT_VALUES: usize = 4;
/// Receiver number that addresses all gateways.
pub const ALL_GATEWAYS: u16 = u16::MAX;

/// Header of a batch; the first two fields of a reply's header are the same.
pub mod header {
    pub const RECORD_COUNT: usize = 0; // Number of records that follow
    pub const FRAME_LENGTH: usize = 4; // Length of the whole frame in bytes
    pub const CLOCK: usize = 8; // The clock of a batch, in microseconds
    pub const BATCH_NUMBER: usize = 16; // The number of a batch
}

/// Fields that all records have.
pub mod record {
    pub const CODE: usize = 0; // Code of the event or action
    pub const INSTANCE: usize = 1; // Number of the gateway
}

/// Codes of events.
pub mod event_code {
    pub const REQUEST: u8 = 10; // `Call`: a request arrived
    pub const ATTEMPT_FINISHED: u8 = 20; // `Settled`: an attempt ended
    pub const HEALTH_CHECKED: u8 = 30; // `ProbeDone`: a health check ended
    pub const COUNTER_UPDATED: u8 = 40; // `Reckoned`: a call to the shared counter ended
    pub const START: u8 = 50; // `Provision`: a gateway starts
    pub const ENDPOINTS: u8 = 60; // `RosterChange`: a list of endpoints from discovery, or changes to it
    pub const TIMER: u8 = 70; // `DeadlineHit`: a timer fired
    pub const GOSSIP_RECEIVED: u8 = 80; // `NeighbourSays`: a message from another gateway arrived
    pub const CLIENT_CANCELLED: u8 = 90; // `Withdrawn`: the client cancelled its request
    pub const FIRST_BYTE: u8 = 100; // `FirstByte`: a streamed response began
    pub const STOP: u8 = 110; // `PowerOff`: a gateway was killed
}

/// Codes of actions.
pub mod action_code {
    pub const START_ATTEMPT: u8 = 10; // `Deliver`: start an attempt
    pub const REJECT: u8 = 20; // `TurnAway`: reject a request
    pub const FAIL: u8 = 30; // `Fail`: fail a request
    pub const CANCEL: u8 = 40; // `Revoke`: cancel an attempt
    pub const SET_TIMER: u8 = 50; // `SetAlarm`: set a timer
    pub const CHECK_HEALTH: u8 = 60; // `Check`: check a backend's health
    pub const CLOSE_IDLE: u8 = 70; // `Release`: close idle connections to a backend
    pub const SEND_GOSSIP: u8 = 80; // `WritePeer`: send a message to another gateway or to all
    pub const LOG: u8 = 90; // `Record`: log a line
    pub const WATCH_ENDPOINTS: u8 = 110; // `Listen`: subscribe to discovery
    pub const FETCH_ENDPOINTS: u8 = 120; // `Refresh`: fetch the whole list from discovery
    pub const ADD_TO_COUNTER: u8 = 130; // `Add`: add to a shared counter
}

/// Codes of outcomes.
pub mod outcome_code {
    pub const OK: u16 = 200; // A successful response
    pub const TIMED_OUT: u16 = 408; // No response in time
    pub const NOT_SENT: u16 = 409; // `moot`: never sent
    pub const REJECTED: u16 = 429; // `full`: rejected before it ran
    pub const CANCELLED: u16 = 444; // Cancelled by the gateway
    pub const ERROR: u16 = 502; // An error response
    pub const RESET: u16 = 520; // The connection broke
    pub const CONNECT_FAILED: u16 = 521; // No connection
}

/// Fields of [`event_code::START`].
pub mod start {
    pub const SEED: usize = 3; // `entropy`: the seed of random numbers
    pub const SETTINGS: usize = 11; // `conf`: the settings, a range of the tail
}

/// Fields of [`event_code::REQUEST`].
pub mod request {
    pub const ID: usize = 3; // `op_id`
    pub const CLASS: usize = 11; // `cls`
    pub const PLAN: usize = 12; // `plan`
    pub const CUSTOMER: usize = 14; // `api_key`
    pub const DEADLINE: usize = 22; // `not_after_us`
    pub const UNITS: usize = 30; // `size_units`
    pub const GATEWAY_COUNT: usize = 34; // `width`
    pub const FIRST_GATEWAY: usize = 38; // `from_no`
}

/// Fields of [`event_code::ATTEMPT_FINISHED`].
pub mod attempt_finished {
    pub const REQUEST_ID: usize = 3; // `op_id`
    pub const ELAPSED: usize = 11; // `wait_time_us`
    pub const OUTCOME: usize = 15; // `outcome`
    pub const ANSWERED: usize = 17; // `complete`
    pub const ATTEMPT: usize = 18; // `round_no`
    pub const METERED: usize = 20; // `metered`: a percentage plus 1; 0: not metered
    pub const BACKEND: usize = 22; // `backend`
    pub const CHARGED_UNITS: usize = 28; // `charged`: in units; 0: not stated
    pub const LOAD_REPORT: usize = 30; // `usage`: a load report
}

/// Fields of [`event_code::HEALTH_CHECKED`].
pub mod health_checked {
    pub const BACKEND: usize = 3; // `backend`
    pub const OUTCOME: usize = 9; // `outcome`
    pub const ELAPSED: usize = 11; // `wait_time_us`
    pub const LOAD_REPORT: usize = 15; // `usage`: a load report
}

/// Fields of [`event_code::COUNTER_UPDATED`].
pub mod counter_updated {
    pub const NAME: usize = 3; // `book`
    pub const OUTCOME: usize = 11; // `outcome`
    pub const TOTAL: usize = 13; // `sum`
}

/// Fields of [`event_code::ENDPOINTS`].
pub mod endpoints {
    pub const UPDATE_KIND: usize = 3; // `scope`: the kind of update
    pub const ROWS: usize = 12; // `rows`: a range of the tail, counted in rows
}

/// Fields of a row in an endpoint update.
pub mod endpoint {
    pub const BACKEND: usize = 0; // `backend`
    pub const ZONE: usize = 6; // `region_part`
    pub const MACHINE_KIND: usize = 7; // `generation_hw`
    pub const CELL: usize = 9; // `pod`
    pub const AVAILABILITY: usize = 11; // `availability`
    pub const WEIGHT: usize = 12; // `size`
    pub const STARTED_AT: usize = 16; // `ready_at_us`
}

/// Fields of [`event_code::TIMER`].
pub mod timer {
    pub const TOKEN: usize = 3; // `tag`
}

/// Fields of [`event_code::GOSSIP_RECEIVED`].
pub mod gossip_received {
    pub const SENDER: usize = 3; // `by`
    pub const MESSAGE: usize = 5; // `octets`: a range of the tail
}

/// Fields of [`event_code::CLIENT_CANCELLED`].
pub mod client_cancelled {
    pub const REQUEST_ID: usize = 3; // `op_id`
}

/// Fields of [`event_code::FIRST_BYTE`].
pub mod first_byte {
    pub const REQUEST_ID: usize = 3; // `op_id`
    pub const ATTEMPT: usize = 11; // `round_no`
}

/// Fields of [`action_code::START_ATTEMPT`].
pub mod start_attempt {
    pub const REQUEST_ID: usize = 3; // `op_id`
    pub const GIVE_UP_AT: usize = 11; // `expire_at_us`
    pub const BACKEND: usize = 19; // `backend`
}

/// Fields of [`action_code::REJECT`] and [`action_code::FAIL`].
pub mod final_answer {
    pub const REQUEST_ID: usize = 3; // `op_id`
    pub const RETRY_AFTER: usize = 11; // `pause_us`, only in a rejection
}

/// Fields of [`action_code::CANCEL`].
pub mod cancel {
    pub const REQUEST_ID: usize = 3; // `op_id`
    pub const ATTEMPT: usize = 11; // `round_no`
}

/// Fields of [`action_code::SET_TIMER`].
pub mod set_timer {
    pub const DELAY: usize = 3; // `delay_us`
    pub const TOKEN: usize = 7; // `tag`
}

/// Fields of [`action_code::CHECK_HEALTH`] and [`action_code::CLOSE_IDLE`].
pub mod backend_action {
    pub const BACKEND: usize = 3; // `backend`
}

/// Fields of [`action_code::SEND_GOSSIP`].
pub mod send_gossip {
    pub const RECEIVER: usize = 3; // `whom`, or `ALL_GATEWAYS`
    pub const MESSAGE: usize = 5; // `octets`: a range of the tail
}

/// Fields of [`action_code::LOG`].
pub mod log {
    pub const MESSAGE: usize = 3; // `message`: a range of the tail
}

/// Fields of [`action_code::WATCH_ENDPOINTS`].
pub mod watch_endpoints {
    pub const ENABLED: usize = 3; // `enable`
}

/// Fields of [`action_code::ADD_TO_COUNTER`].
pub mod add_to_counter {
    pub const LIFETIME: usize = 3; // `lifetime_us`
    pub const DELTA: usize = 7; // `delta`
    pub const NAME: usize = 11; // `book`
}
