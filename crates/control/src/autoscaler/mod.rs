//! The fleet's state, and the order in which its parts run. What is wanted follows from the work
//! at hand, the live catalogue and the refusals observed; names of requests carry the term and
//! are never reused.
use crate::api::Millis;
use crate::cluster::ClusterState;
use crate::context::LeaderContext;
use crate::pause::Pause;
use crate::scheduling::estimates::RunTimeEstimates;
use crate::settings::TokenBucket;
use std::collections::{HashMap, VecDeque};
use stonegw_constants::{AUTOSCALER_INTERVAL_MS, CATALOG_READ_INTERVAL_MS};
use stonegw_wire::msg::{JobSpec, ListedMachine, ProvisionRequest};

mod arrivals;
mod call_results;
mod capacity;
mod catalog;
mod deadline_sizing;
mod demand;
mod gang_headroom;
mod headroom;
mod machine_list;
mod provision;
mod scale_in;
mod sizing;

/// Whether a rental waits to be asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProvisionState {
    /// To be sent at this time or later.
    Due { not_before: Millis },
    /// Sent, not answered.
    Sent,
}

/// A rental that the cloud has not granted or refused.
#[derive(Debug)]
struct PendingProvision {
    number: u64,
    request: ProvisionRequest,
    state: ProvisionState,
    /// An answer may be lost: the same request must be repeated until one comes.
    is_unacknowledged: bool,
}

/// What the cloud rents out: a machine type in a zone, spot or not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct MachineOffer {
    machine_type: String,
    zone: String,
    spot: bool,
}

/// What follows from the cloud's refusal of an offer.
#[derive(Clone, Copy, Debug)]
struct OfferBackoff {
    /// Not asked for before.
    retry_at: Millis,
    /// How long the wait was; the next one is longer.
    backoff_ms: u64,
}

/// A gang that arrived of late.
#[derive(Clone, Debug)]
struct GangArrival {
    arrived_at: Millis,
    spec: JobSpec,
}

/// A job with a deadline that arrived of late.
#[derive(Clone, Copy, Debug)]
struct DeadlineArrival {
    arrived_at: Millis,
    /// CPU-seconds of all of its tasks.
    cpu_seconds: f64,
    /// How long one of its tasks runs.
    run_s: f64,
}

/// What the leader holds about the cloud and the machines it has asked for.
pub struct Autoscaler {
    term: u64,
    /// When the size is decided next.
    next_sizing_at: Millis,
    next_list_at: Millis,
    /// The pages read so far of a list that is being read.
    partial_listing: Option<Vec<ListedMachine>>,
    /// A whole list has come.
    has_full_listing: bool,
    is_list_in_flight: bool,
    next_catalog_at: Millis,
    is_catalog_in_flight: bool,
    /// The cloud wants no calls before.
    calls_paused_until: Millis,
    call_budget: Option<TokenBucket>,
    /// The number of the latest rental.
    last_provision_number: u64,
    pending_provisions: Vec<PendingProvision>,
    offer_backoffs: HashMap<MachineOffer, OfferBackoff>,
    /// The latest urgent service seen, the size that spare room is kept for.
    pub reference_task: Option<JobSpec>,
    /// When urgent services arrived of late.
    urgent_arrivals: VecDeque<Millis>,
    /// When urgent services ended of late.
    urgent_departures: VecDeque<Millis>,
    gang_arrivals: Vec<GangArrival>,
    deadline_arrivals: VecDeque<DeadlineArrival>,
}

impl Autoscaler {
    /// The fleet of a new leader, that knows of no machine.
    pub fn new(term: u64, now: Millis) -> Autoscaler {
        Autoscaler {
            term,
            next_sizing_at: now,
            next_list_at: now,
            partial_listing: None,
            has_full_listing: false,
            is_list_in_flight: false,
            next_catalog_at: now + CATALOG_READ_INTERVAL_MS,
            is_catalog_in_flight: false,
            calls_paused_until: 0,
            call_budget: None,
            last_provision_number: 0,
            pending_provisions: vec![],
            offer_backoffs: HashMap::new(),
            reference_task: None,
            urgent_arrivals: VecDeque::new(),
            urgent_departures: VecDeque::new(),
            gang_arrivals: vec![],
            deadline_arrivals: VecDeque::new(),
        }
    }

    /// The process ran again after a pause: nothing arrived or ended in it as far as we know, so that the rates
    /// leave it out.
    pub fn resume(&mut self, pause: Pause) {
        let services = self
            .urgent_arrivals
            .iter_mut()
            .chain(&mut self.urgent_departures);
        let dated = self
            .deadline_arrivals
            .iter_mut()
            .map(|arrival| &mut arrival.arrived_at);
        let gangs = self
            .gang_arrivals
            .iter_mut()
            .map(|arrival| &mut arrival.arrived_at);
        services
            .chain(dated)
            .chain(gangs)
            .for_each(|at| pause.shift(at));
    }
}

/// One turn of the autoscaler: its own state and what it works on.
pub struct AutoscalerTurn<'a> {
    pub autoscaler: &'a mut Autoscaler,
    pub cluster: &'a mut ClusterState,
    pub estimates: &'a mut RunTimeEstimates,
    /// The leader has heard the workers and places tasks.
    pub is_active: bool,
    /// No earlier leader stored a placement.
    pub is_first_leader: bool,
    /// When the leader's term began.
    pub term_began_at: Millis,
}

impl AutoscalerTurn<'_> {
    /// Decides on the fleet's size when it is time, and makes the calls that are due.
    pub fn run(&mut self, context: &mut LeaderContext) {
        let now = context.now.monotonic_ms;
        if self.autoscaler.call_budget.is_none() {
            let rps = context.settings.cloud_requests_per_s;
            self.autoscaler.call_budget = Some(TokenBucket::new(rps * 0.8, (rps * 1.6).max(1.0)));
        }
        let active = self.is_active;
        // A leader without predecessors need not hear the machines to know that more are wanted:
        // a list tells of them, and every second of the first boots counts.
        if now >= self.autoscaler.next_sizing_at
            && (active || self.is_first_leader && self.autoscaler.has_full_listing)
        {
            self.autoscaler.next_sizing_at = now + AUTOSCALER_INTERVAL_MS;
            if active {
                self.scale_in_idle(context);
            }
            self.decide_size(context);
        }
        if now < self.autoscaler.calls_paused_until {
            return;
        }
        if active {
            self.terminate_machines(context);
        }
        self.send_provision(context);
        self.request_machine_list(context);
        self.request_catalog(context);
    }

    /// Whether one more call to the cloud may go out now.
    fn try_take_cloud_call(&mut self, now: Millis) -> bool {
        self.autoscaler
            .call_budget
            .as_mut()
            .is_some_and(|b| b.try_take(now, 1.0))
    }
}
