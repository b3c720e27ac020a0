//! The rules for where and when the tasks of a job may be placed.
use super::{JobState, Machines};
use stonegw_wire::msg::JobKind;

/// Which tasks a job may have where, given its others.
pub fn zone_allows(machines: &Machines, work: &JobState, zone: &str) -> bool {
    let spec = &work.spec;
    if spec.zone.as_ref().is_some_and(|z| z != zone) {
        return false;
    }
    if !spec.requires_single_zone && !spec.spreads_across_zones {
        return true;
    }
    let (here, elsewhere) = machines.task_counts_by_zone(&spec.id, zone);
    let most = spec.task_count.div_ceil(2);
    !(spec.requires_single_zone && elsewhere > 0 || spec.spreads_across_zones && here >= most)
}

/// True for work that is placed on arrival: urgent and without a deadline.
pub fn is_immediate(work: &JobState) -> bool {
    work.spec.kind == JobKind::Service || work.spec.deadline_s.is_none()
}
