//! Decides which connections an ingress admits. Performs no I/O and reads no clock: the caller reports events and the
//! current time to [`Admission`] and carries out its decisions.
//!
//! A new connection is checked before it costs anything but its descriptor: by the open connections, the attempts per
//! second and the incomplete handshakes of its address, and by the open connections of its prefix. Capacity is then
//! reserved by [`Priority`]: red addresses are rejected first, then unknown ones, then known ones, and those with a
//! preferred plan last. An address is known if a recent request of it was served within quota, or if the settings name
//! it; nothing that a client sends makes it known. An idle connection of a red or unknown address is evicted for a known
//! client; a connection with an open request is never evicted.
//!
//! - [`descriptor_budget`]: division of the file descriptor limit
//! - [`cidr_block`]: address blocks
//! - [`known_clients`]: table of known clients, and its snapshot
//! - [`decide`]: the admission decider
//! - [`minimum_throughput`]: when a client is too slow
//! - `running_clock`: time without the stalls of this process
//! - `accept_backoff`: pauses of a listener that cannot accept
//! - [`stall_detector`]: earliest arrival of received bytes, after a stall

mod accept_backoff;
pub mod cidr_block;
pub mod decide;
pub mod descriptor_budget;
pub mod known_clients;
pub mod minimum_throughput;
mod running_clock;
pub mod stall_detector;

pub use cidr_block::{CidrBlock, CidrError};
pub use decide::{Admission, Caps, ConnId, Decision, IdleEviction, Priority, Reason};
pub use descriptor_budget::{BudgetError, DescriptorBudget, DescriptorReservations};
pub use known_clients::{KnownClientLimits, KnownClients, KnownTier};

/// A duration, or a time since the caller's epoch, in microseconds.
pub type Micros = u64;
