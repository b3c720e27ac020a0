//! Failures: traps on transactions, late and slow messages, machines that hang, die or restart.
use super::event::Call;
use super::user::Asker;
use super::{Sim, STATE_MS};
use crate::outside::{Limits, Ms};
use stonegw_wire::msg::*;

/// What a trap does to the transaction that it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrapKind {
    /// The process ends right before it sends it.
    CrashBefore,
    /// The process ends right after the state service applied it.
    CrashAfter,
    /// The state service applies it, but the answer is lost.
    LoseAnswer,
    /// It reaches the state service only so much later.
    Delay,
    /// The state service applies it, but its answer arrives only so much later.
    SlowAnswer,
}

/// A failure that waits for a transaction whose body holds a text.
#[derive(Clone, Debug)]
pub struct Trap {
    pub kind: TrapKind,
    pub key: String,
    /// How much later the message arrives, or the process is back.
    pub ms: Ms,
}

/// Values from one bound to the other that differ much from one to the next, always the same.
pub(super) fn spaced(n: u64, from: Ms, to: Ms) -> Ms {
    from + n * 37 % 100 * (to - from) / 100
}

impl Sim {
    /// The first trap of that kind which waits for this transaction; it is used up.
    pub(super) fn trapped(&mut self, call: &Call, kind: TrapKind) -> Option<Trap> {
        if call.path != "/multi" {
            return None;
        }
        let text = String::from_utf8_lossy(&call.body);
        let waits = |t: &Trap| t.kind == kind && text.contains(t.key.as_str());
        let at = self.traps.iter().position(waits)?;
        Some(self.traps.remove(at))
    }

    /// How late this transaction arrives, if it is one of the late ones: 2 to 12 s, which is after
    /// its sender gave it up.
    pub(super) fn late_write(&mut self) -> Option<Ms> {
        let (every, _) = self.late_writes.filter(|l| self.now < l.1)?;
        self.writes_seen += 1;
        (self.writes_seen % every == 0).then(|| {
            let lag = spaced(self.writes_seen / every, 2_000, 12_000);
            self.note(format!("a transaction is {} s late", lag as f64 / 1e3));
            lag
        })
    }

    /// Whether the answer to this transaction, which is carried out, is one of the lost ones.
    pub(super) fn lost_answer(&mut self) -> bool {
        let Some((every, _)) = self.lost_answers.filter(|l| self.now < l.1) else {
            return false;
        };
        self.answers_seen += 1;
        let lost = self.answers_seen % every == 0;
        if lost {
            self.note("the answer to a transaction is lost".into());
        }
        lost
    }

    /// How much later the job that arrives now is cancelled, if it is one of those.
    pub fn cancel_lag(&mut self) -> Option<Ms> {
        let (every, within) = self.cancel_share?;
        self.jobs_seen += 1;
        (self.jobs_seen % every == 0).then(|| spaced(self.jobs_seen / every, 0, within))
    }

    /// How much longer the state service takes each way.
    pub(super) fn state_lag(&self) -> Ms {
        self.slow_state
            .filter(|l| self.now < l.1)
            .map_or(0, |l| l.0 / 2)
    }

    /// How much later and where a copy of this report arrives, if it is one of those.
    pub(super) fn late_report(&mut self) -> Option<(Ms, usize)> {
        let (every, from, to, _) = self.late_reports.filter(|l| self.now < l.3)?;
        self.reports_seen += 1;
        let copy = self.reports_seen / every;
        let node = copy as usize % self.nodes.len();
        (self.reports_seen % every == 0).then(|| (spaced(copy, from, to), node))
    }

    /// The machine stands still, with all that is on it, and goes on later.
    pub fn hang(&mut self, id: &str, lag: Ms) {
        let until = self.now + lag;
        if let Some(w) = self.workers.get_mut(id) {
            w.hangs_until = until;
            for t in w.tasks.values_mut() {
                t.until = t.until.saturating_add(lag);
            }
        }
    }

    /// The machine stops with all that is on it; the cloud still lists it.
    pub fn die(&mut self, id: &str) {
        self.workers.remove(id);
        self.dead.insert(id.to_owned());
    }

    /// The cloud takes the machine back with all that is on it, and lists it no more.
    pub fn take(&mut self, id: &str) {
        self.workers.remove(id);
        self.cloud.machines.remove(id);
    }

    /// The cloud will take the machine back so much later, and says so.
    pub fn recall(&mut self, id: &str, lag: Ms) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(id) {
            w.taken_at = Some(now + lag);
            w.changed = true;
        }
        self.worker_due(id, now);
        self.later(lag, vec!["take".into(), id.to_owned()]);
    }

    /// The state service takes less from now on; no node is told.
    pub fn lower_limits(&mut self, value_bytes: usize, txn_ops: usize, write_rps: f64) {
        self.state.limits = Limits {
            value_bytes,
            txn_ops,
            write_rps,
        };
    }

    /// Its worker kills and forgets everything.
    pub fn lose_session(&mut self, id: &str) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(id) {
            w.lose_session(now);
        }
        self.worker_due(id, now);
    }

    /// Its process ends and is back at once: a new session, and nothing of the old one.
    pub fn restart_machine(&mut self, id: &str) {
        self.lose_session(id);
        if let Some(w) = self.workers.get_mut(id) {
            w.images.clear();
        }
    }

    /// Delivers the kept report to a node; nobody waits for the answer.
    pub fn deliver_kept(&mut self, node: usize) {
        if let Some(body) = self.kept.pop_front() {
            self.next_ask += 1;
            self.asks.insert(self.next_ask, Asker::Probe);
            self.ask(self.next_ask, node, "POST", "/agent/beat", body);
        }
    }

    /// A watch that was held while its node was refused tells, late, the first change that it saw.
    pub fn deliver_watch(&mut self, node: usize) {
        for watch in std::mem::take(&mut self.watches) {
            let mut changes = self.state.changes(&watch.prefix, watch.since);
            changes.events.truncate(1);
            let first = changes.events.first().map(change_version);
            match first.filter(|_| watch.caller.node == node) {
                Some(version) => {
                    changes.revision = version;
                    self.note(format!(
                        "a held watch of node-{node} tells revision {version}"
                    ));
                    self.answer(watch.caller, STATE_MS, (200, encode(&changes)));
                }
                None => self.watches.push(watch),
            }
        }
    }
}

fn change_version<V>(change: &Change<V>) -> u64 {
    let (Change::Put { version, .. } | Change::Delete { version, .. }) = change;
    *version
}
