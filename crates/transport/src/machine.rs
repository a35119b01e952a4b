//! The interface of a protocol state machine to a [`Pipe`](crate::Pipe).

use bytes::BytesMut;
use chalkgap_runtime::Micros;
use chalkgap_wire::http2::{Code, ConnError, Connection};
use chalkgap_wire::mqtt;

/// The state machine of one side of a connection. It does no I/O: it consumes received bytes and produces the bytes to
/// write.
pub trait Machine {
    /// A violation of the protocol by the peer.
    type Error;

    /// Processes bytes that arrived at `now`, a time in microseconds.
    ///
    /// # Errors
    /// Returns an error if the peer violated the protocol. [`output`](Machine::output) then holds the bytes that report
    /// the violation to the peer.
    fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Self::Error>;

    /// Returns the buffer of bytes to write. The caller advances the buffer past the bytes that it has written.
    fn output(&mut self) -> &mut BytesMut;

    /// Returns the number of bytes that wait to be written: those of the output, and those that enter it later.
    fn unwritten_bytes(&mut self) -> usize {
        self.output().len()
    }

    /// Called when all output has been written.
    fn on_output_written(&mut self) {}

    /// Returns how many bytes may be received at once. A machine whose peer sends many short messages asks for less, so that the
    /// messages of one read do not keep other connections waiting.
    fn max_read_bytes(&self) -> usize {
        usize::MAX
    }

    /// Returns the number of bytes held for the peer: the capacity of buffers, not their length.
    fn held_bytes(&self) -> usize {
        0
    }

    /// Returns an upper bound of [`held_bytes`](Machine::held_bytes) after `count` more bytes were received.
    fn held_bytes_after(&self, count: usize) -> usize {
        self.held_bytes() + count
    }

    /// Returns the number of bytes of an unfinished message. 0 if the connection has anything else to complete.
    fn unfinished_bytes(&self) -> usize {
        0
    }

    /// Gives up an unfinished message, if nothing else is to be completed, because its memory is needed.
    ///
    /// # Errors
    /// Returns an error if the connection is to be closed as after a violation of the protocol.
    fn reclaim(&mut self) -> Result<(), Self::Error> {
        Ok(())
    }
}

impl Machine for Connection {
    type Error = ConnError;

    fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ConnError> {
        Connection::receive(self, now, bytes)
    }

    fn output(&mut self) -> &mut BytesMut {
        Connection::output(self)
    }

    fn held_bytes(&self) -> usize {
        Connection::held_bytes(self)
    }

    fn held_bytes_after(&self, count: usize) -> usize {
        Connection::held_bytes(self) + 2 * count // buffers double their capacity when they grow
    }

    fn unfinished_bytes(&self) -> usize {
        Connection::unfinished_bytes(self)
    }

    fn reclaim(&mut self) -> Result<(), ConnError> {
        let error = ConnError { code: Code::ENHANCE_YOUR_CALM, reason: "memory is short" };
        self.abort(error);
        Err(error)
    }
}

impl Machine for mqtt::server::Server {
    type Error = mqtt::Error;

    fn receive(&mut self, _: Micros, bytes: &[u8]) -> Result<(), mqtt::Error> {
        mqtt::server::Server::receive(self, bytes)
    }

    fn output(&mut self) -> &mut BytesMut {
        mqtt::server::Server::output(self)
    }

    fn held_bytes(&self) -> usize {
        mqtt::server::Server::held_bytes(self)
    }

    fn held_bytes_after(&self, count: usize) -> usize {
        mqtt::server::Server::held_bytes(self) + 2 * count // buffers double their capacity when they grow
    }

    fn unfinished_bytes(&self) -> usize {
        mqtt::server::Server::unfinished_bytes(self)
    }

    fn reclaim(&mut self) -> Result<(), mqtt::Error> {
        self.disconnect(mqtt::reason::QUOTA_EXCEEDED, Some("memory is short"));
        Ok(())
    }
}
