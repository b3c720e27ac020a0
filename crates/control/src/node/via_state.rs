//! Hands reports to the leader through the state service, where no node reaches it directly.
use super::*;

impl Node {
    /// A report that can't be relayed, from a worker that may be cut off with us. Its lease is
    /// kept alive with the leader's token, what is cancelled is ended, and the report goes on
    /// through the state service.
    pub(super) fn beat_via_state(&mut self, id: u64, report: Report, leader: String) {
        if self.try_leader(&report.machine) {
            let node = Some(leader);
            return self.out.reply(id, 421, None, &ReportTo { node });
        }
        // Only while our copy of the jobs and of the term is fresh enough to end in time what
        // is cancelled elsewhere.
        let term = self.replica.term().unwrap_or(0);
        if !self.covered() || report.token > term {
            return self.cut_off(id);
        }
        self.keep_lease(id, &report, term);
        let entry = self
            .reports_via_state
            .entry(report.machine.clone())
            .or_insert_with(|| (report.clone(), true, 0));
        // A late copy of an older report must not replace a newer one.
        if (report.session, report.seq) > (entry.0.session, entry.0.seq) {
            entry.1 |= entry.0.tasks != report.tasks || entry.0.session != report.session;
            entry.0 = report;
        }
    }

    /// Hands reports on, the longest unheard first, as many as the budget allows.
    pub(super) fn advance_via_state(&mut self) {
        let now = self.now.ms;
        if self.reports_via_state.is_empty() || now < self.via_state_at || self.sync != Sync::Live {
            return;
        }
        self.via_state_at = now + k::FAR_GAP_MS;
        let redirected = &self.redirected;
        self.reports_via_state
            .retain(|m, _| redirected.contains_key(m));
        let mut due: Vec<(Ms, String)> = self
            .reports_via_state
            .iter()
            .filter(|(_, (_, changed, at))| *changed || now >= at + k::FAR_REPEAT_MS)
            .map(|(m, (_, _, at))| (*at, m.clone()))
            .collect();
        due.sort();
        let most = (self.writes.level(now).max(0.0) as usize).min(self.limits.transaction_writes());
        // Small records are many: none may be written over in the transaction that wrote it.
        let slots = self.report_slots();
        let most = most.min(slots / k::FAR_SLOTS_A_CHANGE);
        if due.is_empty() || most == 0 || !self.reads.take(now, 1.0) {
            return;
        }
        let mut txn = Txn {
            conditions: vec![],
            writes: vec![],
        };
        // As many reports as a record holds, as many records as the budget allows. Records are
        // written over in turn; whoever reads them tells the newer report by its number.
        let (mut batch, mut bytes, mut total) = (vec![], 0, k::TXN_MARGIN);
        let (mut machines, mut sent) = (vec![], TransactionSize::default());
        for (_, machine) in due {
            let Some((report, changed, at)) = self.reports_via_state.get_mut(&machine) else {
                continue;
            };
            let size = json_len(report) + 1;
            let room = self.limits.value_bytes().saturating_sub(k::FAR_HEAD_BYTES);
            if size > room || total + size > k::TXN_BYTES {
                continue;
            }
            if bytes + size > room {
                let full =
                    write_via_state(&self.set.node, &mut self.via_state_slot, slots, &mut batch);
                txn.writes.push(full);
                sent.add(bytes + k::FAR_HEAD_BYTES);
                bytes = 0;
                if txn.writes.len() >= most {
                    break;
                }
            }
            (bytes, total) = (bytes + size, total + size);
            (*changed, *at) = (false, now);
            batch.push(report.clone());
            machines.push(machine);
        }
        if !batch.is_empty() {
            let rest = write_via_state(&self.set.node, &mut self.via_state_slot, slots, &mut batch);
            txn.writes.push(rest);
            sent.add(bytes + k::FAR_HEAD_BYTES);
        }
        if txn.writes.is_empty() {
            return;
        }
        self.writes.force(now, txn.writes.len() as f64);
        let call = Call::ReportsViaState {
            machines,
            size: sent,
        };
        self.transact(&txn, call);
    }

    /// Reports that the state service refused are handed on again, at once or in smaller parts.
    pub(super) fn stored_via_state(
        &mut self,
        machines: Vec<String>,
        size: TransactionSize,
        result: CallResult,
    ) {
        match result {
            Ok((200, _)) => return self.limits.accepted(),
            Ok((429, _)) => self.limits.rate_refused(),
            Ok((400, _)) => {
                self.limits.size_refused(size);
            }
            _ => return,
        }
        for machine in machines {
            if let Some((_, changed, _)) = self.reports_via_state.get_mut(&machine) {
                *changed = true;
            }
        }
    }

    /// Records in which this node hands reports on in turn.
    fn report_slots(&self) -> usize {
        k::FAR_SLOTS.max(self.set.txn_ops * k::FAR_SLOTS_A_CHANGE)
    }
}

/// A record of reports, in the next of so many slots of a node.
fn write_via_state(
    node: &str,
    slot: &mut usize,
    slots: usize,
    batch: &mut Vec<Report>,
) -> Write<Value> {
    *slot = (*slot + 1) % slots;
    let reports = std::mem::take(batch);
    let via = node.to_owned();
    Write::Put {
        key: records::far_key(node, *slot),
        value: Value::Far(Box::new(FarRecord { via, reports })),
        lease: None,
    }
}
