//! Faults of network links, shared by the simulated runtime and by relays between real processes.

use crate::Micros;
use rand::rngs::SmallRng;
use rand::RngExt;

/// Delay that a loss adds on a stream: the time until the bytes are retransmitted.
pub const RETRANSMIT_DELAY_MICROS: Micros = 200_000;
/// Interval at which tasks that wait on a cut link check whether it is restored.
pub const CUT_POLL_INTERVAL_MICROS: Micros = 10_000;

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing is delivered and no error is reported: streams and connection attempts hang until the link is restored, and
    /// datagrams are lost.
    Silent,
    /// Streams are reset, new streams fail at once, and datagrams are lost.
    Reset,
}

/// The faults of a link in one direction. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Share of transmissions that are lost; on a stream they are delayed by [`RETRANSMIT_DELAY_MICROS`].
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub double: f64,
    /// Minimum and maximum delay; chosen uniformly between them, so that datagrams are reordered if they differ.
    pub delay: (Micros, Micros),
    /// Share of transmissions that are delayed by ten times the maximum delay in addition.
    pub tail: f64,
    /// Bandwidth in bytes per second; 0 is unlimited.
    pub rate: u64,
    /// How the link is cut; `None` if it is not.
    pub cut: Option<Cut>,
    /// The end of a stream is not passed on, so that the receiver believes that the stream is open.
    pub half_open: bool,
}

impl LinkFaults {
    /// Samples the delay of one datagram.
    pub fn sample_delay(&self, rng: &mut SmallRng) -> Micros {
        let tail = self.tail > 0.0 && rng.random::<f64>() < self.tail;
        let max = self.delay.1.max(self.delay.0);
        rng.random_range(self.delay.0..=max) + if tail { 10 * max } else { 0 }
    }

    /// Samples the delay of one write on a stream, where lost bytes are retransmitted.
    pub fn sample_stream_delay(&self, rng: &mut SmallRng) -> Micros {
        let lost = self.loss > 0.0 && rng.random::<f64>() < self.loss;
        self.sample_delay(rng) + if lost { RETRANSMIT_DELAY_MICROS } else { 0 }
    }

    /// Returns the time in microseconds that the link's bandwidth needs to transmit `bytes` bytes.
    pub fn transmission_time(&self, bytes: usize) -> Micros {
        (bytes as u64 * 1_000_000).checked_div(self.rate).unwrap_or(0)
    }
}
