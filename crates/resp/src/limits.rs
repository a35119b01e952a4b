//! What an item may hold.

/// Limits of a command or a reply. A length is checked before memory is taken for it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Elements of an array.
    pub max_elements: usize,
    /// Nesting of arrays, the outermost one counted.
    pub max_depth: usize,
    /// Bytes of a bulk string.
    pub max_bulk_bytes: usize,
    /// Bytes of a line without its end.
    pub max_line_bytes: usize,
    /// Bytes of the whole item.
    pub max_item_bytes: usize,
}
