//! Plain work on bits that the cores here and the decision module share.

/// Spreads the bits of a number.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number's place from 0 to 1, the same at every router.
pub fn place(x: u64) -> f64 {
    mix(x) as f64 / u64::MAX as f64
}

/// How many of the last few outcomes are marked, each a bit, the newest the lowest.
pub fn marked(outcomes: u32, few: u32) -> u32 {
    (outcomes & ((1 << few) - 1)).count_ones()
}
