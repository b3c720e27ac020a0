//! Links between nodes, and the frames sent over them.
use super::event::SimulationEvent;
use super::simulation::Simulation;
use crate::stand_ins::{Ms, NodePair};
use stonegw_control::api::{Event, Link};
use stonegw_wire::frame::Frame;

/// The number of an inbound link is the dialling node's incarnation times this, plus that node's
/// index.
const LINK_NUMBER_STRIDE: u64 = 1_000;

/// The far end of a link: the other node and the link as that node knows it.
struct RemoteLink {
    node: usize,
    link: Link,
}

impl Simulation {
    /// Returns the index of `peer` in the list of peers of `node`.
    pub(super) fn link_index(&self, node: usize, peer: usize) -> Option<usize> {
        let peer_name = &self.nodes[peer].settings.node_name;
        let peers = &self.nodes[node].settings.peers;
        peers.iter().position(|name| name == peer_name)
    }

    /// Takes down the links between two nodes; the nodes reconnect after `duration`.
    pub fn partition_peers(&mut self, one: usize, other: usize, duration: Ms) {
        let until = self.now + duration;
        let links_down_until = &mut self.network_faults.links_down_until;
        links_down_until.insert(NodePair::new(one, other), until);
        for (node, peer) in [(one, other), (other, one)] {
            let link = self.link_index(node, peer).expect("the peer is configured");
            self.deliver_event(node, Event::LinkDown(Link::Outbound(link)));
            self.schedule_link_up(until, node, peer);
        }
    }

    /// Schedules the link from a node, in its current incarnation, to a peer to come up.
    pub(super) fn schedule_link_up(&mut self, due_at: Ms, node: usize, peer: usize) {
        let link_up = SimulationEvent::LinkUp {
            node,
            incarnation: self.nodes[node].incarnation,
            peer,
        };
        self.schedule(due_at, link_up);
    }

    pub(super) fn bring_link_up(&mut self, node: usize, incarnation: u64, peer: usize) {
        let can_connect =
            self.nodes[peer].is_up() && !self.network_faults.are_links_down(self.now, node, peer);
        if self.nodes[node].incarnation == incarnation && can_connect {
            let link = self.link_index(node, peer).expect("the peer is configured");
            self.deliver_event(node, Event::LinkUp(Link::Outbound(link)));
        }
    }

    pub(super) fn send_frame(&mut self, node: usize, to: Link, frame: Frame) {
        let Some(remote) = self.resolve_link(node, to) else {
            return;
        };
        let receiver = remote.node;
        let faults = &self.network_faults;
        if faults.are_nodes_partitioned(self.now, node, receiver) {
            return;
        }
        let held_until = faults.frames_held_until(node, receiver);
        let arrives_at = held_until.max(self.now + self.network_latency_ms);
        let arrival = SimulationEvent::FrameArrival {
            receiver,
            receiver_incarnation: self.nodes[receiver].incarnation,
            from_link: remote.link,
            frame,
        };
        self.schedule(arrives_at, arrival);
    }

    /// Returns the far end of a node's link; `None` if the process that dialled it has ended since.
    fn resolve_link(&self, node: usize, link: Link) -> Option<RemoteLink> {
        match link {
            Link::Outbound(index) => {
                let slot = &self.nodes[node];
                let name = &slot.settings.peers[index];
                let mut slots = self.nodes.iter();
                let peer = slots.position(|slot| slot.settings.node_name == *name);
                let number = slot.incarnation * LINK_NUMBER_STRIDE + node as u64;
                Some(RemoteLink {
                    node: peer.expect("the peer is configured"),
                    link: Link::Inbound(number),
                })
            }
            Link::Inbound(number) => {
                let incarnation = number / LINK_NUMBER_STRIDE;
                let peer = (number % LINK_NUMBER_STRIDE) as usize;
                let index = self.link_index(peer, node).expect("the peer is configured");
                let is_same_process = incarnation == self.nodes[peer].incarnation;
                is_same_process.then_some(RemoteLink {
                    node: peer,
                    link: Link::Outbound(index),
                })
            }
        }
    }
}
