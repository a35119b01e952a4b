//! Fault injection for a node.

use chalkgap_runtime::Micros;

/// The faults of a node. Shares are of attempts, from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Connections are closed at once.
    pub refuse: bool,
    /// Connections are accepted, but nothing is written to them, not even SETTINGS.
    pub mute: bool,
    /// Attempts are accepted and never answered.
    pub hang: bool,
    /// Share of attempts that fail at once, without being executed.
    pub fail: f64,
    /// Limits `fail` to this class; `None` applies it to all classes.
    pub fail_class: Option<String>,
    /// Share of attempts that are executed but whose response is truncated by a stream reset.
    pub halfway: f64,
    /// Factor on the time that work takes; values below 1 count as 1.
    pub slow: f64,
    /// Usage lookups are answered with "unknown".
    pub forgets: bool,
    /// Time until usage lookups are answered, in microseconds. Pings are answered meanwhile.
    pub lookup_delay: Micros,
    /// Share of attempts whose work is multiplied by `tail_cost`.
    pub tail: f64,
    /// Factor on the work of the attempts that `tail` selects; values below 1 count as 1.
    pub tail_cost: f64,
}
