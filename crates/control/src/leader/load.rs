//! Loading what predecessors stored.
use super::*;
use stonegw_constants::{LIST_PAGE_ENTRIES, RESULT_CHUNK_TASKS, STORE_RETRY_BACKOFF_MS};

impl Leader {
    pub(super) fn load_records(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        match &mut self.load_cursor {
            Some((prefix, after, asked, retry_at)) => {
                if *asked || now < *retry_at || !context.read_budget.try_take(now, 1.0) {
                    return;
                }
                *asked = true;
                let prefix = *prefix;
                let mut path = format!("/kv?prefix={prefix}&limit={}", LIST_PAGE_ENTRIES);
                if let Some(a) = after {
                    path.push_str(&format!("&since={a}"));
                }
                context.read_store(LeaderCall::LoadRecords { prefix }, path);
            }
            None => {
                // The copy of the jobs was complete when the term began or is caught up by the
                // watch; what changed before we looked is in `changed` or taken here.
                let ids: Vec<String> = context.replica.jobs.keys().cloned().collect();
                context.replica.changed_jobs = ids;
                for seen in context
                    .replica
                    .jobs
                    .values()
                    .filter_map(|j| j.record.observed_run_times.as_ref())
                {
                    self.scheduler
                        .state
                        .estimates
                        .record_estimate_ratio(&seen.class, seen.run_to_estimate_ratio);
                }
                self.apply_job_changes(context);
                self.is_first_leader = self.cluster.machine_groups.is_empty();
                let period = (context.settings.heartbeat_interval_s * 1.25 * 1e3) as u64;
                self.set_stage(Stage::AwaitingHeartbeats {
                    until: self.term_began_at.max(now.saturating_sub(period)) + period,
                });
            }
        }
    }

    pub(super) fn load_records_done(&mut self, context: &mut LeaderContext, result: CallResult) {
        let now = context.now.monotonic_ms;
        let Some((prefix, _, asked, retry_at)) = &mut self.load_cursor else {
            return;
        };
        *asked = false;
        *retry_at = now + STORE_RETRY_BACKOFF_MS;
        let Ok((200, body)) = result else {
            log::debug!("load failed: {}", describe_result(&result));
            return;
        };
        let prefix = *prefix;
        let next = if prefix == MACHINE_GROUPS_PREFIX {
            page::<MachineGroupRecord>(&body).map(|(items, next)| {
                for e in items {
                    self.load_machine_group(now, e);
                }
                next
            })
        } else {
            page::<ResultChunkRecord>(&body).map(|(items, next)| {
                for e in items {
                    self.load_result_chunk(context, e);
                }
                next
            })
        };
        let next = match next {
            Ok(next) => next,
            Err(e) => return log::error!("what is stored under {prefix} is not understood: {e}"),
        };
        self.load_cursor = match next {
            Some(last) => Some((prefix, Some(last), false, now)),
            None if prefix == MACHINE_GROUPS_PREFIX => {
                Some((RESULT_CHUNKS_PREFIX, None, false, now))
            }
            None => None,
        };
    }

    pub(super) fn load_machine_group(&mut self, now: Millis, e: Entry<MachineGroupRecord>) {
        let number = e
            .key
            .strip_prefix(MACHINE_GROUPS_PREFIX)
            .and_then(|n| n.parse().ok());
        let Some(number) = number else {
            return log::error!("unexpected record at {}", e.key);
        };
        let mut shard = MachineGroup::new(StoredState::at_revision(e.revision));
        shard.estimated_bytes += json_size_bytes(&e.value);
        shard.jobs = e.value.jobs.iter().map(|row| row.job.clone()).collect();
        let record = e.value;
        let mut doubles = vec![];
        for row in record.machines {
            let id = row.machine;
            self.cluster.machines.add(&id, || {
                Machine::new(&id, &row.machine_type, &row.zone, row.is_spot, now)
            });
            let Some(mut m) = self.cluster.machines.edit(&id) else {
                continue;
            };
            m.loaded_from_store = true;
            let known = m.machine_group.filter(|n| *n != number);
            for task in row.tasks {
                let Some(job) = record.jobs.get(task.job) else {
                    log::error!("a record of {id} is not understood");
                    continue;
                };
                // Two records may tell of it, see `settle_double`.
                let same = |p: &Placement| {
                    p.attempt == task.attempt && p.index == task.index && p.job == job.job
                };
                if m.placements.iter().any(same) {
                    continue;
                }
                m.placements.push(Placement {
                    cpus: job.cpus,
                    gpus: job.gpus,
                    memory_gb: job.memory_gb,
                    team: record.teams.get(job.team).cloned().unwrap_or_default(),
                    inherited: true,
                    ..Placement::new(&job.job, task.index, task.attempt, Phase::Sent)
                });
            }
            match known {
                Some(first) => {
                    drop(m);
                    doubles.push((id, first));
                }
                None => {
                    m.machine_group = Some(number);
                    shard.machines.insert(id);
                }
            }
        }
        shard.stored_state.stale = true;
        self.cluster.machine_groups.insert(number, shard);
        for (id, first) in doubles {
            self.cluster
                .resolve_duplicate_machine(now, &id, first, number);
        }
    }

    pub(super) fn load_result_chunk(
        &mut self,
        context: &mut LeaderContext,
        e: Entry<ResultChunkRecord>,
    ) {
        let Some((job, chunk)) = e
            .key
            .strip_prefix(RESULT_CHUNKS_PREFIX)
            .and_then(parse_task_name)
        else {
            return;
        };
        let known = context.replica.jobs.get(job);
        match known {
            Some(j) if j.record.end.is_none() => {
                let Some(spec) = &j.record.spec else { return };
                let at = j.record.submitted_at_ms;
                let work = self
                    .cluster
                    .jobs
                    .entry(job.into())
                    .or_insert_with(|| JobState::new(spec.clone(), at));
                if let Err(why) = work
                    .done_tasks
                    .merge(chunk * RESULT_CHUNK_TASKS, &e.value.done_bitmap)
                {
                    log::error!("results of {} not understood: {why}", e.key);
                }
                let done = &work.done_tasks;
                work.pending_tasks.retain(|n| !done.get(*n));
                if work.pending_tasks.is_empty() {
                    self.cluster.jobs_to_store.insert(job.into());
                }
                work.done_count = work.spec.task_count - work.pending_tasks.len() as u32;
                if work.done_count > 0 {
                    work.failures.record_success();
                }
                let stored = StoredState::at_revision(e.revision);
                work.result_chunks.insert(chunk, ResultChunk::new(stored));
                self.scheduler.state.estimates.inherit_observed_runs(
                    job,
                    e.value.observed_runs,
                    e.value.mean_run_s,
                );
            }
            Some(_) => self
                .garbage_records
                .push((e.key, StoredState::at_revision(e.revision))),
            None => self.unmatched_results.push(e),
        }
    }
}
