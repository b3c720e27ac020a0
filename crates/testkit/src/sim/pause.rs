//! Pauses of processes. The clocks of a paused process advance; when the process resumes, its
//! monotonic clock may jump further ahead than the time passed.
use super::event::{OutboundCall, SimulationEvent};
use super::node_slot::ProcessPause;
use super::simulation::Simulation;
use crate::stand_ins::Ms;
use stonegw_control::api::{Event, Now, Target};
use stonegw_control::records::LEADER_KEY;

/// The time of day at the start of the simulation.
const WALL_CLOCK_START_MS: u64 = 1_000_000;

impl Simulation {
    /// Pauses a node's process for `duration`. When it resumes, its monotonic clock is moved ahead
    /// by `clock_jump_ms` in addition to the time passed.
    pub fn pause_node(&mut self, node: usize, duration: Ms, clock_jump_ms: Ms) {
        let until = self.now + duration;
        let slot = &mut self.nodes[node];
        if !slot.is_up() || slot.pause.is_some() {
            return;
        }
        slot.pause = Some(ProcessPause {
            until,
            clock_jump_ms,
            queued_events: vec![],
        });
        let incarnation = slot.incarnation;
        self.schedule(until, SimulationEvent::NodeResume { node, incarnation });
    }

    /// Resumes a paused process; it handles all events that arrived meanwhile in one turn.
    pub(super) fn resume_node(&mut self, node: usize, incarnation: u64) {
        let slot = &mut self.nodes[node];
        if slot.incarnation != incarnation {
            return;
        }
        let Some(pause) = slot.pause.take() else {
            return;
        };
        slot.clock_skew_ms += pause.clock_jump_ms;
        self.append_log(format!("node-{node} resumes"));
        if self.nodes[node].believes_it_leads() && !self.holds_leader_key(node) {
            self.nodes[node].was_deposed_while_paused = true;
        }
        self.deliver_events(node, pause.queued_events);
    }

    /// Queues the event if the process is paused, else returns it.
    pub(super) fn queue_if_paused(&mut self, node: usize, event: Event) -> Option<Event> {
        match &mut self.nodes[node].pause {
            Some(pause) if self.now < pause.until => {
                pause.queued_events.push(event);
                None
            }
            _ => Some(event),
        }
    }

    /// Returns the time that the node's clocks show.
    pub(super) fn node_time(&self, node: usize) -> Now {
        Now {
            monotonic_ms: self.now + 1 + self.nodes[node].clock_skew_ms,
            wall_ms: WALL_CLOCK_START_MS + self.now,
        }
    }

    fn holds_leader_key(&self, node: usize) -> bool {
        let node_name = self.nodes[node].settings.node_name.as_str();
        let entry = self.store.entries.get(LEADER_KEY);
        entry.is_some_and(|entry| entry.value["node"] == node_name)
    }

    /// Records a failure if a node that was deposed while paused makes a call that only a leader
    /// may make: a call to a worker, a transaction that names the leader key, or a change of
    /// machines at the cloud.
    pub(super) fn check_deposed_call(&mut self, call: &OutboundCall) {
        let acts_as_leader = match call.target {
            Target::Store => call.path == "/multi" && contains_text(&call.body, LEADER_KEY),
            Target::Cloud => call.method == "POST",
            Target::Worker(_) => true,
        };
        if acts_as_leader {
            self.check_deposed_action(call.caller.node, &call.path);
        }
    }

    /// Records a failure if a node that was deposed while paused performs an action of a leader,
    /// such as the renewal of a worker's lease.
    pub(super) fn check_deposed_action(&mut self, node: usize, action: &str) {
        let slot = &self.nodes[node];
        if slot.was_deposed_while_paused && slot.believes_it_leads() {
            self.record_expectation_failure(format!(
                "node-{node} acts as leader although it was deposed: {action}"
            ));
        }
    }
}

fn contains_text(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}
