//! Decides which connections an ingress lets in. Free of I/O and clock: [`Admission`] is told what happens, with the
//! time, and says what is to be done.
//!
//! A connection is refused by its address before it costs anything: too many open, too many a second, too many that
//! have not finished their handshake, by address and by prefix. Among those that pass, room is kept in the order of the
//! module's ladder: red addresses are refused first, then unknown ones, then known ones, those of the dearest plans
//! last. Known is who was lately served within quota, or whom the settings name; nothing that a client says makes it
//! known. Idle connections of unknown clients make room for known ones; one that has a request open never does.
//!
//! - [`descriptor_budget`]: how the limit of descriptors is split
//! - [`cidr_block`]: blocks of addresses
//! - [`known_clients`]: the table of known clients, and its snapshot
//! - [`decide`]: the decider
//! - [`minimum_throughput`]: when a client is too slow
//! - `running_clock`: the time without this process's own stalls
//! - `accept_backoff`: pauses of a listener that cannot accept
//! - [`stall_detector`]: when bytes that are read now arrived

mod accept_backoff;
pub mod cidr_block;
pub mod decide;
pub mod descriptor_budget;
pub mod known_clients;
pub mod minimum_throughput;
mod running_clock;
pub mod stall_detector;

pub use cidr_block::{CidrBlock, CidrError};
pub use decide::{Admission, Caps, ConnId, GivesWay, Offer, Reason, Standing};
pub use descriptor_budget::{BudgetError, DescriptorBudget, DescriptorReservations};
pub use known_clients::{KnownClientLimits, KnownClients, KnownTier};

/// A span of time, or a time, in microseconds.
pub type Micros = u64;
