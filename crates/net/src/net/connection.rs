//! Registers, writes and closes connections.
use super::Net;
use crate::conn::{Conn, Role};
use crate::event::{Failed, Link, NetEvent};
use polling::{Event, PollMode};
use stonegw_constants as k;

/// The events to wait for: reads, and writes if `writes`.
fn interest(key: usize, writes: bool) -> Event {
    if writes {
        Event::all(key)
    } else {
        Event::readable(key)
    }
}

impl Net {
    /// Registers a connection with the poller and returns its key.
    pub(super) fn add(&mut self, c: Conn) -> Option<usize> {
        let key = self.next;
        self.next += 1;
        let interest = interest(key, c.connecting);
        // Safe: `close` takes the stream out of the poller before it is dropped.
        let added = unsafe {
            self.poller
                .add_with_mode(&c.stream, interest, PollMode::Level)
        };
        if let Err(e) = added {
            log::warn!("cannot poll a socket: {e}");
            return None;
        }
        let mut c = c;
        c.wants_write = c.connecting;
        self.conns.insert(key, c);
        Some(key)
    }

    /// Closes a connection and reports what ends with it.
    pub(super) fn close(&mut self, key: usize) {
        let Some(c) = self.conns.remove(&key) else {
            return;
        };
        let _ = self.poller.delete(&c.stream);
        match c.role {
            Role::Server { .. } => {
                self.accept_paused = false;
                if c.counted {
                    self.admission.abandon();
                }
            }
            Role::Client { addr, call } => {
                let why = if c.connecting || c.sent == 0 {
                    Failed::NotSent
                } else {
                    Failed::Unknown
                };
                self.client_closed(key, &addr, call, why);
            }
            Role::PeerOut(i) => {
                self.peer_links[i] = Err(self.now() + k::PEER_REDIAL_MS);
                if !c.connecting {
                    self.out.push(NetEvent::LinkDown(Link::Out(i)));
                }
            }
            Role::PeerIn => self.out.push(NetEvent::LinkDown(Link::In(key as u64))),
        }
    }

    /// Forgets a closed client connection and fails the call on it, if there is one.
    fn client_closed(&mut self, key: usize, addr: &str, call: Option<u64>, why: Failed) {
        if let Some(list) = self.idle.get_mut(addr) {
            list.retain(|i| *i != key);
        }
        if let Some(call) = call {
            self.calls.remove(&call);
            self.failed(call, why);
        }
    }

    /// Writes what is due and asks for write events only while something is left.
    pub(super) fn push(&mut self, key: usize) {
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        if !c.drain() {
            return self.close(key);
        }
        let left = !c.output.is_empty();
        let answered_last = Role::Server {
            busy: false,
            close: true,
        };
        if !left && c.role == answered_last {
            return self.close(key);
        }
        if left != c.wants_write {
            c.wants_write = left;
            let interest = interest(key, left);
            if self
                .poller
                .modify_with_mode(&c.stream, interest, PollMode::Level)
                .is_err()
            {
                self.close(key);
            }
        }
    }
}
