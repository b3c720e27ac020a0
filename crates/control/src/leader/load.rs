//! Loads the records that earlier leaders stored.
use super::load_cursor::LoadCursor;
use super::{Leader, Stage};
use crate::api::{describe_result, CallResult, Millis};
use crate::calls::LeaderCall;
use crate::cluster::{JobState, Machine, MachineGroup, Phase, Placement, ResultChunk, StoredState};
use crate::context::LeaderContext;
use crate::records::{
    parse_task_name, MachineGroupRecord, MachineRow, ResultChunkRecord, TaskRow,
    MACHINE_GROUPS_PREFIX, RESULT_CHUNKS_PREFIX,
};
use serde::de::DeserializeOwned;
use stonegw_constants::{RESULT_CHUNK_TASKS, STORE_RETRY_BACKOFF_MS};
use stonegw_wire::msg::{decode, json_size_bytes, Entry, JobSpec, ListPage};

/// Heartbeat intervals for which a new leader waits for heartbeats.
const HEARTBEAT_WAIT_INTERVALS: f64 = 1.25;

/// A machine that was found in a second record.
struct DuplicateMachine {
    id: String,
    /// The group whose record was loaded first.
    first_group: u32,
}

/// The result of loading a page of records: the key after which their listing continues, if any.
struct LoadedPage {
    /// The last key of the page, if the listing has more pages.
    last_key: Option<String>,
}

impl Leader {
    /// Requests the next page, or finishes loading once all pages are read.
    pub(super) fn load_records(&mut self, context: &mut LeaderContext) {
        match &mut self.load_cursor {
            Some(cursor) => request_page(cursor, context),
            None => self.finish_loading(context),
        }
    }

    fn finish_loading(&mut self, context: &mut LeaderContext) {
        // The replica held all jobs when the term began, or the watch brings it up to date. Every
        // job is processed here, so that no change made before now is missed.
        let job_ids: Vec<String> = context.replica.jobs.keys().cloned().collect();
        context.replica.changed_jobs = job_ids;
        let jobs = context.replica.jobs.values();
        for observed in jobs.filter_map(|job| job.record.observed_run_times.as_ref()) {
            self.scheduler
                .state
                .estimates
                .record_estimate_ratio(&observed.class, observed.run_to_estimate_ratio);
        }
        self.apply_job_changes(context);
        self.is_first_leader = self.cluster.machine_groups.is_empty();
        let now = context.now.monotonic_ms;
        let wait_s = context.settings.heartbeat_interval_s * HEARTBEAT_WAIT_INTERVALS;
        let wait_ms = (wait_s * 1e3) as u64;
        self.set_stage(Stage::AwaitingHeartbeats {
            until: self.term_began_at.max(now.saturating_sub(wait_ms)) + wait_ms,
        });
    }

    /// Processes the response to the request for a page.
    pub(super) fn load_records_done(&mut self, context: &mut LeaderContext, result: CallResult) {
        let now = context.now.monotonic_ms;
        let Some(cursor) = &mut self.load_cursor else {
            return;
        };
        cursor.request_in_flight = false;
        cursor.not_before = now + STORE_RETRY_BACKOFF_MS;
        let prefix = cursor.prefix;
        let Ok((200, body)) = result else {
            log::debug!(
                "can't load the records under {prefix}, will retry: {}",
                describe_result(&result)
            );
            return;
        };
        let page = if prefix == MACHINE_GROUPS_PREFIX {
            self.load_page(prefix, &body, |leader, entry| {
                leader.load_machine_group(now, entry);
            })
        } else {
            self.load_page(prefix, &body, |leader, entry| {
                leader.load_result_chunk(context, entry);
            })
        };
        if let (Some(page), Some(cursor)) = (page, &self.load_cursor) {
            self.load_cursor = cursor.next(page.last_key, now);
        }
    }

    /// Loads the entries of one page. Returns `None` if the response can't be decoded.
    fn load_page<V: DeserializeOwned>(
        &mut self,
        prefix: &str,
        body: &[u8],
        mut load_entry: impl FnMut(&mut Leader, Entry<V>),
    ) -> Option<LoadedPage> {
        let page: ListPage<V> = match decode(body) {
            Ok(page) => page,
            Err(error) => {
                log::error!("can't decode the records under {prefix}, will retry: {error}");
                return None;
            }
        };
        let last_key = page.entries.last().map(|entry| entry.key.clone());
        for entry in page.entries {
            load_entry(self, entry);
        }
        Some(LoadedPage {
            last_key: last_key.filter(|_| page.has_more),
        })
    }

    /// Loads the record of a machine group.
    pub(super) fn load_machine_group(&mut self, now: Millis, entry: Entry<MachineGroupRecord>) {
        let number = entry.key.strip_prefix(MACHINE_GROUPS_PREFIX);
        let Some(number) = number.and_then(|number| number.parse().ok()) else {
            return log::error!("unexpected record at {}; ignored", entry.key);
        };
        let record = entry.value;
        let mut group = MachineGroup::new(StoredState::at_revision(entry.revision));
        group.estimated_bytes += json_size_bytes(&record);
        group.jobs = record.jobs.iter().map(|row| row.job.clone()).collect();
        let mut duplicates = vec![];
        for row in &record.machines {
            let id = row.machine.clone();
            match self.load_machine(now, number, &record, row) {
                Some(first_group) => duplicates.push(DuplicateMachine { id, first_group }),
                None => {
                    group.machines.insert(id);
                }
            }
        }
        group.stored_state.stale = true;
        self.cluster.machine_groups.insert(number, group);
        for DuplicateMachine { id, first_group } in duplicates {
            self.cluster
                .resolve_duplicate_machine(now, &id, first_group, number);
        }
    }

    /// Loads a machine and its tasks from the record of the group `number`. If the record of
    /// another group, which was loaded before, already holds the machine, returns the number of
    /// that group. Otherwise the machine joins the group `number`.
    fn load_machine(
        &mut self,
        now: Millis,
        number: u32,
        record: &MachineGroupRecord,
        row: &MachineRow,
    ) -> Option<u32> {
        let id = &row.machine;
        self.cluster.machines.add(id, || {
            Machine::new(id, &row.machine_type, &row.zone, row.is_spot, now)
        });
        let mut machine = self.cluster.machines.edit(id)?;
        machine.loaded_from_store = true;
        for task in &row.tasks {
            let Some(placement) = inherited_placement(record, task) else {
                log::error!(
                    "can't decode a task of {id}: its record does not describe the job; skipped"
                );
                continue;
            };
            // Two records may hold the placement, see `resolve_duplicate_machine`.
            let mut known = machine.placements.iter();
            let is_known = known.any(|other| {
                other.attempt == placement.attempt && other.task_key() == placement.task_key()
            });
            if !is_known {
                machine.placements.push(placement);
            }
        }
        let first_group = machine.machine_group.filter(|first| *first != number);
        if first_group.is_none() {
            machine.machine_group = Some(number);
        }
        first_group
    }

    /// Loads a chunk of a job's results.
    pub(super) fn load_result_chunk(
        &mut self,
        context: &mut LeaderContext,
        entry: Entry<ResultChunkRecord>,
    ) {
        let name = entry.key.strip_prefix(RESULT_CHUNKS_PREFIX);
        let Some((job_id, chunk)) = name.and_then(parse_task_name) else {
            return;
        };
        match context.replica.jobs.get(job_id) {
            Some(job) if job.record.end.is_none() => {
                let Some(spec) = &job.record.spec else { return };
                self.load_results(job_id, spec, job.record.submitted_at_ms, chunk, &entry);
            }
            Some(_) => {
                let stored_state = StoredState::at_revision(entry.revision);
                self.writer.add_garbage(entry.key, stored_state);
            }
            None => self.unmatched_results.push(entry),
        }
    }

    fn load_results(
        &mut self,
        job_id: &str,
        spec: &JobSpec,
        submitted_at_ms: u64,
        chunk: u32,
        entry: &Entry<ResultChunkRecord>,
    ) {
        let job = self
            .cluster
            .jobs
            .entry(job_id.into())
            .or_insert_with(|| JobState::new(spec.clone(), submitted_at_ms));
        let first_task = chunk * RESULT_CHUNK_TASKS;
        if let Err(error) = job.done_tasks.merge(first_task, &entry.value.done_bitmap) {
            log::error!("can't decode the task results at {}: {error}", entry.key);
        }
        let done_tasks = &job.done_tasks;
        job.pending_tasks.retain(|index| !done_tasks.get(*index));
        if job.pending_tasks.is_empty() {
            self.cluster.jobs_to_store.insert(job_id.into());
        }
        job.done_count = job.spec.task_count - job.pending_tasks.len() as u32;
        if job.done_count > 0 {
            job.failures.record_success();
        }
        let stored_state = StoredState::at_revision(entry.revision);
        job.result_chunks
            .insert(chunk, ResultChunk::new(stored_state));
        self.scheduler.state.estimates.inherit_observed_runs(
            job_id,
            entry.value.observed_runs,
            entry.value.mean_run_s,
        );
    }
}

fn request_page(cursor: &mut LoadCursor, context: &mut LeaderContext) {
    let now = context.now.monotonic_ms;
    if cursor.request_in_flight
        || now < cursor.not_before
        || !context.read_budget.try_take(now, 1.0)
    {
        return;
    }
    cursor.request_in_flight = true;
    let prefix = cursor.prefix;
    context.read_store(LeaderCall::LoadRecords { prefix }, cursor.path());
}

/// Returns a placement as an earlier leader stored it; its start command may have been sent.
/// Returns `None` if the record does not describe the placement's job.
fn inherited_placement(record: &MachineGroupRecord, task: &TaskRow) -> Option<Placement> {
    let job = record.jobs.get(task.job)?;
    Some(Placement {
        cpus: job.cpus,
        gpus: job.gpus,
        memory_gb: job.memory_gb,
        team: record.teams.get(job.team).cloned().unwrap_or_default(),
        inherited: true,
        ..Placement::new(&job.job, task.index, task.attempt, Phase::Sent)
    })
}
