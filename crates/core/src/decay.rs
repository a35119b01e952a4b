//! Exponential decay of measured values, and conversions between microseconds and seconds.

use crate::interface::Micros;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: f64 = 1e6;

/// Converts a span of time to seconds.
pub fn to_seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}

/// Converts seconds to microseconds, rounded down; a negative number gives 0.
pub fn to_micros(seconds: f64) -> Micros {
    (seconds * MICROS_PER_SECOND) as Micros
}

/// Returns the share of a value that remains after the time from `from` to `to`; 1 if no time has passed.
///
/// `time_constant` is in seconds: after one time constant 37% remains.
pub fn decay_factor(from: Micros, to: Micros, time_constant: f64) -> f64 {
    if from >= to {
        return 1.0;
    }
    (-to_seconds(to - from) / time_constant).exp()
}
