//! Sizing: decides which machines to provision for the pending work, urgent work first.
use super::available_capacity::AvailableCapacity;
use super::capacity::slots_on_empty_machine;
use super::deadline_sizing::provision_for_deadlines;
use super::demand::{DeadlineFreeDemand, Demand};
use super::headroom::{self, HeadroomScope};
use super::offer::MachineOffer;
use super::sizing_plan::SizingPlan;
use super::view::AutoscalerView;
use crate::cluster::{is_urgent_service, ClusterState};
use crate::scheduling::estimates::RunTimeEstimates;
use std::collections::BTreeMap;
use stonegw_wire::msg::{Catalog, JobSpec};

/// Returns how many machines to provision of each offer.
pub(super) fn plan_scale_out(
    view: &AutoscalerView,
    estimates: &mut RunTimeEstimates,
) -> BTreeMap<MachineOffer, u32> {
    let capacity = AvailableCapacity::new(view);
    let boot_s = shortest_boot_s(&view.cluster.catalog);
    let demand = Demand::collect(view, estimates, &capacity, boot_s);
    let mut plan = SizingPlan::new(view, capacity.free);
    provision_headroom(view, &mut plan, &demand.deadline_free);
    for job in &demand.deadline_free {
        plan.reserve_or_provision(&job.spec, job.tasks);
    }
    provision_for_deadlines(
        view,
        estimates,
        &mut plan,
        demand.deadline_constrained,
        boot_s,
    );
    plan.into_counts()
}

/// Returns the urgent service whose job id sorts last, which is taken as the latest one. Its tasks
/// are the reference tasks of the headroom.
pub(super) fn latest_urgent_service(cluster: &ClusterState) -> Option<&JobSpec> {
    cluster
        .jobs
        .values()
        .map(|job| &job.spec)
        .rfind(|spec| is_urgent_service(spec))
}

fn shortest_boot_s(catalog: &Catalog) -> f64 {
    catalog
        .machine_types
        .iter()
        .map(|machine_type| machine_type.boot_s)
        .fold(f64::MAX, f64::min)
}

/// Plans new machines for the missing headroom of urgent services. This comes before work of lower
/// priority, which may use the headroom until it is needed.
fn provision_headroom(
    view: &AutoscalerView,
    plan: &mut SizingPlan,
    demands: &[DeadlineFreeDemand],
) {
    let Some(spec) = view.reference_task else {
        return;
    };
    let available = headroom::available_slots(view, HeadroomScope::ReadyAndProvisioning)
        + requested_slots(view, spec);
    let waiting: usize = demands
        .iter()
        .filter(|demand| demand.spec.priority >= spec.priority)
        .map(|demand| demand.tasks)
        .sum();
    let missing = waiting as f64 + headroom::wanted_slots(view) - available;
    if missing > 0.0 {
        plan.provision_new(spec, missing.ceil() as usize);
    }
}

/// Returns the slots for tasks of the job on requested machines, not counting spot instances.
fn requested_slots(view: &AutoscalerView, spec: &JobSpec) -> f64 {
    view.provisions
        .pending_requests()
        .filter(|request| !request.is_spot)
        .filter_map(|request| {
            let machine_type = view.cluster.machine_type(&request.machine_type)?;
            Some(slots_on_empty_machine(machine_type, spec) * request.count)
        })
        .map(f64::from)
        .sum()
}
