//! Which nodes and machines can reach each other at the moment.
use super::event::SimulationEvent;
use super::Simulation;
use crate::stand_ins::Ms;
use stonegw_control::api::{Event, Link};

impl Simulation {
    /// The index under which `from` knows `to`.
    pub(super) fn link_index(&self, from: usize, to: usize) -> Option<usize> {
        let name = &self.settings[to].node_name;
        self.settings[from].peers.iter().position(|p| p == name)
    }

    /// Whether a node and a machine in a zone can reach each other.
    pub(super) fn is_node_partitioned_from_zone(&self, node: usize, zone: &str) -> bool {
        let cut = self.zone_partition.as_ref().filter(|c| self.now < c.2);
        cut.is_some_and(|(z, inside, _)| (zone == z) != (node == *inside))
    }

    /// Two nodes lose the links between them, and dial anew when the cut is over.
    pub fn partition_peers(&mut self, a: usize, b: usize, lag: Ms) {
        let until = self.now + lag;
        self.peers_partitioned_until
            .insert((a.min(b), a.max(b)), until);
        for (node, other) in [(a, b), (b, a)] {
            let link = self.link_index(node, other).expect("known");
            self.deliver_event(node, Event::LinkDown(Link::Outbound(link)));
            self.schedule(
                until,
                SimulationEvent::LinkUp(node, self.incarnations[node], other),
            );
        }
    }

    pub(super) fn are_links_down(&self, a: usize, b: usize) -> bool {
        let until = self.peers_partitioned_until.get(&(a.min(b), a.max(b)));
        until.is_some_and(|until| self.now < *until)
    }

    pub(super) fn are_nodes_partitioned(&self, a: usize, b: usize) -> bool {
        if self.are_links_down(a, b) {
            return true;
        }
        let lone = self.isolated_node.filter(|l| self.now < l.1);
        if lone.is_some_and(|(n, _)| (n == a) != (n == b)) {
            return true;
        }
        let cut = self.zone_partition.as_ref().filter(|c| self.now < c.2);
        cut.is_some_and(|(_, inside, _)| (a == *inside) != (b == *inside))
    }
}
