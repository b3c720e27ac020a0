//! The queue of events in simulated time, and who handles each.
use super::Simulation;
use crate::stand_ins::{Ms, Response};
use stonegw_control::api::{CallError, Event, Link, Target};
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

/// Gangs, and rules that time alone can break, are looked at so often.
const INVARIANT_CHECK_INTERVAL_MS: Ms = 100;
const CAPACITY_CHECK_INTERVAL_MS: Ms = 1_000;
const NODE_TICK_INTERVAL_MS: Ms = 50;

/// Which call of which node, in which of its lives: whom an answer is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    pub node: usize,
    pub incarnation: u64,
    pub call_id: u64,
}

/// A request of a node to the state service, the cloud or a worker.
#[derive(Clone, Debug)]
pub(super) struct OutboundCall {
    pub caller: Caller,
    pub target: Target,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
}

/// What happens at some moment.
#[derive(Clone, Debug)]
pub(super) enum SimulationEvent {
    /// A node's clock ticks, in that life of it.
    NodeTick(usize, u64),
    /// A worker's turn, if it is still the one that it waits for.
    WorkerWakeup(String, Ms),
    /// A call arrives at its target.
    CallArrival(OutboundCall),
    /// Its answer arrives at the node.
    CallCompletion {
        caller: Caller,
        result: Result<Response, CallError>,
    },
    NodeStart(usize),
    /// A process that stood still goes on, in that life of it.
    NodeResume(usize, u64),
    /// A request of a user or a worker arrives at a node.
    RequestArrival {
        request_id: u64,
        node: usize,
        request: Request,
    },
    /// Its answer arrives.
    ReplyArrival {
        request_id: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A frame of another node arrives.
    FrameArrival {
        receiver: usize,
        receiver_incarnation: u64,
        from_link: Link,
        frame: Frame,
    },
    /// A node, in that life of it, reaches another one.
    LinkUp(usize, u64, usize),
    /// A user's turn to ask about a job.
    UserWakeup(String),
    /// A look at gangs, and at the rules that time alone can break.
    InvariantCheck,
    /// A line of the script.
    ScriptLine(usize),
    /// Open watches are looked at.
    WatchCheck,
    /// A direct command arrives once more.
    DuplicateCommandArrival(String, Vec<u8>),
}

/// A step and its moment; steps of the same moment happen in the order they were planned in.
pub(super) struct ScheduledEvent {
    pub due_at: Ms,
    pub sequence: u64,
    pub event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.due_at, self.sequence) == (other.due_at, other.sequence)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    /// The earliest is the greatest: it leaves the heap first.
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (other.due_at, other.sequence).cmp(&(self.due_at, self.sequence))
    }
}

impl Simulation {
    /// Lines of the script, each with its moment.
    pub fn schedule_script(&mut self, lines: Vec<(Ms, Vec<String>)>) {
        self.script = lines;
        for i in 0..self.script.len() {
            let at = self.script[i].0;
            self.schedule(at, SimulationEvent::ScriptLine(i));
        }
    }

    /// Another line of the script, so much later.
    pub fn schedule_line_after(&mut self, lag: Ms, line: Vec<String>) {
        let when = self.now + lag;
        self.script.push((when, line));
        self.schedule(when, SimulationEvent::ScriptLine(self.script.len() - 1));
    }

    pub(super) fn schedule(&mut self, when: Ms, step: SimulationEvent) {
        self.event_sequence += 1;
        self.event_queue.push(ScheduledEvent {
            due_at: when,
            sequence: self.event_sequence,
            event: step,
        });
    }

    /// Runs the world up to that moment.
    pub fn run_until(&mut self, until: Ms) {
        while self
            .event_queue
            .peek()
            .is_some_and(|due| due.due_at <= until)
        {
            let due = self.event_queue.pop().expect("seen");
            self.now = due.due_at;
            self.dispatch_event(due.event);
        }
        self.now = until;
    }

    pub(super) fn dispatch_event(&mut self, step: SimulationEvent) {
        match step {
            SimulationEvent::NodeTick(node, life) => self.tick_node(node, life),
            SimulationEvent::NodeStart(node) => self.start_node(node),
            SimulationEvent::NodeResume(node, life) => self.resume_node(node, life),
            SimulationEvent::LinkUp(node, life, other) => self.bring_link_up(node, life, other),
            SimulationEvent::FrameArrival {
                receiver: to,
                receiver_incarnation: life,
                from_link: from,
                frame,
            } if self.incarnations[to] == life => {
                self.deliver_event(to, Event::Frame { from, frame })
            }
            SimulationEvent::FrameArrival { .. } => {}
            SimulationEvent::CallCompletion { caller, result } => {
                self.deliver_call_result(caller, result)
            }
            SimulationEvent::CallArrival(call) => self.dispatch_call(call),
            SimulationEvent::RequestArrival {
                request_id: ask,
                node,
                request,
            } => self.deliver_request(ask, node, request),
            SimulationEvent::ReplyArrival {
                request_id: ask,
                status,
                body,
            } => self.handle_reply(ask, status, &body),
            SimulationEvent::WatchCheck => self.answer_ready_watches(),
            SimulationEvent::DuplicateCommandArrival(id, body) => {
                self.apply_duplicate_commands(&id, &body)
            }
            SimulationEvent::WorkerWakeup(id, at) => {
                if self
                    .workers
                    .get(&id)
                    .is_some_and(|w| w.next_wakeup_at == at)
                {
                    self.run_worker(&id);
                }
            }
            SimulationEvent::InvariantCheck => self.check_invariants(),
            SimulationEvent::UserWakeup(job) => self.advance_user(&job),
            SimulationEvent::ScriptLine(i) => {
                let line = self.script[i].1.clone();
                crate::trace::execute_line(self, &line);
            }
        }
    }

    fn tick_node(&mut self, node: usize, life: u64) {
        if self.incarnations[node] == life && self.nodes[node].is_some() {
            self.deliver_event(node, Event::Tick);
            self.schedule(
                self.now + NODE_TICK_INTERVAL_MS,
                SimulationEvent::NodeTick(node, life),
            );
        }
        if self.store.expire_leases(self.now) {
            self.answer_ready_watches();
        }
    }

    fn dispatch_call(&mut self, call: OutboundCall) {
        match call.target.clone() {
            Target::Store => self.handle_store_call(call),
            Target::Cloud => self.handle_cloud_call(&call),
            Target::Worker(addr) => self.handle_worker_call(call, &addr),
        }
    }

    pub(super) fn schedule_invariant_check(&mut self) {
        self.schedule(
            self.now + INVARIANT_CHECK_INTERVAL_MS,
            SimulationEvent::InvariantCheck,
        );
    }

    fn check_invariants(&mut self) {
        self.advance_gangs();
        self.check_cancelled_tasks();
        let calm = self.faults_over_at.is_some_and(|calm| self.now >= calm);
        if calm && self.now % CAPACITY_CHECK_INTERVAL_MS == 0 {
            self.check_waits_beside_capacity();
        }
        self.schedule_invariant_check();
    }
}
