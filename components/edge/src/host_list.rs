//! Client of the platform's host list, which may be out of date.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Call, Fault, Fetch, Fetcher};

/// State of a host in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be removed; accepts no new work.
    Leaving,
}

/// One worker in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Unique name.
    pub name: String,
    /// Address as `ip:port`.
    pub addr: String,
    /// Availability zone.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// Number of tasks that it runs at once.
    pub slots: u32,
    /// Last reported state.
    pub state: HostState,
}

/// List of hosts; it may be out of date.
pub trait HostList: Send + Sync + std::fmt::Debug {
    /// All workers in the list.
    fn hosts(&self) -> Call<'_, Vec<HostInfo>>;
}

/// Host list over HTTP: `GET /hosts`.
#[derive(Debug)]
pub struct HttpHostList {
    addr: String,
    timeout: Duration,
    fetcher: Fetcher,
}

impl HttpHostList {
    /// A client for the list at `ip:port`.
    #[must_use]
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self { addr: addr.to_owned(), timeout, fetcher: Fetcher::default() }
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> Call<'_, Vec<HostInfo>> {
        Box::pin(async move {
            let response = self.fetcher.fetch(Fetch::get(&self.addr, "/hosts", self.timeout)).await?;
            serde_json::from_slice(&response.body)
                .map_err(|e| Fault::not_run(format!("host list is malformed: {e}")))
        })
    }
}
