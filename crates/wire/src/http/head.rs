//! Parses the head of a message: the start line and the headers.
use super::HttpError;
use stonegw_constants::{MAX_HEADERS, MAX_HEAD_BYTES};

/// The byte sequence that ends a head.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// The start line of a message and the header values that the parser uses.
pub(super) struct MessageHead<'a> {
    pub(super) start_line: &'a str,
    /// Length of the head in bytes; the body starts after it.
    pub(super) head_bytes: usize,
    pub(super) content_length: Option<usize>,
    pub(super) connection_close: bool,
}

/// Parses the head at the start of the buffer. Returns `None` until the head is complete.
pub(super) fn parse_head(
    buffer: &[u8],
    max_body_bytes: usize,
) -> Result<Option<MessageHead<'_>>, HttpError> {
    let window = &buffer[..buffer.len().min(MAX_HEAD_BYTES)];
    let end = window
        .windows(END_OF_HEAD.len())
        .position(|bytes| bytes == END_OF_HEAD);
    let Some(end) = end else {
        return if buffer.len() >= MAX_HEAD_BYTES {
            Err(HttpError::HeadTooLarge)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&buffer[..end]).map_err(|_| HttpError::Malformed)?;
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or("");
    if start_line.bytes().any(|byte| byte.is_ascii_control()) {
        return Err(HttpError::Malformed);
    }
    let mut head = MessageHead {
        start_line,
        head_bytes: end + END_OF_HEAD.len(),
        content_length: None,
        connection_close: start_line.contains("HTTP/1.0"),
    };
    for (index, line) in lines.enumerate() {
        if index >= MAX_HEADERS {
            return Err(HttpError::HeadTooLarge);
        }
        head.apply_header(&parse_header(line)?, max_body_bytes)?;
    }
    Ok(Some(head))
}

struct Header<'a> {
    name: &'a str,
    value: &'a str,
}

fn parse_header(line: &str) -> Result<Header<'_>, HttpError> {
    let (name, value) = line.split_once(':').ok_or(HttpError::Malformed)?;
    if name.is_empty() || !name.bytes().all(is_token_byte) {
        return Err(HttpError::Malformed);
    }
    let value = value.trim_matches([' ', '\t']);
    let is_valid = |byte: u8| byte == b'\t' || !byte.is_ascii_control();
    if !value.bytes().all(is_valid) {
        return Err(HttpError::Malformed);
    }
    Ok(Header { name, value })
}

/// Returns `true` if the name of a header may contain this byte (a "token" of RFC 9110).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

impl MessageHead<'_> {
    fn apply_header(&mut self, header: &Header, max_body_bytes: usize) -> Result<(), HttpError> {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(header.value)?;
            if self.content_length.is_some_and(|earlier| earlier != length) {
                return Err(HttpError::Malformed);
            }
            if length > max_body_bytes {
                return Err(HttpError::BodyTooLarge);
            }
            self.content_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::UnsupportedTransferEncoding);
        } else if header.name.eq_ignore_ascii_case("connection") {
            self.connection_close |= header
                .value
                .split(',')
                .any(|option| option.trim().eq_ignore_ascii_case("close"));
        }
        Ok(())
    }
}

fn parse_content_length(value: &str) -> Result<usize, HttpError> {
    // `parse` alone would also accept a leading plus sign.
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::Malformed);
    }
    value.parse().map_err(|_| HttpError::BodyTooLarge)
}
