//! Calls to the state service: refused, trapped, answered, or held as watches.
use super::event::{Caller, OutboundCall, SimulationEvent};
use super::fault::TransactionFaultKind;
use super::{Simulation, STORE_LATENCY_MS};
use crate::stand_ins::{query_parameter, Ms};
use stonegw_wire::msg::*;

/// A watch that waits for a change.
pub(super) struct Watch {
    pub caller: Caller,
    pub prefix: String,
    pub since_revision: u64,
    /// It is answered then in any case.
    pub held_until: Ms,
}

fn is_held_watch(path: &str) -> bool {
    path.contains("holdMs") && !path.contains("holdMs=0")
}

impl Simulation {
    pub(super) fn handle_store_call(&mut self, call: OutboundCall) {
        let caller = call.caller;
        if let Some(until) = self.isolated_until(caller.node) {
            // Held back, it arrives when the cut ends, whoever still waits for it.
            return self.schedule(until, SimulationEvent::CallArrival(call));
        }
        if self.is_store_unavailable_to(caller.node) {
            return self.refuse_store_call(&call);
        }
        let lose = self.take_transaction_fault(&call, TransactionFaultKind::DropResponse);
        let after = self.take_transaction_fault(&call, TransactionFaultKind::CrashAfter);
        let slow = self.take_transaction_fault(&call, TransactionFaultKind::DelayResponse);
        let answer = self
            .store
            .handle_request(self.now, call.method, &call.path, &call.body);
        self.answer_ready_watches();
        if let Some(trap) = after {
            return self.crash_node(caller.node, trap.delay_ms);
        }
        if let Some(trap) = lose {
            return self.append_log(format!(
                "the answer to a transaction on {} is lost",
                trap.key
            ));
        }
        if call.path == "/multi" && self.should_drop_response() {
            return;
        }
        let mut lag = STORE_LATENCY_MS + self.extra_store_latency();
        if let Some(trap) = slow {
            self.append_log(format!(
                "the answer to a transaction on {} is late",
                trap.key
            ));
            lag = trap.delay_ms;
        }
        match answer {
            Some(answer) => self.schedule_response(caller, lag, answer),
            None => self.hold_watch(caller, &call.path),
        }
    }

    /// Until when that node, cut off from the state service, reaches only its workers.
    fn isolated_until(&self, node: usize) -> Option<Ms> {
        let lone = self.isolated_node.filter(|l| l.0 == node && self.now < l.1);
        lone.map(|l| l.1)
    }

    /// Whether the state service answers that node 503.
    fn is_store_unavailable_to(&self, node: usize) -> bool {
        let until = self.store_unavailable_until.get(&node);
        until.is_some_and(|until| self.now < *until)
    }

    fn refuse_store_call(&mut self, call: &OutboundCall) {
        if is_held_watch(&call.path) {
            return; // An open watch stays open.
        }
        let error = "trouble".into();
        let body = encode(&ErrorBody { error });
        self.schedule_response(call.caller, STORE_LATENCY_MS, (503, body));
    }

    fn hold_watch(&mut self, caller: Caller, path: &str) {
        let number = |name: &str| query_parameter(path, name).and_then(|n| n.parse().ok());
        let until = self.now + number("holdMs").unwrap_or(0);
        self.watches.push(Watch {
            caller,
            prefix: query_parameter(path, "prefix").unwrap_or("").to_owned(),
            since_revision: number("since").unwrap_or(0),
            held_until: until,
        });
        self.schedule(until, SimulationEvent::WatchCheck);
    }

    /// Answers the watches that have a change to tell or waited long enough.
    pub(super) fn answer_ready_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let node = watch.caller.node;
            let out = self.is_store_unavailable_to(node) || self.isolated_until(node).is_some();
            let changes = self
                .store
                .changes_since(&watch.prefix, watch.since_revision);
            let waits = changes.events.is_empty() && self.now < watch.held_until;
            if waits || out {
                self.watches.push(watch);
            } else {
                let lag = STORE_LATENCY_MS + self.extra_store_latency();
                self.schedule_response(watch.caller, lag, (200, encode(&changes)));
            }
        }
    }
}
