//! The leader: loads what its predecessors stored, hears the workers, writes ahead, commands.
//!
//! The two rules everything here serves: a `run` goes out only after its placement is stored
//! under our term, and a task moves only when it is proven gone.
use crate::api::{describe_result, CallError, CallResult, Millis, Target};
use crate::autoscaler::{Autoscaler, AutoscalerTurn};
use crate::calls::LeaderCall;
use crate::cluster::{
    is_present_phase, machine_group_record, pending_write_key, reported_phase, ClusterState,
    JobState, Lifecycle, Machine, MachineGroup, Machines, PendingWrite, Phase, Placement,
    PlacementRef, Reachability, ResultChunk, StoredState, TerminationEvidence,
};
use crate::context::LeaderContext;
use crate::records::{
    job_key, machine_group_key, parse_task_name, result_chunk_key, JobEnd, JobRecord,
    MachineGroupRecord, ResultChunkRecord, StoredRecord, LEADER_KEY, MACHINE_GROUPS_PREFIX,
    RESULT_CHUNKS_PREFIX,
};
use crate::scheduling::gang_lifecycle::GangLifecycle;
use crate::scheduling::scheduler::Scheduler;
use crate::settings::Settings;
use crate::store_limits::TransactionSize;
use rand::{rngs::SmallRng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_constants::{
    LEADER_RENEW_INTERVAL_MS, SILENCE_CHECK_INTERVAL_MS, STORE_TIMEOUT_MS, SUMMARY_LOG_INTERVAL_MS,
};
use stonegw_wire::frame::{self, TaskCounts};
use stonegw_wire::msg::{
    decode, encode, json_size_bytes, Catalog, Command, CommandBatch, Condition, Entry, ExitCause,
    Heartbeat, JobKind, Priority, TaskStatus, Txn, TxnResponse, Write,
};

mod commit;
mod commit_results;
mod direct_commands;
#[cfg(test)]
mod fixture_tests;
mod heartbeats;
mod jobs;
mod listing_page;
mod load;
mod machine_group_records;
#[cfg(test)]
mod machine_group_split_tests;
mod machine_health;
mod results;
mod resume;
mod revision_reads;
mod summary;
mod task_failures;
mod transaction_builder;

use listing_page::page;

/// How far the leader has come since it began.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Reading what is stored.
    Loading,
    /// Hearing the workers for one report period.
    AwaitingHeartbeats {
        until: Millis,
    },
    Active,
}

/// The leader of one term.
pub struct Leader {
    pub term: u64,
    pub lease: u64,
    pub deposed: bool,
    /// Deposed of its own will: the lease is to be ended.
    pub resigned: bool,
    /// When the last renewal that succeeded was sent.
    lease_renewed_at: Millis,
    last_renewal_sent_at: Millis,
    pub stage: Stage,
    pub term_began_at: Millis,
    next_machine_check_at: Millis,
    next_renewal_at: Millis,
    renewal_in_flight: bool,
    load_cursor: Option<(&'static str, Option<String>, bool, Millis)>,
    /// The machines, placements and jobs.
    pub cluster: ClusterState,
    /// For waits that are spread by chance.
    rng: SmallRng,
    /// Whose results are looked at first, since the last transaction had no room for them.
    next_results_job: String,
    /// What was written without an answer: its stamp is read before it is written again.
    unacknowledged_writes: Vec<PendingWrite>,
    commit_in_flight: bool,
    next_commit_at: Millis,
    /// When placements that are not urgent may go out again, and what only tidies up.
    next_batch_at: Millis,
    collect_garbage_at: Millis,
    next_summary_at: Millis,
    /// Until when zones are taken as cut off, and most machines' silence as our own trouble.
    zones_partitioned_until: BTreeMap<String, Millis>,
    mass_silence_until: Millis,
    mass_unreachable_until: Millis,
    /// `d/` records of jobs that have ended.
    garbage_records: Vec<(String, StoredState)>,
    /// `d/` records of jobs that our copy does not show yet.
    unmatched_results: Vec<Entry<ResultChunkRecord>>,
    revision_read_in_flight: bool,
    pub scheduler: Scheduler,
    pub autoscaler: Autoscaler,
    /// Nothing was placed before us.
    pub is_first_leader: bool,
}

impl Leader {
    /// A leader that has loaded nothing yet. `leased_at`: when its lease was asked for.
    pub fn new(
        term: u64,
        lease: u64,
        now: Millis,
        leased_at: Millis,
        catalog: Catalog,
        settings: &Settings,
    ) -> Leader {
        Leader {
            term,
            lease,
            deposed: false,
            resigned: false,
            lease_renewed_at: leased_at,
            last_renewal_sent_at: leased_at,
            stage: Stage::Loading,
            term_began_at: now,
            next_machine_check_at: 0,
            next_renewal_at: now,
            renewal_in_flight: false,
            load_cursor: Some((MACHINE_GROUPS_PREFIX, None, false, now)),
            rng: SmallRng::seed_from_u64(term),
            cluster: ClusterState::new(term, now, catalog, settings.max_value_bytes),
            next_results_job: String::new(),
            unacknowledged_writes: vec![],
            commit_in_flight: false,
            next_commit_at: 0,
            next_batch_at: 0,
            collect_garbage_at: 0,
            next_summary_at: 0,
            zones_partitioned_until: BTreeMap::new(),
            mass_silence_until: 0,
            mass_unreachable_until: 0,
            garbage_records: vec![],
            unmatched_results: vec![],
            revision_read_in_flight: false,
            scheduler: Scheduler::default(),
            autoscaler: Autoscaler::new(term, now),
            is_first_leader: false,
        }
    }

    fn set_stage(&mut self, to: Stage) {
        log::info!("term {}: {:?} -> {:?}", self.term, self.stage, to);
        self.stage = to;
    }

    /// What goes on by itself, once a turn.
    pub fn advance(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        self.cluster.now_ms = now;
        self.cluster
            .lower_max_value_bytes(context.store_limits.max_value_bytes());
        if now >= self.next_renewal_at && !self.renewal_in_flight {
            self.renewal_in_flight = true;
            self.last_renewal_sent_at = now;
            self.next_renewal_at = now + LEADER_RENEW_INTERVAL_MS;
            context.read_budget.take_unconditionally(now, 1.0);
            let path = format!("/grants/{}/touch", self.lease);
            let wait = STORE_TIMEOUT_MS;
            let call = LeaderCall::RenewLease { sent_at: now };
            context.send_call(call, Target::Store, "POST", path, vec![], wait);
        }
        // After a pause another may lead: neither a command nor a write nor a rental goes out.
        if !context.leadership_confirmed {
            return;
        }
        match self.stage {
            Stage::Loading => self.load_records(context),
            Stage::AwaitingHeartbeats { until } if now >= until => {
                self.set_stage(Stage::Active);
                self.cluster.scheduling_needed = true;
                // What was late before our time tells nothing of the present load.
                for w in self.cluster.jobs.values_mut() {
                    w.deadline_missed = w
                        .seconds_to_deadline(context.now.wall_ms)
                        .is_some_and(|d| d <= 0.0);
                }
            }
            Stage::AwaitingHeartbeats { .. } | Stage::Active => {}
        }
        if self.stage == Stage::Loading {
            return;
        }
        self.apply_job_changes(context);
        self.apply_relayed_heartbeats(context);
        if now >= self.next_machine_check_at {
            self.next_machine_check_at = now + SILENCE_CHECK_INTERVAL_MS;
            self.check_machines(context);
            self.probe_unreachable_machines(context);
        }
        GangLifecycle::new(&mut self.cluster).advance_gangs(context);
        if self.stage == Stage::Active {
            self.scheduler.schedule(&mut self.cluster, context);
            if now >= self.next_summary_at {
                self.next_summary_at = now + SUMMARY_LOG_INTERVAL_MS;
                self.log_summary(context);
            }
        }
        // A request to the cloud can be carried out late, after another leader has made its own
        // plans: so none without a lease that surely holds.
        if (self.stage == Stage::Active || self.is_first_leader) && self.lease_is_valid(context) {
            self.autoscaler_turn().run(context);
        }
        self.commit(context);
        self.send_direct_commands(context);
    }

    /// One turn of the autoscaler on the present state.
    fn autoscaler_turn(&mut self) -> AutoscalerTurn<'_> {
        AutoscalerTurn {
            autoscaler: &mut self.autoscaler,
            cluster: &mut self.cluster,
            estimates: &mut self.scheduler.state.estimates,
            is_active: self.stage == Stage::Active,
            is_first_leader: self.is_first_leader,
            term_began_at: self.term_began_at,
        }
    }

    /// Our lease surely holds: no other can lead yet.
    pub fn lease_is_valid(&self, context: &LeaderContext) -> bool {
        context.now.monotonic_ms
            < self.lease_renewed_at + context.settings.tuning.leader_lease_ttl_ms
    }

    /// Reports that came through the state service.
    fn apply_relayed_heartbeats(&mut self, context: &mut LeaderContext) {
        for report in std::mem::take(&mut context.replica.relayed_heartbeats) {
            if report.fencing_token > self.term {
                self.deposed = true;
                return;
            }
            // Without our token it may be as old as the record, and shows only that the machine was
            // there; after a change of leader a cut zone has no other way to tell even that.
            let id = report.machine_id.clone();
            if self.apply_heartbeat(context, report, false) {
                if let Some(mut m) = self.cluster.machines.edit(&id) {
                    m.via_store = true;
                }
                self.process_exits(context, &id);
            }
        }
    }

    /// Takes the answer to one of its calls.
    pub fn call_done(&mut self, context: &mut LeaderContext, call: LeaderCall, result: CallResult) {
        match call {
            LeaderCall::RenewLease { sent_at: sent } => {
                // The answer to an earlier try leaves the present one open.
                self.renewal_in_flight &= sent != self.last_renewal_sent_at;
                if let Ok((200, _)) = result {
                    self.lease_renewed_at = self.lease_renewed_at.max(sent);
                }
                if let Ok((404, _)) = result {
                    log::warn!("term {}: the lease is gone", self.term);
                    self.deposed = true;
                }
            }
            LeaderCall::LoadRecords { .. } => self.load_records_done(context, result),
            LeaderCall::Commit {
                writes: items,
                size,
            } => self.commit_done(context, items, size, result),
            LeaderCall::ReadRevision { write: item } => {
                self.read_revision_done(context, item, result)
            }
            LeaderCall::DirectCommand {
                machine,
                incarnation: session,
                started_attempts: runs,
            } => {
                self.direct_command_done(context, &machine, session, runs, result);
            }
            LeaderCall::Probe { machine } => self.probe_done(context, &machine, result),
            LeaderCall::Autoscaler(c) => self.autoscaler_turn().cloud_call_done(context, c, result),
        }
    }
}
