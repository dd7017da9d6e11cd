//! The platform's append-only log.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Call, Fault, Fetch, Fetcher};

/// One appended record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position, counted from 0.
    pub offset: u64,
    /// Record as text.
    pub data: String,
}

/// Part of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Records in order.
    pub entries: Vec<LogEntry>,
    /// Oldest offset still kept.
    pub horizon: u64,
    /// Next offset to be given out.
    pub tail: u64,
}

/// Append-only log with offsets and limited retention.
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Appends one record and returns its offset.
    fn append<'a>(&'a self, data: &'a str) -> Call<'a, u64>;

    /// Reads at most `max` records from an offset on.
    fn read(&self, from: u64, max: usize) -> Call<'_, LogPage>;
}

/// Log over HTTP: `POST /append`, `GET /read?from=&max=`.
#[derive(Debug)]
pub struct HttpLog {
    addr: String,
    timeout: Duration,
    http: Fetcher,
}

impl HttpLog {
    /// A client for the log at `ip:port`.
    #[must_use]
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self { addr: addr.to_owned(), timeout, http: Fetcher::default() }
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, data: &'a str) -> Call<'a, u64> {
        Box::pin(async move {
            let body = Bytes::copy_from_slice(data.as_bytes());
            let done = self.http.fetch(Fetch::post(&self.addr, "/append", body, self.timeout)).await?;
            if !done.status.is_success() {
                return Err(Fault::may_have_run(format!("log answered {}", done.status)));
            }
            parse(&done.body)
        })
    }

    fn read(&self, from: u64, max: usize) -> Call<'_, LogPage> {
        Box::pin(async move {
            let path = format!("/read?from={from}&max={max}");
            let done = self.http.fetch(Fetch::get(&self.addr, &path, self.timeout)).await?;
            if !done.status.is_success() {
                return Err(Fault::not_run(format!("log answered {}", done.status)));
            }
            parse(&done.body)
        })
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|e| Fault::may_have_run(format!("log answer is malformed: {e}")))
}
