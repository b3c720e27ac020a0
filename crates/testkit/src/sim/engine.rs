//! Takes the events in order of time, and hands each to whoever handles it.
use super::event::{FollowUp, OutboundCall, SimulationEvent};
use super::simulation::Simulation;
use crate::checks::EdgeCaseRequest;
use crate::stand_ins::Ms;
use stonegw_control::api::{Event, Target};
use stonegw_wire::msg::encode;

const NODE_TICK_INTERVAL_MS: Ms = 50;

impl Simulation {
    /// Runs up to that time; no script line may be due until then.
    pub fn run_until(&mut self, until: Ms) {
        let line = self.run_until_script_line(until);
        assert!(line.is_none(), "nobody plays the script line {line:?}");
    }

    /// Runs up to the next script line that is due until then, which is returned, or to that time.
    pub fn run_until_script_line(&mut self, until: Ms) -> Option<Vec<String>> {
        while let Some(next) = self.queue.pop_due(until) {
            self.now = next.due_at;
            match next.event {
                SimulationEvent::ScriptLine(line) => return Some(line),
                event => self.dispatch_event(event),
            }
        }
        self.now = until;
        None
    }

    fn dispatch_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::NodeStart(node) => self.start_node(node),
            SimulationEvent::NodeTick { node, incarnation } => self.tick_node(node, incarnation),
            SimulationEvent::NodeResume { node, incarnation } => {
                self.resume_node(node, incarnation)
            }
            SimulationEvent::LinkUp {
                node,
                incarnation,
                peer,
            } => self.bring_link_up(node, incarnation, peer),
            SimulationEvent::FrameArrival {
                receiver,
                receiver_incarnation,
                from_link: from,
                frame,
            } => {
                if self.nodes[receiver].incarnation == receiver_incarnation {
                    self.deliver_event(receiver, Event::Frame { from, frame });
                }
            }
            SimulationEvent::CallArrival(call) => self.dispatch_call(call),
            SimulationEvent::CallCompletion { caller, result } => {
                self.deliver_call_result(caller, result)
            }
            SimulationEvent::RequestArrival {
                request_id,
                node,
                request,
            } => self.deliver_request(request_id, node, request),
            SimulationEvent::ReplyArrival {
                request_id,
                status,
                body,
            } => self.handle_reply(request_id, status, &body),
            SimulationEvent::WorkerWakeup { machine_id, at } => self.wake_worker(&machine_id, at),
            SimulationEvent::DuplicateCommandArrival { machine_id, body } => {
                self.apply_duplicate_commands(&machine_id, &body)
            }
            SimulationEvent::UserWakeup(job_id) => self.advance_user(&job_id),
            SimulationEvent::WatchCheck => self.answer_ready_watches(),
            SimulationEvent::InvariantCheck => self.advance_gangs_and_check_rules(),
            SimulationEvent::FollowUp(follow_up) => self.handle_follow_up(follow_up),
            SimulationEvent::ScriptLine(_) => unreachable!("returned to whoever plays it"),
        }
    }

    fn tick_node(&mut self, node: usize, incarnation: u64) {
        let slot = &self.nodes[node];
        if slot.incarnation == incarnation && slot.is_up() {
            self.deliver_event(node, Event::Tick);
            let next_tick = SimulationEvent::NodeTick { node, incarnation };
            self.schedule_after(NODE_TICK_INTERVAL_MS, next_tick);
        }
        if self.store.expire_leases(self.now) {
            self.answer_ready_watches();
        }
    }

    fn dispatch_call(&mut self, call: OutboundCall) {
        match call.target.clone() {
            Target::Store => self.handle_store_call(call),
            Target::Cloud => self.handle_cloud_call(&call),
            Target::Worker(address) => self.handle_worker_call(call, &address),
        }
    }

    fn handle_follow_up(&mut self, follow_up: FollowUp) {
        self.append_log(format!("-- {follow_up}"));
        match follow_up {
            FollowUp::CancelJob(job_id) => {
                if let Some(node) = self.next_balanced_node() {
                    self.cancel_job_now(&job_id, node);
                }
            }
            FollowUp::FailTask(task_id) => self.fail_task(&task_id),
            FollowUp::EvictMachine(machine_id) => self.evict_machine(&machine_id),
            FollowUp::QueryEverywhere(job_id) => {
                for node in 0..self.nodes.len() {
                    self.send_edge_case_request(node, EdgeCaseRequest::Query, &job_id, vec![]);
                }
            }
            FollowUp::RepeatEverywhere(job_id) => {
                let body = encode(&self.jobs[&job_id].spec);
                for node in 0..self.nodes.len() {
                    let body = body.clone();
                    self.send_edge_case_request(node, EdgeCaseRequest::Repeat, &job_id, body);
                }
            }
        }
    }
}
