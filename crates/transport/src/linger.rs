//! The lingering close: the write side is shut, and what the peer still sends is discarded until it shuts its own.

use chalkgap_runtime::Stream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Bytes that are discarded by one read.
const DISCARD_BYTES: usize = 16 << 10;
/// Reads in a row before other tasks get their turn.
const READS_BEFORE_YIELD: usize = 16;

/// Shuts the write side of a stream, then reads and discards until the peer has shut its own side.
///
/// May be polled again after the write side is shut. Ready also when the stream has failed.
pub fn linger(stream: &mut dyn Stream, cx: &mut Context<'_>) -> Poll<()> {
    match Pin::new(&mut *stream).poll_close(cx) {
        Poll::Ready(Ok(())) => {}
        // The stream has ended already: there is nothing to wait for.
        Poll::Ready(Err(_)) => return Poll::Ready(()),
        Poll::Pending => return Poll::Pending,
    }
    let mut buffer = [0; DISCARD_BYTES];
    for _ in 0..READS_BEFORE_YIELD {
        match Pin::new(&mut *stream).poll_read(cx, &mut buffer) {
            Poll::Ready(Ok(count)) if count > 0 => {}
            Poll::Ready(_) => return Poll::Ready(()),
            Poll::Pending => return Poll::Pending,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}
