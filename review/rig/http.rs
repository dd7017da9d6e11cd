//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client with a connection for each call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
    }
    pub fn arg(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str())
    }
    pub fn arg_num(&self, name: &str) -> Option<u64> {
        self.arg(name)?.parse().ok()
    }
}

/// A response; none closes the connection without one.
pub type Response = Option<(u16, Vec<u8>)>;

/// Serves requests until the process ends.
pub fn serve(addr: SocketAddr, handler: Arc<dyn Fn(Request) -> Response + Send + Sync>) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                drop(connection(stream, &*handler));
            });
        }
    });
    Ok(())
}

fn connection(stream: TcpStream, handler: &(dyn Fn(Request) -> Response + Send + Sync)) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        let Some((status, body)) = handler(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        out.write_all(&bytes)?;
    }
    Ok(())
}

fn read_head(input: &mut impl BufRead) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((k, v)) = line.split_once(':') {
            headers.push((k.trim().to_owned(), v.trim().to_owned()));
        }
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let row = headers.iter().find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    row.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn read_request(input: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(input)? else { return Ok(None) };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let query = pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect();
    let mut body = vec![0; length(&headers)];
    input.read_exact(&mut body)?;
    Ok(Some(Request { path: path.to_owned(), query, headers, body }))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes a call on a new connection. An error means that no complete answer came.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, within)?;
    stream.set_read_timeout(Some(within))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n", body.len());
    for (k, v) in headers {
        head.push_str(&format!("{k}: {v}\r\n"));
    }
    stream.write_all(format!("{head}\r\n{body}").as_bytes())?;
    let mut input = BufReader::new(stream);
    let broken = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "no answer");
    let (first, headers) = read_head(&mut input)?.ok_or_else(broken)?;
    let status = first.split(' ').nth(1).and_then(|w| w.parse().ok()).ok_or_else(broken)?;
    let mut body = vec![0; length(&headers)];
    input.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
