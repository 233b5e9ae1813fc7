/// A set of backend servers, as a bit set of their indices.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BackendSet {
    words: Vec<u64>,
}

impl BackendSet {
    /// Adds an index to the set or removes it.
    pub fn set(&mut self, index: usize, is_member: bool) {
        let word = index / 64;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (index % 64);
        if is_member {
            self.words[word] |= bit;
        } else {
            self.words[word] &= !bit;
        }
    }

    /// Indices that are in both sets, in order.
    pub fn common<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = usize> + 'a {
        let words = self.words.iter().zip(&other.words);
        words
            .enumerate()
            .flat_map(|(position, (a, b))| set_bits(a & b).map(move |bit| position * 64 + bit))
    }

    /// Whether any index is in both sets.
    pub fn overlaps(&self, other: &Self) -> bool {
        let mut words = self.words.iter().zip(&other.words);
        words.any(|(a, b)| a & b != 0)
    }

    /// Indices that are in both sets, as a set.
    pub fn intersection(&self, other: &Self) -> Self {
        let words = self.words.iter().zip(&other.words);
        Self {
            words: words.map(|(a, b)| a & b).collect(),
        }
    }

    /// Indices that are in this set and not in another one, as a set.
    pub fn difference(&self, other: &Self) -> Self {
        let others = other.words.iter().copied().chain(std::iter::repeat(0));
        let words = self.words.iter().zip(others);
        Self {
            words: words.map(|(a, b)| a & !b).collect(),
        }
    }

    /// Whether an index is in the set.
    pub fn contains(&self, index: usize) -> bool {
        let word = self.words.get(index / 64).copied().unwrap_or(0);
        word & (1 << (index % 64)) != 0
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }
}

fn set_bits(mut word: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if word == 0 {
            return None;
        }
        let bit = word.trailing_zeros() as usize;
        word &= word - 1;
        Some(bit)
    })
}
