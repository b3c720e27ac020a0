//! The parts of a node that the leader and its components may use during a turn, and the functions
//! by which they make calls.
use crate::api::{Now, Target};
use crate::calls::{AutoscalerCall, LeaderCall};
use crate::outbox::Outbox;
use crate::replica::Replica;
use crate::settings::{Settings, TokenBucket};
use crate::store_limits::StoreLimits;
use stonegw_constants::{CLOUD_TIMEOUT_MS, STORE_TIMEOUT_MS};

/// The parts of a node that the leader and its components may use during a turn.
pub struct LeaderContext<'a> {
    /// The time of the turn.
    pub now: Now,
    /// The node's settings.
    pub settings: &'a Settings,
    /// Whether the leader may resign if no heartbeats arrive from any machine. It may if no peer is
    /// reachable either, because another node may then be better connected, and if its last
    /// resignation is long enough ago.
    pub may_resign: bool,
    /// Whether the cancellation watermark is recent enough for renewing leases and starting tasks:
    /// tasks of jobs that were cancelled without this node's knowledge still end before the
    /// cancellation deadline.
    pub watermark_current: bool,
    /// Whether the node has read the store, or received answers from all other nodes, since its
    /// last process pause, and has read up to every fencing token that it has seen. Until then
    /// another node may lead, so no commands and writes may be sent.
    pub leadership_confirmed: bool,
    /// The fencing token to which the leader may raise that of a worker: the revision up to which
    /// the replica has read. `None` if it may not, because another controller may run a version that
    /// takes a raised token for a later term.
    pub raised_token: Option<u64>,
    /// The node's copy of the replicated records.
    pub replica: &'a mut Replica,
    /// Rate limiter of all requests to the key-value store, including writes.
    pub read_budget: &'a mut TokenBucket,
    /// Rate limiter of writes to the key-value store.
    pub write_budget: &'a mut TokenBucket,
    /// Limits on the size of transactions and values.
    pub store_limits: &'a mut StoreLimits,
    /// The actions of the turn.
    pub(crate) outbox: &'a mut Outbox,
    /// The calls that the leader has started by means of this context, with their numbers.
    pub calls: &'a mut Vec<(u64, LeaderCall)>,
}

impl LeaderContext<'_> {
    /// Starts a call and returns its number. Its result is later delivered together with `call`.
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

    /// Starts a read of the key-value store.
    pub fn read_store(&mut self, call: LeaderCall, path: String) {
        self.send_call(call, Target::Store, "GET", path, vec![], STORE_TIMEOUT_MS);
    }

    /// Starts a call of the autoscaler to the cloud provider's API.
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
