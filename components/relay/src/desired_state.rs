//! The desired state, as operators publish it: configuration, zones out of service and maintenance waves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::clock::monotonic_ms;
use crate::configuration::{Configuration, Wave};
use crate::platform::{Document, Store};

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Age in milliseconds at which the last read counts as failed; the store answers a read within 1,200.
const STALE_AFTER_MS: u64 = 1_400;

/// State of the fleet that operators ask for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DesiredState {
    /// Offset in the operators' topic up to which it was read.
    #[serde(rename = "place")]
    pub offset: u64,
    /// Monotonic time of the last successful read; 0 after a failed one.
    #[serde(skip)]
    pub read_at: u64,
    /// Newest configuration; `None` until one has been read.
    #[serde(rename = "setup")]
    pub config: Option<Arc<Configuration>>,
    /// Zones that are taken out of service.
    pub zones_out: Vec<String>,
    /// Maintenance waves by number.
    pub waves: BTreeMap<u64, Wave>,
}

impl DesiredState {
    /// True if the store has not answered a read recently.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        monotonic_ms() > self.read_at + STALE_AFTER_MS
    }

    /// Adopts the state that another daemon has read if it is newer; returns whether it was.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.offset <= self.offset {
            return false;
        }
        let version = |d: &Self| d.config.as_ref().map_or(0, |c| c.version);
        let config = if version(&other) > version(self) { other.config } else { self.config.take() };
        *self = Self { config, read_at: self.read_at, ..other };
        tracing::info!(place = self.offset, version = version(self), "watch: documents from another daemon");
        true
    }
}

/// Reads the operators' documents until the process ends.
pub async fn run(store: Arc<dyn Store>, desired: Arc<watch::Sender<DesiredState>>) {
    let mut next = None;
    let mut disconnected = false;
    let mut documents: BTreeMap<String, Document> = BTreeMap::new();
    loop {
        match store.read_documents(next).await {
            Ok(changes) => {
                if disconnected {
                    tracing::info!("watch: operators' documents are readable again");
                }
                disconnected = false;
                next = Some(changes.next_offset);
                if changes.snapshot {
                    // The configuration and waves stay in force even if their records are gone.
                    documents.retain(|_, d| !matches!(d, Document::ZoneOut(_)));
                }
                let changed = changes.snapshot || !changes.entries.is_empty();
                for (key, document) in changes.entries {
                    match document {
                        Some(document) => documents.insert(key, document),
                        None => documents.remove(&key),
                    };
                }
                let offset = changes.next_offset;
                desired.send_if_modified(|d| {
                    d.read_at = monotonic_ms();
                    // Documents from another daemon may be newer; they stay until the store has caught
                    // up.
                    let newer = changed && offset >= d.offset;
                    if newer {
                        d.offset = offset;
                        apply_documents(d, &documents);
                    }
                    newer
                });
            }
            Err(error) => {
                if !disconnected {
                    tracing::warn!(%error, "watch: cannot read operators' documents");
                }
                disconnected = true;
                desired.send_if_modified(|d| {
                    d.read_at = 0;
                    false
                });
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Updates the desired state from all documents read so far.
fn apply_documents(desired: &mut DesiredState, documents: &BTreeMap<String, Document>) {
    desired.zones_out.clear();
    for document in documents.values() {
        match document {
            Document::Configuration(config) => {
                let old = desired.config.as_ref().map_or(0, |c| c.version);
                if config.version > old {
                    tracing::info!(version = config.version, "watch: configuration in force");
                    desired.config = Some(Arc::new(config.clone()));
                }
            }
            Document::ZoneOut(zone) => desired.zones_out.push(zone.clone()),
            Document::Wave(wave) => {
                desired.waves.insert(wave.number, wave.clone());
            }
        }
    }
    tracing::info!(zones_out = ?desired.zones_out, waves = desired.waves.len(), "watch: documents changed");
}
