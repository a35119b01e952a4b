//! What can be wrong with a node.

/// The faults of a node. Shares are of attempts, from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Connections are closed at once.
    pub refuse: bool,
    /// Connections are accepted and never written to, not even SETTINGS.
    pub mute: bool,
    /// Attempts are accepted and never answered.
    pub hang: bool,
    /// Share of attempts that fail at once, without having run.
    pub fail: f64,
    /// The only class that fails so; `None` for all.
    pub fail_class: Option<String>,
    /// Share of attempts whose response breaks off in the middle, after they ran.
    pub halfway: f64,
    /// Multiplies the time that work takes; 0 and 1 change nothing.
    pub slow: f64,
    /// Usage lookups are answered with "unknown".
    pub forgets: bool,
    /// Share of attempts that cost more ...
    pub tail: f64,
    /// ... by this factor.
    pub tail_cost: f64,
}
