//! Declares machines lost that have been silent or unreachable for too long, and withdraws
//! placements that must not start any more.
use super::outage_detector::{HealthCounts, OutageDetector};
use super::{Leader, Stage};
use crate::api::Millis;
use crate::cluster::{Lifecycle, Machine, Placement, Reachability, WithdrawScope};
use crate::context::LeaderContext;
use crate::settings::Settings;
use stonegw_constants::{
    DELETED_MACHINE_RETENTION_MS, LOST_LEASE_MULTIPLE, LOST_URGENT_MARGIN_MS,
    RESIGNATION_SILENCE_MS, WORKER_ATTEMPT_TIMEOUT_MS,
};

/// Factor by which timeouts are longer during an outage of many machines.
const OUTAGE_TIMEOUT_MULTIPLE: u64 = 3;
/// Heartbeat intervals after which a heartbeat is late.
const LATE_HEARTBEAT_INTERVALS: f64 = 1.25;
/// Time in ms after the announced time of an eviction. Once it has passed, the cloud has certainly
/// evicted the machine.
const EVICTION_MARGIN_MS: Millis = 2_000;
/// Number of the cloud's listings that must lack a silent machine before it counts as deleted.
const LOST_ABSENT_LISTINGS: u32 = 2;

/// The timeouts after which silent or unreachable machines are declared lost.
struct LossTimeouts {
    silence_ms: Millis,
    /// The silence timeout of machines with urgent tasks or tasks of a gang.
    urgent_silence_ms: Millis,
    /// The silence timeout of machines in a partitioned zone.
    partitioned_silence_ms: Millis,
    unreachable_ms: Millis,
    /// Whether `urgent_silence_ms` applies: few machines are silent or no mass silence is recorded,
    /// so the fault may be the machine's own. Urgent tasks then need not wait for the longer
    /// timeout.
    urgent_timeout_applies: bool,
}

impl LossTimeouts {
    fn new(
        settings: &Settings,
        outages: &OutageDetector,
        counts: &HealthCounts,
        now: Millis,
    ) -> LossTimeouts {
        let lease_ms = (settings.worker_lease_s * 1e3) as u64;
        let normal_ms = (settings.worker_lease_s * LOST_LEASE_MULTIPLE * 1e3) as u64;
        let late_ms = (settings.heartbeat_interval_s * LATE_HEARTBEAT_INTERVALS * 1e3) as u64;
        let urgent_ms = late_ms + 2 * WORKER_ATTEMPT_TIMEOUT_MS + LOST_URGENT_MARGIN_MS;
        let mass_silence = outages.is_mass_silence(now);
        let silence_ms = if mass_silence {
            normal_ms * OUTAGE_TIMEOUT_MULTIPLE
        } else {
            normal_ms
        };
        // An unreachable machine is of no use, and by the end of its worker's lease nothing runs on
        // it any more.
        let unreachable_ms = if outages.is_mass_unreachability(now) {
            lease_ms * OUTAGE_TIMEOUT_MULTIPLE
        } else {
            lease_ms
        };
        LossTimeouts {
            silence_ms,
            urgent_silence_ms: urgent_ms.min(normal_ms),
            partitioned_silence_ms: silence_ms.max(lease_ms * OUTAGE_TIMEOUT_MULTIPLE),
            unreachable_ms,
            urgent_timeout_applies: counts.few_are_silent() || !mass_silence,
        }
    }
}

/// The result of checking all machines.
#[derive(Default)]
struct CheckResult {
    /// Machines to declare lost.
    lost: Vec<String>,
    /// Placements to withdraw.
    withdrawals: Vec<Withdrawal>,
}

/// Placements to withdraw from one machine.
struct Withdrawal {
    machine_id: String,
    scope: WithdrawScope,
}

impl Leader {
    /// Declares machines lost that have been silent or unreachable for too long, and withdraws
    /// placements that must not start any more. Resigns if no machine sends heartbeats to this
    /// node.
    pub(super) fn check_machines(&mut self, context: &LeaderContext) {
        let now = context.now.monotonic_ms;
        let settings = context.settings;
        let may_declare_lost = self.stage == Stage::Active && self.lease_is_valid(context);
        let interval_s = settings.heartbeat_interval_s;
        let counts = HealthCounts::of_machines(&self.cluster.machines, now, interval_s);
        // A worker tries one node after another. By the end of the assumed outage, every worker
        // should have found a node that responds.
        let outage_until = now
            + WORKER_ATTEMPT_TIMEOUT_MS * (settings.peers.len() as u64 + 1)
            + (interval_s * 1e3) as u64;
        if may_declare_lost {
            self.outages.record_outage(&counts, outage_until);
            if counts.all.total > 1 && context.may_resign && self.all_machines_are_silent(now) {
                return self.resign();
            }
        }
        self.outages.record_zone_partitions(&counts, outage_until);
        let timeouts = LossTimeouts::new(settings, &self.outages, &counts, now);
        let result = self.check_each_machine(now, interval_s, may_declare_lost, &timeouts);
        for machine_id in result.lost {
            // The deletion of the machine will prove that nothing on it runs any more.
            if let Some(mut machine) = self.cluster.machines.edit(&machine_id) {
                machine.set_lifecycle(Lifecycle::Terminating);
            }
        }
        for withdrawal in result.withdrawals {
            let Withdrawal { machine_id, scope } = withdrawal;
            self.cluster.withdraw_unsent(&machine_id, scope);
        }
        self.cluster
            .deleted_machines
            .retain(|_, deleted_at| now < *deleted_at + DELETED_MACHINE_RETENTION_MS);
    }

    /// Returns `true` if all machines have been silent for so long that the fault must be this
    /// node's.
    fn all_machines_are_silent(&self, now: Millis) -> bool {
        let machines = self.cluster.machines.values();
        let last_heartbeat_at = machines
            .filter_map(|machine| machine.last_heartbeat_at)
            .max();
        last_heartbeat_at
            .is_some_and(|at| now > at.max(self.term_began_at) + RESIGNATION_SILENCE_MS)
    }

    fn resign(&mut self) {
        log::warn!("term {}: no heartbeats arrive; resigning", self.term);
        self.resigned = true;
        self.deposed = true;
    }

    fn check_each_machine(
        &self,
        now: Millis,
        heartbeat_interval_s: f64,
        may_declare_lost: bool,
        timeouts: &LossTimeouts,
    ) -> CheckResult {
        let mut result = CheckResult::default();
        for machine in self.cluster.machines.values() {
            let is_silent = machine.is_silent(now, heartbeat_interval_s);
            if may_declare_lost && self.is_lost(machine, is_silent, now, timeouts) {
                result.lost.push(machine.id.clone());
            }
            if let Some(scope) = self.withdraw_scope(machine, is_silent) {
                let machine_id = machine.id.clone();
                result.withdrawals.push(Withdrawal { machine_id, scope });
            }
        }
        result
    }

    fn is_lost(
        &self,
        machine: &Machine,
        is_silent: bool,
        now: Millis,
        timeouts: &LossTimeouts,
    ) -> bool {
        let was_in_use = machine.last_heartbeat_at.is_some() || !machine.placements.is_empty();
        if machine.lifecycle == Lifecycle::Terminating || !was_in_use {
            return false;
        }
        let silent_since = machine.last_heartbeat_at.unwrap_or(machine.known_since);
        let silence_ms = now.saturating_sub(silent_since);
        let was_evicted = machine
            .eviction_at
            .is_some_and(|at| now > at + EVICTION_MARGIN_MS);
        let is_deleted = machine.absent_listings >= LOST_ABSENT_LISTINGS || was_evicted;
        let silent_too_long = self.is_silent_too_long(machine, silence_ms, now, timeouts);
        let unreachable_too_long = match machine.commands.reachability {
            Reachability::Unreachable { since } => now > since + timeouts.unreachable_ms,
            Reachability::Reachable | Reachability::Suspected { .. } => false,
        };
        let is_lost = silent_too_long || (is_deleted && is_silent) || unreachable_too_long;
        if is_lost {
            log::warn!(
                "machine {} is lost after {silence_ms} ms without a heartbeat, \
                 unreachable for commands: {unreachable_too_long}",
                machine.id
            );
        }
        is_lost
    }

    fn is_silent_too_long(
        &self,
        machine: &Machine,
        silence_ms: Millis,
        now: Millis,
        timeouts: &LossTimeouts,
    ) -> bool {
        // No timeout is shorter than this one, so the placements of most machines need not be
        // examined.
        if silence_ms <= timeouts.urgent_silence_ms {
            return false;
        }
        let timeout_ms = if self.outages.is_partitioned(&machine.zone, now) {
            timeouts.partitioned_silence_ms
        } else if timeouts.urgent_timeout_applies
            && !machine.via_store
            && self.has_urgent_tasks(machine)
        {
            timeouts.urgent_silence_ms
        } else {
            timeouts.silence_ms
        };
        silence_ms > timeout_ms
    }

    /// Returns `true` if tasks on the machine must be replaced soon: urgent tasks, or members of a
    /// gang, which can't restart on other machines until each of its tasks is proven to have
    /// terminated.
    fn has_urgent_tasks(&self, machine: &Machine) -> bool {
        machine.placements.iter().any(|placement| {
            let job = self.cluster.jobs.get(&placement.job);
            placement.is_present() && job.is_some_and(|job| job.is_urgent() || job.gang.is_some())
        })
    }

    /// Returns which placements are to be withdrawn from the machine, if any.
    fn withdraw_scope(&self, machine: &Machine, is_silent: bool) -> Option<WithdrawScope> {
        let takes_no_tasks = matches!(
            machine.lifecycle,
            Lifecycle::Draining | Lifecycle::Terminating
        ) || is_silent
            || machine.is_unreachable();
        if takes_no_tasks {
            let has_tasks = !machine.placements.is_empty() || !machine.queued.is_empty();
            return has_tasks.then_some(WithdrawScope::Everything);
        }
        let mut placements = machine.placements.iter();
        placements
            .any(|placement| self.is_unsent_and_ended(placement))
            .then_some(WithdrawScope::EndedJobs)
    }

    fn is_unsent_and_ended(&self, placement: &Placement) -> bool {
        let is_unwanted =
            placement.stop_grace_s.is_some() || !self.cluster.jobs.contains_key(&placement.job);
        placement.is_unsent() && is_unwanted
    }
}
