//! Hash and random numbers that every instance computes alike.
//!
//! Placement, ring order and digests compare values of different instances, so neither the hash of
//! the maps nor one of the standard library, which may change between builds, will do.

/// Bijective mix of 64 bits in which each input bit changes about half of the output bits.
const fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash of a list of byte strings; the borders between them count.
pub fn of(parts: &[&[u8]]) -> u64 {
    let prefix = parts.iter().fold(Prefix(STEP), |state, part| {
        let state = state.begin(part.len() as u64);
        words(part).fold(state, Prefix::word)
    });
    mix(prefix.0)
}

/// The words of a byte string, the last filled up with zeros.
pub(super) fn words(part: &[u8]) -> impl Iterator<Item = u64> {
    part.chunks(8).map(|chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        u64::from_le_bytes(word)
    })
}

/// Hash of the first parts of a list, to be continued by many last parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prefix(u64);

impl Prefix {
    /// Of a list that begins with one part.
    pub(super) fn of(part: &[u8]) -> Self {
        let state = Self(STEP).begin(part.len() as u64);
        words(part).fold(state, Self::word)
    }

    /// Begins a part of this many bytes.
    pub(super) const fn begin(self, length: u64) -> Self {
        self.word(length)
    }

    const fn word(self, word: u64) -> Self {
        Self(mix(self.0 ^ word).wrapping_add(STEP))
    }

    /// The hash when these are the words of the last part.
    pub(super) fn end(self, words: &[u64]) -> u64 {
        let state = words.iter().fold(self, |state, &word| state.word(word));
        mix(state.0)
    }
}

/// Seeded pseudo-random numbers (`SplitMix64`).
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// A sequence that depends on the seed alone.
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next number.
    pub const fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(STEP);
        mix(self.state)
    }

    /// A number below `bound`; zero if the bound is zero.
    pub const fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.next() % bound
    }

    /// Up to `count` different items, in random order.
    pub fn pick<T: Clone>(&mut self, items: &[T], count: usize) -> Vec<T> {
        let mut order: Vec<usize> = (0..items.len()).collect();
        let count = count.min(items.len());
        for at in 0..count {
            let other = at + self.below((order.len() - at) as u64) as usize;
            order.swap(at, other);
        }
        order[..count].iter().map(|&at| items[at].clone()).collect()
    }
}
