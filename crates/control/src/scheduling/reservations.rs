//! Capacity that is reserved for one job: a starved job, a gang, or a job for which tasks are being
//! preempted.
use crate::api::Millis;
use crate::cluster::JobState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_wire::msg::{JobSpec, Priority};

/// The capacity that is reserved for a starved job.
#[derive(Clone, Debug, PartialEq)]
pub enum AgingReservation {
    /// The capacity of this machine.
    Machine(String),
    /// The remainder of this team's limit.
    TeamLimit(String),
}

/// The capacity that is reserved for a waiting gang.
#[derive(Clone, Debug, PartialEq)]
pub enum GangReservation {
    /// The capacity of these machines.
    Machines(BTreeSet<String>),
    /// The remainder of this team's limit.
    TeamLimit(String),
}

/// Capacity that preempted tasks are releasing on a machine. Only the job that they were stopped
/// for may take it. Otherwise other jobs could take it first, and that job would have to preempt
/// and wait again and again.
#[derive(Debug)]
pub struct PreemptionPlan {
    /// The machine on which tasks are being stopped.
    pub machine: String,
    /// The job for which the tasks are being stopped.
    pub job: String,
    /// When the plan expires.
    pub(crate) expires_at: Millis,
}

impl PreemptionPlan {
    fn is_clearing(&self, now: Millis, machine: &str) -> bool {
        self.machine == machine && now < self.expires_at
    }
}

/// All capacity that is reserved for certain jobs.
#[derive(Default)]
pub struct Reservations {
    /// Reservations for starved jobs, by job.
    pub aging_reservations: HashMap<String, AgingReservation>,
    /// Reservations for waiting gangs, by job.
    pub gang_reservations: HashMap<String, GangReservation>,
    /// The preemptions in progress: where tasks are being stopped, and for which job.
    pub preemption_plans: Vec<PreemptionPlan>,
}

impl Reservations {
    /// Returns whether a machine is reserved for a job other than this one, be it a starved job or
    /// a gang.
    pub fn is_reserved_for_other(
        &self,
        jobs: &BTreeMap<String, JobState>,
        machine: &str,
        job: &str,
    ) -> bool {
        self.is_machine_aging_reserved_for_other(machine, job)
            || self.is_gang_reserved_for_other(jobs, machine, job)
    }

    fn is_machine_aging_reserved_for_other(&self, machine: &str, job: &str) -> bool {
        let mut reservations = self.aging_reservations.iter();
        reservations.any(|(owner, reservation)| {
            let holds_machine =
                matches!(reservation, AgingReservation::Machine(id) if id == machine);
            owner != job && holds_machine
        })
    }

    /// Returns whether the remainder of the job's team limit is reserved for another job.
    pub fn is_team_reserved_for_other(&self, spec: &JobSpec) -> bool {
        let mut reservations = self.aging_reservations.iter();
        let is_aging_reserved = reservations.any(|(owner, reservation)| {
            let holds_team =
                matches!(reservation, AgingReservation::TeamLimit(team) if *team == spec.team);
            *owner != spec.id && holds_team
        });
        is_aging_reserved || self.is_team_gang_reserved_for_other(&spec.team, &spec.id)
    }

    /// Returns whether a machine is reserved for a gang other than this job.
    pub fn is_gang_reserved_for_other(
        &self,
        jobs: &BTreeMap<String, JobState>,
        machine: &str,
        job: &str,
    ) -> bool {
        self.reserving_gang_priority(jobs, machine, job).is_some()
    }

    /// Returns the highest priority of the other gangs that a machine is reserved for, or `None` if
    /// there are none.
    pub(crate) fn reserving_gang_priority(
        &self,
        jobs: &BTreeMap<String, JobState>,
        machine: &str,
        job: &str,
    ) -> Option<Priority> {
        let holds_machine = |reservation: &GangReservation| matches!(reservation, GangReservation::Machines(ids) if ids.contains(machine));
        self.gang_reservations
            .iter()
            .filter(|(owner, reservation)| *owner != job && holds_machine(reservation))
            .filter_map(|(owner, _)| Some(jobs.get(owner)?.spec.priority))
            .max()
    }

    /// Returns whether the remainder of a team's limit is reserved for a gang other than this job.
    pub fn is_team_gang_reserved_for_other(&self, team: &str, job: &str) -> bool {
        let mut reservations = self.gang_reservations.iter();
        reservations.any(|(owner, reservation)| {
            let holds_team =
                matches!(reservation, GangReservation::TeamLimit(reserved) if reserved == team);
            owner != job && holds_team
        })
    }

    /// Returns the number of machines that are reserved for gangs.
    pub(crate) fn reserved_machine_count(&self) -> usize {
        let reservations = self.gang_reservations.values();
        let counts = reservations.map(|reservation| match reservation {
            GangReservation::Machines(ids) => ids.len(),
            GangReservation::TeamLimit(_) => 0,
        });
        counts.sum()
    }

    /// Returns whether tasks on the machine are being stopped for any job.
    pub fn is_being_cleared(&self, now: Millis, machine: &str) -> bool {
        let mut plans = self.preemption_plans.iter();
        plans.any(|plan| plan.is_clearing(now, machine))
    }

    /// Returns whether tasks on the machine are being stopped for a job other than this one.
    pub fn is_being_cleared_for_other(&self, now: Millis, machine: &str, job: &str) -> bool {
        let mut plans = self.preemption_plans.iter();
        plans.any(|plan| plan.job != job && plan.is_clearing(now, machine))
    }

    /// Returns whether tasks are being stopped for the job.
    pub(crate) fn has_preemption_plan(&self, job: &str) -> bool {
        self.preemption_plans.iter().any(|plan| plan.job == job)
    }
}
