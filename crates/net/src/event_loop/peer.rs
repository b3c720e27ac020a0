//! Links to the other controllers.
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

impl EventLoop {
    /// Queues a frame for a peer; without a connection the frame is dropped.
    pub fn send_frame(&mut self, to: PeerLink, frame: &Frame) {
        let key = match to {
            PeerLink::Outbound(i) => match self.peer_links[i] {
                Ok(key) => key,
                Err(_) => return,
            },
            PeerLink::Inbound(key) => key as usize,
        };
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        frame.write(&mut c.output);
        if c.output.len() > MAX_PEER_BACKLOG_BYTES {
            log::warn!("a peer stopped reading");
            return self.close_connection(key);
        }
        if !c.is_connecting && self.unwritten_connections.last() != Some(&key) {
            self.unwritten_connections.push(key);
        }
    }

    /// Parses the frames that have arrived, after a read with the outcome `got`.
    pub(super) fn receive_frames(&mut self, key: usize, from: PeerLink, got: ReadOutcome) {
        let now = self.now_ms();
        loop {
            let Some(c) = self.connections.get_mut(&key) else {
                return;
            };
            match Frame::parse(&c.input) {
                Ok(Some(Parsed {
                    message: frame,
                    consumed_bytes,
                })) => {
                    c.input.drain(..consumed_bytes);
                    c.deadline = now + IDLE_CONNECTION_TIMEOUT_MS;
                    self.pending_events
                        .push(NetworkEvent::Frame { link: from, frame });
                }
                Ok(None) => break,
                Err(e) => {
                    log::warn!("invalid frame from {from:?}: {e}");
                    return self.close_connection(key);
                }
            }
        }
        if got == ReadOutcome::Closed {
            self.close_connection(key);
        }
    }

    /// Connects to every peer whose redial time has come; `now` in ms.
    pub(super) fn dial_peers(&mut self, now: u64) {
        for i in 0..self.peer_links.len() {
            let due = matches!(self.peer_links[i], Err(at) if now >= at);
            if !due {
                continue;
            }
            self.peer_links[i] = Err(now + PEER_REDIAL_INTERVAL_MS);
            match start_connect(&self.peer_addrs[i]) {
                Ok(stream) => {
                    let mut c = Connection::new(
                        stream,
                        ConnectionKind::PeerOutbound(i),
                        now + REQUEST_READ_TIMEOUT_MS,
                    );
                    c.is_connecting = true;
                    if let Some(key) = self.register_connection(c) {
                        self.peer_links[i] = Ok(key);
                    }
                }
                Err(e) => log::debug!("no connection to {}: {e}", self.peer_addrs[i]),
            }
        }
    }
}
