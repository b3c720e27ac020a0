//! The available capacity, on machines that are ready, booting or requested.
use super::capacity::MachineCapacity;
use super::offer::MachineOffer;
use super::view::AutoscalerView;
use crate::cluster::{Lifecycle, Machine};
use crate::resources::Resources;
use stonegw_constants::BOOT_LATE_MULTIPLE;
use stonegw_wire::msg::MachineType;

/// Lower bound on the remaining boot time of a booting machine, as a fraction of its type's boot
/// time. A machine whose boot is overdue is expected to be ready after this time.
const OVERDUE_BOOT_FRACTION: f64 = 0.2;

/// The available capacity, now and eventually.
pub(super) struct AvailableCapacity {
    /// The capacity that is free now, with that of booting and requested machines.
    pub(super) free: Vec<MachineCapacity>,
    /// The capacity of known machines that becomes free eventually: all except what urgent tasks
    /// take.
    pub(super) eventual: Vec<MachineCapacity>,
}

impl AvailableCapacity {
    /// Collects the capacity of all machines that can be used.
    pub(super) fn new(view: &AutoscalerView) -> Self {
        let mut capacity = AvailableCapacity {
            free: vec![],
            eventual: vec![],
        };
        for machine in view.cluster.machines.values() {
            capacity.add_machine(view, machine);
        }
        capacity.add_pending_provisions(view);
        capacity
    }

    fn add_machine(&mut self, view: &AutoscalerView, machine: &Machine) {
        let Some(machine_type) = view.cluster.machine_type(&machine.machine_type) else {
            return;
        };
        let Some(ready_in_s) = ready_in_s(view, machine, machine_type) else {
            return;
        };
        let capacity_of = |free| MachineCapacity {
            ready_in_s,
            offer: MachineOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                is_spot: machine.spot,
            },
            free,
        };
        let free = view.cluster.free_resources(machine);
        self.free.extend(free.map(capacity_of));
        let urgent_usage = view.cluster.urgent_usage(machine);
        let eventually_free = Resources::of_type(machine_type) - urgent_usage;
        self.eventual.push(capacity_of(eventually_free));
    }

    fn add_pending_provisions(&mut self, view: &AutoscalerView) {
        for request in view.provisions.pending_requests() {
            let Some(machine_type) = view.cluster.machine_type(&request.machine_type) else {
                continue;
            };
            for _ in 0..request.count {
                let offer = MachineOffer::of_request(request);
                self.free
                    .push(MachineCapacity::of_new_machine(machine_type, offer));
            }
        }
    }
}

/// Returns the expected seconds until the machine is ready, or `None` if its capacity does not
/// count.
fn ready_in_s(view: &AutoscalerView, machine: &Machine, machine_type: &MachineType) -> Option<f64> {
    match machine.lifecycle {
        Lifecycle::Ready => (!view.is_silent(machine)).then_some(0.0),
        // Before the first heartbeats arrive, the cloud's list decides whether a machine is ready.
        Lifecycle::Provisioning if !view.is_active && machine.listed_as_running => Some(0.0),
        Lifecycle::Provisioning => {
            let boot_s = machine_type.boot_s;
            let age_s = view.age_s(machine);
            let may_come_up = age_s < boot_s * BOOT_LATE_MULTIPLE;
            may_come_up.then(|| (boot_s - age_s).max(boot_s * OVERDUE_BOOT_FRACTION))
        }
        Lifecycle::Draining | Lifecycle::Terminating => None,
    }
}
