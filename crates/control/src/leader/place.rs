//! Putting tasks on machines and taking them back.
use super::*;

impl Leader {
    /// Puts a waiting task on a machine. Nothing goes out before it is stored. False: it waits
    /// on, for there is no room in the record.
    pub fn place(&mut self, machine: &str, job: &str, index: u32) -> bool {
        // The last guard against running twice, whatever went wrong before.
        if self.machines.is_present(job, index) {
            log::error!("{job}/{index} may already be on a machine; not placed again");
            if let Some(w) = self.works.get_mut(job) {
                w.take(index);
            }
            return true;
        }
        let attempt = self.new_attempt();
        self.place_attempt(machine, job, index, attempt)
    }

    /// A number that no attempt of any leader has had.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Puts a task on a machine under an attempt that may have other tasks. False: there is no room
    /// in the record.
    pub fn place_attempt(&mut self, machine: &str, job: &str, index: u32, attempt: u64) -> bool {
        let Some(shard) = self.shard_for(machine, job, false) else {
            return false;
        };
        let (Some(mut m), Some(w)) = (self.machines.edit(machine), self.works.get_mut(job)) else {
            return false;
        };
        w.take(index);
        w.started(self.now_ms);
        m.shard = Some(shard);
        log::debug!("place {job}/{index}#{attempt} on {machine}");
        m.placements.push(Placement {
            cpus: w.spec.cpus,
            gpus: w.spec.gpus,
            memory: w.spec.memory_gb,
            team: w.spec.team.clone(),
            ..Placement::new(job, index, attempt, Phase::New)
        });
        m.idle_since = None;
        if let Some(s) = self.shards.get_mut(&shard) {
            s.add(self.now_ms, job);
            s.urgent |= w.urgent();
        }
        let cache = self
            .catalog
            .types
            .iter()
            .find(|t| t.name == m.kind)
            .map_or(0.0, |t| t.cache_gb);
        m.use_image(&w.spec.image, w.spec.image_gb, cache);
        true
    }

    /// Whether some record can tell of one more task of the job on the machine.
    pub fn record_has_room(&self, m: &Machine, job: &str) -> bool {
        let own = m.shard.and_then(|n| self.shards.get(&n));
        own.is_some_and(|s| s.bytes + s.more(job) <= self.value_bytes)
            || k::SHARD_HEAD_BYTES + bytes_to_move(m, job) <= self.value_bytes
    }

    /// The record that will tell of one more task of the job on the machine. A machine whose record
    /// is full moves to another with all that may be on it. `None`: no record has room for that.
    /// `force`: the task is there already and must be told of.
    fn shard_of(&self, m: &Machine, job: &str, force: bool) -> Option<u32> {
        let fits = |s: &Shard| force || s.bytes + s.more(job) <= self.value_bytes;
        if let Some(n) = m.shard {
            if self.shards.get(&n).is_some_and(fits) {
                return Some(n);
            }
        }
        let bytes = bytes_to_move(m, job);
        if !force && k::SHARD_HEAD_BYTES + bytes > self.value_bytes {
            return None;
        }
        let busy = m.placements.iter().any(Placement::present);
        // A write on its way does not tell of the machine, and once it is answered the old record
        // would no longer wait. One that waits for others would keep these tasks waiting as well.
        let takes = |s: &Shard| s.successors.is_empty() && !(busy && s.stored.writing);
        let roomy = |s: &Shard| s.bytes.max(bytes) <= self.value_bytes / 2;
        let open = self
            .shards
            .iter()
            .find(|(_, s)| takes(s) && roomy(s) && s.machines.len() < k::SHARD_MACHINES);
        let open = open.map(|(n, _)| *n);
        open.or_else(|| Some(self.free_number()))
    }

    pub(super) fn shard_for(&mut self, machine: &str, job: &str, force: bool) -> Option<u32> {
        let m = self.machines.get(machine)?;
        let n = self.shard_of(m, job, force)?;
        let was = m.shard.filter(|was| *was != n);
        let rows: Vec<String> = m
            .placements
            .iter()
            .filter(|p| p.present())
            .map(|p| p.job.clone())
            .collect();
        if let Some(s) = was.and_then(|w| self.shards.get_mut(&w)) {
            s.machines.remove(machine);
            s.stored.stale = true;
            // What may be on the machine stands here until it stands there.
            if !rows.is_empty() {
                s.successors.insert(n);
            }
        }
        let new = || Shard::new(Stored::absent());
        let s = self.shards.entry(n).or_insert_with(new);
        if s.machines.insert(machine.to_owned()) {
            s.bytes += k::SHARD_MACHINE_BYTES;
            for job in rows {
                s.add(self.now_ms, &job);
            }
        }
        Some(n)
    }

    /// What the machine's record holds is more than need be.
    pub(crate) fn stale(&mut self, machine: &str) {
        let shard = self.machines.get(machine).and_then(|m| m.shard);
        if let Some(s) = shard.and_then(|n| self.shards.get_mut(&n)) {
            s.stored.stale = true;
        }
    }

    /// A task is proven gone from where it was: it waits again, unless it is elsewhere.
    pub fn back(&mut self, job: &str, index: u32) {
        self.wake = true;
        self.gangs_changed |= self.works.get(job).is_some_and(|w| w.gang.is_some());
        // A task that is held waits already; waiting twice, it would start twice.
        let elsewhere = self.machines.is_present(job, index) || self.machines.is_held(job, index);
        if let (false, Some(w)) = (elsewhere, self.works.get_mut(job)) {
            w.give_back(index);
        }
    }

    /// Everything on the machine is proven gone.
    pub(super) fn all_gone(&mut self, id: &str, how: Gone) {
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let mut gone = vec![];
        m.placements.retain(|p| {
            if let Gone::Session { inherited_too } = how {
                if p.unsent() || p.inherited && !inherited_too {
                    return true;
                }
            }
            // What it finished here counts only once stored; without the worker's word for it
            // any more, it still was finished.
            gone.push((p.job.clone(), p.index));
            false
        });
        drop(m);
        if !gone.is_empty() {
            self.stale(id);
        }
        for (job, index) in gone {
            self.back(&job, index);
        }
    }
}

/// Bytes that a machine and its tasks, with one more of the job, take in a record at most.
fn bytes_to_move(m: &Machine, job: &str) -> usize {
    let mut jobs: BTreeSet<&str> = BTreeSet::from([job]);
    let mut tasks = 1;
    for p in m.placements.iter().filter(|p| p.present()) {
        jobs.insert(&p.job);
        tasks += 1;
    }
    k::SHARD_MACHINE_BYTES + tasks * k::SHARD_TASK_BYTES + jobs.len() * k::SHARD_JOB_BYTES
}
