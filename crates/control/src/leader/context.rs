//! What the leader may use of its node, and how it makes calls.
use super::*;
use crate::fleet::FleetCall;

/// What the leader may use of its node.
pub struct Ctx<'a> {
    pub now: Now,
    pub set: &'a Settings,
    /// No other node is heard, so another may hear the machines that we don't.
    pub may_resign: bool,
    /// What may have been cancelled without our knowledge still ends in time: leases may be
    /// renewed and tasks started.
    pub covered: bool,
    /// The leader key was seen to be ours since the node's last pause: commands and writes may go out.
    pub proven: bool,
    pub replica: &'a mut Replica,
    pub reads: &'a mut Bucket,
    pub writes: &'a mut Bucket,
    /// How large what is written may be.
    pub limits: &'a mut StoreLimits,
    pub(crate) out: &'a mut Out,
    pub calls: &'a mut Vec<(u64, Call)>,
}

impl Ctx<'_> {
    /// Makes a call and returns its number; its answer comes back with `what`.
    pub fn call(
        &mut self,
        what: Call,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> u64 {
        let id = self.out.call(target, method, path, body, timeout_ms);
        self.calls.push((id, what));
        id
    }

    /// Reads from the state service.
    pub fn read(&mut self, what: Call, path: String) {
        let wait = k::STATE_TIMEOUT_MS;
        self.call(what, Target::State, "GET", path, vec![], wait);
    }

    /// Asks the cloud.
    pub fn ask_cloud(&mut self, what: FleetCall, method: &'static str, path: &str, body: Vec<u8>) {
        let (what, path) = (Call::Fleet(what), path.to_owned());
        let wait = k::CLOUD_TIMEOUT_MS;
        self.call(what, Target::Cloud, method, path, body, wait);
    }
}
