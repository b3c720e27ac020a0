//! The queue of events in simulated time, and who handles each.
use super::Sim;
use crate::outside::{Answer, Ms};
use stonegw_control::api::{CallError, Event, Link, Target};
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

/// Gangs, and rules that time alone can break, are looked at so often.
const CHECK_MS: Ms = 100;
const ROOM_CHECK_MS: Ms = 1_000;
const TICK_MS: Ms = 50;

/// Which call of which node, in which of its lives: whom an answer is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    pub node: usize,
    pub life: u64,
    pub call: u64,
}

/// A request of a node to the state service, the cloud or a worker.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub caller: Caller,
    pub target: Target,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
}

/// What happens at some moment.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A node's clock ticks, in that life of it.
    Tick(usize, u64),
    /// A worker's turn, if it is still the one that it waits for.
    WorkerTurn(String, Ms),
    /// A call arrives at its target.
    Arrive(Call),
    /// Its answer arrives at the node.
    Answer {
        caller: Caller,
        result: Result<Answer, CallError>,
    },
    Restart(usize),
    /// A process that stood still goes on, in that life of it.
    Resume(usize, u64),
    /// A request of a user or a worker arrives at a node.
    Ask {
        ask: u64,
        node: usize,
        request: Request,
    },
    /// Its answer arrives.
    Reply {
        ask: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A frame of another node arrives.
    Frame {
        to: usize,
        life: u64,
        from: Link,
        frame: Frame,
    },
    /// A node, in that life of it, reaches another one.
    LinkUp(usize, u64, usize),
    /// A user's turn to ask about a job.
    User(String),
    /// A look at gangs, and at the rules that time alone can break.
    Check,
    /// A line of the script.
    Script(usize),
    /// Open watches are looked at.
    Wake,
    /// A direct command arrives once more.
    Copy(String, Vec<u8>),
}

/// A step and its moment; steps of the same moment happen in the order they were planned in.
pub(super) struct Due {
    pub when: Ms,
    pub seq: u64,
    pub step: Step,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.when, self.seq) == (other.when, other.seq)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    /// The earliest is the greatest: it leaves the heap first.
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (other.when, other.seq).cmp(&(self.when, self.seq))
    }
}

impl Sim {
    /// Lines of the script, each with its moment.
    pub fn script(&mut self, lines: Vec<(Ms, Vec<String>)>) {
        self.script = lines;
        for i in 0..self.script.len() {
            let at = self.script[i].0;
            self.at(at, Step::Script(i));
        }
    }

    /// Another line of the script, so much later.
    pub fn later(&mut self, lag: Ms, line: Vec<String>) {
        let when = self.now + lag;
        self.script.push((when, line));
        self.at(when, Step::Script(self.script.len() - 1));
    }

    pub(super) fn at(&mut self, when: Ms, step: Step) {
        self.seq += 1;
        self.queue.push(Due {
            when,
            seq: self.seq,
            step,
        });
    }

    /// Runs the world up to that moment.
    pub fn run(&mut self, until: Ms) {
        while self.queue.peek().is_some_and(|due| due.when <= until) {
            let due = self.queue.pop().expect("seen");
            self.now = due.when;
            self.step(due.step);
        }
        self.now = until;
    }

    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Tick(node, life) => self.tick(node, life),
            Step::Restart(node) => self.start_node(node),
            Step::Resume(node, life) => self.resume(node, life),
            Step::LinkUp(node, life, other) => self.link_up(node, life, other),
            Step::Frame {
                to,
                life,
                from,
                frame,
            } if self.lives[to] == life => self.give(to, Event::Frame { from, frame }),
            Step::Frame { .. } => {}
            Step::Answer { caller, result } => self.call_done(caller, result),
            Step::Arrive(call) => self.arrive(call),
            Step::Ask { ask, node, request } => self.asked(ask, node, request),
            Step::Reply { ask, status, body } => self.replied(ask, status, &body),
            Step::Wake => self.wake_watches(),
            Step::Copy(id, body) => self.copy_arrives(&id, &body),
            Step::WorkerTurn(id, at) => {
                if self.workers.get(&id).is_some_and(|w| w.turn_at == at) {
                    self.worker_turn(&id);
                }
            }
            Step::Check => self.check_rules(),
            Step::User(job) => self.user_turn(&job),
            Step::Script(i) => {
                let line = self.script[i].1.clone();
                crate::trace::act(self, &line);
            }
        }
    }

    fn tick(&mut self, node: usize, life: u64) {
        if self.lives[node] == life && self.nodes[node].is_some() {
            self.give(node, Event::Tick);
            self.at(self.now + TICK_MS, Step::Tick(node, life));
        }
        if self.state.expire(self.now) {
            self.wake_watches();
        }
    }

    fn arrive(&mut self, call: Call) {
        match call.target.clone() {
            Target::State => self.at_state(call),
            Target::Cloud => self.at_cloud(&call),
            Target::Worker(addr) => self.at_worker(call, &addr),
        }
    }

    pub(super) fn plan_check(&mut self) {
        self.at(self.now + CHECK_MS, Step::Check);
    }

    fn check_rules(&mut self) {
        self.gangs_turn();
        self.check_cancelled();
        let calm = self.calm.is_some_and(|calm| self.now >= calm);
        if calm && self.now % ROOM_CHECK_MS == 0 {
            self.check_room();
        }
        self.plan_check();
    }
}
