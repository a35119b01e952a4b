//! When an ingress that was told to end does what, by the platform's page: free of I/O and clock.

use chalkgap_core::Micros;

/// New connections go on coming for up to 0.4 s, from clients that have not heard yet; the rest is for the way.
const STILL_TAKEN: Micros = 450_000;
/// The process is killed no sooner than the longest deadline, counted as this where it is longer, ...
const COUNTED: Micros = 3_000_000;
/// ... and this after it was told to end.
const KILLED: Micros = 700_000;
/// What of that is left for the machine, and for answers on their way, when what is still open is answered as failed. A
/// request that came in the last moment of `STILL_TAKEN` has its whole time before.
const RESERVE: Micros = 250_000;
/// What is left when the process ends by itself, whatever its clients do.
const LAST: Micros = 50_000;

/// Times after the word to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ends {
    /// Until then connections are taken.
    pub taken: Micros,
    /// What is still open then is answered as failed.
    pub overtime: Micros,
    /// The process ends then at the latest.
    pub process: Micros,
}

impl Ends {
    /// By the longest deadline of the settings.
    pub fn within(longest: Micros) -> Ends {
        let killed = longest.min(COUNTED) + KILLED;
        Ends { taken: STILL_TAKEN, overtime: killed - RESERVE, process: killed - LAST }
    }
}
