//! HTTP as the models use it: responses, and the query parameters in paths.
use stonegw_wire::msg::{encode, ErrorBody};

/// An empty map in MessagePack.
pub(super) const EMPTY_MAP: u8 = 0x80;

/// A response of the key-value store, the cloud or a worker.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body in MessagePack.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns a response with status 200.
    pub(crate) fn ok(body: Vec<u8>) -> HttpResponse {
        HttpResponse { status: 200, body }
    }

    /// Returns an error response with the reason in its body.
    pub(crate) fn error(status: u16, reason: &str) -> HttpResponse {
        let body = encode(&ErrorBody {
            error: reason.into(),
        });
        HttpResponse { status, body }
    }
}

/// Returns the value of a query parameter as a number.
pub(crate) fn query_number(path: &str, name: &str) -> Option<u64> {
    query_parameter(path, name).and_then(|text| text.parse().ok())
}

/// Returns the value of a query parameter in a path.
pub(crate) fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('='))
}
