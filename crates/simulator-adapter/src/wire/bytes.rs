//! Reads little-endian numbers at an offset. Callers check the length of the bytes first.
//!
//! # Panics
//! Each function panics if the number extends beyond the bytes.

use super::layout::BACKEND_BYTES;
use chalkgap_core::BackendId;

fn array<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(&bytes[at..at + N]);
    array
}

pub fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes(array(bytes, at))
}

pub fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(array(bytes, at))
}

pub fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(array(bytes, at))
}

/// Reads a float, which has 32 bits on the wire.
pub fn f64_at(bytes: &[u8], at: usize) -> f64 {
    f64::from(f32::from_le_bytes(array(bytes, at)))
}

pub fn backend_at(bytes: &[u8], at: usize) -> BackendId {
    let mut id = [0; 8];
    id[..BACKEND_BYTES].copy_from_slice(&bytes[at..at + BACKEND_BYTES]);
    BackendId(u64::from_le_bytes(id))
}
