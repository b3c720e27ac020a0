//! Dispatches the result of each call to the part of the node that made it.
use super::calls::{NodeCall, StoreCall};
use super::Node;
use crate::api::CallResult;
use crate::calls::LeaderCall;

impl Node {
    /// Handles the result of a call. Results of calls made by an earlier leadership are ignored.
    pub(super) fn handle_call_result(&mut self, call_id: u64, result: CallResult) {
        match self.calls_in_flight.remove(&call_id) {
            None => {}
            Some(NodeCall::Leader(call)) => self.handle_leader_call_result(call, result),
            Some(NodeCall::FetchCatalog) => self.handle_catalog_result(result),
            Some(NodeCall::Store(call)) => self.handle_store_call_result(call, result),
        }
    }

    fn handle_leader_call_result(&mut self, call: LeaderCall, result: CallResult) {
        if call.targets_store() {
            self.record_store_result(&result);
        }
        self.with_leader(|leader, context| leader.call_done(context, call, result));
    }

    fn handle_store_call_result(&mut self, call: StoreCall, result: CallResult) {
        if self.proves_store_availability(&call, &result) {
            self.record_store_result(&result);
        }
        match call {
            StoreCall::ListReplica => self.handle_list_page(result),
            StoreCall::WatchReplica => self.handle_watch_result(result),
            StoreCall::ReadBarrier { requests, sent_at } => {
                self.handle_read_barrier_result(requests, sent_at, result);
            }
            StoreCall::CommitUserRequests { requests, size } => {
                self.handle_user_commit_result(requests, size, result);
            }
            StoreCall::RelayHeartbeats { machines, size } => {
                self.handle_store_relay_result(machines, size, result);
            }
            StoreCall::GrantLease => self.handle_lease_result(result),
            StoreCall::Campaign { lease } => self.handle_campaign_result(lease, result),
            StoreCall::RevokeLease => {}
            StoreCall::ReadVersionRecords => self.handle_version_scan_result(result),
            StoreCall::StoreVersionRecord => self.handle_version_write_result(result),
        }
    }

    /// Returns whether the result says anything about the availability of the store. A failed watch
    /// does not, because watches hang during an outage. Neither does a watch that is answered after
    /// other calls have failed: the store may send a response that it held back while it refused
    /// this node's requests, and be unavailable again by then.
    fn proves_store_availability(&self, call: &StoreCall, result: &CallResult) -> bool {
        let is_watch = matches!(call, StoreCall::WatchReplica);
        !(is_watch && (result.is_err() || self.store_availability.is_failing()))
    }

    fn record_store_result(&mut self, result: &CallResult) {
        let now = self.now.monotonic_ms;
        self.store_availability.record_result(now, result);
    }
}
