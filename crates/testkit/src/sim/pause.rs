//! Processes that stand still while their clock runs on, and perhaps further than time does.
use super::event::{Call, Step};
use super::Sim;
use crate::outside::Ms;
use stonegw_control::api::{Event, Now, Target};
use stonegw_control::node::{Node, Role};
use stonegw_control::records::LEADER;

/// What a node's process is given while it stands still, and until when it does.
pub(super) struct Pause {
    until: Ms,
    /// By how much more its clock will have gone on than time has.
    jump: Ms,
    events: Vec<Event>,
}

impl Sim {
    /// The process stands still for so long; then its clock is so much further ahead.
    pub fn pause(&mut self, node: usize, lag: Ms, jump: Ms) {
        let until = self.now + lag;
        let events = vec![];
        let pause = Pause {
            until,
            jump,
            events,
        };
        if self.nodes[node].is_some() && !self.pauses.contains_key(&node) {
            self.pauses.insert(node, pause);
            self.at(until, Step::Resume(node, self.lives[node]));
        }
    }

    /// The process runs again and takes all that has come meanwhile, in one turn.
    pub(super) fn resume(&mut self, node: usize, life: u64) {
        if self.lives[node] != life {
            return;
        }
        if let Some(pause) = self.pauses.remove(&node) {
            self.clock_ahead[node] += pause.jump;
            self.note(format!("node-{node} goes on"));
            if self.believes_to_lead(node) && !self.holds_leader_key(node) {
                self.deposed_in_pause.insert(node);
            }
            self.give_all(node, pause.events);
        }
    }

    /// Keeps the event of a process that stands still; gives it back if it does not.
    pub(super) fn keep_for_later(&mut self, node: usize, event: Event) -> Option<Event> {
        match self.pauses.get_mut(&node) {
            Some(pause) if self.now < pause.until => {
                pause.events.push(event);
                None
            }
            _ => Some(event),
        }
    }

    /// The time as the node's clocks tell it.
    pub(super) fn node_time(&self, node: usize) -> Now {
        Now {
            ms: self.now + 1 + self.clock_ahead[node],
            wall_ms: 1_000_000 + self.now,
        }
    }

    fn believes_to_lead(&self, node: usize) -> bool {
        let leads = |n: &Node| n.role == Role::Leading;
        self.nodes[node].as_ref().is_some_and(leads)
    }

    fn holds_leader_key(&self, node: usize) -> bool {
        let record = self.state.keys.get(LEADER).map(|entry| &entry.0);
        record.is_some_and(|leader| leader["node"] == self.settings[node].node.as_str())
    }

    /// A node that another has replaced while it stood still neither commands nor writes nor rents.
    pub(super) fn check_call_after_pause(&mut self, call: &Call) {
        let acts = match call.target {
            Target::State => call.path == "/multi" && contains(&call.body, LEADER),
            Target::Cloud => call.method == "POST",
            Target::Worker(_) => true,
        };
        if acts {
            self.check_acts_after_pause(call.caller.node, &call.path);
        }
    }

    /// Nor does it renew a worker's lease.
    pub(super) fn check_acts_after_pause(&mut self, node: usize, what: &str) {
        if self.deposed_in_pause.contains(&node) && self.believes_to_lead(node) {
            self.fail(format!("node-{node} acts though it was deposed: {what}"));
        }
    }
}

fn contains(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}
