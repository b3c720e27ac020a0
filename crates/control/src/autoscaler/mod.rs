//! The autoscaler decides how many machines to provision of each offer (machine type, zone, on
//! demand or spot) and which machines to terminate, and calls the cloud to do so. It decides from
//! the pending work, the machine catalogue and the cloud's recent refusals.
//!
//! This module owns the state and runs the steps in order. Each step is a submodule:
//!
//! - `machine_list` and `catalog` read from the cloud;
//! - `arrivals`, `available_capacity`, `demand`, `headroom` and `gang_headroom` estimate the
//!   present state, all from one `view`;
//! - `sizing` and `deadline_sizing` decide what to provision and collect it in a `sizing_plan`, and
//!   `scale_in` decides what to terminate;
//! - `provision_queue` and `termination` send the requests, at the rate that `cloud_calls` allows.
use crate::api::{CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::cluster::ClusterState;
use crate::context::LeaderContext;
use crate::pause::Pause;
use crate::scheduling::estimates::RunTimeEstimates;
use arrivals::RecentArrivals;
use catalog::CatalogReader;
use cloud_calls::CloudCallLimiter;
use machine_list::{apply_machine_list, MachineListReader};
use provision_queue::{add_granted_machines, ProvisionQueue};
use scale_in::ScaleInReview;
use sizing::{latest_urgent_service, plan_scale_out};
use stonegw_constants::AUTOSCALER_INTERVAL_MS;
use stonegw_wire::msg::JobSpec;
use termination::{handle_terminate_response, terminate_machines};
use view::AutoscalerView;

mod arrivals;
mod available_capacity;
mod capacity;
mod catalog;
mod cloud_calls;
mod deadline_sizing;
mod demand;
mod gang_headroom;
mod headroom;
mod machine_list;
mod offer;
mod offer_backoff;
mod provision_queue;
mod scale_in;
mod sizing;
mod sizing_plan;
mod termination;
mod view;

/// The autoscaler's state, which lasts for one leader's term.
pub struct Autoscaler {
    /// When the next decision on the cluster's size is due.
    next_sizing_at: Millis,
    call_limiter: CloudCallLimiter,
    machine_list: MachineListReader,
    catalog: CatalogReader,
    provisions: ProvisionQueue,
    arrivals: RecentArrivals,
    /// The latest urgent service seen. Headroom is measured in tasks of its size.
    reference_task: Option<JobSpec>,
}

impl Autoscaler {
    /// Returns the autoscaler of a new leader, which has provisioned nothing yet.
    pub fn new(term: u64, now: Millis) -> Autoscaler {
        Autoscaler {
            next_sizing_at: now,
            call_limiter: CloudCallLimiter::default(),
            machine_list: MachineListReader::new(now),
            catalog: CatalogReader::new(now),
            provisions: ProvisionQueue::new(term),
            arrivals: RecentArrivals::default(),
            reference_task: None,
        }
    }

    /// Excludes a pause of the process from the arrival rates.
    pub fn resume(&mut self, pause: Pause) {
        self.arrivals.resume(pause);
    }

    /// Records the arrival of one task of an urgent service.
    pub fn record_urgent_arrival(&mut self, now: Millis) {
        self.arrivals.record_urgent_arrival(now);
    }

    /// Records the end of an urgent service.
    pub fn record_urgent_departure(&mut self, now: Millis) {
        self.arrivals.record_urgent_departure(now);
    }

    /// Records the arrival of a gang.
    pub fn record_gang_arrival(&mut self, now: Millis, spec: &JobSpec) {
        self.arrivals.record_gang(now, spec);
    }

    /// Records a job with a deadline that was submitted `age_ms` ago and whose tasks run for about
    /// `run_s` each.
    pub fn record_deadline_arrival(
        &mut self,
        now: Millis,
        age_ms: u64,
        spec: &JobSpec,
        run_s: f64,
    ) {
        self.arrivals.record_deadline_job(now, age_ms, spec, run_s);
    }

    /// Returns the state that one decision is based on.
    fn view<'a>(
        &'a self,
        context: &'a LeaderContext<'a>,
        cluster: &'a ClusterState,
        is_active: bool,
        term_began_at: Millis,
    ) -> AutoscalerView<'a> {
        AutoscalerView {
            context,
            cluster,
            arrivals: &self.arrivals,
            provisions: &self.provisions,
            reference_task: self.reference_task.as_ref(),
            is_active,
            term_began_at,
        }
    }
}

/// One turn of the autoscaler: its own state and the state that it works on.
pub struct AutoscalerTurn<'a> {
    /// The state kept from turn to turn.
    pub autoscaler: &'a mut Autoscaler,
    /// Machines, jobs and the catalogue.
    pub cluster: &'a mut ClusterState,
    /// Estimates of how long tasks run.
    pub estimates: &'a mut RunTimeEstimates,
    /// Whether the leader has received the workers' heartbeats and places tasks.
    pub is_active: bool,
    /// Whether no earlier leader has stored a placement.
    pub is_first_leader: bool,
    /// When the leader's term began.
    pub term_began_at: Millis,
}

impl AutoscalerTurn<'_> {
    /// Decides on the cluster's size if a decision is due, and makes the calls to the cloud that
    /// are due.
    pub fn run(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        self.autoscaler
            .call_limiter
            .init_rate(context.settings.cloud_requests_per_s);
        if now >= self.autoscaler.next_sizing_at && self.can_decide_size() {
            self.autoscaler.next_sizing_at = now + AUTOSCALER_INTERVAL_MS;
            if self.is_active {
                self.scale_in(context);
            }
            self.scale_out(context);
        }
        if !self.autoscaler.call_limiter.is_paused(now) {
            self.send_calls(context);
        }
    }

    /// Returns `true` if enough is known to decide on the cluster's size. A leader without
    /// predecessors need not wait for heartbeats: the cloud's list names the machines that exist,
    /// and waiting would delay the first boots.
    fn can_decide_size(&self) -> bool {
        let has_list = self.autoscaler.machine_list.has_read_full_list();
        self.is_active || self.is_first_leader && has_list
    }

    /// Marks for termination the machines that have been idle for too long or never came up.
    fn scale_in(&mut self, context: &LeaderContext) {
        let view = self
            .autoscaler
            .view(context, self.cluster, self.is_active, self.term_began_at);
        let mut review = ScaleInReview::new(&view);
        self.cluster
            .machines
            .edit_all(|machine| review.review_machine(machine));
    }

    /// Queues provision requests for the capacity that is missing.
    fn scale_out(&mut self, context: &LeaderContext) {
        if let Some(spec) = latest_urgent_service(self.cluster) {
            self.autoscaler.reference_task = Some(spec.clone());
        }
        let view = self
            .autoscaler
            .view(context, self.cluster, self.is_active, self.term_began_at);
        let counts = plan_scale_out(&view, self.estimates);
        let now = context.now.monotonic_ms;
        self.autoscaler.provisions.enqueue(now, counts);
    }

    /// Makes the calls that are due, the most important first, as far as the rate limit allows.
    fn send_calls(&mut self, context: &mut LeaderContext) {
        let autoscaler = &mut *self.autoscaler;
        let limiter = &mut autoscaler.call_limiter;
        if self.is_active {
            terminate_machines(self.cluster, context, limiter);
        }
        autoscaler.provisions.send_next(context, limiter);
        autoscaler.machine_list.request_if_due(context, limiter);
        autoscaler.catalog.request_if_due(context, limiter);
    }

    /// Handles the result of a call to the cloud: a response, or a failure without one.
    pub fn cloud_call_done(
        &mut self,
        context: &LeaderContext,
        call: AutoscalerCall,
        result: CallResult,
    ) {
        let now = context.now.monotonic_ms;
        let autoscaler = &mut *self.autoscaler;
        if matches!(result, Ok((429, _))) {
            autoscaler.call_limiter.pause(now);
        }
        match call {
            AutoscalerCall::ReadCatalog => {
                if let Some(catalog) = autoscaler.catalog.handle_response(now, result) {
                    self.cluster.catalog = catalog;
                }
            }
            AutoscalerCall::ListMachines => {
                if let Some(list) = autoscaler.machine_list.handle_response(now, result) {
                    apply_machine_list(self.cluster, context, list);
                }
            }
            AutoscalerCall::Provision { number } => {
                let granted = autoscaler.provisions.handle_response(now, number, result);
                if let Some(granted) = granted {
                    add_granted_machines(self.cluster, now, granted);
                }
            }
            AutoscalerCall::Terminate { machine_ids } => {
                handle_terminate_response(self.cluster, now, machine_ids, result);
            }
        }
    }
}
