//! Controller nodes: the real cores, started and ended, given events, their actions carried out.
use super::event::{Caller, OutboundCall, SimulationEvent};
use super::fault::TransactionFaultKind;
use super::user::Requester;
use super::{Simulation, STORE_LATENCY_MS};
use crate::stand_ins::{Ms, Response};
use stonegw_control::api::{Action, CallError, Event, Link, Target};
use stonegw_control::node::{Node, Role};
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

const CLOUD_LATENCY_MS: Ms = 80;
const LINK_SETUP_MS: Ms = 2;
/// Links dialled to a node are numbered by who dialled, in which life.
const LINK_NUMBER_STRIDE: u64 = 1_000;

impl Simulation {
    /// The node that leads, the first if there are several.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Option<Node>| n.as_ref().is_some_and(|n| n.role == Role::Leader);
        self.nodes.iter().position(leads)
    }

    /// The process ends, and is back later.
    pub fn crash_node(&mut self, node: usize, back_ms: Ms) {
        if self.nodes[node].take().is_some() {
            self.append_log(format!("node-{node} ends"));
            self.incarnations[node] += 1;
            self.pauses.remove(&node);
            self.schedule(self.now + back_ms, SimulationEvent::NodeStart(node));
            for other in 0..self.nodes.len() {
                if let Some(link) = self.link_index(other, node) {
                    self.deliver_event(other, Event::LinkDown(Link::Outbound(link)));
                }
            }
        }
    }

    /// The process starts, unless it is up.
    pub(super) fn start_node(&mut self, node: usize) {
        if self.nodes[node].is_some() {
            return;
        }
        let life = self.incarnations[node];
        let seed = 77 + node as u64 * 1_000 + life;
        self.nodes[node] = Some(Node::new(self.settings[node].clone(), seed));
        self.append_log(format!("node-{node} starts"));
        self.deliver_event(node, Event::Start);
        self.schedule(self.now, SimulationEvent::NodeTick(node, life));
        for other in (0..self.nodes.len()).filter(|n| *n != node) {
            let when = self.now + LINK_SETUP_MS;
            self.schedule(when, SimulationEvent::LinkUp(node, life, other));
            self.schedule(
                when,
                SimulationEvent::LinkUp(other, self.incarnations[other], node),
            );
        }
    }

    pub(super) fn bring_link_up(&mut self, node: usize, life: u64, other: usize) {
        let open = self.nodes[other].is_some() && !self.are_links_down(node, other);
        if self.incarnations[node] == life && open {
            let link = self.link_index(node, other).expect("known");
            self.deliver_event(node, Event::LinkUp(Link::Outbound(link)));
        }
    }

    /// A request reaches a node, or fails to connect.
    pub(super) fn deliver_request(&mut self, ask: u64, node: usize, request: Request) {
        if self.nodes[node].is_none() {
            return self.handle_reply(ask, 0, &[]);
        }
        self.deliver_event(
            node,
            Event::Request {
                request_id: ask,
                request,
            },
        );
    }

    pub(super) fn deliver_call_result(
        &mut self,
        caller: Caller,
        result: Result<Response, CallError>,
    ) {
        let Caller {
            node,
            incarnation: life,
            call_id: call,
        } = caller;
        if self.incarnations[node] == life && self.calls_in_flight.remove(&(node, call)).is_some() {
            self.deliver_event(
                node,
                Event::CallDone {
                    call_id: call,
                    result,
                },
            );
        }
    }

    /// Hands a node one event and carries out what it answers with.
    pub(super) fn deliver_event(&mut self, node: usize, event: Event) {
        if let Some(event) = self.queue_if_paused(node, event) {
            self.deliver_events(node, vec![event]);
        }
    }

    /// Hands a node what came together, and carries out what it answers with.
    pub(super) fn deliver_events(&mut self, node: usize, events: Vec<Event>) {
        let now = self.node_time(node);
        let Some(n) = self.nodes[node].as_mut() else {
            return;
        };
        let led = n.role == Role::Leader;
        let actions = n.handle(now, events);
        let leads = n.role == Role::Leader;
        if leads != led {
            self.deposed_while_paused.remove(&node);
            let what = if leads { "leads" } else { "leads no more" };
            self.append_log(format!("node-{node} {what}"));
        }
        for action in actions {
            if self.nodes[node].is_none() {
                return;
            }
            self.perform_action(node, action);
        }
    }

    fn perform_action(&mut self, node: usize, action: Action) {
        match action {
            Action::Reply {
                request_id: id,
                status,
                body,
                ..
            } => self.handle_node_reply(node, id, status, body),
            Action::SendFrame { to, frame } => self.send_frame(node, to, frame),
            Action::Call {
                call_id: call,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let life = self.incarnations[node];
                let caller = Caller {
                    node,
                    incarnation: life,
                    call_id: call,
                };
                let call = OutboundCall {
                    caller,
                    target,
                    method,
                    path,
                    body,
                };
                self.start_call(call, timeout_ms);
            }
        }
    }

    fn handle_node_reply(&mut self, node: usize, ask: u64, status: u16, body: Vec<u8>) {
        if status == 200 && matches!(self.pending_requests.get(&ask), Some(Requester::Worker(_))) {
            self.check_deposed_action(node, "a lease is renewed");
            self.check_sent_commands(node, &body);
        }
        let when = self.now + self.network_latency_ms;
        self.schedule(
            when,
            SimulationEvent::ReplyArrival {
                request_id: ask,
                status,
                body,
            },
        );
    }

    fn send_frame(&mut self, node: usize, to: Link, frame: Frame) {
        let Some((other, from)) = self.resolve_link(node, to) else {
            return;
        };
        if self.are_nodes_partitioned(node, other) {
            return;
        }
        let pair = (node.min(other), node.max(other));
        let held = self.frames_held_until.get(&pair).copied().unwrap_or(0);
        let step = SimulationEvent::FrameArrival {
            receiver: other,
            receiver_incarnation: self.incarnations[other],
            from_link: from,
            frame,
        };
        self.schedule(held.max(self.now + self.network_latency_ms), step);
    }

    /// The node at the other end of a link, and the link's name there; none if it ended since.
    fn resolve_link(&self, node: usize, link: Link) -> Option<(usize, Link)> {
        match link {
            Link::Outbound(i) => {
                let name = &self.settings[node].peers[i];
                let other = self.settings.iter().position(|s| s.node_name == *name);
                let from =
                    Link::Inbound(self.incarnations[node] * LINK_NUMBER_STRIDE + node as u64);
                Some((other.expect("known"), from))
            }
            Link::Inbound(number) => {
                let (life, other) = (
                    number / LINK_NUMBER_STRIDE,
                    (number % LINK_NUMBER_STRIDE) as usize,
                );
                let back = self.link_index(other, node).expect("known");
                (life == self.incarnations[other]).then_some((other, Link::Outbound(back)))
            }
        }
    }

    fn start_call(&mut self, call: OutboundCall, timeout_ms: Ms) {
        let caller = call.caller;
        self.check_deposed_call(&call);
        if let Some(trap) = self.take_transaction_fault(&call, TransactionFaultKind::CrashBefore) {
            return self.crash_node(caller.node, trap.delay_ms);
        }
        let lag = self.call_latency(&call);
        if call.path == "/do" {
            self.check_sent_commands(caller.node, &call.body);
        }
        self.calls_in_flight
            .insert((caller.node, caller.call_id), caller.incarnation);
        let timeout = SimulationEvent::CallCompletion {
            caller,
            result: Err(CallError::OutcomeUnknown),
        };
        self.schedule(self.now + timeout_ms, timeout);
        self.schedule(self.now + lag, SimulationEvent::CallArrival(call));
    }

    /// How long a call takes to arrive.
    fn call_latency(&mut self, call: &OutboundCall) -> Ms {
        let mut lag = match call.target {
            Target::Store => STORE_LATENCY_MS,
            Target::Cloud => CLOUD_LATENCY_MS,
            Target::Worker(_) => self.network_latency_ms,
        };
        if let Some(trap) = self.take_transaction_fault(call, TransactionFaultKind::DelayRequest) {
            self.append_log(format!("a transaction on {} is held back", trap.key));
            lag = trap.delay_ms;
        }
        if call.path == "/multi" {
            lag = self.next_transaction_delay().unwrap_or(lag);
        }
        match call.target {
            Target::Store => lag + self.extra_store_latency(),
            _ => lag,
        }
    }

    pub(super) fn schedule_response(&mut self, caller: Caller, lag: Ms, answer: Response) {
        let result = Ok(answer);
        self.schedule(
            self.now + lag,
            SimulationEvent::CallCompletion { caller, result },
        );
    }
}
