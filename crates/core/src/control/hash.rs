//! Hash and pseudo-random numbers that give the same values on every instance.
//!
//! Placement, ring order and digests compare values of different instances. The hash of the maps,
//! or one of the standard library that may change between builds, can therefore not be used.

/// Bijective mix of 64 bits; each input bit changes about half of the output bits.
const fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash of a list of byte strings. The lengths of the strings are hashed too, so `["ab", "c"]` and
/// `["a", "bc"]` differ.
pub fn of(parts: &[&[u8]]) -> u64 {
    let end_state = parts.iter().fold(PrefixHash(GOLDEN_GAMMA), |state, part| {
        let state = state.with_length(part.len() as u64);
        words(part).fold(state, PrefixHash::word)
    });
    mix(end_state.0)
}

/// The 64-bit words of a byte string, the last one padded with zeros.
pub(super) fn words(part: &[u8]) -> impl Iterator<Item = u64> {
    part.chunks(8).map(|chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        u64::from_le_bytes(word)
    })
}

/// Hash state after the first strings of a list; many lists with different last strings can
/// continue it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefixHash(u64);

impl PrefixHash {
    /// Hash state of a list that begins with one string.
    pub(super) fn of(part: &[u8]) -> Self {
        let state = Self(GOLDEN_GAMMA).with_length(part.len() as u64);
        words(part).fold(state, Self::word)
    }

    /// Hash state after the length, in bytes, of the next string; the string's words must follow.
    pub(super) const fn with_length(self, length: u64) -> Self {
        self.word(length)
    }

    const fn word(self, word: u64) -> Self {
        Self(mix(self.0 ^ word).wrapping_add(GOLDEN_GAMMA))
    }

    /// Final hash of the list, given the words of its last string.
    pub(super) fn finish(self, words: &[u64]) -> u64 {
        let state = words.iter().fold(self, |state, &word| state.word(word));
        mix(state.0)
    }
}

/// Seeded pseudo-random number generator (`SplitMix64`).
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator whose sequence depends only on the seed.
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next 64-bit pseudo-random number.
    pub const fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix(self.state)
    }

    /// A pseudo-random number below `bound`; zero if the bound is zero.
    pub const fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.next() % bound
    }

    /// Picks up to `count` different items, in random order.
    pub fn pick<T: Clone>(&mut self, items: &[T], count: usize) -> Vec<T> {
        let mut indexes: Vec<usize> = (0..items.len()).collect();
        let count = count.min(items.len());
        for index in 0..count {
            let swap_with = index + self.below((indexes.len() - index) as u64) as usize;
            indexes.swap(index, swap_with);
        }
        indexes[..count].iter().map(|&index| items[index].clone()).collect()
    }
}
