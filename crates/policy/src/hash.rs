//! Hash functions that are identical at all gateways, so that gateways agree without exchanging messages.

/// The conjugate of the golden ratio. Any number of its multiples, modulo 1, are spread evenly.
pub(crate) const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_895;

/// Mixes the bits of a number with the finalizer of SplitMix64.
pub(crate) fn mix_bits(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a number to a pseudo-random value in the interval from 0 to 1.
pub(crate) fn unit_interval(value: u64) -> f64 {
    mix_bits(value) as f64 / u64::MAX as f64
}
