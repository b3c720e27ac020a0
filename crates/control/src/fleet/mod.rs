//! The fleet's state, and the order in which its parts run. What is wanted follows from the work
//! at hand, the live catalogue and the refusals observed; names of requests carry the term and
//! are never reused.
use crate::api::Ms;
use crate::leader::{Ctx, Leader, Stage};
use crate::pause::Pause;
use crate::settings::Bucket;
use std::collections::{HashMap, VecDeque};
use stonegw_constants as k;
use stonegw_wire::msg::{Hire, JobSpec, ListedMachine};

mod calls;
mod catalog;
mod dated;
mod demand;
mod gang_room;
mod idle;
mod list;
mod rent;
mod room;
mod size;
mod spare;

/// A call to the cloud that is under way.
#[derive(Debug)]
pub enum FleetCall {
    /// Reads the catalogue.
    Catalog,
    /// Reads a page of the machine list.
    List,
    /// Rents: the number of the rental.
    Hire(u64),
    /// Returns these machines.
    Delete(Vec<String>),
}

/// Whether a rental waits to be asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HireState {
    /// To be sent at this time or later.
    Due { at: Ms },
    /// Sent, not answered.
    Sent,
}

/// A rental that the cloud has not granted or refused.
#[derive(Debug)]
struct Renting {
    number: u64,
    hire: Hire,
    state: HireState,
    /// An answer may be lost: the same request must be repeated until one comes.
    doubt: bool,
}

/// What the cloud rents out: a machine type in a zone, spot or not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Offer {
    machine_type: String,
    zone: String,
    spot: bool,
}

/// What follows from the cloud's refusal of an offer.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// Not asked for before.
    until: Ms,
    /// How long the wait was; the next one is longer.
    wait_ms: u64,
}

/// A gang that arrived of late.
#[derive(Clone, Debug)]
struct GangArrival {
    at: Ms,
    spec: JobSpec,
}

/// A job with a deadline that arrived of late.
#[derive(Clone, Copy, Debug)]
struct DatedArrival {
    at: Ms,
    /// CPU-seconds of all of its tasks.
    cpu_seconds: f64,
    /// How long one of its tasks runs.
    run_s: f64,
}

/// What the leader holds about the cloud and the machines it has asked for.
pub struct Fleet {
    term: u64,
    /// When the size is decided next.
    decide_at: Ms,
    list_at: Ms,
    /// The pages read so far of a list that is being read.
    listing: Option<Vec<ListedMachine>>,
    /// A whole list has come.
    known: bool,
    list_asked: bool,
    catalog_at: Ms,
    catalog_asked: bool,
    /// The cloud wants no calls before.
    pause_until: Ms,
    budget: Option<Bucket>,
    /// The number of the latest rental.
    next_hire: u64,
    renting: Vec<Renting>,
    refused: HashMap<Offer, Refusal>,
    /// The latest urgent service seen, the size that spare room is kept for.
    pub usual: Option<JobSpec>,
    /// When urgent services arrived of late.
    arrivals: VecDeque<Ms>,
    /// When urgent services ended of late.
    departures: VecDeque<Ms>,
    gangs: Vec<GangArrival>,
    dated: VecDeque<DatedArrival>,
}

impl Fleet {
    /// The fleet of a new leader, that knows of no machine.
    pub fn new(term: u64, now: Ms) -> Fleet {
        Fleet {
            term,
            decide_at: now,
            list_at: now,
            listing: None,
            known: false,
            list_asked: false,
            catalog_at: now + k::CATALOG_MS,
            catalog_asked: false,
            pause_until: 0,
            budget: None,
            next_hire: 0,
            renting: vec![],
            refused: HashMap::new(),
            usual: None,
            arrivals: VecDeque::new(),
            departures: VecDeque::new(),
            gangs: vec![],
            dated: VecDeque::new(),
        }
    }

    /// The process ran again after a pause: nothing arrived or ended in it as far as we know, so that the rates
    /// leave it out.
    pub fn resume(&mut self, pause: Pause) {
        let services = self.arrivals.iter_mut().chain(&mut self.departures);
        let dated = self.dated.iter_mut().map(|arrival| &mut arrival.at);
        let gangs = self.gangs.iter_mut().map(|arrival| &mut arrival.at);
        services
            .chain(dated)
            .chain(gangs)
            .for_each(|at| pause.shift(at));
    }
}

impl Leader {
    /// Decides on the fleet's size when it is time, and makes the calls that are due.
    pub fn run_fleet(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.ms;
        if self.fleet.budget.is_none() {
            let rps = ctx.set.cloud_rps;
            self.fleet.budget = Some(Bucket::new(rps * 0.8, (rps * 1.6).max(1.0)));
        }
        let active = self.stage == Stage::Active;
        // A leader without predecessors need not hear the machines to know that more are wanted:
        // a list tells of them, and every second of the first boots counts.
        if now >= self.fleet.decide_at && (active || self.first && self.fleet.known) {
            self.fleet.decide_at = now + k::FLEET_MS;
            if active {
                self.return_idle(ctx);
            }
            self.decide_size(ctx);
        }
        if now < self.fleet.pause_until {
            return;
        }
        if active {
            self.delete_machines(ctx);
        }
        self.send_rental(ctx);
        self.ask_list(ctx);
        self.ask_catalog(ctx);
    }

    /// Whether one more call to the cloud may go out now.
    fn may_call_cloud(&mut self, now: Ms) -> bool {
        self.fleet.budget.as_mut().is_some_and(|b| b.take(now, 1.0))
    }
}
