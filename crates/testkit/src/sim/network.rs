//! Which nodes and machines can reach each other at the moment.
use super::event::Step;
use super::Sim;
use crate::outside::Ms;
use stonegw_control::api::{Event, Link};

impl Sim {
    /// The index under which `from` knows `to`.
    pub(super) fn link(&self, from: usize, to: usize) -> Option<usize> {
        let name = &self.settings[to].node;
        self.settings[from].peers.iter().position(|p| p == name)
    }

    /// Whether a node and a machine in a zone can reach each other.
    pub(super) fn apart(&self, node: usize, zone: &str) -> bool {
        let cut = self.zone_cut.as_ref().filter(|c| self.now < c.2);
        cut.is_some_and(|(z, inside, _)| (zone == z) != (node == *inside))
    }

    /// Two nodes lose the links between them, and dial anew when the cut is over.
    pub fn cut_peers(&mut self, a: usize, b: usize, lag: Ms) {
        let until = self.now + lag;
        self.cut_peers.insert((a.min(b), a.max(b)), until);
        for (node, other) in [(a, b), (b, a)] {
            let link = self.link(node, other).expect("known");
            self.give(node, Event::LinkDown(Link::Out(link)));
            self.at(until, Step::LinkUp(node, self.lives[node], other));
        }
    }

    pub(super) fn links_cut(&self, a: usize, b: usize) -> bool {
        let until = self.cut_peers.get(&(a.min(b), a.max(b)));
        until.is_some_and(|until| self.now < *until)
    }

    pub(super) fn nodes_apart(&self, a: usize, b: usize) -> bool {
        if self.links_cut(a, b) {
            return true;
        }
        let lone = self.lone.filter(|l| self.now < l.1);
        if lone.is_some_and(|(n, _)| (n == a) != (n == b)) {
            return true;
        }
        let cut = self.zone_cut.as_ref().filter(|c| self.now < c.2);
        cut.is_some_and(|(_, inside, _)| (a == *inside) != (b == *inside))
    }
}
