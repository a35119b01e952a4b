//! The signals that an ingress's process handles. A graceful shutdown, once begun, is neither ended nor prolonged by the signals
//! that supervisors repeat.

use async_signal::{Signal, Signals};
use chalkgap::runtime::{Micros, Shared};
use futures_lite::StreamExt;
use std::io;

/// Shortest time between a first SIGINT and one that ends the process at once. Ctrl-C may arrive twice in a moment: from the
/// terminal, and forwarded by the parent process.
const REPEATED_INTERRUPT_MICROS: Micros = 500_000;
/// Pause after an error of the signal stream.
const ERROR_PAUSE_MICROS: Micros = 1_000_000;

/// What a signal requires of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// SIGHUP while no shutdown is under way: read the configuration again.
    Reload,
    /// The first SIGTERM or SIGINT: shut down gracefully.
    ShutDown,
    /// A second SIGINT: end at once. Requests without an answer are lost.
    EndAtOnce,
}

/// Decides what each signal requires, from the signals before it.
#[derive(Debug, Default)]
struct SignalHistory {
    shutting_down: bool,
    first_interrupt_at: Option<Micros>,
}

impl SignalHistory {
    /// Returns `None` for a signal that is ignored.
    fn record(&mut self, now: Micros, signal: Signal) -> Option<SignalAction> {
        match signal {
            Signal::Hup => (!self.shutting_down).then_some(SignalAction::Reload),
            Signal::Int => self.record_interrupt(now),
            _ => self.begin_shutdown(),
        }
    }

    fn record_interrupt(&mut self, now: Micros) -> Option<SignalAction> {
        let first_at = *self.first_interrupt_at.get_or_insert(now);
        if now.saturating_sub(first_at) >= REPEATED_INTERRUPT_MICROS {
            return Some(SignalAction::EndAtOnce);
        }
        self.begin_shutdown()
    }

    fn begin_shutdown(&mut self) -> Option<SignalAction> {
        let begins = !std::mem::replace(&mut self.shutting_down, true);
        begins.then_some(SignalAction::ShutDown)
    }
}

/// The signals SIGTERM, SIGINT and SIGHUP of this process.
pub(crate) struct ProcessSignals {
    runtime: Shared,
    signals: Signals,
    history: SignalHistory,
}

impl ProcessSignals {
    /// Installs the handlers. Signals that arrive from now on are kept until [`ProcessSignals::next`] is called.
    ///
    /// # Errors
    /// The system's error if the handlers cannot be installed.
    pub(crate) fn install(runtime: Shared) -> io::Result<ProcessSignals> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(ProcessSignals { runtime, signals, history: SignalHistory::default() })
    }

    /// Waits for the next signal that requires an action. Signals that are ignored are logged.
    pub(crate) async fn next(&mut self) -> SignalAction {
        loop {
            match self.signals.next().await {
                Some(Ok(signal)) => match self.history.record(self.runtime.now(), signal) {
                    Some(action) => return action,
                    None => tracing::info!(?signal, "signal ignored, a shutdown is under way"),
                },
                error => {
                    tracing::error!(?error, "a signal was lost");
                    self.runtime.sleep_until(self.runtime.now() + ERROR_PAUSE_MICROS).await;
                }
            }
        }
    }

    /// Waits for a signal that requires a shutdown, and calls `reload` for each SIGHUP before it.
    pub(crate) async fn shutdown_requested(&mut self, mut reload: impl FnMut()) {
        while self.next().await == SignalAction::Reload {
            reload();
        }
    }

    /// Waits during a shutdown, whatever began it, for the signal to end at once.
    pub(crate) async fn end_requested(&mut self) {
        self.history.begin_shutdown();
        while self.next().await != SignalAction::EndAtOnce {}
    }
}
