//! Puts what is due into one transaction at a time and sends it.
use super::draft::Draft;
use super::*;

impl Leader {
    /// Writes what is due, one transaction at a time. Every write names the stamp it replaces,
    /// so that a transaction applied late changes nothing.
    pub fn flush(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if self.flushing || self.rereading || now < self.flush_at || self.stage == Stage::Loading {
            return;
        }
        if self.reread(ctx) {
            return;
        }
        if self.due.is_empty() && self.drops.is_empty() && !self.shards.values().any(Shard::due) {
            return;
        }
        let level = ctx.writes.level(now);
        let most = (level.max(0.0) as usize).min(ctx.limits.transaction_writes());
        if most == 0 {
            return;
        }
        self.split_large();
        let mut draft = Draft::new(self.term, most);
        // Placements of urgent work are counted in seconds.
        self.flush_shards(&mut draft, |s| s.stored.dirty && s.urgent);
        self.flush_ends(ctx, &mut draft);
        // The rest waits for company, and leaves urgent placements their budget.
        let ops = (ctx.limits.transaction_writes() as f64).min(ctx.set.state_write_rps);
        let reserve = ops * k::FLUSH_RESERVE;
        if now >= self.batch_at && level > reserve {
            // Tasks wait for placements, nobody for results that can be told again: these have a
            // part of each transaction, so that they are stored all the same.
            self.flush_results(ctx, &mut draft, most.div_ceil(k::RESULTS_SHARE));
            self.flush_shards(&mut draft, |s| s.stored.dirty);
            // A full transaction has no more company to wait for.
            if !draft.items.is_empty() && !draft.full {
                self.batch_at = now + k::FLUSH_GAP_MS;
            }
        }
        // Tidying must not eat the budget that placements may need in the next second.
        if now >= self.tidy_at && level > ops * 0.5 {
            self.tidy_at = now + k::TIDY_GAP_MS;
            self.flush_shards(&mut draft, |s| s.stored.stale);
            for (key, stored) in &mut self.drops {
                if let (Some(version), false) = (stored.version, stored.writing) {
                    let item = Item::DropDone { key: key.clone() };
                    if version != 0 && draft.add(key.clone(), version, None, item) {
                        stored.writing = true;
                    }
                }
            }
            self.drops.retain(|(_, s)| s.version != Some(0));
        }
        let Draft {
            txn, items, size, ..
        } = draft;
        if items.is_empty() {
            return;
        }
        if !ctx.reads.take(now, 1.0) {
            return self.unflush(&items);
        }
        ctx.writes.force(now, items.len() as f64);
        self.flushing = true;
        let body = encode(&txn);
        let call = Call::Flush { items, size };
        let wait = k::STATE_TIMEOUT_MS;
        ctx.call(call, Target::State, "POST", "/multi".into(), body, wait);
    }
}
