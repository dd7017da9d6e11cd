//! `ctl`: sends commands and queries in the operators' language to an entry host.

use std::time::Duration;

use bytes::Bytes;
use edge::{Fetch, Fetcher};
use http::{HeaderMap, HeaderValue, header};
use serde_json::Value;

use super::Error;
use crate::cli::Ctl;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// Sends the command or query of the arguments, or those of a file.
pub async fn run(flags: &Ctl) -> Result<(), Error> {
    let key = super::operator_key(flags.key.as_ref())?;
    let http = Fetcher::default();
    let mut failed = 0;
    for line in command_lines(flags)? {
        if let Err(reason) = send(&http, flags, &key, &line).await? {
            eprintln!("{line}: {reason}");
            failed += 1;
        }
    }
    if failed == 0 { Ok(()) } else { Err(Error::Command(format!("{failed} commands were refused"))) }
}

fn command_lines(flags: &Ctl) -> Result<Vec<String>, Error> {
    let Some(path) = &flags.file else {
        return Ok(vec![flags.words.join(" ")]);
    };
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.clone(), source })?;
    let commands = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    Ok(commands.map(str::to_owned).collect())
}

async fn send(http: &Fetcher, flags: &Ctl, key: &str, line: &str) -> Result<Result<(), String>, Error> {
    let addr = flags.to.to_string();
    let headers = auth_headers(key)?;
    let request =
        Fetch { headers, ..Fetch::post(&addr, "/command", Bytes::from(line.to_owned()), REQUEST_TIMEOUT) };
    let response = http.fetch(request).await?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if !response.status.is_success() {
        return Ok(Err(text));
    }
    if flags.json {
        println!("{text}");
    } else {
        print_response(&text);
    }
    Ok(Ok(()))
}

/// Headers that authenticate a request with a key.
pub fn auth_headers(key: &str) -> Result<HeaderMap, Error> {
    let value = HeaderValue::from_str(&format!("Bearer {key}"));
    let value = value
        .map_err(|_| Error::Command("the key contains characters that are not allowed in a header".into()))?;
    Ok(HeaderMap::from_iter([(header::AUTHORIZATION, value)]))
}

fn print_response(text: &str) {
    let Ok(value) = serde_json::from_str::<Value>(text) else {
        return println!("{text}");
    };
    match value.get("rows").and_then(Value::as_array) {
        Some(rows) => rows.iter().for_each(|row| println!("{}", format_row(row))),
        None => println!("{}", format_row(&value)),
    }
}

fn format_row(row: &Value) -> String {
    let Some(object) = row.as_object() else {
        return row.to_string();
    };
    let fields = object.iter().filter(|(_, v)| !v.is_null()).map(|(key, value)| match value {
        Value::String(text) => format!("{key}={text}"),
        other => format!("{key}={other}"),
    });
    fields.collect::<Vec<_>>().join("  ")
}
