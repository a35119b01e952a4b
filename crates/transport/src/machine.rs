//! What a protocol's state machine offers to a [`Pipe`](crate::Pipe).

use bytes::BytesMut;
use chalkgap_runtime::Micros;
use chalkgap_wire::http2::{ConnError, Connection};
use chalkgap_wire::mqtt;

/// One side of a connection, free of I/O: it takes the bytes that arrived and gives the bytes to be written.
pub trait Machine {
    /// Why the connection cannot go on.
    type Error;

    /// Takes bytes that arrived at a time in microseconds.
    ///
    /// # Errors
    /// The peer broke the protocol; what it should be told is in the output.
    fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Self::Error>;

    /// The bytes to be written. Whoever writes them advances the buffer.
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
