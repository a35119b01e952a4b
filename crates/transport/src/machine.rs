//! The interface of a protocol state machine to a [`Pipe`](crate::Pipe).

use bytes::BytesMut;
use chalkgap_runtime::Micros;
use chalkgap_wire::http2::{ConnError, Connection};
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
}

impl Machine for Connection {
    type Error = ConnError;

    fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ConnError> {
        Connection::receive(self, now, bytes)
    }

    fn output(&mut self) -> &mut BytesMut {
        Connection::output(self)
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
}
