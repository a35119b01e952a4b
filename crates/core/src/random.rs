//! Pseudo-random numbers: a hash of a seed, so that gateways with the same inputs draw the same numbers.

/// Returns a hash of the seed (splitmix64) as a number from 0 up to, but not including, 1.
pub fn unit_hash(seed: u64) -> f64 {
    let mut hash = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
