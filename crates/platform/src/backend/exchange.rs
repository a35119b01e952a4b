//! One request and its reply on an open connection. The exchange can be cancelled between any two writes.

use super::{ConnectionCommand, ConnectionContext};
use crate::backend_reply::{decode_backend_reply, BackendReply};
use crate::request::{ForwardedCommand, UnwrittenCommand};
use async_channel::Receiver;
use bytes::BytesMut;
use chalkgap::frontend::OutboundAttempt;
use chalkgap_core::Outcome;
use chalkgap_runtime::{Alarm, Stream};
use chalkgap_transport::{MemoryOwner, MemoryReservation};
use futures_lite::{AsyncRead, AsyncWrite, Stream as _};
use std::pin::Pin;
use std::task::{Context, Poll};

const READ_BUFFER_BYTES: usize = 16 << 10;

/// The state of sending one request and receiving its reply.
pub(super) struct Exchange<'a> {
    context: &'a ConnectionContext,
    attempt: &'a OutboundAttempt<ForwardedCommand>,
    stream: &'a mut Box<dyn Stream>,
    commands: &'a mut Pin<Box<Receiver<ConnectionCommand>>>,
    alarm: &'a mut Alarm,
    /// The part of the request that has not been written yet.
    unwritten: UnwrittenCommand,
    received: BytesMut,
    /// The memory of `received`; `None` once the reply is complete.
    memory: Option<MemoryReservation>,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(
        context: &'a ConnectionContext,
        attempt: &'a OutboundAttempt<ForwardedCommand>,
        request: UnwrittenCommand,
        stream: &'a mut Box<dyn Stream>,
        commands: &'a mut Pin<Box<Receiver<ConnectionCommand>>>,
        alarm: &'a mut Alarm,
    ) -> Self {
        Exchange {
            context,
            attempt,
            stream,
            commands,
            alarm,
            unwritten: request,
            received: BytesMut::new(),
            memory: Some(context.settings.memory.reservation(MemoryOwner::Replies)),
        }
    }

    /// Whether the whole request has been written.
    pub(super) fn request_written(&self) -> bool {
        self.unwritten.is_empty()
    }

    /// Polls for the reply. Its outcome is [`Outcome::Cancelled`] or [`Outcome::Reset`] if the exchange ended without one.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<BackendReply> {
        if self.poll_cancelled(cx).is_ready() {
            return Poll::Ready(BackendReply::without_value(Outcome::Cancelled));
        }
        // The backend starts a request when it has received its last byte, so one that is not fully written has not started.
        if !self.request_written() {
            let now = self.context.runtime.now();
            let is_too_late = self.alarm.poll(self.attempt.write_by(), cx).is_ready();
            if is_too_late || !self.attempt.may_be_written(now) {
                return Poll::Ready(BackendReply::without_value(Outcome::Cancelled));
            }
            if let Poll::Ready(failed) = self.poll_write(cx) {
                return Poll::Ready(failed);
            }
            if self.request_written() {
                self.attempt.record_written(now);
            }
        }
        self.poll_read(cx)
    }

    /// Ready when the attempt is cancelled, when it is withdrawn before its first byte is written, or when the driver drops the
    /// connection.
    fn poll_cancelled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            match self.commands.as_mut().poll_next(cx) {
                Poll::Ready(Some(ConnectionCommand::Stop { id, attempt })) => {
                    if (id, attempt) == (self.attempt.id, self.attempt.attempt) {
                        return Poll::Ready(());
                    }
                }
                Poll::Ready(Some(ConnectionCommand::Withdraw { id, attempt })) => {
                    let is_unwritten = self.unwritten.is_untouched();
                    if (id, attempt) == (self.attempt.id, self.attempt.attempt) && is_unwritten {
                        return Poll::Ready(());
                    }
                }
                Poll::Ready(Some(ConnectionCommand::Start(_)) | None) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Writes as much of the request as the stream accepts. Ready only if the write fails.
    fn poll_write(&mut self, cx: &mut Context<'_>) -> Poll<BackendReply> {
        while !self.unwritten.is_empty() {
            match Pin::new(&mut *self.stream).poll_write(cx, self.unwritten.next()) {
                Poll::Ready(Ok(count)) if count > 0 => self.unwritten.advance(count),
                Poll::Ready(_) => return Poll::Ready(BackendReply::without_value(Outcome::Reset)),
                Poll::Pending => break,
            }
        }
        Poll::Pending
    }

    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<BackendReply> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let count = match Pin::new(&mut *self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(count)) if count > 0 => count,
                Poll::Ready(_) => return Poll::Ready(BackendReply::without_value(Outcome::Reset)),
                Poll::Pending => return Poll::Pending,
            };
            if !self.reserve(count) {
                // The request has run, but there is not enough memory for its reply.
                return Poll::Ready(BackendReply::without_value(Outcome::Reset));
            }
            self.received.extend_from_slice(&buffer[..count]);
            let fields = &self.context.settings.load_report_fields;
            if let Some(mut reply) = decode_backend_reply(&mut self.received, fields) {
                if let Some(memory) = self.memory.take().filter(|_| !reply.value.is_empty()) {
                    reply.value = memory.attach(reply.value);
                }
                return Poll::Ready(reply);
            }
        }
    }

    /// Makes room for `count` more bytes of the reply. Returns false if there is not enough memory.
    fn reserve(&mut self, count: usize) -> bool {
        let required = self.received.len() + count;
        if required <= self.received.capacity() {
            return true;
        }
        let capacity = required.max(2 * self.received.capacity());
        let missing = capacity - self.received.capacity();
        if !self.memory.as_mut().is_some_and(|memory| memory.grow(missing)) {
            return false;
        }
        self.received.reserve(capacity - self.received.len());
        true
    }
}
