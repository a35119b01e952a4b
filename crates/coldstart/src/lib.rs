//! Start of a fleet of hundreds of members, or its recovery after an outage, without overloading the service that it
//! depends on. Performs no I/O and reads no clock: the caller reports events and the current time, and carries out the
//! returned actions.
//!
//! - [`call_schedule`]: when a member may call the service; the rate of calls is bounded for the fleet, not for a member
//! - [`list_loader`]: loads the full list of backends, from the service by schedule or from a peer, checked against others

pub mod call_schedule;
pub mod list_loader;

pub use call_schedule::{CallSchedule, FleetView};
pub use list_loader::{Action, Config, CurrentList, ListError, ListId, ListLoader, Source};

/// A duration, or a time since the Unix epoch, in microseconds.
pub type Micros = u64;

/// Number of a member. It stays the same across restarts.
pub type MemberId = u16;
