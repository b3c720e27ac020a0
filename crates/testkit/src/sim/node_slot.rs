//! A controller in the simulation: its settings, its process and its clock.
use crate::stand_ins::Ms;
use stonegw_control::api::Event;
use stonegw_control::node::{Node, Role};
use stonegw_control::settings::Settings;

/// A pause of a process, with the events that arrive during it.
pub(super) struct ProcessPause {
    pub until: Ms,
    /// How far the process's monotonic clock is moved ahead, in addition to the time passed, when
    /// the process resumes.
    pub clock_jump_ms: Ms,
    pub queued_events: Vec<Event>,
}

/// One of the controller nodes.
pub struct NodeSlot {
    /// The core of the process, while it is up.
    pub process: Option<Node>,
    /// The number of times that the process has ended.
    pub(super) incarnation: u64,
    pub(super) pause: Option<ProcessPause>,
    /// How far the node's monotonic clock is ahead of simulated time.
    pub(super) clock_skew_ms: Ms,
    /// Whether the node was the leader when it was paused and had lost the leader key when it
    /// resumed.
    pub(super) was_deposed_while_paused: bool,
    /// The settings with which the next process starts.
    pub(super) settings: Settings,
}

impl NodeSlot {
    pub(super) fn new(settings: Settings) -> NodeSlot {
        NodeSlot {
            process: None,
            incarnation: 0,
            pause: None,
            clock_skew_ms: 0,
            was_deposed_while_paused: false,
            settings,
        }
    }

    /// Returns whether the process is up.
    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Returns whether the process believes that it is the leader.
    pub fn believes_it_leads(&self) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|process| process.role == Role::Leader)
    }
}
