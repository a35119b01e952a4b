//! Membership of a fleet: each member's view of which gateways are alive. Sans-I/O and without a clock: a
//! [`Membership`] is given messages and the time, and returns messages to send, the next timeout and what has changed.
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey, 2017):
//! in each protocol period a member probes one other member, through others if it does not answer. A member that does
//! not answer is suspected, is notified of it, and has time to refute, longer where the suspecting member is slow
//! itself. Updates are piggybacked on probes and their answers. It differs from SWIM in that
//!
//! - no member is declared dead on another's report: each member probes the suspect itself a last time, also through
//!   others;
//! - the version of a [`MemberRecord`] (SWIM's incarnation number) is even while the member is alive and odd once it is
//!   not. The higher version wins, and only the member itself goes on to the next even one. So views with equal records
//!   are equal, in whatever order the updates arrived;
//! - dead members are probed now and then, so that two sides of a partition meet again however long it lasted;
//! - a member whose own process was stopped or starved does not count that time as the others' silence.
//!
//! No decision about a request needs a correct view: a view may be stale, by at most [`Membership::detection_bound`].
//!
//! - [`membership`]: the state machine, and the order in which it runs the modules below
//! - [`view`]: the records of all members, the view's version and digest
//! - [`wire`]: the messages
//! - [`partition_status`]: whether the fleet has shrunk, or this member is cut off from it
//! - `probing`: direct and indirect probes
//! - `suspicion`: suspecting a member, confirmations, declaring it dead
//! - `merging`: merging received records, refuting what is wrong about this member
//! - `dissemination`: piggybacking updates on messages
//! - `anti_entropy`: comparing digests and exchanging the records that differ
//! - `reconnect`: probing dead members and seeds
//! - `local_health`: this member's own slowness
//! - `outbox`: messages to send, and their rate limit

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

/// A duration, or a time, in microseconds.
pub type Micros = u64;

/// The id of a member; it stays the same over restarts.
pub type MemberId = u16;

/// As a receiver's id: whichever member listens at the address.
pub const ANY_MEMBER: MemberId = MemberId::MAX;

/// As a sender's id: a holder of the key that is no member, such as the `fleet show` command.
pub const OBSERVER: MemberId = MemberId::MAX;
