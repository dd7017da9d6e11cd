//! `relay`: runs a daemon on the users' platform.

use super::Error;

/// Runs a daemon until the process receives a stop signal.
pub async fn run() -> Result<(), Error> {
    Ok(platform::run().await?)
}
