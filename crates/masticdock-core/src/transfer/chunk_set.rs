//! Bitmap of the chunks of one manifest.

const WORD_BITS: usize = 64;

/// Set of chunk indexes in the range `0..len`, stored as a bitmap.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChunkSet {
    words: Vec<u64>,
    len: usize,
}

impl ChunkSet {
    /// Creates an empty set for the chunk indexes `0..len`.
    #[must_use]
    pub fn new(len: usize) -> Self {
        Self {
            words: vec![0; len.div_ceil(WORD_BITS)],
            len,
        }
    }

    /// Decodes a bitmap that starts with the lowest bit of the first byte.
    ///
    /// Missing bytes count as zero, and bits at or beyond `len` are ignored.
    ///
    /// # Examples
    ///
    /// ```
    /// use masticdock_core::transfer::ChunkSet;
    ///
    /// let set = ChunkSet::from_bytes(10, &[0b101]);
    /// assert_eq!(set.iter().collect::<Vec<_>>(), [0, 2]);
    /// assert_eq!(set.to_bytes(), [0b101, 0]);
    /// ```
    #[must_use]
    pub fn from_bytes(len: usize, bytes: &[u8]) -> Self {
        let mut set = Self::new(len);
        for (word, word_bytes) in set.words.iter_mut().zip(bytes.chunks(8)) {
            let mut raw = [0; 8];
            raw[..word_bytes.len()].copy_from_slice(word_bytes);
            *word = u64::from_le_bytes(raw);
        }
        if let Some(last) = set.words.last_mut()
            && !len.is_multiple_of(WORD_BITS)
        {
            *last &= (1 << (len % WORD_BITS)) - 1;
        }
        set
    }

    /// Encodes the set as a bitmap that [`ChunkSet::from_bytes`] decodes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.words.len() * 8);
        for word in &self.words {
            bytes.extend(word.to_le_bytes());
        }
        bytes.truncate(self.len.div_ceil(8));
        bytes
    }

    /// Returns the number of chunks that the set can hold.
    #[must_use]
    pub const fn capacity(&self) -> usize {
        self.len
    }

    /// Returns the number of chunks in the set.
    #[must_use]
    pub fn count(&self) -> usize {
        self.words
            .iter()
            .map(|word| word.count_ones() as usize)
            .sum()
    }

    /// Returns true if every chunk of the manifest is in the set.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.count() == self.len
    }

    /// Returns true if `index` is in the set.
    #[must_use]
    pub fn contains(&self, index: usize) -> bool {
        self.words
            .get(index / WORD_BITS)
            .is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1)
    }

    /// Adds `index`. An index at or beyond the capacity is ignored.
    pub fn insert(&mut self, index: usize) {
        if index < self.len {
            self.words[index / WORD_BITS] |= 1 << (index % WORD_BITS);
        }
    }

    /// Removes `index`. An index at or beyond the capacity is ignored.
    pub fn remove(&mut self, index: usize) {
        if index < self.len {
            self.words[index / WORD_BITS] &= !(1 << (index % WORD_BITS));
        }
    }

    /// Adds all chunks of `other`.
    pub fn union_with(&mut self, other: &Self) {
        for (word, other) in self.words.iter_mut().zip(&other.words) {
            *word |= other;
        }
    }

    /// Returns true if `other` contains a chunk that is not in this set.
    #[must_use]
    pub fn lacks_any_of(&self, other: &Self) -> bool {
        self.words
            .iter()
            .zip(&other.words)
            .any(|(own, other)| other & !own != 0)
    }

    /// Returns an iterator over the indexes in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.words
            .iter()
            .enumerate()
            .flat_map(|(word_index, &word)| {
                let mut rest = word;
                std::iter::from_fn(move || {
                    if rest == 0 {
                        return None;
                    }
                    let bit = rest.trailing_zeros() as usize;
                    rest &= rest - 1;
                    Some(word_index * WORD_BITS + bit)
                })
            })
    }

    /// Returns an iterator over the indexes that are not in the set, in
    /// ascending order.
    pub fn iter_missing(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.len).filter(|&index| !self.contains(index))
    }

    pub(super) fn words(&self) -> &[u64] {
        &self.words
    }
}
