//! A seeded random number generator.

/// A sequence of numbers that depends on its seed alone (SplitMix64).
#[derive(Clone, Debug)]
pub(crate) struct SeededRandom(u64);

impl SeededRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Shuffles `items`.
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            let other = self.next() % (last as u64 + 1);
            items.swap(last, other as usize);
        }
    }
}
