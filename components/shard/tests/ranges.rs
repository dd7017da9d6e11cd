//! Ranges against a plain set of numbers.

#[path = "../src/ranges.rs"]
mod ranges;

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ranges::{Range, Ranges};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against completed occurrences that the stored form loses or invents.
    #[test]
    fn ranges_hold_the_numbers_that_were_added_and_no_others(
        added in prop::collection::vec((0_u32..60, 0_u32..6), 0..40),
        high in any::<bool>(),
    ) {
        let base = if high { u32::MAX - 70 } else { 0 };
        let (mut ranges, mut plain) = (Ranges::default(), BTreeSet::new());
        for (first, length) in added {
            let (first, last) = (base + first, base + first + length);
            ranges.insert_range(Range { first, last });
            plain.extend(first..=last);
        }
        let numbers: Vec<u32> = ranges.numbers().collect();
        prop_assert_eq!(&numbers, &plain.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!(ranges.count(), plain.len() as u64);
        prop_assert_eq!(ranges.is_empty(), plain.is_empty());
        let runs: Vec<Range> = ranges.ranges().collect();
        prop_assert!(runs.windows(2).all(|w| w[0].last + 1 < w[1].first), "{:?}", runs);
        for number in base..=base + 69 {
            prop_assert_eq!(ranges.contains(number), plain.contains(&number));
            let gap = (number..).find(|n| !plain.contains(n)).unwrap_or(u32::MAX);
            prop_assert_eq!(ranges.next_gap(number), gap);
        }
        let copy: Ranges = numbers.into_iter().rev().collect();
        prop_assert_eq!(copy, ranges);
    }
}
