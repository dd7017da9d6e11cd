//! `serve`: runs an entry host until it receives a stop signal.

use entry::Listeners;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::Error;
use crate::cli::Serve;

/// Runs an entry host; the first SIGTERM or SIGINT drains it, a second one cuts the drain short.
pub async fn run(flags: &Serve) -> Result<(), Error> {
    let settings = super::read_settings(&flags.settings)?;
    let listeners = Listeners::bind(&settings).await?;
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let (stop, stop_count) = watch::channel(0);
    tokio::spawn(async move {
        let (Ok(mut term), Ok(mut interrupt)) =
            (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
        else {
            return;
        };
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            stop.send_modify(|n| *n += 1);
        }
    });
    entry::run(settings, listeners, metrics, stop_count).await?;
    Ok(())
}
