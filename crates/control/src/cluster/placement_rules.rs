//! The rules for where and when the tasks of a job may be placed.
use super::{JobState, Machines};
use stonegw_wire::msg::{JobKind, JobSpec, Priority};

/// Whether one more task of the job may run in the zone, given where its other tasks are.
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

/// Whether it is a service of high priority, whose arrivals the autoscaler keeps headroom for.
pub fn is_urgent_service(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Service && spec.priority >= Priority::High
}

/// Whether the job's tasks are placed on arrival: a service, or a job without a deadline.
pub fn is_immediate(job: &JobState) -> bool {
    job.spec.kind == JobKind::Service || job.spec.deadline_s.is_none()
}
