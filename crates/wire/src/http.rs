//! HTTP/1.1 as far as the protocol needs it: no pipelining, no transfer encodings. Parsing is
//! incremental: feed what has arrived, get `None` until a whole message stands in the buffer.
use stonegw_constants::{MAX_HEADERS, MAX_HEAD_BYTES};

/// Why a message is rejected, with the status to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// 400
    Malformed,
    /// 431
    HeadTooLarge,
    /// 413
    BodyTooLarge,
    /// 501: a transfer encoding
    Encoding,
    /// 411: a body method without a length
    NoLength,
}

impl HttpError {
    /// The HTTP status to answer with.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::Encoding => 501,
            HttpError::NoLength => 411,
        }
    }
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, upper case.
    pub method: String,
    /// The request target, starting with `/`.
    pub path: String,
    /// Whether the connection closes after the answer.
    pub connection_close: bool,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// A parsed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Whether the connection closes after this response.
    pub connection_close: bool,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

struct MessageHead<'a> {
    start_line: &'a str,
    head_len: usize,
    content_length: Option<usize>,
    connection_close: bool,
    is_http_1_0: bool,
}

fn parse_head<'a>(buf: &'a [u8], max_body: usize) -> Result<Option<MessageHead<'a>>, HttpError> {
    let window = &buf[..buf.len().min(MAX_HEAD_BYTES)];
    let Some(end) = window.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if buf.len() >= MAX_HEAD_BYTES {
            Err(HttpError::HeadTooLarge)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&buf[..end]).map_err(|_| HttpError::Malformed)?;
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("");
    if first.bytes().any(|b| b < b' ' || b == 0x7f) {
        return Err(HttpError::Malformed);
    }
    let mut out = MessageHead {
        start_line: first,
        head_len: end + 4,
        content_length: None,
        connection_close: false,
        is_http_1_0: first.contains("HTTP/1.0"),
    };
    for (n, line) in lines.enumerate() {
        if n >= MAX_HEADERS {
            return Err(HttpError::HeadTooLarge);
        }
        let (name, value) = line.split_once(':').ok_or(HttpError::Malformed)?;
        let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        if name.is_empty() || !name.bytes().all(token) {
            return Err(HttpError::Malformed);
        }
        let value = value.trim_matches([' ', '\t']);
        if value.bytes().any(|b| (b < b' ' && b != b'\t') || b == 0x7f) {
            return Err(HttpError::Malformed);
        }
        if name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let n: usize = value.parse().map_err(|_| HttpError::BodyTooLarge)?;
            if out.content_length.is_some_and(|old| old != n) {
                return Err(HttpError::Malformed);
            }
            if n > max_body {
                return Err(HttpError::BodyTooLarge);
            }
            out.content_length = Some(n);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::Encoding);
        } else if name.eq_ignore_ascii_case("connection") {
            out.connection_close |= value
                .split(',')
                .any(|t| t.trim().eq_ignore_ascii_case("close"));
        }
    }
    out.connection_close |= out.is_http_1_0;
    Ok(Some(out))
}

/// Returns the request and how many bytes it took.
pub fn parse_request(buf: &[u8], max_body: usize) -> Result<Option<(Request, usize)>, HttpError> {
    let Some(h) = parse_head(buf, max_body)? else {
        return Ok(None);
    };
    let mut parts = h.start_line.split(' ');
    let (method, path, version) = match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(m), Some(p), Some(v), None) => (m, p, v),
        _ => return Err(HttpError::Malformed),
    };
    if method.is_empty()
        || !method.bytes().all(|b| b.is_ascii_uppercase())
        || !path.starts_with('/')
        || !matches!(version, "HTTP/1.1" | "HTTP/1.0")
    {
        return Err(HttpError::Malformed);
    }
    if h.content_length.is_none() && matches!(method, "POST" | "PUT" | "PATCH") {
        return Err(HttpError::NoLength);
    }
    let total = h.head_len + h.content_length.unwrap_or(0);
    if buf.len() < total {
        return Ok(None);
    }
    let request = Request {
        method: method.into(),
        path: path.into(),
        connection_close: h.connection_close,
        body: buf[h.head_len..total].to_vec(),
    };
    Ok(Some((request, total)))
}

/// Returns the response and how many bytes it took. A missing length means an empty body.
pub fn parse_response(buf: &[u8], max_body: usize) -> Result<Option<(Response, usize)>, HttpError> {
    let Some(h) = parse_head(buf, max_body)? else {
        return Ok(None);
    };
    let rest = h
        .start_line
        .strip_prefix("HTTP/1.1 ")
        .or_else(|| h.start_line.strip_prefix("HTTP/1.0 "))
        .ok_or(HttpError::Malformed)?;
    let code = rest.get(..3).ok_or(HttpError::Malformed)?;
    if rest.as_bytes().get(3).is_some_and(|b| *b != b' ')
        || !code.bytes().all(|b| b.is_ascii_digit())
    {
        return Err(HttpError::Malformed);
    }
    let status: u16 = code.parse().map_err(|_| HttpError::Malformed)?;
    let total = h.head_len + h.content_length.unwrap_or(0);
    if buf.len() < total {
        return Ok(None);
    }
    let response = Response {
        status,
        connection_close: h.connection_close,
        body: buf[h.head_len..total].to_vec(),
    };
    Ok(Some((response, total)))
}

/// Appends a request to `out`.
pub fn write_request(out: &mut Vec<u8>, method: &str, host: &str, path: &str, body: &[u8]) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a response to `out`; `retry_after_s` in seconds, `close` announces the end of the connection.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u32>,
    close: bool,
    body: &[u8],
) {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Unknown",
    };
    let mut head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        body.len()
    );
    if let Some(s) = retry_after_s {
        head.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}
