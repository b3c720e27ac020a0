//! What the leader and its parts may use of their node during one turn, and how they make calls.
use crate::api::{Now, Target};
use crate::calls::{AutoscalerCall, LeaderCall};
use crate::outbox::Outbox;
use crate::replica::Replica;
use crate::settings::{Settings, TokenBucket};
use crate::store_limits::StoreLimits;
use stonegw_constants::{CLOUD_TIMEOUT_MS, STORE_TIMEOUT_MS};

/// What the leader and its parts may use of their node during one turn.
pub struct LeaderContext<'a> {
    pub now: Now,
    pub settings: &'a Settings,
    /// No other node is heard, so another may hear the machines that we don't.
    pub may_resign: bool,
    /// What may have been cancelled without our knowledge still ends in time: leases may be
    /// renewed and tasks started.
    pub watermark_current: bool,
    /// The leader key was seen to be ours since the node's last pause: commands and writes may go out.
    pub leadership_confirmed: bool,
    pub replica: &'a mut Replica,
    pub read_budget: &'a mut TokenBucket,
    pub write_budget: &'a mut TokenBucket,
    /// How large what is written may be.
    pub store_limits: &'a mut StoreLimits,
    pub(crate) outbox: &'a mut Outbox,
    pub calls: &'a mut Vec<(u64, LeaderCall)>,
}

impl LeaderContext<'_> {
    /// Makes a call and returns its number; its answer comes back with `what`.
    pub fn send_call(
        &mut self,
        what: LeaderCall,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> u64 {
        let id = self
            .outbox
            .start_call(target, method, path, body, timeout_ms);
        self.calls.push((id, what));
        id
    }

    /// Reads from the state service.
    pub fn read_store(&mut self, what: LeaderCall, path: String) {
        let wait = STORE_TIMEOUT_MS;
        self.send_call(what, Target::Store, "GET", path, vec![], wait);
    }

    /// Asks the cloud.
    pub fn call_cloud(
        &mut self,
        what: AutoscalerCall,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
    ) {
        let (what, path) = (LeaderCall::Autoscaler(what), path.to_owned());
        let wait = CLOUD_TIMEOUT_MS;
        self.send_call(what, Target::Cloud, method, path, body, wait);
    }
}
