//! Routes HTTP requests to their handlers, and reports the node's health.
use super::pending_request::UserRequest;
use super::Node;
use serde::Serialize;
use stonegw_constants::RETRY_AFTER_STORE_FAILURE_S;
use stonegw_wire::http::Request;
use stonegw_wire::msg::{is_job_id, JobSpec};

/// The body of a successful health check.
#[derive(Serialize)]
struct Health {
    ready: bool,
}

/// The operation that a path selects.
enum Route<'a> {
    Health,
    Submit,
    Poll { job_id: &'a str },
    Cancel { job_id: &'a str },
    Heartbeat,
}

impl Route<'_> {
    fn parse(path: &str) -> Option<Route<'_>> {
        let path = path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match segments.as_slice() {
            ["healthz"] => Some(Route::Health),
            ["submissions"] => Some(Route::Submit),
            ["submissions", job_id] => Some(Route::Poll { job_id }),
            ["submissions", job_id, "cancel"] => Some(Route::Cancel { job_id }),
            ["agent", "beat"] => Some(Route::Heartbeat),
            _ => None,
        }
    }

    /// Returns the only method that the path accepts.
    fn method(&self) -> &'static str {
        match self {
            Route::Health | Route::Poll { .. } => "GET",
            Route::Submit | Route::Cancel { .. } | Route::Heartbeat => "POST",
        }
    }
}

impl Node {
    /// Handles one HTTP request.
    pub(super) fn handle_request(&mut self, request_id: u64, request: Request) {
        let Some(route) = Route::parse(&request.path) else {
            return self
                .outbox
                .reply_error(request_id, 404, None, "no such path");
        };
        if request.method != route.method() {
            return self
                .outbox
                .reply_error(request_id, 405, None, "method not allowed");
        }
        match route {
            Route::Health => self.handle_health_check(request_id),
            Route::Submit => match JobSpec::parse(&request.body) {
                Ok(spec) => {
                    let submission = UserRequest::Submit(Box::new(spec));
                    self.handle_user_request(request_id, submission);
                }
                Err(error) => {
                    self.outbox
                        .reply_error(request_id, 400, None, &error.to_string());
                }
            },
            Route::Poll { job_id } => {
                self.handle_job_request(request_id, job_id, UserRequest::Poll);
            }
            Route::Cancel { job_id } => {
                self.handle_job_request(request_id, job_id, UserRequest::Cancel);
            }
            Route::Heartbeat => self.handle_heartbeat(request_id, request.body),
        }
    }

    fn handle_job_request(
        &mut self,
        request_id: u64,
        job_id: &str,
        request: fn(String) -> UserRequest,
    ) {
        if is_job_id(job_id) {
            self.handle_user_request(request_id, request(job_id.to_owned()));
        } else {
            self.outbox
                .reply_error(request_id, 404, None, "no such job");
        }
    }

    fn handle_health_check(&mut self, request_id: u64) {
        if self.is_ready() {
            let health = Health { ready: true };
            self.outbox.reply(request_id, 200, None, &health);
        } else {
            let retry_after_s = Some(RETRY_AFTER_STORE_FAILURE_S);
            self.outbox
                .reply_error(request_id, 503, retry_after_s, "not ready");
        }
    }

    /// Returns whether the node can handle requests. If the store is unavailable to every node, the
    /// nodes stay ready: taking all of them out of service would only delay the recovery.
    fn is_ready(&self) -> bool {
        if !self.replica_sync.is_live() || self.catalog.get().is_none() {
            return false;
        }
        let now = self.now.monotonic_ms;
        let is_local_failure =
            self.peers.is_any_reachable_with_store(now) || self.peers.are_all_unreachable(now);
        !(self.is_store_unavailable() && is_local_failure)
    }

    /// Returns whether the store has not answered this node for some time.
    pub(super) fn is_store_unavailable(&self) -> bool {
        self.store_availability
            .is_unavailable(self.now.monotonic_ms)
    }
}
