//! TCP proxy that injects faults, also into connections that are open already.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const CHUNK_BYTES: usize = 16 * 1024;

/// What the proxy does to bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Closes connections and accepts none.
    Cut,
    /// Keeps connections open and drops all bytes.
    Silent,
    /// Passes requests and drops answers.
    LoseAnswers,
    /// Passes bytes on after a delay.
    Delay(Duration),
}

/// Modes by the dialer's address.
#[derive(Debug, Clone, Default)]
struct Rules {
    common: Mode,
    by_source: HashMap<IpAddr, Mode>,
    /// Connections opened before this generation stay silent.
    generation: u64,
}

impl Rules {
    fn mode(&self, source: IpAddr, generation: u64) -> Mode {
        if generation < self.generation {
            return Mode::Silent;
        }
        self.by_source.get(&source).copied().unwrap_or(self.common)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    rules: Arc<watch::Sender<Rules>>,
    bytes: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy; it lives as long as the runtime.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let rules = Arc::new(watch::channel(Rules::default()).0);
        let bytes = Arc::default();
        tokio::spawn(accept(listener, target, Arc::clone(&rules), Arc::clone(&bytes)));
        Ok(Self { rules, bytes })
    }

    /// Bytes passed on so far, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Sets the mode for all dialers.
    pub fn set(&self, mode: Mode) {
        self.rules.send_modify(|r| r.common = mode);
    }

    /// Sets the mode for one dialer.
    pub fn set_for(&self, source: IpAddr, mode: Mode) {
        self.rules.send_modify(|r| {
            r.by_source.insert(source, mode);
        });
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_open(&self) {
        self.rules.send_modify(|r| r.generation += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    rules: Arc<watch::Sender<Rules>>,
    bytes: Arc<AtomicU64>,
) {
    while let Ok((stream, source)) = listener.accept().await {
        let (mode, generation) = {
            let rules = rules.borrow();
            (rules.mode(source.ip(), rules.generation), rules.generation)
        };
        if mode != Mode::Cut {
            tokio::spawn(carry(
                stream,
                target,
                Watcher {
                    rules: rules.subscribe(),
                    source: source.ip(),
                    generation,
                    bytes: Arc::clone(&bytes),
                },
            ));
        }
    }
}

#[derive(Debug, Clone)]
struct Watcher {
    rules: watch::Receiver<Rules>,
    source: IpAddr,
    generation: u64,
    bytes: Arc<AtomicU64>,
}

impl Watcher {
    fn mode(&self) -> Mode {
        self.rules.borrow().mode(self.source, self.generation)
    }

    async fn cut(&mut self) {
        let (source, generation) = (self.source, self.generation);
        if self.rules.wait_for(|r| r.mode(source, generation) == Mode::Cut).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn carry(client: TcpStream, target: SocketAddr, watcher: Watcher) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut cut = watcher.clone();
    tokio::select! {
        () = pump(client_read, server_write, Direction::Request, &watcher) => {}
        () = pump(server_read, client_write, Direction::Answer, &watcher) => {}
        () = cut.cut() => {}
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction, watcher: &Watcher) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        let mode = watcher.mode();
        let drop_all = mode == Mode::Silent || (mode == Mode::LoseAnswers && direction == Direction::Answer);
        if count == 0 {
            if drop_all {
                std::future::pending::<()>().await;
            }
            return;
        }
        if drop_all {
            continue;
        }
        if let Mode::Delay(time) = mode {
            tokio::time::sleep(time).await;
        }
        watcher.bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
