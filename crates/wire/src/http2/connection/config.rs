//! Limits of a connection.

/// Limits of a connection. All are this side's: what the peer allows comes with its SETTINGS.
#[derive(Clone, Debug)]
pub struct Config {
    /// Streams that the peer may have open (SETTINGS_MAX_CONCURRENT_STREAMS).
    pub max_streams: u32,
    /// Bytes that the peer may send unread on a stream (SETTINGS_INITIAL_WINDOW_SIZE).
    pub stream_window: u32,
    /// The same on the whole connection; 65,535 or more.
    pub connection_window: u32,
    /// Bytes of a message's fields, uncompressed (SETTINGS_MAX_HEADER_LIST_SIZE).
    pub header_list: u32,
    /// Bytes of the table that the peer may use to compress them (SETTINGS_HEADER_TABLE_SIZE).
    pub header_table: u32,
    /// Bytes that may wait on a stream for the peer's window.
    pub send_buffer: usize,
    /// Control frames and resets that may come at once, besides two for each allowed stream.
    pub control_burst: u32,
    /// Control frames and resets that may come in a second, permanently.
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
