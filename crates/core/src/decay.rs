//! Exponential decay of measured values, and conversions between microseconds and seconds.

use crate::interface::Micros;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: f64 = 1e6;

/// A span of time in seconds.
pub fn to_seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}

/// A number of seconds in microseconds, rounded down; a negative number gives 0.
pub fn to_micros(seconds: f64) -> Micros {
    (seconds * MICROS_PER_SECOND) as Micros
}

/// The share of a value that is left after the time between two instants; 1 if none has passed.
///
/// `time_constant` is in seconds: after one of them 37% is left.
pub fn decay_factor(from: Micros, to: Micros, time_constant: f64) -> f64 {
    if from >= to {
        return 1.0;
    }
    (-to_seconds(to - from) / time_constant).exp()
}
