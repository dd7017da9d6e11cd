//! `standin`: runs a stand-in for one service of the platform as a process.

use std::sync::Arc;

use standin::{list, log, serve, worker};
use tokio::net::TcpListener;

use super::Error;
use crate::cli::Standin;

const DEFAULT_SLOTS: u32 = 8;

/// Runs a stand-in until the process ends.
pub async fn run(flags: &Standin) -> Result<(), Error> {
    let listener = TcpListener::bind(flags.listen).await?;
    match flags.kind.as_str() {
        "log" => serve(listener, log::app(Arc::default())).await?,
        "list" => serve(listener, list::app(Arc::default())).await?,
        "worker" => {
            let store = Arc::new(worker::Store::new(flags.slots.unwrap_or(DEFAULT_SLOTS)));
            serve(listener, worker::app(store)).await?;
        }
        other => {
            return Err(Error::Command(format!("unknown stand-in {other}; expected log, list or worker")));
        }
    }
    Ok(())
}
