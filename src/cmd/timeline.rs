//! `timeline`: merges the events of several entry hosts in causal order.

use std::time::Duration;

use edge::{Fetch, Fetcher};
use events::{Event, Filter, merge, stamp_ms};

use super::{Error, ctl};
use crate::cli::Timeline;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Prints the selected events, and keeps polling for new ones with `--follow`.
pub async fn run(flags: &Timeline) -> Result<(), Error> {
    let key = super::operator_key(flags.key.as_ref())?;
    let http = Fetcher::default();
    let filter = Filter {
        job: flags.job.clone().unwrap_or_default(),
        host: flags.host.clone().unwrap_or_default(),
        team: flags.team.clone().unwrap_or_default(),
        zone: flags.zone.clone().unwrap_or_default(),
    };
    let mut since = vec![0; flags.from.len()];
    loop {
        let mut streams = Vec::new();
        for (addr, since) in flags.from.iter().zip(&mut since) {
            let events = fetch_events(&http, &addr.to_string(), &key, *since).await?;
            *since = events.last().map_or(*since, |e| e.stamp);
            streams.push(events);
        }
        let after = flags.after.unwrap_or(0);
        for event in merge(streams).iter().filter(|e| stamp_ms(e.stamp) > after && filter.matches(e)) {
            println!("{}", format_event(event));
        }
        if !flags.follow {
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

async fn fetch_events(http: &Fetcher, addr: &str, key: &str, since: u64) -> Result<Vec<Event>, Error> {
    let path = format!("/events?since={since}");
    let request = Fetch { headers: ctl::auth_headers(key)?, ..Fetch::get(addr, &path, REQUEST_TIMEOUT) };
    let response = http.fetch(request).await?;
    serde_json::from_slice(&response.body)
        .map_err(|e| Error::Command(format!("{addr} did not return a list of events: {e}")))
}

fn format_event(event: &Event) -> String {
    let fields = [
        ("job", &event.job),
        ("worker", &event.worker),
        ("team", &event.team),
        ("zone", &event.zone),
        ("note", &event.note),
    ];
    let shown: Vec<String> =
        fields.iter().filter(|(_, v)| !v.is_empty()).map(|(k, v)| format!("{k}={v}")).collect();
    format!("{} {} {} {}", stamp_ms(event.stamp), event.host, event.kind, shown.join(" "))
}
