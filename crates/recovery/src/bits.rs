//! Hashing and bit counting shared by this crate and the router.

/// Mixes the bits of `value`, so that close inputs give unrelated outputs.
pub fn mix(value: u64) -> u64 {
    let value =
        (value ^ (value >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes `value` to a fraction from 0 to 1. Every router computes the same fraction.
pub fn unit_fraction(value: u64) -> f64 {
    mix(value) as f64 / u64::MAX as f64
}

/// Counts the bits set among the `count` lowest bits of `outcomes`. Each bit is one outcome, with the newest in the lowest
/// bit.
pub fn count_recent(outcomes: u32, count: u32) -> u32 {
    (outcomes & ((1 << count) - 1)).count_ones()
}
