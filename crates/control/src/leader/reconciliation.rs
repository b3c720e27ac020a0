//! Reconciles the leader's placements with the tasks in a machine's newest heartbeat.
use super::Leader;
use crate::api::Millis;
use crate::cluster::{
    reported_phase, GroupCapacity, HeartbeatKind, Machine, Phase, Placement, TaskKey,
};
use crate::context::LeaderContext;
use crate::records::parse_task_name;
use stonegw_wire::msg::TaskStatus;

/// A reported task for which the leader has no placement.
struct UnknownTask {
    key: TaskKey,
    attempt: u64,
    phase: Phase,
}

/// The findings from the tasks in one heartbeat.
#[derive(Default)]
struct Reconciliation {
    /// For each placement of the machine, whether the heartbeat reports it.
    reported: Vec<bool>,
    unknown_tasks: Vec<UnknownTask>,
    /// Tasks that are proven to have terminated, because the heartbeat does not report them.
    absent_tasks: Vec<TaskKey>,
    /// Whether a command in a heartbeat's reply took effect.
    commands_delivered: bool,
    /// Whether a command in a heartbeat's reply had no effect.
    commands_undelivered: bool,
}

impl Reconciliation {
    /// Applies the phases that the heartbeat reports to the placements.
    fn apply_reported_tasks(
        &mut self,
        machine: &mut Machine,
        tasks: &[TaskStatus],
        kind: HeartbeatKind,
        now: Millis,
    ) {
        self.reported = vec![false; machine.placements.len()];
        for status in tasks {
            let Some((job_id, index)) = parse_task_name(&status.task_id) else {
                log::warn!(
                    "machine {} reports a task with an invalid name, ignored: {:?}",
                    machine.id,
                    status.task_id
                );
                continue;
            };
            let phase = reported_phase(status);
            let position = machine.placements.iter().position(|placement| {
                placement.attempt == status.attempt
                    && placement.index == index
                    && placement.job == job_id
            });
            let Some(position) = position else {
                let job = job_id.to_owned();
                self.unknown_tasks.push(UnknownTask {
                    key: TaskKey { job, index },
                    attempt: status.attempt,
                    phase,
                });
                continue;
            };
            self.reported[position] = true;
            self.apply_phase(&mut machine.placements[position], phase, kind, now);
        }
    }

    fn apply_phase(
        &mut self,
        placement: &mut Placement,
        phase: Phase,
        kind: HeartbeatKind,
        now: Millis,
    ) {
        if !placement.is_present() {
            self.commands_undelivered |= placement.forget_sent && kind == HeartbeatKind::Answered;
            return;
        }
        self.commands_delivered |= placement.phase == Phase::Sent && placement.sent_sequence > 0;
        if phase == Phase::Running && placement.running_at.is_none() {
            // For an inherited task this is not the start of its run, which is unknown.
            placement.running_at = Some(now);
        }
        placement.set_phase(phase);
    }

    /// Removes placements whose absence from the heartbeat proves that they no longer run. Absence
    /// proves this only if the worker has seen this term: commands of earlier leaders can then no
    /// longer start anything.
    fn remove_absent(&mut self, machine: &mut Machine, kind: HeartbeatKind) {
        if !machine.under_current_term {
            return;
        }
        let heartbeat = AbsenceEvidence {
            is_answered: kind == HeartbeatKind::Answered,
            sequence: machine.sequence,
            may_start_late: machine.commands.may_deliver_late(),
        };
        let mut position = 0;
        machine.placements.retain(|placement| {
            let is_reported = self.reported[position];
            position += 1;
            if is_reported {
                return true;
            }
            if placement.phase == Phase::Sent
                && placement.sent_sequence > 0
                && heartbeat.is_answered
            {
                self.commands_undelivered |= heartbeat.follows_start(placement);
            }
            let remove = heartbeat.proves_termination(placement);
            self.commands_delivered |= remove && placement.forget_sent;
            // Tasks that had exited were already requeued, where necessary, when their exit was
            // processed.
            if remove && placement.is_present() {
                self.absent_tasks.push(placement.task_key());
            }
            !remove
        });
    }

    fn update_reachability(&self, machine: &mut Machine, now: Millis) {
        if self.commands_delivered {
            machine.commands.record_delivered(&machine.id);
        } else if self.commands_undelivered {
            machine.commands.record_undelivered(&machine.id, now);
        }
    }
}

/// What a heartbeat sent under this term proves about placements that it does not report.
struct AbsenceEvidence {
    is_answered: bool,
    sequence: u64,
    /// Whether a direct start command may still arrive.
    may_start_late: bool,
}

impl AbsenceEvidence {
    /// Returns `true` if the worker sent this heartbeat after the one whose reply carried the start
    /// command.
    fn follows_start(&self, placement: &Placement) -> bool {
        self.sequence > placement.sent_sequence
    }

    fn proves_termination(&self, placement: &Placement) -> bool {
        // A start command of this leader may be in flight: in a direct command without a response,
        // or in the reply to a heartbeat that is no older than this one.
        let no_start_in_flight =
            self.is_answered && !self.may_start_late && self.follows_start(placement);
        match placement.phase {
            Phase::Unstored | Phase::Stored | Phase::Startable => false,
            Phase::Exited { outcome_stored, .. } => {
                outcome_stored && placement.forget_sent && self.is_answered
            }
            _ if placement.inherited => true,
            Phase::Sent => placement.stop_grace_s.is_some() && no_start_in_flight,
            _ => no_start_in_flight,
        }
    }
}

impl Leader {
    /// Reconciles the placements of a machine with the tasks in its newest heartbeat.
    pub(super) fn reconcile_tasks(
        &mut self,
        context: &mut LeaderContext,
        machine_id: &str,
        tasks: &[TaskStatus],
        kind: HeartbeatKind,
    ) {
        let now = context.now.monotonic_ms;
        let Some(mut machine) = self.cluster.machines.edit(machine_id) else {
            return;
        };
        let mut reconciliation = Reconciliation::default();
        reconciliation.apply_reported_tasks(&mut machine, tasks, kind, now);
        reconciliation.remove_absent(&mut machine, kind);
        reconciliation.update_reachability(&mut machine, now);
        drop(machine);
        if !reconciliation.absent_tasks.is_empty() {
            self.cluster.mark_group_stale(machine_id);
        }
        self.cluster.requeue_tasks(reconciliation.absent_tasks);
        for task in reconciliation.unknown_tasks {
            self.adopt_unknown_task(context, machine_id, &task);
        }
    }

    /// Adopts a reported task for which the leader has no placement. The new placement counts
    /// towards limits and capacity until the task is proven to have terminated.
    fn adopt_unknown_task(
        &mut self,
        context: &mut LeaderContext,
        machine_id: &str,
        task: &UnknownTask,
    ) {
        let now = context.now.monotonic_ms;
        let UnknownTask {
            key,
            attempt,
            phase,
        } = task;
        let (job_id, index) = (key.job.as_str(), key.index);
        let is_present = phase.is_present();
        if is_present {
            log::warn!("adopting unknown task {job_id}/{index}#{attempt} on machine {machine_id}");
        }
        let replicated_job = context.replica.jobs.get(job_id);
        let spec = replicated_job.and_then(|job| job.record.spec.as_ref());
        let is_wanted = !self.cluster.machines.is_present(job_id, index)
            && self.cluster.jobs.contains_key(job_id);
        // A task that has exited needs no record.
        let group = is_present
            .then(|| {
                let capacity = GroupCapacity::Ignored;
                self.cluster
                    .assign_machine_group(machine_id, job_id, capacity)
            })
            .flatten();
        let Some(mut machine) = self.cluster.machines.edit(machine_id) else {
            return;
        };
        let placement = Placement {
            inherited: true,
            stop_grace_s: (!is_wanted).then_some(0.0),
            running_at: Some(now),
            ..Placement::new(job_id, index, *attempt, *phase)
        };
        machine.placements.push(match spec {
            Some(spec) => placement.with_requirements(spec),
            None => placement,
        });
        if !is_present {
            return;
        }
        machine.machine_group = group;
        drop(machine);
        let group = group.and_then(|number| self.cluster.machine_groups.get_mut(&number));
        if let Some(group) = group {
            group.add_task(now, job_id);
        }
        if let Some(job) = self.cluster.jobs.get_mut(job_id) {
            job.remove_pending(index);
            self.cluster.dequeue(job_id, index);
        }
    }
}
