//! `timeline`: merges the events of several entry hosts in causal order.

use std::time::Duration;

use edge::{Fetch, Fetcher};
use events::{Event, Filter, merge, stamp_ms};

use super::{Error, ctl};
use crate::cli::Timeline;

const TIMEOUT: Duration = Duration::from_secs(3);
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Shows events, and goes on if asked to.
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
        let mut parts = Vec::new();
        for (addr, since) in flags.from.iter().zip(&mut since) {
            let events = fetch(&http, &addr.to_string(), &key, *since).await?;
            *since = events.last().map_or(*since, |e| e.stamp);
            parts.push(events);
        }
        let after = flags.after.unwrap_or(0);
        for event in merge(parts).iter().filter(|e| stamp_ms(e.stamp) > after && filter.matches(e)) {
            println!("{}", line(event));
        }
        if !flags.follow {
            return Ok(());
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

async fn fetch(http: &Fetcher, addr: &str, key: &str, since: u64) -> Result<Vec<Event>, Error> {
    let path = format!("/events?since={since}");
    let call = Fetch { headers: ctl::bearer(key)?, ..Fetch::get(addr, &path, TIMEOUT) };
    let done = http.fetch(call).await?;
    serde_json::from_slice(&done.body).map_err(|e| Error::Refused(format!("{addr} answered no events: {e}")))
}

fn line(event: &Event) -> String {
    let fields = [
        ("job", &event.job),
        ("worker", &event.worker),
        ("team", &event.team),
        ("zone", &event.zone),
        ("note", &event.note),
    ];
    let told: Vec<String> =
        fields.iter().filter(|(_, v)| !v.is_empty()).map(|(k, v)| format!("{k}={v}")).collect();
    format!("{} {} {} {}", stamp_ms(event.stamp), event.host, event.kind, told.join(" "))
}
