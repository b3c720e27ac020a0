//! What the estimates of demand, capacity and headroom read.
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
    /// What arrived recently.
    pub(super) arrivals: &'a RecentArrivals,
    /// Machines that are being asked for, and offers that were refused.
    pub(super) provisions: &'a ProvisionQueue,
    /// The latest urgent service: the size of task that headroom is kept for.
    pub(super) reference_task: Option<&'a JobSpec>,
    /// Whether the leader has received the workers' heartbeats.
    pub(super) is_active: bool,
    /// When the leader's term began.
    pub(super) term_began_at: Millis,
}

impl AutoscalerView<'_> {
    /// The present time.
    pub(super) fn now(&self) -> Millis {
        self.context.now.monotonic_ms
    }

    /// Seconds since the machine was provisioned.
    pub(super) fn age_s(&self, machine: &Machine) -> f64 {
        self.now().saturating_sub(machine.provisioned_at) as f64 / 1e3
    }

    /// Whether heartbeats of the machine have stayed out for too long.
    pub(super) fn is_silent(&self, machine: &Machine) -> bool {
        machine.is_silent(self.now(), self.context.settings.heartbeat_interval_s)
    }
}
