//! Size limits of items.

/// Size limits of a command or a reply. A length is checked before memory is allocated for it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of elements of an array, or of arguments of a command.
    pub max_elements: usize,
    /// Maximum nesting depth of arrays in a reply. An array of plain values has depth 1.
    pub max_depth: usize,
    /// Maximum length of a bulk string, in bytes.
    pub max_bulk_bytes: usize,
    /// Maximum length of a line in bytes, without its CR LF.
    pub max_line_bytes: usize,
    /// Maximum length of the whole item, in bytes.
    pub max_item_bytes: usize,
}
