//! A set of numbers as ranges, for numbers that come nearly in order.

/// Disjoint ranges of numbers with gaps between them, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ranges(Vec<Range>);

/// First and last number of a range.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Range {
    /// First number.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Last number.
    #[prost(uint32, tag = "2")]
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
        self.insert_range(Range { first: number, last: number });
    }

    /// Adds all numbers of a range.
    pub fn insert_range(&mut self, range: Range) {
        if range.first > range.last {
            return;
        }
        let begin = self.0.partition_point(|r| r.last.saturating_add(1) < range.first);
        let end = self.0.partition_point(|r| r.first <= range.last.saturating_add(1));
        let merged = self.0[begin..end]
            .iter()
            .fold(range, |a, b| Range { first: a.first.min(b.first), last: a.last.max(b.last) });
        self.0.splice(begin..end, [merged]);
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

    /// The ranges in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range> + '_ {
        self.0.iter().copied()
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
