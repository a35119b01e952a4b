//! One limit, in bytes, on all memory that is held for peers: unfinished input, requests, replies, lists.
//!
//! Each owner draws a reservation before it holds bytes; the reservation returns them when it is dropped. An owner may draw only
//! while the total is below its own share of the budget. The shares of later steps of a request are larger, so that what has
//! been accepted can be completed while nothing new is read.

use bytes::Bytes;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryOwner {
    /// Tasks of connections. Their number is limited by the descriptors, so they do not compete with the other owners and are
    /// not part of the total.
    Connections,
    /// Buffers of client connections: input that is not parsed, replies that are not written.
    ClientBuffers,
    /// Requests from their arrival to their end, with their bodies.
    Requests,
    /// Replies of backends, from their first byte until the client has received them.
    Replies,
    /// Lists of endpoints that are being received, and the endpoints that are known.
    Endpoints,
}

/// Number of owners.
const OWNERS: usize = 5;

impl MemoryOwner {
    /// All owners.
    pub const ALL: [MemoryOwner; OWNERS] = [
        MemoryOwner::Connections,
        MemoryOwner::ClientBuffers,
        MemoryOwner::Requests,
        MemoryOwner::Replies,
        MemoryOwner::Endpoints,
    ];

    fn competes(self) -> bool {
        self != MemoryOwner::Connections
    }

    /// The part of the budget up to which the owner may draw, in percent of the whole.
    fn share_percent(self) -> usize {
        match self {
            MemoryOwner::ClientBuffers => 50,
            MemoryOwner::Requests => 70,
            MemoryOwner::Replies => 100,
            MemoryOwner::Endpoints | MemoryOwner::Connections => 100,
        }
    }

    fn name(self) -> &'static str {
        match self {
            MemoryOwner::Connections => "connections",
            MemoryOwner::ClientBuffers => "client_buffers",
            MemoryOwner::Requests => "requests",
            MemoryOwner::Replies => "replies",
            MemoryOwner::Endpoints => "endpoints",
        }
    }
}

/// A limit on the total number of bytes held by all owners.
pub struct MemoryBudget {
    max_bytes: usize,
    held_bytes: AtomicUsize,
    held_by_owner: [AtomicUsize; OWNERS],
    pub(crate) holders: crate::connection_memory::Holders,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(MemoryBudget {
            max_bytes,
            held_bytes: AtomicUsize::new(0),
            held_by_owner: Default::default(),
            holders: Default::default(),
        })
    }

    /// Creates a budget that limits nothing.
    pub fn unlimited() -> Arc<Self> {
        MemoryBudget::new(usize::MAX)
    }

    /// Returns the number of bytes that the owners hold that compete for the budget.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that `owner` holds.
    pub fn held_by(&self, owner: MemoryOwner) -> usize {
        self.held_by_owner[owner as usize].load(Ordering::Relaxed)
    }

    /// Whether `owner` may not draw more at present.
    pub fn is_exhausted_for(&self, owner: MemoryOwner) -> bool {
        self.held_bytes() >= self.share(owner)
    }

    /// Creates an empty reservation. Reservations for connections only grow by [`resize`](MemoryReservation::resize).
    pub fn reservation(self: &Arc<Self>, owner: MemoryOwner) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), owner, bytes: 0 }
    }

    /// Reserves `bytes` for something that must not be refused, whatever is held already.
    pub fn draw(self: &Arc<Self>, owner: MemoryOwner, bytes: usize) -> MemoryReservation {
        let mut reservation = self.reservation(owner);
        reservation.resize(bytes);
        reservation
    }

    fn share(&self, owner: MemoryOwner) -> usize {
        self.max_bytes / 100 * owner.share_percent()
    }

    fn try_add(&self, owner: MemoryOwner, bytes: usize) -> bool {
        let share = self.share(owner);
        let add = |held: usize| held.checked_add(bytes).filter(|total| *total <= share);
        let added = self.held_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        if added {
            self.held_by_owner[owner as usize].fetch_add(bytes, Ordering::Relaxed);
        }
        added
    }

    fn add(&self, owner: MemoryOwner, bytes: usize) {
        if owner.competes() {
            self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        self.held_by_owner[owner as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    fn subtract(&self, owner: MemoryOwner, bytes: usize) {
        if owner.competes() {
            self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        self.held_by_owner[owner as usize].fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Writes who holds how many bytes.
impl fmt::Display for MemoryBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "held={} limit={}", self.held_bytes(), self.max_bytes)?;
        MemoryOwner::ALL
            .iter()
            .try_for_each(|owner| write!(formatter, " {}={}", owner.name(), self.held_by(*owner)))
    }
}

/// Bytes reserved from a [`MemoryBudget`], returned to it on drop.
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    owner: MemoryOwner,
    bytes: usize,
}

impl MemoryReservation {
    /// Returns the budget that the bytes are reserved from.
    pub fn budget(&self) -> &Arc<MemoryBudget> {
        &self.budget
    }

    /// Returns the number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` more. Returns false and reserves nothing if that would exceed the owner's share of the budget.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let added = self.budget.try_add(self.owner, bytes);
        if added {
            self.bytes += bytes;
        }
        added
    }

    /// Changes the reservation to `bytes`, whatever is held already.
    pub fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.add(self.owner, bytes - self.bytes);
        } else {
            self.budget.subtract(self.owner, self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Returns `bytes` in a form that holds the reservation until the last clone and the last slice of them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.subtract(self.owner, self.bytes);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
