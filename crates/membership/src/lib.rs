//! Fleet membership: each member keeps a view of which gateways are alive. The crate does no I/O and reads no clock:
//! the caller passes received messages and the current time to a [`Membership`], which returns messages to send, the
//! time of the next timeout and events about changes of the view.
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey, 2017).
//! In each protocol period a member probes one other member. If that one does not answer, other members are asked to
//! probe it. A member that answers no probe is suspected. It is notified of the suspicion and has time to refute it,
//! more time if the suspecting member is slow itself. Updates are piggybacked on probes and their answers. The
//! protocol differs from SWIM in these points:
//!
//! - A member does not declare another one dead because of a report alone: it sends the suspect a final probe itself,
//!   directly and through other members.
//! - The version of a [`MemberRecord`] (SWIM's incarnation number) is even while the member is alive and odd once it
//!   is dead or has left. The higher version wins, and only the member itself moves to the next even version. Views
//!   therefore converge to the same records in whatever order the updates arrive.
//! - Dead members are probed regularly, so that the two sides of a partition find each other again however long the
//!   partition lasted.
//! - A member whose own process was stopped or starved of CPU time does not treat that interval as silence of the
//!   other members.
//!
//! No decision about a request depends on a correct view: a view may be stale, by at most
//! [`Membership::detection_bound`].
//!
//! - [`membership`]: the state machine, and the order in which it calls the modules below
//! - [`view`]: the records of all members, the view's version and digest
//! - [`wire`]: the message format
//! - [`partition_status`]: whether this member can reach all, most or too few of the members
//! - `probing`: direct and indirect probes
//! - `suspicion`: suspecting a member, confirming the suspicion, declaring the member dead
//! - `merging`: merging received records, refuting wrong records about this member
//! - `dissemination`: piggybacking updates on messages
//! - `anti_entropy`: comparing digests and exchanging the records that differ
//! - `reconnect`: probing dead members and seeds
//! - `local_health`: adapting periods and timeouts to this member's own slowness
//! - `outbox`: queued messages and their rate limit

mod anti_entropy;
mod dissemination;
mod local_health;
pub mod membership;
mod merging;
mod outbox;
pub mod partition_status;
mod probing;
mod reconnect;
mod suspicion;
pub mod view;
pub mod wire;

pub use membership::{Config, Event, Membership};
pub use outbox::Transmit;
pub use partition_status::PartitionStatus;
pub use view::{Member, MemberRecord, MemberState, View};
pub use wire::Malformed;

/// A duration or a point in time, in microseconds.
pub type Micros = u64;

/// The id of a member, which is kept across restarts.
pub type MemberId = u16;

/// Receiver id that stands for whichever member listens at the address.
pub const ANY_MEMBER: MemberId = MemberId::MAX;

/// Sender id of a process that has the fleet's key but is not a member, such as the `fleet show` command.
pub const OBSERVER: MemberId = MemberId::MAX;
