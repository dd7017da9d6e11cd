//! A set of numbers as ranges, for numbers that come nearly in order.

/// Disjoint ranges of numbers with gaps between them, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ranges(Vec<Range>);

/// First and last number of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Range {
    pub first: u32,
    pub last: u32,
}

impl Ranges {
    /// Index of the first range that ends at `number` or later.
    fn index(&self, number: u32) -> usize {
        self.0.partition_point(|r| r.last < number)
    }

    pub fn contains(&self, number: u32) -> bool {
        self.0.get(self.index(number)).is_some_and(|r| r.first <= number)
    }

    pub fn insert(&mut self, number: u32) {
        if self.contains(number) {
            return;
        }
        let index = self.index(number);
        let follows = index > 0 && self.0[index - 1].last + 1 == number;
        let precedes = self.0.get(index).is_some_and(|r| number + 1 == r.first);
        match (follows, precedes) {
            (true, true) => {
                self.0[index - 1].last = self.0[index].last;
                self.0.remove(index);
            }
            (true, false) => self.0[index - 1].last = number,
            (false, true) => self.0[index].first = number,
            (false, false) => self.0.insert(index, Range { first: number, last: number }),
        }
    }

    /// Lowest number from `from` on that is not in the set.
    pub fn next_gap(&self, from: u32) -> u32 {
        match self.0.get(self.index(from)) {
            Some(range) if range.first <= from => range.last.saturating_add(1),
            _ => from,
        }
    }

    /// Count of the numbers.
    pub fn count(&self) -> u64 {
        self.0.iter().map(|r| u64::from(r.last - r.first) + 1).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All numbers in ascending order.
    pub fn numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|r| r.first..=r.last)
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> Self {
        let mut ranges = Self::default();
        numbers.into_iter().for_each(|n| ranges.insert(n));
        ranges
    }
}
