//! Requests of users and workers on accepted connections.
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

impl EventLoop {
    /// Answers request `id`; `retry_after_s` in seconds.
    pub fn reply(&mut self, id: u64, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        let now = self.now_ms();
        let key = id as usize;
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        let ConnectionKind::Server {
            request_in_progress: busy,
            close_after_reply: close,
        } = &mut c.kind
        else {
            return;
        };
        *busy = false;
        http::write_response(&mut c.output, status, retry_after_s, *close, body);
        c.deadline = now + IDLE_CONNECTION_TIMEOUT_MS;
        if c.counts_toward_admission {
            c.counts_toward_admission = false;
            self.admission
                .record_completion(now, now.saturating_sub(c.request_received_at));
        }
        self.unwritten_connections.push(key);
        // The next request may already be here.
        self.serve_next_request(key);
    }

    /// Parses the next request of an idle connection.
    pub(super) fn serve_next_request(&mut self, key: usize) {
        let now = self.now_ms();
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        let ConnectionKind::Server {
            request_in_progress: busy,
            close_after_reply: close,
        } = &mut c.kind
        else {
            return;
        };
        if *busy || c.input.is_empty() {
            return;
        }
        match http::parse_request(&c.input, MAX_REQUEST_BODY_BYTES) {
            Ok(None) => {
                // From its first byte a request has so long to arrive.
                c.deadline = c.deadline.min(now + REQUEST_READ_TIMEOUT_MS);
            }
            Ok(Some(Parsed {
                message: request,
                consumed_bytes,
            })) => {
                c.input.drain(..consumed_bytes);
                *busy = true;
                *close = request.connection_close;
                c.deadline = now + IDLE_CONNECTION_TIMEOUT_MS;
                c.request_received_at = now;
                self.admit_request(key, request, now);
            }
            Err(e) => self.reject_request(key, e),
        }
    }

    /// Hands a request to the core, or turns a user's away while too many are in progress.
    fn admit_request(&mut self, key: usize, request: Request, now: u64) {
        let user = request.path.starts_with("/submissions");
        let question = (request.method == "GET").then_some(request.path.as_str());
        if user && !self.admission.try_admit(now, question) {
            let body = encode(&ErrorBody {
                error: "too many requests in progress".into(),
            });
            return self.reply(key as u64, 429, Some(RETRY_AFTER_OVERLOAD_S), &body);
        }
        if let Some(c) = self.connections.get_mut(&key) {
            c.counts_toward_admission = user;
        }
        self.pending_events.push(NetworkEvent::Request {
            request_id: key as u64,
            request,
        });
    }

    /// Answers a malformed request and closes the connection.
    fn reject_request(&mut self, key: usize, e: HttpError) {
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        let body = encode(&ErrorBody {
            error: e.to_string(),
        });
        c.input.clear();
        c.kind = ConnectionKind::Server {
            request_in_progress: false,
            close_after_reply: true,
        };
        http::write_response(&mut c.output, e.status(), None, true, &body);
        self.write_output(key);
    }
}
