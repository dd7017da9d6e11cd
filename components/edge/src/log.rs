//! Client of the platform's append-only log.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Call, Fault, Fetch, Fetcher};

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset in the log, counted from 0.
    pub offset: u64,
    /// Record as text.
    pub data: String,
}

/// Records of one read, with the bounds of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Records in the order of their offsets.
    pub entries: Vec<LogEntry>,
    /// Oldest retained offset.
    pub horizon: u64,
    /// Offset of the next record to be appended.
    pub tail: u64,
}

/// Append-only log with limited retention.
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Appends one record and returns its offset.
    fn append<'a>(&'a self, data: &'a str) -> Call<'a, u64>;

    /// Reads at most `max` records, starting at an offset.
    fn read(&self, from: u64, max: usize) -> Call<'_, LogPage>;
}

/// Log over HTTP: `POST /append`, `GET /read?from=&max=`.
#[derive(Debug)]
pub struct HttpLog {
    addr: String,
    timeout: Duration,
    fetcher: Fetcher,
}

impl HttpLog {
    /// A client for the log at `ip:port`.
    #[must_use]
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self { addr: addr.to_owned(), timeout, fetcher: Fetcher::default() }
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, data: &'a str) -> Call<'a, u64> {
        Box::pin(async move {
            let body = Bytes::copy_from_slice(data.as_bytes());
            let response = self.fetcher.fetch(Fetch::post(&self.addr, "/append", body, self.timeout)).await?;
            if !response.status.is_success() {
                return Err(Fault::may_have_run(format!("log answered {}", response.status)));
            }
            parse_response(&response.body)
        })
    }

    fn read(&self, from: u64, max: usize) -> Call<'_, LogPage> {
        Box::pin(async move {
            let path = format!("/read?from={from}&max={max}");
            let response = self.fetcher.fetch(Fetch::get(&self.addr, &path, self.timeout)).await?;
            if !response.status.is_success() {
                return Err(Fault::not_run(format!("log answered {}", response.status)));
            }
            parse_response(&response.body)
        })
    }
}

fn parse_response<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|e| Fault::may_have_run(format!("log answer is malformed: {e}")))
}
