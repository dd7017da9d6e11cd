//! Stand-in for the platform's append-only log.

use std::sync::Arc;
use std::time::Duration;

use edge::{LogEntry, LogPage};
use parking_lot::Mutex;
use poem::http::StatusCode;
use poem::web::{Data, Json, Query};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler, post};
use serde::{Deserialize, Serialize};

/// Faults that the log injects into appends and reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answers with status 503.
    pub down: bool,
    /// Stores appended records, but answers with status 504.
    pub lose_answers: bool,
    /// Delay before every answer, in ms.
    pub delay_ms: u64,
}

/// In-memory log.
#[derive(Debug, Default)]
pub struct Store {
    entries: Mutex<Vec<LogEntry>>,
    /// Offset of the oldest record that can be read.
    horizon: Mutex<u64>,
    faults: Mutex<Faults>,
}

impl Store {
    /// Appends a record and returns its offset.
    pub fn append(&self, data: String) -> u64 {
        let mut entries = self.entries.lock();
        let offset = entries.len() as u64;
        entries.push(LogEntry { offset, data });
        offset
    }

    /// Returns at most `max` records, from an offset or the horizon on, whichever is later.
    #[must_use]
    pub fn read(&self, from: u64, max: usize) -> LogPage {
        let entries = self.entries.lock();
        let horizon = *self.horizon.lock();
        let start = usize::try_from(from.max(horizon)).unwrap_or(usize::MAX);
        let page = entries.iter().skip(start).take(max).cloned().collect();
        LogPage { entries: page, horizon, tail: entries.len() as u64 }
    }

    /// Sets the horizon: reads no longer return records before it.
    pub fn trim(&self, horizon: u64) {
        *self.horizon.lock() = horizon;
    }

    /// Sets the faults that the log injects.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
}

#[derive(Debug, Deserialize)]
struct TrimQuery {
    horizon: u64,
}

/// Returns the log as an HTTP application.
pub fn app(store: Arc<Store>) -> impl IntoEndpoint {
    Route::new()
        .at("/append", post(append_record))
        .at("/read", get(read_page))
        .at("/trim", post(trim_log))
        .at("/misbehave", post(set_faults))
        .data(store)
}

#[handler]
async fn append_record(store: Data<&Arc<Store>>, data: String) -> poem::Result<Json<u64>> {
    let faults = apply_faults(&store).await?;
    let offset = store.append(data);
    if faults.lose_answers {
        return Err(StatusCode::GATEWAY_TIMEOUT.into());
    }
    Ok(Json(offset))
}

#[handler]
async fn read_page(store: Data<&Arc<Store>>, Query(query): Query<ReadQuery>) -> poem::Result<Json<LogPage>> {
    apply_faults(&store).await?;
    Ok(Json(store.read(query.from, query.max)))
}

#[handler]
fn trim_log(store: Data<&Arc<Store>>, Query(query): Query<TrimQuery>) {
    store.trim(query.horizon);
}

#[handler]
fn set_faults(store: Data<&Arc<Store>>, Json(faults): Json<Faults>) {
    store.set_faults(faults);
}

/// Waits for the delay and fails if the log is down; returns the faults in force.
async fn apply_faults(store: &Store) -> poem::Result<Faults> {
    let faults = *store.faults.lock();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into());
    }
    Ok(faults)
}
