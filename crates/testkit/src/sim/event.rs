//! Events of the simulation and their queue in the order of simulated time.
use crate::stand_ins::{HttpResponse, Ms};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::fmt;
use stonegw_control::api::{CallError, Link, Target};
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

/// Whom a response is for: which call of which node, in which incarnation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    pub node: usize,
    pub incarnation: u64,
    pub call_id: u64,
}

/// A request of a node to the store, the cloud or a worker.
#[derive(Clone, Debug)]
pub(super) struct OutboundCall {
    pub caller: Caller,
    pub target: Target,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
}

/// What follows from something else after a while; logged in the words of a trace.
#[derive(Clone, Debug)]
pub(super) enum FollowUp {
    /// The job's user cancels it at whichever node the load balancer chooses.
    CancelJob(String),
    /// The task exits with an error.
    FailTask(String),
    /// The cloud evicts the machine.
    EvictMachine(String),
    /// Users ask about the job at all nodes.
    QueryEverywhere(String),
    /// Users repeat the job's submission at all nodes.
    RepeatEverywhere(String),
}

impl fmt::Display for FollowUp {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FollowUp::CancelJob(job_id) => write!(formatter, "cancel-at-node {job_id} any"),
            FollowUp::FailTask(task_id) => write!(formatter, "fail-task {task_id}"),
            FollowUp::EvictMachine(machine_id) => write!(formatter, "evict {machine_id}"),
            FollowUp::QueryEverywhere(job_id) => write!(formatter, "request all query {job_id}"),
            FollowUp::RepeatEverywhere(job_id) => write!(formatter, "request all repeat {job_id}"),
        }
    }
}

/// What happens at some time.
#[derive(Clone, Debug)]
pub(super) enum SimulationEvent {
    /// A node's process starts, unless it is up.
    NodeStart(usize),
    /// A node's clock ticks, in that incarnation.
    NodeTick { node: usize, incarnation: u64 },
    /// A paused process goes on, in that incarnation.
    NodeResume { node: usize, incarnation: u64 },
    /// A node, in that incarnation, reaches another one.
    LinkUp {
        node: usize,
        incarnation: u64,
        peer: usize,
    },
    /// A frame of another node arrives.
    FrameArrival {
        receiver: usize,
        receiver_incarnation: u64,
        from_link: Link,
        frame: Frame,
    },
    /// A node's call arrives at its target.
    CallArrival(OutboundCall),
    /// The response to a node's call arrives, or its time is over.
    CallCompletion {
        caller: Caller,
        result: Result<HttpResponse, CallError>,
    },
    /// A request of a user or a worker arrives at a node.
    RequestArrival {
        request_id: u64,
        node: usize,
        request: Request,
    },
    /// The reply to a user or a worker arrives.
    ReplyArrival {
        request_id: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A worker wakes up, if this is still its next wake-up.
    WorkerWakeup { machine_id: String, at: Ms },
    /// A direct command arrives once more.
    DuplicateCommandArrival { machine_id: String, body: Vec<u8> },
    /// A job's user asks about it.
    UserWakeup(String),
    /// Open watches are looked at.
    WatchCheck,
    /// Gangs go on, and the rules that time alone can break are checked.
    InvariantCheck,
    /// What follows from something else.
    FollowUp(FollowUp),
    /// A line for whoever plays the simulation.
    ScriptLine(Vec<String>),
}

/// An event and its time; events of the same time happen in the order they were scheduled in.
pub(super) struct ScheduledEvent {
    pub due_at: Ms,
    sequence: u64,
    pub event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    /// The earliest is the greatest: it leaves the heap first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (other.due_at, other.sequence).cmp(&(self.due_at, self.sequence))
    }
}

/// The events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, due_at: Ms, event: SimulationEvent) {
        self.last_sequence += 1;
        self.heap.push(ScheduledEvent {
            due_at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// The next event, if it is due by then.
    pub(super) fn pop_due(&mut self, until: Ms) -> Option<ScheduledEvent> {
        let next = self.heap.peek()?;
        if next.due_at > until {
            return None;
        }
        self.heap.pop()
    }
}
