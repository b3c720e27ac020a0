//! Processes that stand still while their clock runs on, and perhaps further than time does.
use super::event::{OutboundCall, SimulationEvent};
use super::Simulation;
use crate::stand_ins::Ms;
use stonegw_control::api::{Event, Now, Target};
use stonegw_control::node::{Node, Role};
use stonegw_control::records::LEADER_KEY;

/// What a node's process is given while it stands still, and until when it does.
pub(super) struct ProcessPause {
    paused_until: Ms,
    /// By how much more its clock will have gone on than time has.
    clock_jump_ms: Ms,
    queued_events: Vec<Event>,
}

impl Simulation {
    /// The process stands still for so long; then its clock is so much further ahead.
    pub fn pause_node(&mut self, node: usize, lag: Ms, jump: Ms) {
        let until = self.now + lag;
        let events = vec![];
        let pause = ProcessPause {
            paused_until: until,
            clock_jump_ms: jump,
            queued_events: events,
        };
        if self.nodes[node].is_some() && !self.pauses.contains_key(&node) {
            self.pauses.insert(node, pause);
            self.schedule(
                until,
                SimulationEvent::NodeResume(node, self.incarnations[node]),
            );
        }
    }

    /// The process runs again and takes all that has come meanwhile, in one turn.
    pub(super) fn resume_node(&mut self, node: usize, life: u64) {
        if self.incarnations[node] != life {
            return;
        }
        if let Some(pause) = self.pauses.remove(&node) {
            self.clock_skew_ms[node] += pause.clock_jump_ms;
            self.append_log(format!("node-{node} goes on"));
            if self.believes_it_leads(node) && !self.holds_leader_key(node) {
                self.deposed_while_paused.insert(node);
            }
            self.deliver_events(node, pause.queued_events);
        }
    }

    /// Keeps the event of a process that stands still; gives it back if it does not.
    pub(super) fn queue_if_paused(&mut self, node: usize, event: Event) -> Option<Event> {
        match self.pauses.get_mut(&node) {
            Some(pause) if self.now < pause.paused_until => {
                pause.queued_events.push(event);
                None
            }
            _ => Some(event),
        }
    }

    /// The time as the node's clocks tell it.
    pub(super) fn node_time(&self, node: usize) -> Now {
        Now {
            monotonic_ms: self.now + 1 + self.clock_skew_ms[node],
            wall_ms: 1_000_000 + self.now,
        }
    }

    fn believes_it_leads(&self, node: usize) -> bool {
        let leads = |n: &Node| n.role == Role::Leader;
        self.nodes[node].as_ref().is_some_and(leads)
    }

    fn holds_leader_key(&self, node: usize) -> bool {
        let record = self.store.entries.get(LEADER_KEY).map(|entry| &entry.0);
        record.is_some_and(|leader| leader["node"] == self.settings[node].node_name.as_str())
    }

    /// A node that another has replaced while it stood still neither commands nor writes nor rents.
    pub(super) fn check_deposed_call(&mut self, call: &OutboundCall) {
        let acts = match call.target {
            Target::Store => call.path == "/multi" && body_contains(&call.body, LEADER_KEY),
            Target::Cloud => call.method == "POST",
            Target::Worker(_) => true,
        };
        if acts {
            self.check_deposed_action(call.caller.node, &call.path);
        }
    }

    /// Nor does it renew a worker's lease.
    pub(super) fn check_deposed_action(&mut self, node: usize, what: &str) {
        if self.deposed_while_paused.contains(&node) && self.believes_it_leads(node) {
            self.record_expectation_failure(format!(
                "node-{node} acts though it was deposed: {what}"
            ));
        }
    }
}

fn body_contains(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}
