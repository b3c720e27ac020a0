//! Requests from users and workers on accepted connections.
use super::EventLoop;
use crate::connection::ConnectionKind;
use crate::event::NetworkEvent;
use stonegw_constants::{
    IDLE_CONNECTION_TIMEOUT_MS, MAX_REQUEST_BODY_BYTES, REQUEST_READ_TIMEOUT_MS,
    RETRY_AFTER_OVERLOAD_S,
};
use stonegw_wire::http::{self, HttpError, Request};
use stonegw_wire::msg::{encode, ErrorBody};
use stonegw_wire::Parsed;

/// Prefix of the paths to which the admission limit applies: all requests of users have it, and
/// none of workers.
const USER_PATH_PREFIX: &str = "/submissions";

impl EventLoop {
    /// Replies to a request. `retry_after_s` is the value of the `Retry-After` header in seconds.
    pub fn reply(&mut self, request_id: u64, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        let now = self.now_ms();
        let key = request_id as usize;
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let ConnectionKind::Server {
            request_in_progress,
            close_after_reply,
        } = &mut connection.kind
        else {
            return;
        };
        *request_in_progress = false;
        http::write_response(
            &mut connection.output,
            status,
            retry_after_s,
            *close_after_reply,
            body,
        );
        connection.deadline = now + IDLE_CONNECTION_TIMEOUT_MS;
        if connection.counts_toward_admission {
            connection.counts_toward_admission = false;
            let latency_ms = now.saturating_sub(connection.request_received_at);
            self.admission.record_completion(now, latency_ms);
        }
        self.unwritten_connections.push(key);
        // The next request may already be in the input buffer.
        self.serve_next_request(key);
    }

    /// Parses and handles the next request on a connection, unless one is in progress.
    pub(super) fn serve_next_request(&mut self, key: usize) {
        let now = self.now_ms();
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let ConnectionKind::Server {
            request_in_progress,
            close_after_reply,
        } = &mut connection.kind
        else {
            return;
        };
        if *request_in_progress || connection.input.is_empty() {
            return;
        }
        match http::parse_request(&connection.input, MAX_REQUEST_BODY_BYTES) {
            Ok(None) => {
                // The timeout for receiving a request starts with its first byte.
                connection.deadline = connection.deadline.min(now + REQUEST_READ_TIMEOUT_MS);
            }
            Ok(Some(Parsed {
                message: request,
                consumed_bytes,
            })) => {
                connection.input.drain(..consumed_bytes);
                *request_in_progress = true;
                *close_after_reply = request.connection_close;
                connection.deadline = now + IDLE_CONNECTION_TIMEOUT_MS;
                connection.request_received_at = now;
                self.admit_request(key, request, now);
            }
            Err(error) => self.reject_request(key, error),
        }
    }

    /// Passes a request to the controller, or rejects it if it is a user's and too many are in
    /// progress.
    fn admit_request(&mut self, key: usize, request: Request, now: u64) {
        let is_user_request = request.path.starts_with(USER_PATH_PREFIX);
        let status_query = (request.method == "GET").then_some(request.path.as_str());
        if is_user_request && !self.admission.try_admit(now, status_query) {
            let body = encode(&ErrorBody {
                error: "too many requests in progress".into(),
            });
            return self.reply(key as u64, 429, Some(RETRY_AFTER_OVERLOAD_S), &body);
        }
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.counts_toward_admission = is_user_request;
        }
        self.pending_events.push(NetworkEvent::Request {
            request_id: key as u64,
            request,
        });
    }

    /// Responds to a malformed request with an error. The connection is closed after the response.
    fn reject_request(&mut self, key: usize, error: HttpError) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let body = encode(&ErrorBody {
            error: error.to_string(),
        });
        connection.input.clear();
        connection.kind = ConnectionKind::Server {
            request_in_progress: false,
            close_after_reply: true,
        };
        http::write_response(&mut connection.output, error.status(), None, true, &body);
        self.write_output(key);
    }
}
