//! Links to other controllers.
use super::socket::start_connect;
use super::EventLoop;
use crate::connection::{Connection, ConnectionKind, ReadOutcome};
use crate::event::{NetworkEvent, PeerLink};
use stonegw_constants::{
    IDLE_CONNECTION_TIMEOUT_MS, MAX_PEER_BACKLOG_BYTES, PEER_REDIAL_INTERVAL_MS,
    REQUEST_READ_TIMEOUT_MS,
};
use stonegw_wire::frame::Frame;
use stonegw_wire::Parsed;

/// A peer and the link that this node opens to it.
pub(super) struct Peer {
    /// IP address and port of the peer.
    pub(super) addr: String,
    pub(super) outbound: OutboundLink,
}

/// The link that this node opens to a peer.
#[derive(Clone, Copy)]
pub(super) enum OutboundLink {
    /// The link is connecting or connected, under this connection key.
    Opened(usize),
    /// The link is closed, and is dialed again at this time.
    RedialAt(u64),
}

impl EventLoop {
    /// Queues a frame for sending to a peer. Drops the frame if the link is closed.
    pub fn send_frame(&mut self, link: PeerLink, frame: &Frame) {
        let key = match link {
            PeerLink::Outbound(index) => match self.peers[index].outbound {
                OutboundLink::Opened(key) => key,
                OutboundLink::RedialAt(_) => return,
            },
            PeerLink::Inbound(key) => key as usize,
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        frame.write(&mut connection.output);
        if connection.output.len() > MAX_PEER_BACKLOG_BYTES {
            log::warn!("the peer on {link:?} has stopped reading; closing the link");
            return self.close_connection(key);
        }
        if !connection.is_connecting && self.unwritten_connections.last() != Some(&key) {
            self.unwritten_connections.push(key);
        }
    }

    /// Parses the frames that have arrived and reports them.
    pub(super) fn receive_frames(&mut self, key: usize, link: PeerLink, outcome: ReadOutcome) {
        let now = self.now_ms();
        loop {
            let Some(connection) = self.connections.get_mut(&key) else {
                return;
            };
            match Frame::parse(&connection.input) {
                Ok(Some(Parsed {
                    message: frame,
                    consumed_bytes,
                })) => {
                    connection.input.drain(..consumed_bytes);
                    connection.deadline = now + IDLE_CONNECTION_TIMEOUT_MS;
                    self.pending_events
                        .push(NetworkEvent::Frame { link, frame });
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("invalid frame on {link:?}: {error}; closing the link");
                    return self.close_connection(key);
                }
            }
        }
        if outcome == ReadOutcome::Closed {
            self.close_connection(key);
        }
    }

    /// Connects to every peer whose redial time has been reached.
    pub(super) fn dial_peers(&mut self, now: u64) {
        for index in 0..self.peers.len() {
            let is_due = match self.peers[index].outbound {
                OutboundLink::Opened(_) => false,
                OutboundLink::RedialAt(redial_at) => now >= redial_at,
            };
            if is_due {
                self.dial_peer(index, now);
            }
        }
    }

    fn dial_peer(&mut self, index: usize, now: u64) {
        self.peers[index].outbound = OutboundLink::RedialAt(now + PEER_REDIAL_INTERVAL_MS);
        let stream = match start_connect(&self.peers[index].addr) {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!(
                    "cannot connect to the peer at {}: {error}",
                    self.peers[index].addr
                );
                return;
            }
        };
        let kind = ConnectionKind::PeerOutbound(index);
        let mut connection = Connection::new(stream, kind, now + REQUEST_READ_TIMEOUT_MS);
        connection.is_connecting = true;
        if let Some(key) = self.register_connection(connection) {
            self.peers[index].outbound = OutboundLink::Opened(key);
        }
    }
}
