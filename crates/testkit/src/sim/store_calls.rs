//! Calls to the store: rejects them, applies faults to them, answers them, or holds them as
//! watches.
use super::event::{Caller, OutboundCall, SimulationEvent};
use super::simulation::{Simulation, Watch};
use crate::stand_ins::{
    query_number, query_parameter, HttpResponse, TransactionFault, TransactionFaultKind,
    STORE_LATENCY_MS,
};
use stonegw_wire::msg::{encode, WatchEvent, WatchResponse};

fn is_held_watch(path: &str) -> bool {
    path.contains("holdMs") && !path.contains("holdMs=0")
}

fn event_revision<V>(event: &WatchEvent<V>) -> u64 {
    let (WatchEvent::Put { revision, .. } | WatchEvent::Delete { revision, .. }) = event;
    *revision
}

impl Simulation {
    /// Removes and returns the first fault of that kind that matches the transaction.
    pub(super) fn take_transaction_fault(
        &mut self,
        call: &OutboundCall,
        kind: TransactionFaultKind,
    ) -> Option<TransactionFault> {
        self.store_faults
            .take_transaction_fault(&call.path, &call.body, kind)
    }

    pub(super) fn handle_store_call(&mut self, call: OutboundCall) {
        let caller = call.caller;
        if let Some(until) = self.network_faults.isolated_until(self.now, caller.node) {
            // The call arrives when the fault ends, even if the caller no longer waits for it.
            return self.schedule(until, SimulationEvent::CallArrival(call));
        }
        if self.store_faults.is_unavailable_to(self.now, caller.node) {
            return self.refuse_store_call(&call);
        }
        let drop_fault = self.take_transaction_fault(&call, TransactionFaultKind::DropResponse);
        let crash_fault = self.take_transaction_fault(&call, TransactionFaultKind::CrashAfter);
        let delay_fault = self.take_transaction_fault(&call, TransactionFaultKind::DelayResponse);
        let response = self
            .store
            .handle_request(self.now, call.method, &call.path, &call.body);
        self.answer_ready_watches();
        if let Some(fault) = crash_fault {
            return self.crash_node(caller.node, fault.delay_ms);
        }
        if let Some(fault) = drop_fault {
            let key = fault.key;
            return self.append_log(format!("the answer to a transaction on {key} is lost"));
        }
        if call.path == "/multi" && self.store_faults.should_drop_response(self.now) {
            return self.append_log("the answer to a transaction is lost".into());
        }
        let mut latency = STORE_LATENCY_MS + self.store_faults.extra_latency(self.now);
        if let Some(fault) = delay_fault {
            let key = fault.key;
            self.append_log(format!("the answer to a transaction on {key} is delayed"));
            latency = fault.delay_ms;
        }
        match response {
            Some(response) => self.schedule_response(caller, latency, response),
            None => self.hold_watch(caller, &call.path),
        }
    }

    fn refuse_store_call(&mut self, call: &OutboundCall) {
        if is_held_watch(&call.path) {
            return; // A watch that asks to be held gets no response and times out.
        }
        let response = HttpResponse::error(503, "unavailable");
        self.schedule_response(call.caller, STORE_LATENCY_MS, response);
    }

    fn hold_watch(&mut self, caller: Caller, path: &str) {
        let held_until = self.now + query_number(path, "holdMs").unwrap_or(0);
        self.watches.push(Watch {
            caller,
            prefix: query_parameter(path, "prefix").unwrap_or("").to_owned(),
            since_revision: query_number(path, "since").unwrap_or(0),
            held_until,
        });
        self.schedule(held_until, SimulationEvent::WatchCheck);
    }

    /// Returns whether responses to the node's watches can't be delivered at the moment.
    fn is_cut_off_from_store(&self, node: usize) -> bool {
        let is_isolated = self.network_faults.isolated_until(self.now, node).is_some();
        is_isolated || self.store_faults.is_unavailable_to(self.now, node)
    }

    /// Answers the watches that have a change to report or whose hold time is over.
    pub(super) fn answer_ready_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let changes = self
                .store
                .changes_since(&watch.prefix, watch.since_revision);
            let waits = changes.events.is_empty() && self.now < watch.held_until;
            if waits || self.is_cut_off_from_store(watch.caller.node) {
                self.watches.push(watch);
            } else {
                let latency = STORE_LATENCY_MS + self.store_faults.extra_latency(self.now);
                let response = HttpResponse::ok(encode(&changes));
                self.schedule_response(watch.caller, latency, response);
            }
        }
    }

    /// Answers the node's held watches that have changes with only the first change and its
    /// revision, as if the response had been delayed while the store was unavailable to the node.
    pub fn deliver_stale_watch(&mut self, node: usize) {
        for watch in std::mem::take(&mut self.watches) {
            let mut changes = self
                .store
                .changes_since(&watch.prefix, watch.since_revision);
            changes.events.truncate(1);
            match changes.events.first().map(event_revision) {
                Some(revision) if watch.caller.node == node => {
                    changes.revision = revision;
                    self.send_stale_changes(watch.caller, &changes);
                }
                _ => self.watches.push(watch),
            }
        }
    }

    fn send_stale_changes(&mut self, caller: Caller, changes: &WatchResponse<serde_json::Value>) {
        self.append_log(format!(
            "a held watch of node-{} returns stale revision {}",
            caller.node, changes.revision
        ));
        let response = HttpResponse::ok(encode(changes));
        self.schedule_response(caller, STORE_LATENCY_MS, response);
    }
}
