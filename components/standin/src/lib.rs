//! Stand-ins for the platform: its log, its host list and its workers.
//!
//! They serve the HTTP interface that the `edge` crate calls and keep all state in memory. The log and the
//! workers can inject faults. Workers record every task that they start, so that a test can compare the tasks
//! that ran with the answers that callers got.

pub mod list;
pub mod log;
pub mod worker;

use poem::listener::TcpAcceptor;
use poem::{IntoEndpoint, Server};
use tokio::net::TcpListener;

/// Serves an application on a bound listener until the future is dropped.
///
/// # Errors
/// When the listener cannot be registered with the runtime or the server fails.
pub async fn serve(listener: TcpListener, app: impl IntoEndpoint<Endpoint: 'static>) -> std::io::Result<()> {
    Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).run(app).await
}
