//! Limits of a connection.

/// Limits that this side sets for a connection. Those of the peer arrive in its SETTINGS.
#[derive(Clone, Debug)]
pub struct Config {
    /// Maximum number of open streams of the peer (SETTINGS_MAX_CONCURRENT_STREAMS).
    pub max_streams: u32,
    /// Receive window of a stream in bytes (SETTINGS_INITIAL_WINDOW_SIZE).
    pub stream_window: u32,
    /// Receive window of the connection in bytes, at least 65,535.
    pub connection_window: u32,
    /// Maximum uncompressed size of a message's fields in bytes (SETTINGS_MAX_HEADER_LIST_SIZE).
    pub header_list: u32,
    /// Maximum size in bytes of the peer's HPACK dynamic table (SETTINGS_HEADER_TABLE_SIZE).
    pub header_table: u32,
    /// Maximum number of bytes of a body that wait on a stream for the peer's window. A single larger part is accepted
    /// if none is waiting.
    pub send_buffer: usize,
    /// Number of control frames and resets that the peer may send at once, in addition to two for each of
    /// [`Config::max_streams`].
    pub control_burst: u32,
    /// Number of control frames and resets per second that the peer may send on average.
    pub control_per_s: u32,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            max_streams: 256,
            stream_window: 256 << 10,
            connection_window: 1 << 20,
            header_list: 16 << 10,
            header_table: 4096,
            send_buffer: 1 << 20,
            control_burst: 200,
            control_per_s: 100,
        }
    }
}
