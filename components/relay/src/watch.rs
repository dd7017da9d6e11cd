//! Operators' documents: configuration, zones taken out, maintenance waves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::edge::{Document, Store};
use crate::setup::{Setup, Wave};

/// Pause after a failed read.
const AGAIN: Duration = Duration::from_millis(200);

/// What operators want.
#[derive(Clone, Debug, Default)]
pub struct Wishes {
    /// Newest configuration; `None` until one was read.
    pub setup: Option<Arc<Setup>>,
    /// Zones that are taken out.
    pub zones_out: Vec<String>,
    /// Maintenance waves by number.
    pub waves: BTreeMap<u64, Wave>,
}

/// Reads documents until the process ends.
pub async fn run(store: Arc<dyn Store>, wishes: watch::Sender<Wishes>) {
    let mut next = None;
    let mut down = false;
    let mut keys: BTreeMap<String, Document> = BTreeMap::new();
    loop {
        match store.operator(next).await {
            Ok(changes) => {
                if down {
                    tracing::info!("watch: operators' documents are back");
                }
                down = false;
                next = Some(changes.next);
                if changes.whole {
                    // The configuration and waves stay although their records are gone.
                    keys.retain(|_, d| !matches!(d, Document::ZoneOut(_)));
                }
                let changed = changes.whole || !changes.items.is_empty();
                for (key, document) in changes.items {
                    match document {
                        Some(document) => keys.insert(key, document),
                        None => keys.remove(&key).filter(|d| !matches!(d, Document::Setup(_))),
                    };
                }
                if changed {
                    wishes.send_modify(|w| take(w, &keys));
                }
            }
            Err(error) => {
                if !down {
                    tracing::warn!(%error, "watch: operators' documents lost");
                }
                down = true;
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

fn take(wishes: &mut Wishes, keys: &BTreeMap<String, Document>) {
    wishes.zones_out.clear();
    for document in keys.values() {
        match document {
            Document::Setup(setup) => {
                let old = wishes.setup.as_ref().map_or(0, |s| s.version);
                if setup.version > old {
                    tracing::info!(version = setup.version, "watch: configuration in force");
                    wishes.setup = Some(Arc::new(setup.clone()));
                }
            }
            Document::ZoneOut(zone) => wishes.zones_out.push(zone.clone()),
            Document::Wave(wave) => {
                wishes.waves.insert(wave.number, wave.clone());
            }
        }
    }
    tracing::info!(zones_out = ?wishes.zones_out, waves = wishes.waves.len(), "watch: documents changed");
}
