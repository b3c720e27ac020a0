//! What the leader and its parts may use of their node during a turn, and how they make calls.
use crate::api::{Now, Target};
use crate::calls::{AutoscalerCall, LeaderCall};
use crate::outbox::Outbox;
use crate::replica::Replica;
use crate::settings::{Settings, TokenBucket};
use crate::store_limits::StoreLimits;
use stonegw_constants::{CLOUD_TIMEOUT_MS, STORE_TIMEOUT_MS};

/// What the leader and its parts may use of their node during a turn.
pub struct LeaderContext<'a> {
    /// The time of the turn.
    pub now: Now,
    /// The node's settings.
    pub settings: &'a Settings,
    /// Whether the leader may resign if no machine reaches it: no peer is reachable either, so
    /// another node may be better connected.
    pub may_resign: bool,
    /// The cancellation watermark is current: jobs that were cancelled without this node's knowledge
    /// still end in time if leases are renewed and tasks started now.
    pub watermark_current: bool,
    /// The leader key was confirmed to be this node's since its last pause: commands and writes may
    /// be sent.
    pub leadership_confirmed: bool,
    /// The node's copy of the replicated records.
    pub replica: &'a mut Replica,
    /// Rate budget for requests to the store.
    pub read_budget: &'a mut TokenBucket,
    /// Rate budget for writes to the store.
    pub write_budget: &'a mut TokenBucket,
    /// How large transactions and values may be.
    pub store_limits: &'a mut StoreLimits,
    /// Collects the turn's actions.
    pub(crate) outbox: &'a mut Outbox,
    /// The leader's calls in flight, by their numbers.
    pub calls: &'a mut Vec<(u64, LeaderCall)>,
}

impl LeaderContext<'_> {
    /// Makes a call and returns its number; its result is delivered together with `call`.
    pub fn send_call(
        &mut self,
        call: LeaderCall,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> u64 {
        let call_id = self
            .outbox
            .start_call(target, method, path, body, timeout_ms);
        self.calls.push((call_id, call));
        call_id
    }

    /// Reads from the key-value store.
    pub fn read_store(&mut self, call: LeaderCall, path: String) {
        self.send_call(call, Target::Store, "GET", path, vec![], STORE_TIMEOUT_MS);
    }

    /// Makes a call to the cloud provider's API.
    pub fn call_cloud(
        &mut self,
        call: AutoscalerCall,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
    ) {
        let call = LeaderCall::Autoscaler(call);
        let path = path.to_owned();
        self.send_call(call, Target::Cloud, method, path, body, CLOUD_TIMEOUT_MS);
    }
}
