//! Capacity that is kept for a job: for one that is starved, for a gang, or where tasks are being preempted.
use crate::api::Millis;
use crate::cluster::JobState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use stonegw_wire::msg::{JobSpec, Priority};

/// What is kept for a job that waited for long.
#[derive(Clone, Debug, PartialEq)]
pub enum AgingReservation {
    Machine(String),
    /// What its team may still take.
    TeamLimit(String),
}

/// What is kept for a gang that waits.
#[derive(Clone, Debug, PartialEq)]
pub enum GangReservation {
    /// Room on these machines.
    Machines(BTreeSet<String>),
    /// What its team may still take.
    TeamLimit(String),
}

/// Room that lesser work is leaving on a machine for an urgent job. Nothing else may take it:
/// else the job would push aside again and again and wait for each.
#[derive(Debug)]
pub struct PreemptionPlan {
    pub machine: String,
    pub job: String,
    pub(crate) expires_at: Millis,
}

/// All capacity that is kept for a job.
#[derive(Default)]
pub struct Reservations {
    /// For starved jobs, by job.
    pub aging_reservations: HashMap<String, AgingReservation>,
    /// For waiting gangs, by job.
    pub gang_reservations: HashMap<String, GangReservation>,
    /// Where tasks are being stopped for urgent jobs.
    pub preemption_plans: Vec<PreemptionPlan>,
}

impl Reservations {
    /// Whether a machine's room is kept for another job.
    pub fn is_reserved_for_other(
        &self,
        jobs: &BTreeMap<String, JobState>,
        machine: &str,
        job: &str,
    ) -> bool {
        let mut kept = self.aging_reservations.iter();
        kept.any(|(j, k)| j != job && matches!(k, AgingReservation::Machine(m) if m == machine))
            || self.is_gang_reserved_for_other(jobs, machine, job)
    }

    /// Whether what its team may still take is kept for another job.
    pub fn is_team_reserved_for_other(&self, spec: &JobSpec) -> bool {
        let mut kept = self.aging_reservations.iter();
        kept.any(|(j, k)| {
            *j != spec.id && matches!(k, AgingReservation::TeamLimit(t) if *t == spec.team)
        }) || self.is_team_gang_reserved_for_other(&spec.team, &spec.id)
    }

    /// Whether a machine is reserved for another gang.
    pub fn is_gang_reserved_for_other(
        &self,
        jobs: &BTreeMap<String, JobState>,
        machine: &str,
        job: &str,
    ) -> bool {
        self.reserving_gang_priority(jobs, machine, job).is_some()
    }

    /// The priority of the other gang that a machine is reserved for, of the highest if for several.
    pub(crate) fn reserving_gang_priority(
        &self,
        jobs: &BTreeMap<String, JobState>,
        machine: &str,
        job: &str,
    ) -> Option<Priority> {
        let reservations = self.gang_reservations.iter();
        let others = reservations.filter(|(other, _)| *other != job);
        let here = others
            .filter(|(_, r)| matches!(r, GangReservation::Machines(ids) if ids.contains(machine)));
        here.filter_map(|(other, _)| Some(jobs.get(other)?.spec.priority))
            .max()
    }

    /// Whether what a team may still take is reserved for a gang other than `job`.
    pub fn is_team_gang_reserved_for_other(&self, team: &str, job: &str) -> bool {
        let mut others = self.gang_reservations.iter().filter(|(j, _)| *j != job);
        others.any(|(_, r)| matches!(r, GangReservation::TeamLimit(t) if t == team))
    }

    pub(crate) fn reserved_machine_count(&self) -> usize {
        let reservations = self.gang_reservations.values();
        let counts = reservations.map(|r| match r {
            GangReservation::Machines(ids) => ids.len(),
            GangReservation::TeamLimit(_) => 0,
        });
        counts.sum()
    }

    /// Whether room on the machine is being made for urgent work.
    pub fn is_being_cleared(&self, now: Millis, machine: &str) -> bool {
        let mut making = self.preemption_plans.iter();
        making.any(|m| m.machine == machine && now < m.expires_at)
    }

    /// The same, unless it is made for this job.
    pub fn is_being_cleared_for_other(&self, now: Millis, machine: &str, job: &str) -> bool {
        let mut making = self.preemption_plans.iter();
        making.any(|m| m.machine == machine && m.job != job && now < m.expires_at)
    }
}
