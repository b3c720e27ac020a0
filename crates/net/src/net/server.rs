//! Requests of users and workers on accepted connections.
use super::Net;
use crate::conn::Role;
use crate::event::NetEvent;
use stonegw_constants as k;
use stonegw_wire::http::{self, HttpError, Request};
use stonegw_wire::msg::{encode, ErrorBody};

impl Net {
    /// Answers request `id`; `retry_after_s` in seconds.
    pub fn reply(&mut self, id: u64, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        let now = self.now();
        let key = id as usize;
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Server { busy, close } = &mut c.role else {
            return;
        };
        *busy = false;
        http::write_response(&mut c.output, status, retry_after_s, *close, body);
        c.deadline = now + k::IDLE_MS;
        if c.counted {
            c.counted = false;
            self.admission.leave(now, now.saturating_sub(c.asked_at));
        }
        self.unsent.push(key);
        // The next request may already be here.
        self.serve(key);
    }

    /// Parses the next request of an idle connection.
    pub(super) fn serve(&mut self, key: usize) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Server { busy, close } = &mut c.role else {
            return;
        };
        if *busy || c.input.is_empty() {
            return;
        }
        match http::parse_request(&c.input, k::MAX_BODY) {
            Ok(None) => {
                // From its first byte a request has so long to arrive.
                c.deadline = c.deadline.min(now + k::SLOW_MS);
            }
            Ok(Some((request, taken))) => {
                c.input.drain(..taken);
                *busy = true;
                *close = request.close;
                c.deadline = now + k::IDLE_MS;
                c.asked_at = now;
                self.admit(key, request, now);
            }
            Err(e) => self.reject(key, e),
        }
    }

    /// Hands a request to the core, or turns a user's away while too many are in progress.
    fn admit(&mut self, key: usize, request: Request, now: u64) {
        let user = request.path.starts_with("/submissions");
        let question = (request.method == "GET").then_some(request.path.as_str());
        if user && !self.admission.enter(now, question) {
            let body = encode(&ErrorBody {
                error: "too many requests in progress".into(),
            });
            return self.reply(key as u64, 429, Some(k::RETRY_BUSY_S), &body);
        }
        if let Some(c) = self.conns.get_mut(&key) {
            c.counted = user;
        }
        self.out.push(NetEvent::Request {
            id: key as u64,
            request,
        });
    }

    /// Answers a malformed request and closes the connection.
    fn reject(&mut self, key: usize, e: HttpError) {
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let body = encode(&ErrorBody {
            error: format!("{e:?}"),
        });
        c.input.clear();
        c.role = Role::Server {
            busy: false,
            close: true,
        };
        http::write_response(&mut c.output, e.status(), None, true, &body);
        self.push(key);
    }
}
