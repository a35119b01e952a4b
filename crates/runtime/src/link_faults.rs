//! What a link does to what goes over it: the same faults, by the same names, in the world without a system and between
//! processes on a real one.

use crate::Micros;
use rand::rngs::SmallRng;
use rand::RngExt;

/// What a loss costs a stream: it is sent again after this.
pub const SENT_AGAIN: Micros = 200_000;
/// How often whoever waits for a cut link looks whether it is whole again.
pub const LOOK: Micros = 10_000;

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing comes through, and nothing says so.
    Silent,
    /// Streams are reset, and new ones closed at once; datagrams are lost.
    Reset,
}

/// What a link does in one direction. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Lost; on a stream it comes later.
    pub loss: f64,
    /// Datagrams sent twice.
    pub double: f64,
    /// The least and the longest way. With a span, datagrams overtake each other.
    pub delay: (Micros, Micros),
    /// Share that is as late again as ten longest ways.
    pub tail: f64,
    /// Bytes a second; 0: any number.
    pub rate: u64,
    /// Nothing goes through.
    pub cut: Option<Cut>,
    /// An end of a stream is not passed on: the other side holds it for open.
    pub half_open: bool,
}

impl LinkFaults {
    /// How long something is under way.
    pub fn late(&self, rng: &mut SmallRng) -> Micros {
        let tail = self.tail > 0.0 && rng.random::<f64>() < self.tail;
        let most = self.delay.1.max(self.delay.0);
        rng.random_range(self.delay.0..=most) + if tail { 10 * most } else { 0 }
    }

    /// The same on a stream, where what is lost is sent again.
    pub fn late_on_stream(&self, rng: &mut SmallRng) -> Micros {
        let lost = self.loss > 0.0 && rng.random::<f64>() < self.loss;
        self.late(rng) + if lost { SENT_AGAIN } else { 0 }
    }

    /// How long so many bytes take to pass.
    pub fn passing(&self, bytes: usize) -> Micros {
        (bytes as u64 * 1_000_000).checked_div(self.rate).unwrap_or(0)
    }
}
