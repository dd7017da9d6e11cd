//! `relay`: runs a daemon on the users' platform.

use super::Error;

/// Runs until the process is told to stop.
pub async fn run() -> Result<(), Error> {
    Ok(platform::run().await?)
}
