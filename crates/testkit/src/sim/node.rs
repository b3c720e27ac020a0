//! Controller nodes: the real cores, started and ended, given events, their actions carried out.
use super::event::{Call, Caller, Step};
use super::fault::TrapKind;
use super::user::Asker;
use super::{Sim, STATE_MS};
use crate::outside::{Answer, Ms};
use stonegw_control::api::{Action, CallError, Event, Link, Target};
use stonegw_control::node::{Node, Role};
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

const CLOUD_MS: Ms = 80;
const LINK_MS: Ms = 2;
/// Links dialled to a node are numbered by who dialled, in which life.
const LIVES: u64 = 1_000;

impl Sim {
    /// The node that leads, the first if there are several.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Option<Node>| n.as_ref().is_some_and(|n| n.role == Role::Leading);
        self.nodes.iter().position(leads)
    }

    /// The process ends, and is back later.
    pub fn crash(&mut self, node: usize, back_ms: Ms) {
        if self.nodes[node].take().is_some() {
            self.note(format!("node-{node} ends"));
            self.lives[node] += 1;
            self.pauses.remove(&node);
            self.at(self.now + back_ms, Step::Restart(node));
            for other in 0..self.nodes.len() {
                if let Some(link) = self.link(other, node) {
                    self.give(other, Event::LinkDown(Link::Out(link)));
                }
            }
        }
    }

    /// The process starts, unless it is up.
    pub(super) fn start_node(&mut self, node: usize) {
        if self.nodes[node].is_some() {
            return;
        }
        let life = self.lives[node];
        let seed = 77 + node as u64 * 1_000 + life;
        self.nodes[node] = Some(Node::new(self.settings[node].clone(), seed));
        self.note(format!("node-{node} starts"));
        self.give(node, Event::Start);
        self.at(self.now, Step::Tick(node, life));
        for other in (0..self.nodes.len()).filter(|n| *n != node) {
            let when = self.now + LINK_MS;
            self.at(when, Step::LinkUp(node, life, other));
            self.at(when, Step::LinkUp(other, self.lives[other], node));
        }
    }

    pub(super) fn link_up(&mut self, node: usize, life: u64, other: usize) {
        let open = self.nodes[other].is_some() && !self.links_cut(node, other);
        if self.lives[node] == life && open {
            let link = self.link(node, other).expect("known");
            self.give(node, Event::LinkUp(Link::Out(link)));
        }
    }

    /// A request reaches a node, or fails to connect.
    pub(super) fn asked(&mut self, ask: u64, node: usize, request: Request) {
        if self.nodes[node].is_none() {
            return self.replied(ask, 0, &[]);
        }
        self.give(node, Event::Request { id: ask, request });
    }

    pub(super) fn call_done(&mut self, caller: Caller, result: Result<Answer, CallError>) {
        let Caller { node, life, call } = caller;
        if self.lives[node] == life && self.open.remove(&(node, call)).is_some() {
            self.give(node, Event::CallDone { call, result });
        }
    }

    /// Hands a node one event and carries out what it answers with.
    pub(super) fn give(&mut self, node: usize, event: Event) {
        if let Some(event) = self.keep_for_later(node, event) {
            self.give_all(node, vec![event]);
        }
    }

    /// Hands a node what came together, and carries out what it answers with.
    pub(super) fn give_all(&mut self, node: usize, events: Vec<Event>) {
        let now = self.node_time(node);
        let Some(n) = self.nodes[node].as_mut() else {
            return;
        };
        let led = n.role == Role::Leading;
        let actions = n.handle(now, events);
        let leads = n.role == Role::Leading;
        if leads != led {
            self.deposed_in_pause.remove(&node);
            let what = if leads { "leads" } else { "leads no more" };
            self.note(format!("node-{node} {what}"));
        }
        for action in actions {
            if self.nodes[node].is_none() {
                return;
            }
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Reply {
                id, status, body, ..
            } => self.node_replies(node, id, status, body),
            Action::Send { to, frame } => self.node_sends(node, to, frame),
            Action::Call {
                call,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let life = self.lives[node];
                let caller = Caller { node, life, call };
                let call = Call {
                    caller,
                    target,
                    method,
                    path,
                    body,
                };
                self.node_calls(call, timeout_ms);
            }
        }
    }

    fn node_replies(&mut self, node: usize, ask: u64, status: u16, body: Vec<u8>) {
        if status == 200 && matches!(self.asks.get(&ask), Some(Asker::Worker(_))) {
            self.check_acts_after_pause(node, "a lease is renewed");
            self.given(node, &body);
        }
        let when = self.now + self.wire_ms;
        self.at(when, Step::Reply { ask, status, body });
    }

    fn node_sends(&mut self, node: usize, to: Link, frame: Frame) {
        let Some((other, from)) = self.other_end(node, to) else {
            return;
        };
        if self.nodes_apart(node, other) {
            return;
        }
        let pair = (node.min(other), node.max(other));
        let held = self.hold_frames.get(&pair).copied().unwrap_or(0);
        let step = Step::Frame {
            to: other,
            life: self.lives[other],
            from,
            frame,
        };
        self.at(held.max(self.now + self.wire_ms), step);
    }

    /// The node at the other end of a link, and the link's name there; none if it ended since.
    fn other_end(&self, node: usize, link: Link) -> Option<(usize, Link)> {
        match link {
            Link::Out(i) => {
                let name = &self.settings[node].peers[i];
                let other = self.settings.iter().position(|s| s.node == *name);
                let from = Link::In(self.lives[node] * LIVES + node as u64);
                Some((other.expect("known"), from))
            }
            Link::In(number) => {
                let (life, other) = (number / LIVES, (number % LIVES) as usize);
                let back = self.link(other, node).expect("known");
                (life == self.lives[other]).then_some((other, Link::Out(back)))
            }
        }
    }

    fn node_calls(&mut self, call: Call, timeout_ms: Ms) {
        let caller = call.caller;
        self.check_call_after_pause(&call);
        if let Some(trap) = self.trapped(&call, TrapKind::CrashBefore) {
            return self.crash(caller.node, trap.ms);
        }
        let lag = self.call_lag(&call);
        if call.path == "/do" {
            self.given(caller.node, &call.body);
        }
        self.open.insert((caller.node, caller.call), caller.life);
        let timeout = Step::Answer {
            caller,
            result: Err(CallError::Unknown),
        };
        self.at(self.now + timeout_ms, timeout);
        self.at(self.now + lag, Step::Arrive(call));
    }

    /// How long a call takes to arrive.
    fn call_lag(&mut self, call: &Call) -> Ms {
        let mut lag = match call.target {
            Target::State => STATE_MS,
            Target::Cloud => CLOUD_MS,
            Target::Worker(_) => self.wire_ms,
        };
        if let Some(trap) = self.trapped(call, TrapKind::Delay) {
            self.note(format!("a transaction on {} is held back", trap.key));
            lag = trap.ms;
        }
        if call.path == "/multi" {
            lag = self.late_write().unwrap_or(lag);
        }
        match call.target {
            Target::State => lag + self.state_lag(),
            _ => lag,
        }
    }

    pub(super) fn answer(&mut self, caller: Caller, lag: Ms, answer: Answer) {
        let result = Ok(answer);
        self.at(self.now + lag, Step::Answer { caller, result });
    }
}
