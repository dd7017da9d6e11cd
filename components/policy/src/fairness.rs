//! Fair sharing between teams when the fleet is full.

/// Usage of a team that has requests waiting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamUsage {
    /// Weight in fair sharing.
    pub share: f64,
    /// Number of tasks running in the whole fleet.
    pub running: f64,
    /// Recent usage: decaying average of the number of running tasks.
    pub recent_usage: f64,
}

/// Weight of recent usage relative to the tasks running now.
const RECENT_USAGE_WEIGHT: f64 = 0.5;
/// A slot is handed over only if the remote team's usage per share is less than this fraction of the local
/// team's.
const HANDOVER_RATIO: f64 = 0.8;

impl TeamUsage {
    /// Usage in proportion to the share; the team with the lowest value is furthest below its share.
    fn usage_per_share(&self) -> f64 {
        (self.running + RECENT_USAGE_WEIGHT * self.recent_usage) / self.share.max(f64::MIN_POSITIVE)
    }
}

/// Chooses the team that is furthest below its share; returns its index.
#[must_use]
pub fn pick_team(teams: &[TeamUsage]) -> Option<usize> {
    let usages = teams.iter().map(TeamUsage::usage_per_share).enumerate();
    usages.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// True if a free slot should be handed over to a team that waits at another host.
#[must_use]
pub fn should_hand_over(remote: &TeamUsage, local: &TeamUsage) -> bool {
    remote.usage_per_share() < HANDOVER_RATIO * local.usage_per_share()
}

/// Weighted max-min fair allocation of a capacity; no allocation exceeds its demand.
#[must_use]
pub fn max_min_allocation(capacity: f64, shares: &[f64], demands: &[f64]) -> Vec<f64> {
    let mut allocations = vec![0.0; shares.len()];
    let mut unallocated: Vec<usize> = (0..shares.len()).collect();
    let mut remaining = capacity;
    while !unallocated.is_empty() && remaining > f64::EPSILON {
        let total_share: f64 = unallocated.iter().map(|i| shares[*i]).sum();
        let per_share = remaining / total_share;
        let (satisfied, unsatisfied): (Vec<usize>, Vec<usize>) =
            unallocated.iter().partition(|i| demands[**i] <= per_share * shares[**i]);
        if satisfied.is_empty() {
            unsatisfied.iter().for_each(|i| allocations[*i] = per_share * shares[*i]);
            break;
        }
        for i in &satisfied {
            allocations[*i] = demands[*i];
            remaining -= demands[*i];
        }
        unallocated = unsatisfied;
    }
    allocations
}

/// Half the sum of the absolute differences between actual usage and fair allocation, as a fraction of the
/// total allocation; 0 is fair.
#[must_use]
pub fn deviation(actual: &[f64], fair: &[f64]) -> f64 {
    let total: f64 = fair.iter().sum();
    let difference: f64 = actual.iter().zip(fair).map(|(a, f)| (a - f).abs()).sum();
    if total > 0.0 { difference / (2.0 * total) } else { 0.0 }
}
