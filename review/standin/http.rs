//! A small HTTP/1.1 server and client for the stand-ins.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// The status and the body of a response, or `None`: the server closes the connection unanswered.
pub type Reply = Option<(u16, Vec<u8>)>;

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves requests on a loopback address with a thread for each connection.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = vec![];
    while let Some((head, body)) = read_message(&mut stream, &mut buffer, None) {
        let mut words = head.split_whitespace();
        let method = words.next().unwrap_or("").to_string();
        let path = words.next().unwrap_or("").to_string();
        let Some((status, body)) = handler(Request { method, path, body }) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend(body);
        if stream.write_all(&message).is_err() {
            return;
        }
    }
}

/// Reads one message: the head and the body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Option<Instant>,
) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            let length: usize = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend(&chunk[..count]),
        }
    }
}

/// Sends a request over a new connection. Returns `None` without a response in time.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + timeout;
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut message = head.into_bytes();
    message.extend(body);
    stream.write_all(&message).ok()?;
    let (head, body) = read_message(&mut stream, &mut vec![], Some(until))?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, body))
}
