//! One file for each experiment.

mod in_force;
mod latency;
mod outage;
mod recovery;
mod shares;
mod slopes;
mod zone;

use std::path::PathBuf;

use serde::Serialize;

/// What all experiments are given.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Program under test.
    pub program: PathBuf,
    /// Seed of the load.
    pub seed: u64,
    /// Trials or repetitions.
    pub trials: u32,
}

/// Runs an experiment by name; false if there is none.
pub async fn run(name: &str, settings: &Settings) -> bool {
    match name {
        "latency" => latency::run(settings).await,
        "in-force" => in_force::run(settings).await,
        "outage" => outage::run(settings).await,
        "recovery" => recovery::run(settings).await,
        "shares" => shares::run(settings).await,
        "shares-skewed" => shares::run_skewed(settings).await,
        "slopes" => slopes::run(settings).await,
        "slopes-largest" => slopes::run_largest(settings).await,
        "zone" => zone::run(settings).await,
        _ => return false,
    }
    true
}

/// Prints one row.
fn row(row: &impl Serialize) {
    match serde_json::to_string(row) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("experiment: {error}"),
    }
}

/// Median and worst of some figures.
#[derive(Debug, Clone, Copy, Serialize)]
struct Spread {
    median: f64,
    worst: f64,
}

fn spread(mut figures: Vec<f64>) -> Spread {
    figures.sort_by(f64::total_cmp);
    let median = figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN);
    Spread { median, worst: figures.last().copied().unwrap_or(f64::NAN) }
}
