//! The autoscaler decides how many machines of which offer are wanted, and asks the cloud for
//! them. What is wanted follows from the pending work, the catalogue and the refusals observed.
//!
//! This module owns the state and fixes the order of the steps; each step is a module below it:
//!
//! - what reads the cloud: `machine_list`, `catalog`;
//! - what is known of the present: `arrivals`, `available_capacity`, `demand`, `headroom`,
//!   `gang_headroom`, all from one `view`;
//! - what decides: `sizing` with `deadline_sizing` on one `sizing_plan`, and `scale_in`;
//! - what sends: `provision_queue` and `termination`, within the limits of `cloud_calls`.
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

/// What the leader holds about the cloud and the machines it has asked for.
pub struct Autoscaler {
    /// When the size is decided next.
    next_sizing_at: Millis,
    call_limiter: CloudCallLimiter,
    machine_list: MachineListReader,
    catalog: CatalogReader,
    provisions: ProvisionQueue,
    arrivals: RecentArrivals,
    /// The latest urgent service: the size of task that headroom is kept for.
    reference_task: Option<JobSpec>,
}

impl Autoscaler {
    /// The autoscaler of a new leader, that knows of no machine.
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

    /// The process ran again after a pause: rates of arrival leave it out.
    pub fn resume(&mut self, pause: Pause) {
        self.arrivals.resume(pause);
    }

    /// A task of an urgent service arrived.
    pub fn record_urgent_arrival(&mut self, now: Millis) {
        self.arrivals.record_urgent_arrival(now);
    }

    /// An urgent service ended.
    pub fn record_urgent_departure(&mut self, now: Millis) {
        self.arrivals.record_urgent_departure(now);
    }

    /// A gang arrived.
    pub fn record_gang_arrival(&mut self, now: Millis, spec: &JobSpec) {
        self.arrivals.record_gang(now, spec);
    }

    /// A job with a deadline became known, `age_ms` after its submission; one of its tasks runs
    /// for about `run_s`.
    pub fn record_deadline_arrival(
        &mut self,
        now: Millis,
        age_ms: u64,
        spec: &JobSpec,
        run_s: f64,
    ) {
        self.arrivals.record_deadline_job(now, age_ms, spec, run_s);
    }

    /// What one decision is based on.
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

/// One turn of the autoscaler: its own state and what it works on.
pub struct AutoscalerTurn<'a> {
    /// What is kept from turn to turn.
    pub autoscaler: &'a mut Autoscaler,
    /// Machines, jobs and the catalogue.
    pub cluster: &'a mut ClusterState,
    /// How long tasks run.
    pub estimates: &'a mut RunTimeEstimates,
    /// The leader has received the workers' heartbeats and places tasks.
    pub is_active: bool,
    /// No earlier leader stored a placement.
    pub is_first_leader: bool,
    /// When the leader's term began.
    pub term_began_at: Millis,
}

impl AutoscalerTurn<'_> {
    /// Decides on the cluster's size when it is time, and makes the calls that are due.
    pub fn run(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        self.autoscaler
            .call_limiter
            .init_rate(context.settings.cloud_requests_per_s);
        if now >= self.autoscaler.next_sizing_at && self.may_size() {
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

    /// Whether enough is known to decide on the size. A leader without predecessors need not wait
    /// for heartbeats to know that more machines are wanted: a list names those that there are,
    /// and every second of the first boots counts.
    fn may_size(&self) -> bool {
        let has_list = self.autoscaler.machine_list.has_read_full_list();
        self.is_active || self.is_first_leader && has_list
    }

    /// Marks machines for termination that are idle or never came up.
    fn scale_in(&mut self, context: &LeaderContext) {
        let view = self
            .autoscaler
            .view(context, self.cluster, self.is_active, self.term_began_at);
        let mut review = ScaleInReview::new(&view);
        self.cluster
            .machines
            .edit_all(|machine| review.review_machine(machine));
    }

    /// Queues requests for the machines that are missing.
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

    /// Makes the calls that are due, those that matter most first.
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

    /// A call to the cloud was answered, or no answer came.
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
