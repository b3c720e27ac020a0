//! Serializes requests and responses.

/// Appends a request to `buffer`.
pub fn write_request(buffer: &mut Vec<u8>, method: &str, host: &str, path: &str, body: &[u8]) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    buffer.extend_from_slice(head.as_bytes());
    buffer.extend_from_slice(body);
}

/// Appends a response to `buffer`. `retry_after_s` is the value of the `Retry-After` header in
/// seconds; `close` adds the header `Connection: close`.
pub fn write_response(
    buffer: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u32>,
    close: bool,
    body: &[u8],
) {
    let reason = reason_phrase(status);
    let mut head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        body.len()
    );
    if let Some(seconds) = retry_after_s {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    buffer.extend_from_slice(head.as_bytes());
    buffer.extend_from_slice(body);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
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
    }
}
