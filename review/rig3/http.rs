//! HTTP/1.1 over std sockets: a server with a thread for each connection, and a client call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == key).map(|(_, v)| v.as_str())
    }

    pub fn query_number(&self, key: &str) -> Option<u64> {
        self.query(key)?.parse().ok()
    }

    pub fn header(&self, key: &str) -> &str {
        self.headers.iter().find(|(k, _)| k == key).map_or("", |(_, v)| v.as_str())
    }
}

pub type Answer = Option<(u16, Vec<u8>)>;

/// A server that can be taken down: its port then resets new connections, and open ones are closed.
pub struct Server {
    up: Arc<AtomicBool>,
    addr: SocketAddr,
}

impl Server {
    pub fn start<F>(addr: SocketAddr, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Request) -> Answer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let up = Arc::new(AtomicBool::new(true));
        let (state, handler) = (Arc::clone(&up), Arc::new(handler));
        thread::spawn(move || {
            while state.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (state, handler) = (Arc::clone(&state), Arc::clone(&handler));
                        thread::spawn(move || connection(stream, &state, &*handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self { up, addr })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn stop(&self) {
        self.up.store(false, Ordering::SeqCst);
    }
}

fn connection(stream: TcpStream, up: &AtomicBool, handler: &dyn Fn(Request) -> Answer) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(Polled { stream, up });
    while let Some(request) = read_request(&mut reader) {
        if !up.load(Ordering::SeqCst) {
            return;
        }
        let Some((status, body)) = handler(request) else {
            // No answer ever comes on this connection.
            while up.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                let mut byte = [0];
                if reader.get_ref().stream.peek(&mut byte).is_ok_and(|n| n == 0) {
                    return;
                }
            }
            return;
        };
        if !up.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// A stream whose reads end once the server is down.
struct Polled<'a> {
    stream: TcpStream,
    up: &'a AtomicBool,
}

impl Read for Polled<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            match self.stream.read(buffer) {
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    if !self.up.load(Ordering::SeqCst) {
                        return Ok(0);
                    }
                }
                other => return other,
            }
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers.iter().find(|(k, _)| k == "content-length").and_then(|(_, v)| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect();
    Some(Request { path: path.to_owned(), query, headers, body })
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok())
            .flatten()
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        out.push(escaped.unwrap_or(bytes[at]));
        at += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request; `None` without a complete answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n", body.len());
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.iter().find(|(k, _)| k == "content-length").and_then(|(_, v)| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
