//! The leader of one term: it loads what its predecessors stored, processes the workers'
//! heartbeats, stores its decisions and sends the commands that follow from them.
//!
//! Two rules keep a task from running twice: a start command is sent only after the placement is
//! stored under the leader's own term, and a task is placed again only after its last attempt is
//! proven to have terminated.
use crate::api::{CallResult, Millis};
use crate::autoscaler::{Autoscaler, AutoscalerTurn};
use crate::calls::LeaderCall;
use crate::cluster::{ClusterState, HeartbeatKind};
use crate::context::LeaderContext;
use crate::records::ResultChunkRecord;
use crate::scheduling::gang_lifecycle::GangLifecycle;
use crate::scheduling::scheduler::Scheduler;
use crate::settings::Settings;
use lease_renewal::{LeaseRenewal, LeaseStatus};
use load_cursor::LoadCursor;
use outage_detector::OutageDetector;
use rand::{rngs::SmallRng, SeedableRng};
use record_writer::RecordWriter;
use stonegw_constants::{SILENCE_CHECK_INTERVAL_MS, SUMMARY_LOG_INTERVAL_MS};
use stonegw_wire::msg::{Catalog, Entry};

mod commands;
mod commit;
mod commit_results;
mod direct_commands;
mod exits;
#[cfg(test)]
mod fixture_tests;
mod heartbeats;
mod jobs;
mod lease_renewal;
mod load;
mod load_cursor;
mod machine_group_records;
#[cfg(test)]
mod machine_group_split_tests;
mod machine_health;
mod outage_detector;
mod probes;
mod reconciliation;
mod record_writer;
mod results;
mod resume;
mod revision_reads;
mod summary;
mod task_failures;
mod transaction_builder;

/// The stages that a leader goes through in its term.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The leader reads the stored records.
    Loading,
    /// The leader waits until 1.25 heartbeat intervals of its term have passed, so that every
    /// worker can report its tasks.
    AwaitingHeartbeats {
        /// When the wait ends.
        until: Millis,
    },
    /// The leader places tasks.
    Active,
}

/// The leader of one term.
pub struct Leader {
    /// The term: the revision that the leader key got when this leader was elected. All commands
    /// carry a fencing token of this term.
    pub term: u64,
    /// The highest fencing token that a worker has shown to this leader.
    pub highest_observed_token: u64,
    /// The id of the lease that the leader key is attached to.
    pub lease: u64,
    /// Whether this leader's term has ended, or the leader must stop leading. The node then drops
    /// the leader.
    pub deposed: bool,
    /// Whether the leader was deposed by its own decision. The node then revokes the leader's
    /// lease.
    pub resigned: bool,
    /// The stage reached in this term.
    pub stage: Stage,
    /// When the term began.
    pub term_began_at: Millis,
    /// The machines, placements and jobs.
    pub cluster: ClusterState,
    /// The component that decides which task is placed on which machine.
    pub scheduler: Scheduler,
    /// The component that decides how many machines of each offer the cluster should have.
    pub autoscaler: Autoscaler,
    /// Whether no placements of earlier leaders were stored when this leader loaded the records.
    pub is_first_leader: bool,
    lease_renewal: LeaseRenewal,
    /// The next page of records to load; `None` once all are loaded.
    load_cursor: Option<LoadCursor>,
    /// Result chunks of jobs that the replica does not hold yet.
    unmatched_results: Vec<Entry<ResultChunkRecord>>,
    writer: RecordWriter,
    outages: OutageDetector,
    next_machine_check_at: Millis,
    next_summary_at: Millis,
    /// The random number generator for the jitter of retry backoffs.
    rng: SmallRng,
}

impl Leader {
    /// Creates a leader that has loaded nothing yet. `leased_at` is when its lease was requested.
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
            highest_observed_token: 0,
            lease,
            deposed: false,
            resigned: false,
            stage: Stage::Loading,
            term_began_at: now,
            cluster: ClusterState::new(term, now, catalog, settings.max_value_bytes),
            scheduler: Scheduler::default(),
            autoscaler: Autoscaler::new(term, now),
            is_first_leader: false,
            lease_renewal: LeaseRenewal::new(leased_at, now),
            load_cursor: Some(LoadCursor::at_machine_groups(now)),
            unmatched_results: vec![],
            writer: RecordWriter::default(),
            outages: OutageDetector::default(),
            next_machine_check_at: 0,
            next_summary_at: 0,
            rng: SmallRng::seed_from_u64(term),
        }
    }

    fn set_stage(&mut self, to: Stage) {
        log::info!("term {}: {:?} -> {:?}", self.term, self.stage, to);
        self.stage = to;
    }

    /// Runs one turn: does everything that is due.
    pub fn advance(&mut self, context: &mut LeaderContext) {
        self.cluster.now_ms = context.now.monotonic_ms;
        self.cluster
            .lower_max_value_bytes(context.store_limits.max_value_bytes());
        self.lease_renewal.send_if_due(context, self.lease);
        // After a pause of this process another node may lead. Until this node's leadership is
        // confirmed, the leader sends no command, no write and no request to the cloud.
        if !context.leadership_confirmed {
            return;
        }
        self.advance_stage(context);
        if self.stage == Stage::Loading {
            return;
        }
        self.apply_job_changes(context);
        self.apply_relayed_heartbeats(context);
        self.check_machines_if_due(context);
        GangLifecycle::new(&mut self.cluster).advance_gangs(context);
        if self.stage == Stage::Active {
            self.scheduler.schedule(&mut self.cluster, context);
            self.log_summary_if_due(context);
        }
        // The cloud may carry out a request late, when another leader has already made its own
        // plans. Requests are therefore sent only while the lease is certain to be valid.
        let may_scale = self.stage == Stage::Active || self.is_first_leader;
        if may_scale && self.lease_is_valid(context) {
            self.autoscaler_turn().run(context);
        }
        self.commit(context);
        self.send_direct_commands(context);
    }

    fn advance_stage(&mut self, context: &mut LeaderContext) {
        match self.stage {
            Stage::Loading => self.load_records(context),
            // A leader starts a task only with a fencing token that its replica has read, because it
            // then knows all cancellations that are older than the token.
            Stage::AwaitingHeartbeats { until }
                if context.now.monotonic_ms >= until && context.replica.revision >= self.term =>
            {
                self.set_stage(Stage::Active);
                self.cluster.scheduling_needed = true;
                // Deadlines missed before the leader became active say nothing about the present
                // load. Marking them as missed here keeps the pruner from counting them.
                for job in self.cluster.jobs.values_mut() {
                    job.deadline_missed = job.is_past_deadline(context.now.wall_ms);
                }
            }
            Stage::AwaitingHeartbeats { .. } | Stage::Active => {}
        }
    }

    fn check_machines_if_due(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        if now >= self.next_machine_check_at {
            self.next_machine_check_at = now + SILENCE_CHECK_INTERVAL_MS;
            self.check_machines(context);
            self.probe_unreachable_machines(context);
        }
    }

    fn log_summary_if_due(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        if now >= self.next_summary_at {
            self.next_summary_at = now + SUMMARY_LOG_INTERVAL_MS;
            self.log_summary(context);
        }
    }

    /// Returns a turn of the autoscaler on the present state.
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

    /// Returns `true` if this leader's lease is certain to be valid, so that no other node can lead
    /// yet.
    pub fn lease_is_valid(&self, context: &LeaderContext) -> bool {
        self.lease_renewal.is_valid(context)
    }

    /// Records a fencing token that a worker has seen. Returns `false` if it belongs to a later term
    /// or to one that the replica has not read: another node may lead.
    fn observe_token(&mut self, context: &LeaderContext, token: u64) -> bool {
        self.highest_observed_token = self.highest_observed_token.max(token);
        token <= self.term || context.replica.is_token_of_term(token, self.term)
    }

    /// Processes the heartbeats that other nodes relayed through the store.
    fn apply_relayed_heartbeats(&mut self, context: &mut LeaderContext) {
        for heartbeat in std::mem::take(&mut context.replica.relayed_heartbeats) {
            if !self.observe_token(context, heartbeat.fencing_token) {
                continue;
            }
            // Without this term's fencing token a heartbeat may be as old as the record that
            // relayed it, and shows only that the machine existed. It is still applied: after a
            // failover, the machines of a partitioned zone have no other way to show that they
            // exist.
            if self.apply_heartbeat(context, &heartbeat, HeartbeatKind::Unanswered) {
                let machine_id = heartbeat.machine_id.as_str();
                if let Some(mut machine) = self.cluster.machines.edit(machine_id) {
                    machine.via_store = true;
                }
                self.process_exits(context, machine_id);
            }
        }
    }

    /// Processes the result of one of the leader's calls.
    pub fn call_done(&mut self, context: &mut LeaderContext, call: LeaderCall, result: CallResult) {
        match call {
            LeaderCall::RenewLease { sent_at } => self.renew_lease_done(sent_at, &result),
            LeaderCall::LoadRecords { .. } => self.load_records_done(context, result),
            LeaderCall::Commit { writes, size } => self.commit_done(context, writes, size, result),
            LeaderCall::ReadRevision { write } => self.read_revision_done(context, write, result),
            LeaderCall::DirectCommand(command) => {
                self.direct_command_done(context, &command, result);
            }
            LeaderCall::Probe { machine } => self.probe_done(context, &machine, result),
            LeaderCall::Autoscaler(call) => {
                self.autoscaler_turn()
                    .cloud_call_done(context, call, result);
            }
        }
    }

    fn renew_lease_done(&mut self, sent_at: Millis, result: &CallResult) {
        if self.lease_renewal.done(sent_at, result) == LeaseStatus::Expired {
            log::warn!(
                "term {}: the leader lease has expired; stepping down",
                self.term
            );
            self.deposed = true;
        }
    }
}
