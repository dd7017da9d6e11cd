//! `check-config`: reports what is wrong with an operators' configuration document, and what it changes.

use std::path::Path;

use platform::config_check::check;

use super::Error;
use crate::cli::CheckConfig;

/// Checks a configuration document and prints the findings, one a line.
pub fn run(flags: &CheckConfig) -> Result<(), Error> {
    let document = read(&flags.file)?;
    let in_force = flags.in_force.as_deref().map(read).transpose()?;
    let findings = check(&document, in_force.as_deref())
        .map_err(|error| Error::Document { path: flags.file.clone(), reason: error.to_string() })?;
    for finding in &findings {
        println!("{finding}");
    }
    match findings.iter().filter(|f| f.is_fault()).count() {
        0 => Ok(()),
        count => Err(Error::Findings { path: flags.file.clone(), count }),
    }
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|error| Error::Document { path: path.to_owned(), reason: error.to_string() })
}
