//! Requests whose answers are not waited for in turn, at most one for each key at a time.

use std::collections::HashMap;
use std::hash::Hash;

use tokio::task::{Id, JoinSet};

/// Requests in flight by key.
#[derive(Debug)]
pub struct InFlight<K, T> {
    requests: JoinSet<Option<T>>,
    keys: HashMap<Id, K>,
}

impl<K, T> Default for InFlight<K, T> {
    fn default() -> Self {
        Self { requests: JoinSet::default(), keys: HashMap::default() }
    }
}

impl<K: Eq + Hash + std::fmt::Debug, T: Send + 'static> InFlight<K, T> {
    /// Whether a request for the key is in flight.
    pub fn contains(&self, key: &K) -> bool {
        self.keys.values().any(|k| k == key)
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Starts a request.
    pub fn start(&mut self, key: K, request: impl Future<Output = Option<T>> + Send + 'static) {
        let id = self.requests.spawn(request).id();
        self.keys.insert(id, key);
    }

    /// Waits until a request has ended and returns its answer, `None` if it had none. Never ends while none is in
    /// flight.
    pub async fn next(&mut self) -> Option<T> {
        match self.requests.join_next_with_id().await {
            Some(Ok((id, answer))) => {
                self.keys.remove(&id);
                answer
            }
            Some(Err(error)) => {
                let key = self.keys.remove(&error.id());
                tracing::warn!(%error, ?key, "node: a request ended without an outcome");
                None
            }
            None => std::future::pending().await,
        }
    }
}
