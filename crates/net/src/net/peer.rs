//! Links to the other controllers.
use super::socket::connect;
use super::Net;
use crate::conn::{Conn, Got, Role};
use crate::event::{Link, NetEvent};
use stonegw_constants as k;
use stonegw_wire::frame::Frame;

impl Net {
    /// Queues a frame for a peer; without a connection the frame is dropped.
    pub fn send(&mut self, to: Link, frame: &Frame) {
        let key = match to {
            Link::Out(i) => match self.peer_links[i] {
                Ok(key) => key,
                Err(_) => return,
            },
            Link::In(key) => key as usize,
        };
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        frame.write(&mut c.output);
        if c.output.len() > k::MAX_BACKLOG {
            log::warn!("a peer stopped reading");
            return self.close(key);
        }
        if !c.connecting && self.unsent.last() != Some(&key) {
            self.unsent.push(key);
        }
    }

    /// Parses the frames that have arrived, after a read with the outcome `got`.
    pub(super) fn frames(&mut self, key: usize, from: Link, got: Got) {
        let now = self.now();
        loop {
            let Some(c) = self.conns.get_mut(&key) else {
                return;
            };
            match Frame::parse(&c.input) {
                Ok(Some((frame, taken))) => {
                    c.input.drain(..taken);
                    c.deadline = now + k::IDLE_MS;
                    self.out.push(NetEvent::Frame { from, frame });
                }
                Ok(None) => break,
                Err(e) => {
                    log::warn!("bad frame from {from:?}: {e:?}");
                    return self.close(key);
                }
            }
        }
        if got == Got::Closed {
            self.close(key);
        }
    }

    /// Connects to every peer whose redial time has come; `now` in ms.
    pub(super) fn dial(&mut self, now: u64) {
        for i in 0..self.peer_links.len() {
            let due = matches!(self.peer_links[i], Err(at) if now >= at);
            if !due {
                continue;
            }
            self.peer_links[i] = Err(now + k::PEER_REDIAL_MS);
            match connect(&self.peer_addrs[i]) {
                Ok(stream) => {
                    let mut c = Conn::new(stream, Role::PeerOut(i), now + k::SLOW_MS);
                    c.connecting = true;
                    if let Some(key) = self.add(c) {
                        self.peer_links[i] = Ok(key);
                    }
                }
                Err(e) => log::debug!("no connection to {}: {e}", self.peer_addrs[i]),
            }
        }
    }
}
