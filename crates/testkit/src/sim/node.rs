//! Controller nodes: starts and ends their processes, delivers events to the real cores and
//! performs the actions that they return.
use super::event::{Caller, OutboundCall, SimulationEvent};
use super::simulation::{CallKey, Simulation};
use crate::stand_ins::{
    HttpResponse, Ms, TransactionFaultKind, CLOUD_LATENCY_MS, STORE_LATENCY_MS,
};
use stonegw_control::api::{Action, CallError, Event, Link, Target};
use stonegw_control::node::Node;
use stonegw_wire::http::Request;

const LINK_SETUP_MS: Ms = 2;
/// The seed of a process is derived from its node and incarnation, so each process has its own.
const FIRST_SEED: u64 = 77;
const SEEDS_PER_NODE: u64 = 1_000;

impl Simulation {
    /// Returns the node that leads; the one with the lowest index if several believe that they do.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|slot| slot.believes_it_leads())
    }

    /// Ends a node's process and schedules its restart.
    pub fn crash_node(&mut self, node: usize, restart_delay_ms: Ms) {
        if self.nodes[node].process.take().is_none() {
            return;
        }
        self.append_log(format!("node-{node} ends"));
        let slot = &mut self.nodes[node];
        slot.incarnation += 1;
        slot.pause = None;
        self.schedule_after(restart_delay_ms, SimulationEvent::NodeStart(node));
        for peer in 0..self.nodes.len() {
            if let Some(link) = self.link_index(peer, node) {
                self.deliver_event(peer, Event::LinkDown(Link::Outbound(link)));
            }
        }
    }

    /// Starts a node's process unless it is up.
    pub(super) fn start_node(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        if slot.is_up() {
            return;
        }
        let incarnation = slot.incarnation;
        let seed = FIRST_SEED + node as u64 * SEEDS_PER_NODE + incarnation;
        slot.process = Some(Node::new(slot.settings.clone(), seed));
        self.append_log(format!("node-{node} starts"));
        self.deliver_event(node, Event::Start);
        self.schedule(self.now, SimulationEvent::NodeTick { node, incarnation });
        let links_up_at = self.now + LINK_SETUP_MS;
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
            let link_up = SimulationEvent::LinkUp {
                node,
                incarnation,
                peer,
            };
            self.schedule(links_up_at, link_up);
            self.schedule_link_up(links_up_at, peer, node);
        }
    }

    /// Delivers a request to a node; if its process is down, the connection fails and the reply has
    /// status 0.
    pub(super) fn deliver_request(&mut self, request_id: u64, node: usize, request: Request) {
        if !self.nodes[node].is_up() {
            return self.handle_reply(request_id, 0, &[]);
        }
        let event = Event::Request {
            request_id,
            request,
        };
        self.deliver_event(node, event);
    }

    pub(super) fn deliver_call_result(
        &mut self,
        caller: Caller,
        result: Result<HttpResponse, CallError>,
    ) {
        let Caller {
            node,
            incarnation,
            call_id,
        } = caller;
        let key = CallKey { node, call_id };
        if self.nodes[node].incarnation == incarnation && self.calls_in_flight.remove(&key) {
            let result = result.map(|response| (response.status, response.body));
            self.deliver_event(node, Event::CallDone { call_id, result });
        }
    }

    /// Delivers one event to a node, or queues it while the node is paused, and performs the node's
    /// actions.
    pub(super) fn deliver_event(&mut self, node: usize, event: Event) {
        if let Some(event) = self.queue_if_paused(node, event) {
            self.deliver_events(node, vec![event]);
        }
    }

    /// Delivers several events to a node in one turn and performs the node's actions.
    pub(super) fn deliver_events(&mut self, node: usize, events: Vec<Event>) {
        let now = self.node_time(node);
        let slot = &mut self.nodes[node];
        let led_before = slot.believes_it_leads();
        let Some(process) = slot.process.as_mut() else {
            return;
        };
        let actions = process.handle(now, events);
        let leads = slot.believes_it_leads();
        if leads != led_before {
            slot.was_deposed_while_paused = false;
            let change = if leads { "leads" } else { "loses leadership" };
            self.append_log(format!("node-{node} {change}"));
        }
        for action in actions {
            if !self.nodes[node].is_up() {
                return;
            }
            self.perform_action(node, action);
        }
    }

    fn perform_action(&mut self, node: usize, action: Action) {
        match action {
            Action::Reply {
                request_id,
                status,
                body,
                ..
            } => self.send_reply(node, request_id, status, body),
            Action::SendFrame { to, frame } => self.send_frame(node, to, frame),
            Action::Call {
                call_id,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let caller = Caller {
                    node,
                    incarnation: self.nodes[node].incarnation,
                    call_id,
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

    fn send_reply(&mut self, node: usize, request_id: u64, status: u16, body: Vec<u8>) {
        if status == 200 && self.requests.is_heartbeat(request_id) {
            self.check_deposed_action(node, "a lease is renewed");
            self.check_sent_commands(node, &body);
        }
        let arrival = SimulationEvent::ReplyArrival {
            request_id,
            status,
            body,
        };
        self.schedule_after(self.network_latency_ms, arrival);
    }

    fn start_call(&mut self, call: OutboundCall, timeout_ms: Ms) {
        let caller = call.caller;
        self.check_deposed_call(&call);
        let crash = self.take_transaction_fault(&call, TransactionFaultKind::CrashBefore);
        if let Some(fault) = crash {
            return self.crash_node(caller.node, fault.delay_ms);
        }
        let latency = self.call_latency(&call);
        if call.path == "/do" {
            self.check_sent_commands(caller.node, &call.body);
        }
        self.calls_in_flight.insert(CallKey {
            node: caller.node,
            call_id: caller.call_id,
        });
        let timeout = SimulationEvent::CallCompletion {
            caller,
            result: Err(CallError::OutcomeUnknown),
        };
        self.schedule_after(timeout_ms, timeout);
        self.schedule_after(latency, SimulationEvent::CallArrival(call));
    }

    /// Returns the time that a call takes to arrive, including the delays by faults.
    fn call_latency(&mut self, call: &OutboundCall) -> Ms {
        let mut latency = match call.target {
            Target::Store => STORE_LATENCY_MS,
            Target::Cloud => CLOUD_LATENCY_MS,
            Target::Worker(_) => self.network_latency_ms,
        };
        let delay = self.take_transaction_fault(call, TransactionFaultKind::DelayRequest);
        if let Some(fault) = delay {
            self.append_log(format!("a transaction on {} is delayed", fault.key));
            latency = fault.delay_ms;
        }
        if call.path == "/multi" {
            if let Some(delay_ms) = self.store_faults.next_transaction_delay(self.now) {
                let delay_s = delay_ms as f64 / 1e3;
                self.append_log(format!("a transaction is delayed by {delay_s} s"));
                latency = delay_ms;
            }
        }
        match call.target {
            Target::Store => latency + self.store_faults.extra_latency(self.now),
            _ => latency,
        }
    }

    pub(super) fn schedule_response(
        &mut self,
        caller: Caller,
        latency: Ms,
        response: HttpResponse,
    ) {
        let completion = SimulationEvent::CallCompletion {
            caller,
            result: Ok(response),
        };
        self.schedule_after(latency, completion);
    }
}
