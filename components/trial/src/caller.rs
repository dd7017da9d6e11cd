//! Callers that remember what they were told.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use edge::{Fetch, Fetcher, VERDICT_HEADER, Verdict, wall_ms};
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use parking_lot::Mutex;

/// Longest time that a caller waits.
pub const CALL_TIME: Duration = Duration::from_secs(10);

/// One request.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Team; its key's secret is `TEAM-secret`.
    pub team: String,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Body, unique to the request.
    pub body: String,
    /// Idempotency key.
    pub key: Option<String>,
}

impl Ask {
    /// An idempotent request that works for some time.
    #[must_use]
    pub fn quote(team: &str, body: &str, work_ms: u64) -> Self {
        let path = format!("/q/quotes/quote?work_ms={work_ms}");
        Self { team: team.into(), method: Method::PUT, path, body: body.into(), key: None }
    }

    /// A request with an idempotency key equal to its body.
    #[must_use]
    pub fn booking(team: &str, body: &str, work_ms: u64) -> Self {
        let path = format!("/q/quotes/book?work_ms={work_ms}");
        Self { team: team.into(), method: Method::POST, path, body: body.into(), key: Some(body.into()) }
    }

    /// A job with an idempotency key equal to its body.
    #[must_use]
    pub fn job(team: &str, body: &str, work_ms: u64) -> Self {
        Self { path: format!("/jobs/quotes/run?work_ms={work_ms}"), ..Self::booking(team, body, work_ms) }
    }

    /// Waits for a job of a team, or cancels it.
    #[must_use]
    pub fn about_job(team: &str, id: &str, method: Method) -> Self {
        let path = format!("/jobs/{id}?wait");
        Self { team: team.into(), method, path, body: String::new(), key: None }
    }

    /// A non-idempotent request without a key.
    #[must_use]
    pub fn single(team: &str, body: &str, work_ms: u64) -> Self {
        Self { key: None, ..Self::booking(team, body, work_ms) }
    }
}

/// What a caller was told about one request.
#[derive(Debug, Clone)]
pub struct Told {
    /// Team.
    pub team: String,
    /// Body that was sent.
    pub body: String,
    /// True if it may run only once.
    pub once: bool,
    /// Verdict; none if the connection failed.
    pub verdict: Option<Verdict>,
    /// Status; 0 if the connection failed.
    pub status: u16,
    /// True if the answer was whole and its own.
    pub own: bool,
    /// When it was sent, in ms since the Unix epoch.
    pub sent: u64,
    /// When it was told, in ms since the Unix epoch.
    pub told: u64,
    /// Answer or reason.
    pub text: String,
}

impl Told {
    /// True if it was told that it ran, with its own answer.
    #[must_use]
    pub fn ran(&self) -> bool {
        self.verdict == Some(Verdict::Ran) && self.own
    }
}

/// Sends one request to an entry host.
pub async fn call(http: &Fetcher, addr: &str, ask: &Ask) -> Told {
    let mut headers = HeaderMap::new();
    let mut put = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    put(header::AUTHORIZATION, &format!("Bearer {}-secret", ask.team));
    if let Some(key) = &ask.key {
        put(HeaderName::from_static("idempotency-key"), key);
    }
    let sent = wall_ms();
    let body = Bytes::from(ask.body.clone());
    let request =
        Fetch { method: ask.method.clone(), headers, ..Fetch::post(addr, &ask.path, body, CALL_TIME) };
    let done = http.fetch(request).await;
    let once = ask.method == Method::POST;
    let told = Told {
        team: ask.team.clone(),
        body: ask.body.clone(),
        once,
        verdict: None,
        status: 0,
        own: false,
        sent,
        told: wall_ms(),
        text: String::new(),
    };
    match done {
        Err(fault) => Told { text: fault.to_string(), ..told },
        Ok(done) => Told {
            verdict: done.header(VERDICT_HEADER).and_then(Verdict::parse),
            status: done.status.as_u16(),
            own: done.body == format!("done {}", ask.body),
            text: String::from_utf8_lossy(&done.body).into_owned(),
            ..told
        },
    }
}

/// A load of callers in the background.
#[derive(Debug)]
pub struct Load {
    told: Arc<Mutex<Vec<Told>>>,
    over: Arc<AtomicBool>,
    count: Arc<AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    /// Starts callers that send one request after the other; each is numbered and goes to the next address.
    pub fn start(callers: usize, addrs: &[String], ask: impl Fn(u64) -> Ask + Send + Sync + 'static) -> Self {
        let load =
            Self { told: Arc::default(), over: Arc::default(), count: Arc::default(), tasks: Vec::new() };
        let ask = Arc::new(ask);
        let tasks = (0..callers).map(|_| {
            let (told, over, count) =
                (Arc::clone(&load.told), Arc::clone(&load.over), Arc::clone(&load.count));
            let (ask, addrs) = (Arc::clone(&ask), addrs.to_vec());
            tokio::spawn(async move {
                let http = Fetcher::default();
                while !over.load(Ordering::SeqCst) {
                    let number = count.fetch_add(1, Ordering::SeqCst);
                    let index = usize::try_from(number).unwrap_or(0) % addrs.len();
                    let result = call(&http, &addrs[index], &ask(number)).await;
                    let failed = result.status == 0 || result.status == 503;
                    told.lock().push(result);
                    if failed {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            })
        });
        let tasks = tasks.collect();
        Self { tasks, ..load }
    }

    /// Requests told so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.told.lock().len()
    }

    /// Requests told so far that ran.
    #[must_use]
    pub fn ran(&self) -> usize {
        self.told.lock().iter().filter(|t| t.ran()).count()
    }

    /// Stops the callers and yields all that they were told.
    pub async fn stop(self) -> Vec<Told> {
        self.over.store(true, Ordering::SeqCst);
        for task in self.tasks {
            let _ = task.await;
        }
        std::mem::take(&mut self.told.lock())
    }
}
