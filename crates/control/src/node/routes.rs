//! Routes HTTP requests to what answers them, and reports the node's health.
use super::*;

#[derive(Serialize)]
struct Health {
    ready: bool,
}

impl Node {
    /// 200 only when the node can take requests. While the state service is away from every
    /// node, taking all of them out would only delay the return.
    pub(super) fn healthy(&self) -> bool {
        if self.sync != Sync::Live || self.catalog.is_none() {
            return false;
        }
        let now = self.now.ms;
        let others = self.peers.iter().any(|p| p.heard(now) && p.state_ok);
        let cut_off = !self.peers.is_empty() && !self.peer_heard();
        !(self.state_out() && (others || cut_off))
    }

    /// The state service has not answered for some time.
    pub(super) fn state_out(&self) -> bool {
        self.state_failed_at.is_some()
            && self.now.ms.saturating_sub(self.state_ok_at) > k::STATE_DOWN_MS
    }

    /// Takes one HTTP request.
    pub(super) fn request(&mut self, id: u64, request: Request) {
        let path = request.path.split('?').next().unwrap_or("");
        let method = request.method.as_str();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let (known, asks) = match parts.as_slice() {
            ["healthz"] => (method == "GET", None),
            ["submissions"] => (
                method == "POST",
                Some(match JobSpec::parse(&request.body) {
                    Ok(spec) => Ok(Ask::Submit(Box::new(spec))),
                    Err(why) => Err((400, why)),
                }),
            ),
            ["submissions", job] => (method == "GET", Some(by_id(job, Ask::Poll))),
            ["submissions", job, "cancel"] => (method == "POST", Some(by_id(job, Ask::Cancel))),
            ["agent", "beat"] => {
                if method == "POST" {
                    return self.beat(id, request.body);
                }
                (false, None)
            }
            _ => return self.out.error(id, 404, None, "no such path"),
        };
        if !known {
            return self.out.error(id, 405, None, "method not allowed");
        }
        match asks {
            None if self.healthy() => self.out.reply(id, 200, None, &Health { ready: true }),
            None => self.out.error(id, 503, Some(k::RETRY_STATE_S), "not ready"),
            Some(Err((status, why))) => self.out.error(id, status, None, &why),
            Some(Ok(ask)) => self.ask(id, ask),
        }
    }
}

/// What is asked of the job with this id, or the error for a malformed one.
fn by_id(job: &str, ask: fn(String) -> Ask) -> Result<Ask, (u16, String)> {
    if stonegw_wire::msg::is_job_id(job) {
        Ok(ask(job.to_owned()))
    } else {
        Err((404, "no such job".into()))
    }
}
