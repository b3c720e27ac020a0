//! Calls to the state service: refused, trapped, answered, or held as watches.
use super::event::{Call, Caller, Step};
use super::fault::TrapKind;
use super::{Sim, STATE_MS};
use crate::outside::{query, Ms};
use stonegw_wire::msg::*;

/// A watch that waits for a change.
pub(super) struct Watch {
    pub caller: Caller,
    pub prefix: String,
    pub since: u64,
    /// It is answered then in any case.
    pub until: Ms,
}

fn waits_for_change(path: &str) -> bool {
    path.contains("holdMs") && !path.contains("holdMs=0")
}

impl Sim {
    pub(super) fn at_state(&mut self, call: Call) {
        let caller = call.caller;
        if let Some(until) = self.lone_until(caller.node) {
            // Held back, it arrives when the cut ends, whoever still waits for it.
            return self.at(until, Step::Arrive(call));
        }
        if self.refused(caller.node) {
            return self.refuse_call(&call);
        }
        let lose = self.trapped(&call, TrapKind::LoseAnswer);
        let after = self.trapped(&call, TrapKind::CrashAfter);
        let slow = self.trapped(&call, TrapKind::SlowAnswer);
        let answer = self
            .state
            .handle(self.now, call.method, &call.path, &call.body);
        self.wake_watches();
        if let Some(trap) = after {
            return self.crash(caller.node, trap.ms);
        }
        if let Some(trap) = lose {
            return self.note(format!(
                "the answer to a transaction on {} is lost",
                trap.key
            ));
        }
        if call.path == "/multi" && self.lost_answer() {
            return;
        }
        let mut lag = STATE_MS + self.state_lag();
        if let Some(trap) = slow {
            self.note(format!(
                "the answer to a transaction on {} is late",
                trap.key
            ));
            lag = trap.ms;
        }
        match answer {
            Some(answer) => self.answer(caller, lag, answer),
            None => self.hold_watch(caller, &call.path),
        }
    }

    /// Until when that node, cut off from the state service, reaches only its workers.
    fn lone_until(&self, node: usize) -> Option<Ms> {
        let lone = self.lone.filter(|l| l.0 == node && self.now < l.1);
        lone.map(|l| l.1)
    }

    /// Whether the state service answers that node 503.
    fn refused(&self, node: usize) -> bool {
        let until = self.state_out.get(&node);
        until.is_some_and(|until| self.now < *until)
    }

    fn refuse_call(&mut self, call: &Call) {
        if waits_for_change(&call.path) {
            return; // An open watch stays open.
        }
        let error = "trouble".into();
        let body = encode(&ErrorBody { error });
        self.answer(call.caller, STATE_MS, (503, body));
    }

    fn hold_watch(&mut self, caller: Caller, path: &str) {
        let number = |name: &str| query(path, name).and_then(|n| n.parse().ok());
        let until = self.now + number("holdMs").unwrap_or(0);
        self.watches.push(Watch {
            caller,
            prefix: query(path, "prefix").unwrap_or("").to_owned(),
            since: number("since").unwrap_or(0),
            until,
        });
        self.at(until, Step::Wake);
    }

    /// Answers the watches that have a change to tell or waited long enough.
    pub(super) fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let node = watch.caller.node;
            let out = self.refused(node) || self.lone_until(node).is_some();
            let changes = self.state.changes(&watch.prefix, watch.since);
            let waits = changes.events.is_empty() && self.now < watch.until;
            if waits || out {
                self.watches.push(watch);
            } else {
                let lag = STATE_MS + self.state_lag();
                self.answer(watch.caller, lag, (200, encode(&changes)));
            }
        }
    }
}
