//! The rules for where and when the tasks of a job may be placed.
use crate::ledger::{Machines, Work};
use stonegw_wire::msg::JobKind;

/// Which tasks a job may have where, given its others.
pub fn zone_allows(machines: &Machines, work: &Work, zone: &str) -> bool {
    let spec = &work.spec;
    if spec.zone.as_ref().is_some_and(|z| z != zone) {
        return false;
    }
    if !spec.one_zone && !spec.spread {
        return true;
    }
    let (here, elsewhere) = machines.zones_of(&spec.id, zone);
    let most = spec.tasks.div_ceil(2);
    !(spec.one_zone && elsewhere > 0 || spec.spread && here >= most)
}

/// True for work that is placed on arrival: urgent and without a deadline.
pub fn immediate(work: &Work) -> bool {
    work.spec.kind == JobKind::Service || work.spec.deadline_s.is_none()
}
