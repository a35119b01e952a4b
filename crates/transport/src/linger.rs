//! Lingering close: shuts the write side of a stream and discards what the peer still sends until the peer shuts its own
//! write side.

use chalkgap_runtime::Stream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum number of bytes discarded by one read.
const DISCARD_BYTES: usize = 16 << 10;
/// Maximum number of consecutive reads before the task yields to other tasks.
const READS_BEFORE_YIELD: usize = 16;

/// Shuts the write side of a stream, then reads and discards bytes until the peer has shut its write side.
///
/// It may be polled again after the write side is shut. It also returns `Ready` when the stream has failed.
pub fn linger(stream: &mut dyn Stream, cx: &mut Context<'_>) -> Poll<()> {
    match Pin::new(&mut *stream).poll_close(cx) {
        Poll::Ready(Ok(())) => {}
        // The stream has failed: there is nothing to wait for.
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
