//! `check`: reports all errors in a settings file.

use super::Error;
use crate::cli::Check;

/// Validates a settings file and prints the result.
pub fn run(flags: &Check) -> Result<(), Error> {
    let settings = super::read_settings(&flags.settings)?;
    println!(
        "{} is accepted: entry host {} in zone {}",
        flags.settings.display(),
        settings.name,
        settings.zone
    );
    Ok(())
}
