//! Stand-ins for the platform: its log, its host list and its workers.
//!
//! They speak the same HTTP as the edges, keep everything in memory, and can be told to misbehave. Workers
//! record every task that they start, so that a test can compare what ran with what callers were told.

pub mod list;
pub mod log;
pub mod worker;

use poem::listener::TcpAcceptor;
use poem::{IntoEndpoint, Server};
use tokio::net::TcpListener;

/// Serves an application on a bound listener until the task is dropped.
///
/// # Errors
/// When the listener cannot be used.
pub async fn serve(listener: TcpListener, app: impl IntoEndpoint<Endpoint: 'static>) -> std::io::Result<()> {
    Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).run(app).await
}
