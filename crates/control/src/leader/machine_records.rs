//! Puts the records of machines that are due into a transaction.
use super::draft::Draft;
use super::*;

/// What a group's record holds now, and which attempts it holds for the first time.
pub(super) fn shard_record(
    machines: &Machines,
    group: &BTreeSet<String>,
) -> (ShardRecord, Vec<On>) {
    let mut out = ShardRecord::default();
    let (mut new, mut jobs) = (vec![], HashMap::new());
    for m in group.iter().filter_map(|id| machines.get(id)) {
        let mut rows = vec![];
        for p in m.placements.iter().filter(|p| p.present()) {
            let job = *jobs.entry(p.job.as_str()).or_insert_with(|| {
                let team = out.teams.iter().position(|t| *t == p.team);
                let team = team.unwrap_or_else(|| {
                    out.teams.push(p.team.clone());
                    out.teams.len() - 1
                });
                out.jobs
                    .push(JobRow(p.job.clone(), team, p.cpus, p.gpus, p.memory));
                out.jobs.len() - 1
            });
            rows.push(TaskRow(job, p.index, p.attempt));
            if p.phase == Phase::New {
                new.push((m.id.clone(), p.attempt));
            }
        }
        if !rows.is_empty() {
            out.machines.push(MachineRow(
                m.id.clone(),
                m.kind.clone(),
                m.zone.clone(),
                m.spot,
                rows,
            ));
        }
    }
    (out, new)
}

/// Records to be written, the longest waiting first: by number, the last would wait for ever while
/// the first keep changing.
fn in_turn(shards: &BTreeMap<u32, Shard>, due: fn(&Shard) -> bool) -> Vec<u32> {
    // What a successor took over must be stored there before it goes from here.
    let waits = |s: &Shard| s.successors.iter().any(|n| shards.contains_key(n));
    let ready = |s: &Shard| due(s) && s.stored.version.is_some() && !s.stored.writing && !waits(s);
    let ready = shards.iter().filter(|(_, s)| ready(s));
    let mut order: Vec<(Ms, u32)> = ready.map(|(n, s)| (s.since, *n)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, n)| n).collect()
}

impl Leader {
    /// Records of machines that `due` chooses, as far as the draft has room.
    pub(super) fn flush_shards(&mut self, draft: &mut Draft, due: fn(&Shard) -> bool) {
        let mut empty = vec![];
        for number in in_turn(&self.shards, due) {
            // What is already full needs no look at the rest.
            if draft.items.len() >= draft.most {
                draft.full = true;
                break;
            }
            let Some(shard) = self.shards.get_mut(&number) else {
                continue;
            };
            let Some(version) = shard.stored.version else {
                continue;
            };
            let (record, new) = shard_record(&self.machines, &shard.machines);
            let size = json_len(&record);
            // Its bytes were counted too low; the next flush divides it.
            if size > self.value_bytes {
                shard.bytes = size + k::SHARD_HEAD_BYTES;
                continue;
            }
            let n = number;
            let named: BTreeSet<String> = record.machines.iter().map(|m| m.0.clone()).collect();
            let jobs = record.jobs.iter().map(|j| j.0.clone()).collect();
            let (value, item) = if !named.is_empty() {
                (Some(Value::Shard(record)), Item::Shard { shard: n, new })
            } else if version != 0 {
                (None, Item::ShardGone { shard: n })
            } else {
                empty.push(n);
                continue;
            };
            if !draft.add(shard_key(n), version, value, item) {
                continue;
            }
            shard.bytes = size + k::SHARD_HEAD_BYTES;
            shard.jobs = jobs;
            shard.stored.dirty = false;
            shard.stored.stale = false;
            shard.stored.writing = true;
            shard.urgent = false;
            // Machines without tasks need no record; they may go to another.
            for id in std::mem::replace(&mut shard.machines, named) {
                if !shard.machines.contains(&id) {
                    if let Some(mut m) = self.machines.edit(&id) {
                        m.shard = None;
                    }
                }
            }
        }
        for n in empty {
            if let Some(s) = self.shards.remove(&n) {
                for id in s.machines {
                    if let Some(mut m) = self.machines.edit(&id) {
                        m.shard = None;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "machine_records_tests.rs"]
mod tests;
