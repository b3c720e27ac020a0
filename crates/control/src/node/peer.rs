//! What a node knows of each other controller.
use crate::api::Ms;
use stonegw_constants as k;

/// Another controller, as its link shows it.
#[derive(Default)]
pub(super) struct Peer {
    pub(super) up: bool,
    pub(super) heard: Ms,
    pub(super) state_ok: bool,
    /// Has been told the counts of all jobs over this link.
    pub(super) counted: bool,
}

impl Peer {
    /// Its link is up and it was heard lately.
    pub(super) fn heard(&self, now: Ms) -> bool {
        self.up && now < self.heard + k::PEER_SILENT_MS
    }
}
