//! Failures: traps on transactions, late and slow messages, machines that hang, die or restart.
use super::event::OutboundCall;
use super::user::Requester;
use super::{Simulation, STORE_LATENCY_MS};
use crate::stand_ins::{Ms, StoreLimits};
use stonegw_wire::msg::*;

/// What a trap does to the transaction that it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionFaultKind {
    /// The process ends right before it sends it.
    CrashBefore,
    /// The process ends right after the state service applied it.
    CrashAfter,
    /// The state service applies it, but the answer is lost.
    DropResponse,
    /// It reaches the state service only so much later.
    DelayRequest,
    /// The state service applies it, but its answer arrives only so much later.
    DelayResponse,
}

/// A failure that waits for a transaction whose body holds a text.
#[derive(Clone, Debug)]
pub struct TransactionFault {
    pub kind: TransactionFaultKind,
    pub key: String,
    /// How much later the message arrives, or the process is back.
    pub delay_ms: Ms,
}

/// Values from one bound to the other that differ much from one to the next, always the same.
pub(super) fn deterministic_spread(n: u64, from: Ms, to: Ms) -> Ms {
    from + n * 37 % 100 * (to - from) / 100
}

impl Simulation {
    /// The first trap of that kind which waits for this transaction; it is used up.
    pub(super) fn take_transaction_fault(
        &mut self,
        call: &OutboundCall,
        kind: TransactionFaultKind,
    ) -> Option<TransactionFault> {
        if call.path != "/multi" {
            return None;
        }
        let text = String::from_utf8_lossy(&call.body);
        let waits = |t: &TransactionFault| t.kind == kind && text.contains(t.key.as_str());
        let at = self.transaction_faults.iter().position(waits)?;
        Some(self.transaction_faults.remove(at))
    }

    /// How late this transaction arrives, if it is one of the late ones: 2 to 12 s, which is after
    /// its sender gave it up.
    pub(super) fn next_transaction_delay(&mut self) -> Option<Ms> {
        let (every, _) = self.delayed_transactions.filter(|l| self.now < l.1)?;
        self.delayed_transaction_candidates += 1;
        (self.delayed_transaction_candidates % every == 0).then(|| {
            let lag =
                deterministic_spread(self.delayed_transaction_candidates / every, 2_000, 12_000);
            self.append_log(format!("a transaction is {} s late", lag as f64 / 1e3));
            lag
        })
    }

    /// Whether the answer to this transaction, which is carried out, is one of the lost ones.
    pub(super) fn should_drop_response(&mut self) -> bool {
        let Some((every, _)) = self.dropped_responses.filter(|l| self.now < l.1) else {
            return false;
        };
        self.dropped_response_candidates += 1;
        let lost = self.dropped_response_candidates % every == 0;
        if lost {
            self.append_log("the answer to a transaction is lost".into());
        }
        lost
    }

    /// How much later the job that arrives now is cancelled, if it is one of those.
    pub fn next_cancellation_delay(&mut self) -> Option<Ms> {
        let (every, within) = self.cancellation_share?;
        self.cancellation_candidates += 1;
        (self.cancellation_candidates % every == 0)
            .then(|| deterministic_spread(self.cancellation_candidates / every, 0, within))
    }

    /// How much longer the state service takes each way.
    pub(super) fn extra_store_latency(&self) -> Ms {
        self.store_slowdown
            .filter(|l| self.now < l.1)
            .map_or(0, |l| l.0 / 2)
    }

    /// How much later and where a copy of this report arrives, if it is one of those.
    pub(super) fn next_heartbeat_duplicate(&mut self) -> Option<(Ms, usize)> {
        let (every, from, to, _) = self.duplicated_heartbeats.filter(|l| self.now < l.3)?;
        self.duplicated_heartbeat_candidates += 1;
        let copy = self.duplicated_heartbeat_candidates / every;
        let node = copy as usize % self.nodes.len();
        (self.duplicated_heartbeat_candidates % every == 0)
            .then(|| (deterministic_spread(copy, from, to), node))
    }

    /// The machine stands still, with all that is on it, and goes on later.
    pub fn hang_machine(&mut self, id: &str, lag: Ms) {
        let until = self.now + lag;
        if let Some(w) = self.workers.get_mut(id) {
            w.hung_until = until;
            for t in w.tasks.values_mut() {
                t.state_ends_at = t.state_ends_at.saturating_add(lag);
            }
        }
    }

    /// The machine stops with all that is on it; the cloud still lists it.
    pub fn crash_machine(&mut self, id: &str) {
        self.workers.remove(id);
        self.crashed_machines.insert(id.to_owned());
    }

    /// The cloud takes the machine back with all that is on it, and lists it no more.
    pub fn evict_machine(&mut self, id: &str) {
        self.workers.remove(id);
        self.cloud.machines.remove(id);
    }

    /// The cloud will take the machine back so much later, and says so.
    pub fn schedule_eviction(&mut self, id: &str, lag: Ms) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(id) {
            w.eviction_at = Some(now + lag);
            w.has_unreported_changes = true;
        }
        self.schedule_worker_wakeup(id, now);
        self.schedule_line_after(lag, vec!["take".into(), id.to_owned()]);
    }

    /// The state service takes less from now on; no node is told.
    pub fn lower_store_limits(&mut self, value_bytes: usize, txn_ops: usize, write_rps: f64) {
        self.store.limits = StoreLimits {
            max_value_bytes: value_bytes,
            max_transaction_writes: txn_ops,
            max_writes_per_second: write_rps,
        };
    }

    /// Its worker kills and forgets everything.
    pub fn begin_new_incarnation(&mut self, id: &str) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(id) {
            w.begin_new_incarnation(now);
        }
        self.schedule_worker_wakeup(id, now);
    }

    /// Its process ends and is back at once: a new session, and nothing of the old one.
    pub fn restart_machine(&mut self, id: &str) {
        self.begin_new_incarnation(id);
        if let Some(w) = self.workers.get_mut(id) {
            w.image_ready_at.clear();
        }
    }

    /// Delivers the kept report to a node; nobody waits for the answer.
    pub fn deliver_withheld_heartbeat(&mut self, node: usize) {
        if let Some(body) = self.withheld_heartbeats.pop_front() {
            self.next_request_id += 1;
            self.pending_requests
                .insert(self.next_request_id, Requester::LogOnly);
            self.send_request(self.next_request_id, node, "POST", "/agent/beat", body);
        }
    }

    /// A watch that was held while its node was refused tells, late, the first change that it saw.
    pub fn deliver_stale_watch(&mut self, node: usize) {
        for watch in std::mem::take(&mut self.watches) {
            let mut changes = self
                .store
                .changes_since(&watch.prefix, watch.since_revision);
            changes.events.truncate(1);
            let first = changes.events.first().map(change_revision);
            match first.filter(|_| watch.caller.node == node) {
                Some(version) => {
                    changes.revision = version;
                    self.append_log(format!(
                        "a held watch of node-{node} tells revision {version}"
                    ));
                    self.schedule_response(watch.caller, STORE_LATENCY_MS, (200, encode(&changes)));
                }
                None => self.watches.push(watch),
            }
        }
    }
}

fn change_revision<V>(change: &WatchEvent<V>) -> u64 {
    let (WatchEvent::Put {
        revision: version, ..
    }
    | WatchEvent::Delete {
        revision: version, ..
    }) = change;
    *version
}
