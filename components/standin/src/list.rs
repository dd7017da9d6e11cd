//! Stand-in for the platform's host list.

use std::sync::Arc;

use edge::HostInfo;
use parking_lot::Mutex;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler};

/// In-memory host list.
#[derive(Debug, Default)]
pub struct Store {
    hosts: Mutex<Vec<HostInfo>>,
}

impl Store {
    /// Replaces the whole list.
    pub fn set(&self, hosts: Vec<HostInfo>) {
        *self.hosts.lock() = hosts;
    }
}

/// Returns the host list as an HTTP application; `PUT /hosts` replaces the list.
pub fn app(store: Arc<Store>) -> impl IntoEndpoint {
    Route::new().at("/hosts", get(get_hosts).put(put_hosts)).data(store)
}

#[handler]
fn get_hosts(store: Data<&Arc<Store>>) -> Json<Vec<HostInfo>> {
    Json(store.hosts.lock().clone())
}

#[handler]
fn put_hosts(store: Data<&Arc<Store>>, Json(hosts): Json<Vec<HostInfo>>) {
    store.set(hosts);
}
