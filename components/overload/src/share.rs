//! Weighted max-min shares of a pool's capacity.

/// Weights and running work of the customers with work in a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Weight of each customer; 0 counts as 1.
    pub weights: Vec<f64>,
    /// Reservations of each customer's running tasks, in thousandths of a core.
    pub running: Vec<f64>,
}

impl Shares {
    /// Weight of a customer, at least 1 for one without a weight.
    #[must_use]
    pub fn weight(&self, customer: usize) -> f64 {
        self.weights.get(customer).copied().filter(|w| *w > 0.0).unwrap_or(1.0)
    }
}

impl Shares {
    /// Whether a customer uses more than its share at a fair level.
    #[must_use]
    pub fn beyond(&self, customer: usize, level: f64) -> bool {
        self.running.get(customer).is_some_and(|running| *running > level * self.weight(customer))
    }
}

/// Weighted max-min level: a customer may have up to this times its weight. Infinite if all demands can be met.
#[must_use]
pub fn fair_level(capacity: f64, shares: &Shares, demands: &[f64]) -> f64 {
    if demands.iter().sum::<f64>() <= capacity {
        return f64::INFINITY;
    }
    let mut by_level: Vec<(f64, usize)> =
        demands.iter().enumerate().map(|(c, d)| (d / shares.weight(c), c)).collect();
    by_level.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut weights: f64 = by_level.iter().map(|(_, c)| shares.weight(*c)).sum();
    let mut left = capacity;
    for (level, customer) in by_level {
        let fair = left / weights;
        if level >= fair {
            return fair;
        }
        left -= level * shares.weight(customer);
        weights -= shares.weight(customer);
    }
    f64::INFINITY
}
