//! Routes HTTP requests to what answers them, and reports the node's health.
use super::*;
use stonegw_constants::{RETRY_AFTER_STORE_FAILURE_S, STORE_UNREACHABLE_MS};

#[derive(Serialize)]
struct Health {
    ready: bool,
}

impl Node {
    /// 200 only when the node can take requests. While the state service is away from every
    /// node, taking all of them out would only delay the return.
    pub(super) fn is_ready(&self) -> bool {
        if self.replica_sync != ReplicaSync::Live || self.catalog.is_none() {
            return false;
        }
        let now = self.now.monotonic_ms;
        let others = self
            .peers
            .iter()
            .any(|p| p.is_reachable(now) && p.is_store_reachable);
        let cut_off = !self.peers.is_empty() && !self.is_any_peer_reachable();
        !(self.is_store_unavailable() && (others || cut_off))
    }

    /// The state service has not answered for some time.
    pub(super) fn is_store_unavailable(&self) -> bool {
        self.store_failing_since.is_some()
            && self
                .now
                .monotonic_ms
                .saturating_sub(self.last_store_success_at)
                > STORE_UNREACHABLE_MS
    }

    /// Takes one HTTP request.
    pub(super) fn handle_request(&mut self, id: u64, request: Request) {
        let path = request.path.split('?').next().unwrap_or("");
        let method = request.method.as_str();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let (known, asks) = match parts.as_slice() {
            ["healthz"] => (method == "GET", None),
            ["submissions"] => (
                method == "POST",
                Some(match JobSpec::parse(&request.body) {
                    Ok(spec) => Ok(UserRequest::Submit(Box::new(spec))),
                    Err(why) => Err((400, why.to_string())),
                }),
            ),
            ["submissions", job] => (
                method == "GET",
                Some(parse_job_request(job, UserRequest::Poll)),
            ),
            ["submissions", job, "cancel"] => (
                method == "POST",
                Some(parse_job_request(job, UserRequest::Cancel)),
            ),
            ["agent", "beat"] => {
                if method == "POST" {
                    return self.handle_heartbeat(id, request.body);
                }
                (false, None)
            }
            _ => return self.outbox.reply_error(id, 404, None, "no such path"),
        };
        if !known {
            return self.outbox.reply_error(id, 405, None, "method not allowed");
        }
        match asks {
            None if self.is_ready() => self.outbox.reply(id, 200, None, &Health { ready: true }),
            None => {
                self.outbox
                    .reply_error(id, 503, Some(RETRY_AFTER_STORE_FAILURE_S), "not ready")
            }
            Some(Err((status, why))) => self.outbox.reply_error(id, status, None, &why),
            Some(Ok(ask)) => self.handle_user_request(id, ask),
        }
    }
}

/// What is asked of the job with this id, or the error for a malformed one.
fn parse_job_request(
    job: &str,
    ask: fn(String) -> UserRequest,
) -> Result<UserRequest, (u16, String)> {
    if stonegw_wire::msg::is_job_id(job) {
        Ok(ask(job.to_owned()))
    } else {
        Err((404, "no such job".into()))
    }
}
