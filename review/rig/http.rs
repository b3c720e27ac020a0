//! HTTP/1.1 with MessagePack bodies: a server with one thread a connection, and a client.
use crate::msgpack::V;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a parameter of the query, or an empty text.
    pub fn param(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or(String::new(), |(_, value)| value.to_owned())
    }
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

pub type Reply = (u16, V);
/// `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Reply> + Send + Sync>;

/// Reads one message: its first line and its body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>, bool)> {
    let mut chunk = [0u8; 65536];
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8(buffer[..end].to_vec()).ok()?;
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let (mut length, mut close) = (0, false);
            for line in lines {
                let (name, value) = line.split_once(':')?;
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().ok()?,
                    "connection" => close = value.trim().eq_ignore_ascii_case("close"),
                    _ => {}
                }
            }
            while buffer.len() < end + 4 + length {
                let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
                buffer.extend(&chunk[..n]);
            }
            let body = buffer[end + 4..end + 4 + length].to_vec();
            buffer.drain(..end + 4 + length);
            return Some((first, body, close));
        }
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        buffer.extend(&chunk[..n]);
    }
}

fn serve_connection(mut stream: TcpStream, handler: Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut buffer = vec![];
    loop {
        let (first, body, close) = read_message(&mut stream, &mut buffer)?;
        let mut words = first.split(' ');
        let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (status, value) = handler(&Request { method, path, body })?;
        let body = value.bytes();
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend(body);
        stream.write_all(&message).ok()?;
        if close {
            return None;
        }
    }
}

/// Serves requests on a new loopback port and returns its address.
pub fn serve(handler: Handler) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler));
        }
    });
    addr
}

/// A client that keeps its connection open between calls to one address.
#[derive(Default)]
pub struct Client {
    open: Option<(String, TcpStream)>,
}

impl Client {
    pub fn disconnect(&mut self) {
        self.open = None;
    }

    /// Sends a request and returns the answer; `None` after the timeout or a connection failure.
    pub fn call(
        &mut self,
        addr: &str,
        method: &str,
        path: &str,
        body: Option<&V>,
        timeout: Duration,
    ) -> Option<Reply> {
        let result = self.try_call(addr, method, path, body, timeout);
        if result.is_none() {
            self.open = None;
        }
        result
    }

    fn try_call(
        &mut self,
        addr: &str,
        method: &str,
        path: &str,
        body: Option<&V>,
        timeout: Duration,
    ) -> Option<Reply> {
        let until = Instant::now() + timeout;
        if self.open.as_ref().is_none_or(|(known, _)| known != addr) {
            let stream = TcpStream::connect_timeout(&addr.parse().ok()?, timeout).ok()?;
            stream.set_nodelay(true).ok()?;
            self.open = Some((addr.to_owned(), stream));
        }
        let stream = &mut self.open.as_mut()?.1;
        let left = until.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        let body = body.map_or(vec![], V::bytes);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend(&body);
        stream.write_all(&message).ok()?;
        let (first, body, close) = read_message(stream, &mut vec![])?;
        if close {
            self.open = None;
        }
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((status, V::decode(&body).unwrap_or(V::Nil)))
    }
}

/// One call on a connection of its own.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    body: Option<&V>,
    timeout: Duration,
) -> Option<Reply> {
    Client::default().call(addr, method, path, body, timeout)
}
