//! The task of one connection to a backend. It waits for attempts, connects when needed and reports the outcome of each attempt
//! to the driver.

use super::exchange::Exchange;
use super::{ConnectionCommand, ConnectionContext};
use crate::backend_reply::BackendReply;
use crate::memory_plan::BACKEND_CONNECTION_BYTES;
use crate::request::ForwardedCommand;
use async_channel::Receiver;
use chalkgap::frontend::{AttemptResult, DriverEvent, OutboundAttempt, RepeatWindow};
use chalkgap_core::Outcome;
use chalkgap_runtime::{Alarm, Micros, Stream};
use chalkgap_transport::MemoryOwner;
use futures_lite::{future, AsyncRead, Stream as _};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A reset within this time of the start of an attempt is attributed to the connection rather than to the backend.
const FIRST_WRITE_MICROS: Micros = 5000;

/// How long a command may be on its way to a backend, which drops it when the time that it was told has passed.
const MAX_TRANSIT_MICROS: Micros = 100_000;

/// Runs a connection's task until the sender of its commands is dropped.
pub(super) async fn run(
    context: ConnectionContext,
    number: u64,
    address: SocketAddr,
    commands: Receiver<ConnectionCommand>,
) {
    let _memory = context.settings.memory.draw(MemoryOwner::Connections, BACKEND_CONNECTION_BYTES);
    let mut connection = Connection {
        number,
        address,
        stream: None,
        commands: Box::pin(commands),
        alarm: Alarm::new(context.runtime.clone()),
        idle_since: 0,
        context,
    };
    while let Some(attempt) = connection.next_attempt().await {
        connection.run_attempt(&attempt).await;
    }
}

/// The event that ended the wait for the next attempt.
enum Wakeup {
    Command(ConnectionCommand),
    /// The driver dropped the connection.
    Dropped,
    /// The idle connection cannot be used any more.
    Unusable(UnusableReason),
}

/// Why an idle connection cannot be used any more.
#[derive(Clone, Copy, Debug)]
enum UnusableReason {
    /// It was idle for too long.
    IdleTimeout,
    /// The backend closed or reset it.
    ClosedByBackend,
    /// It received bytes that belong to no request.
    SurplusBytes,
}

/// The result of connecting.
enum Connect {
    Connected(Box<dyn Stream>),
    Failed,
    /// The attempt was cancelled before the connection was established.
    Cancelled,
}

struct Connection {
    context: ConnectionContext,
    /// Identifies the connection in the pool and in events for the driver.
    number: u64,
    address: SocketAddr,
    /// `None` if there is no usable connection: the next attempt opens one.
    stream: Option<Box<dyn Stream>>,
    commands: Pin<Box<Receiver<ConnectionCommand>>>,
    alarm: Alarm,
    /// When the last attempt ended.
    idle_since: Micros,
}

impl Connection {
    /// Waits for the next attempt and returns it, or `None` when the driver drops the connection. Closes the stream if it
    /// becomes unusable before that.
    async fn next_attempt(&mut self) -> Option<Box<OutboundAttempt<ForwardedCommand>>> {
        loop {
            match future::poll_fn(|cx| self.poll_wakeup(cx)).await {
                Wakeup::Command(ConnectionCommand::Start(attempt)) => return Some(attempt),
                // The command is for an attempt that has already ended.
                Wakeup::Command(ConnectionCommand::Stop { .. } | ConnectionCommand::Withdraw { .. }) => {}
                Wakeup::Dropped => return None,
                Wakeup::Unusable(reason) => {
                    tracing::debug!(backend = %self.address, ?reason, "idle connection closed");
                    self.stream = None;
                    self.context.notify_closed(self.number, false).await;
                }
            }
        }
    }

    fn poll_wakeup(&mut self, cx: &mut Context<'_>) -> Poll<Wakeup> {
        // The stream is checked before a command is taken, so that no request is written to a connection that has ended.
        if let Some(stream) = &mut self.stream {
            match Pin::new(stream).poll_read(cx, &mut [0; 1]) {
                Poll::Ready(Ok(1..)) => return Poll::Ready(Wakeup::Unusable(UnusableReason::SurplusBytes)),
                Poll::Ready(_) => return Poll::Ready(Wakeup::Unusable(UnusableReason::ClosedByBackend)),
                Poll::Pending => {}
            }
        }
        match self.commands.as_mut().poll_next(cx) {
            Poll::Ready(Some(command)) => return Poll::Ready(Wakeup::Command(command)),
            Poll::Ready(None) => return Poll::Ready(Wakeup::Dropped),
            Poll::Pending => {}
        }
        let idle_until =
            self.stream.is_some().then_some(self.idle_since + self.context.settings.idle_timeout);
        self.alarm.poll(idle_until, cx).map(|()| Wakeup::Unusable(UnusableReason::IdleTimeout))
    }

    /// Makes one attempt and reports its result to the driver.
    async fn run_attempt(&mut self, attempt: &OutboundAttempt<ForwardedCommand>) {
        let started_at = self.context.runtime.now();
        let idle_micros = self.stream.is_some().then(|| started_at.saturating_sub(self.idle_since));
        let reply = self.send_attempt(attempt).await;
        let BackendReply { outcome, value, load_report, reusable } = reply;
        let now = self.context.runtime.now();
        let elapsed_micros = now.saturating_sub(started_at);
        tracing::debug!(backend = %self.address, ?outcome, elapsed_micros, ?idle_micros, reusable, "attempt ended");
        if reusable {
            self.idle_since = now;
            if let Some(stream) = &self.stream {
                self.context.acknowledgements.send(&**stream, self.address);
            }
        } else {
            self.stream = None;
            // This is reported before the result of the attempt, after which the pool may choose the connection again.
            let broke_on_first_write = outcome == Outcome::Reset && elapsed_micros < FIRST_WRITE_MICROS;
            self.context.notify_closed(self.number, broke_on_first_write).await;
        }
        let result = AttemptResult {
            body: value,
            report: load_report,
            ..AttemptResult::without_answer(attempt.id, attempt.attempt, outcome)
        };
        // Fails only when the driver has stopped.
        let _ = self.context.driver.send(DriverEvent::AttemptEnded(Box::new(result))).await;
    }

    /// Connects if needed, writes the request and reads its reply.
    async fn send_attempt(&mut self, attempt: &OutboundAttempt<ForwardedCommand>) -> BackendReply {
        if self.stream.is_none() {
            match self.connect(attempt).await {
                Connect::Connected(stream) => self.stream = Some(stream),
                Connect::Failed => return BackendReply::without_value(Outcome::ConnectFailed),
                // No byte was written.
                Connect::Cancelled => return BackendReply::without_value(Outcome::NotSent),
            }
        }
        let now = self.context.runtime.now();
        let remaining_micros = attempt.deadline.saturating_sub(now);
        if remaining_micros == 0 || !attempt.may_be_written(now) {
            // No byte was written, so the connection can be used for the next attempt.
            return BackendReply { reusable: true, ..BackendReply::without_value(Outcome::NotSent) };
        }
        let request = attempt.work.to_unwritten(remaining_micros.div_ceil(1000));
        let Some(stream) = &mut self.stream else {
            return BackendReply::without_value(Outcome::ConnectFailed);
        };
        let mut exchange =
            Exchange::new(&self.context, attempt, request, stream, &mut self.commands, &mut self.alarm);
        let reply = future::poll_fn(|cx| exchange.poll(cx)).await;
        if exchange.request_written() {
            if matches!(reply.outcome, Outcome::Cancelled | Outcome::Reset) {
                let window_end = attempt.repeat_window.as_ref().and_then(RepeatWindow::end).unwrap_or(0);
                let latest_start = attempt.deadline + MAX_TRANSIT_MICROS;
                attempt.work.keep_id_until(latest_start.max(window_end));
            }
            return reply;
        }
        // A backend starts a command when it has received its last byte. This command was not fully written, so it did not run,
        // whatever the reply says.
        match reply.outcome {
            Outcome::Cancelled => BackendReply::without_value(Outcome::NotSent),
            Outcome::Rejected => BackendReply { reusable: false, ..reply },
            _ => BackendReply::without_value(Outcome::ConnectFailed),
        }
    }

    async fn connect(&mut self, attempt: &OutboundAttempt<ForwardedCommand>) -> Connect {
        let runtime = self.context.runtime.clone();
        let give_up_at = runtime.now() + self.context.settings.connect_timeout;
        let address = self.address;
        let connect = async {
            match runtime.connect(address).await {
                Ok(stream) => Connect::Connected(stream),
                Err(_) => Connect::Failed,
            }
        };
        let timeout = async {
            runtime.sleep_until(give_up_at).await;
            Connect::Failed
        };
        let cancelled = async {
            self.cancelled(attempt).await;
            Connect::Cancelled
        };
        future::or(cancelled, future::or(connect, timeout)).await
    }

    /// Returns when the attempt is cancelled or withdrawn, or when the driver drops the connection.
    async fn cancelled(&mut self, attempt: &OutboundAttempt<ForwardedCommand>) {
        loop {
            match future::poll_fn(|cx| self.commands.as_mut().poll_next(cx)).await {
                // The command is for an earlier attempt.
                Some(ConnectionCommand::Stop { id, attempt: number })
                | Some(ConnectionCommand::Withdraw { id, attempt: number })
                    if (id, number) != (attempt.id, attempt.attempt) => {}
                _ => return,
            }
        }
    }
}
