//! A controller's place in the simulation: its settings, its process, its clock.
use crate::stand_ins::Ms;
use stonegw_control::api::Event;
use stonegw_control::node::{Node, Role};
use stonegw_control::settings::Settings;

/// The events that a process gets while it is paused, and until when it is.
pub(super) struct ProcessPause {
    pub until: Ms,
    /// By how much more its clock will have gone on than time has.
    pub clock_jump_ms: Ms,
    pub queued_events: Vec<Event>,
}

/// One of the controllers.
pub struct NodeSlot {
    /// The core, while its process is up.
    pub process: Option<Node>,
    /// How often its process has ended.
    pub(super) incarnation: u64,
    pub(super) pause: Option<ProcessPause>,
    /// By how much its monotonic clock is ahead of simulated time.
    pub(super) clock_skew_ms: Ms,
    /// It led when it was paused, and had lost the leader key when it went on.
    pub(super) was_deposed_while_paused: bool,
    /// What its next process starts with.
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

    /// Whether its process is up.
    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Whether its process takes itself for the leader.
    pub fn believes_it_leads(&self) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|process| process.role == Role::Leader)
    }
}
