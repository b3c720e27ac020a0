//! The read-only state from which demand, capacity and headroom are estimated.
use super::arrivals::RecentArrivals;
use super::provision_queue::ProvisionQueue;
use crate::api::Millis;
use crate::cluster::{ClusterState, Machine};
use crate::context::LeaderContext;
use stonegw_wire::msg::JobSpec;

/// The state that one decision of the autoscaler is based on.
#[derive(Clone, Copy)]
pub(super) struct AutoscalerView<'a> {
    /// Time and settings.
    pub(super) context: &'a LeaderContext<'a>,
    /// Machines, jobs and the catalogue.
    pub(super) cluster: &'a ClusterState,
    /// Recent submissions and ends of jobs.
    pub(super) arrivals: &'a RecentArrivals,
    /// Provision requests without a final response, and offers that were refused recently.
    pub(super) provisions: &'a ProvisionQueue,
    /// The latest urgent service seen. Headroom is measured in tasks of its size.
    pub(super) reference_task: Option<&'a JobSpec>,
    /// Whether the leader has received the workers' heartbeats.
    pub(super) is_active: bool,
    /// When the leader's term began.
    pub(super) term_began_at: Millis,
}

impl AutoscalerView<'_> {
    /// Returns the time of the present turn.
    pub(super) fn now(&self) -> Millis {
        self.context.now.monotonic_ms
    }

    /// Returns the seconds since the machine was provisioned.
    pub(super) fn age_s(&self, machine: &Machine) -> f64 {
        self.now().saturating_sub(machine.provisioned_at) as f64 / 1e3
    }

    /// Returns `true` if the machine's heartbeats have been missing for too long.
    pub(super) fn is_silent(&self, machine: &Machine) -> bool {
        machine.is_silent(self.now(), self.context.settings.heartbeat_interval_s)
    }
}
