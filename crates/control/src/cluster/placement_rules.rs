//! The rules for the zones in which a job's tasks may be placed, and for the jobs whose tasks are
//! placed on arrival.
use super::{JobState, Machines};
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// Returns `true` if one more task of the job may run in the zone, given the zones of its other
/// tasks.
pub fn zone_allows(machines: &Machines, job: &JobState, zone: &str) -> bool {
    let spec = &job.spec;
    if spec.zone.as_ref().is_some_and(|wanted| wanted != zone) {
        return false;
    }
    if !spec.requires_single_zone && !spec.spreads_across_zones {
        return true;
    }
    let tasks = machines.task_counts_by_zone(&spec.id, zone);
    let max_per_zone = spec.task_count.div_ceil(2);
    let leaves_single_zone = spec.requires_single_zone && tasks.elsewhere > 0;
    let exceeds_spread = spec.spreads_across_zones && tasks.here >= max_per_zone;
    !leaves_single_zone && !exceeds_spread
}

/// Returns `true` if the job is a service of high priority. The autoscaler keeps headroom for the
/// arrival of such services.
pub fn is_urgent_service(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Service && spec.priority >= Priority::High
}

/// Returns `true` if the job's tasks are placed on arrival, because the job is a service or has no
/// deadline.
pub fn is_immediate(job: &JobState) -> bool {
    job.spec.kind == JobKind::Service || job.spec.deadline_s.is_none()
}
