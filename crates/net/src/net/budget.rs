//! Accepting connections within the limit on open sockets.
use super::{Net, FIRST};
use crate::conn::{Conn, Role};
use std::io;
use std::net::TcpStream;
use stonegw_constants as k;

/// The rank of an idle connection, lowest closed first; `None` if it is in use.
fn eviction_order(c: &Conn) -> Option<(u8, u64)> {
    match &c.role {
        Role::Client { call: None, .. } => Some((0, c.deadline)),
        Role::Server { busy: false, .. } if c.input.is_empty() && c.output.is_empty() => {
            Some((1, c.deadline))
        }
        _ => None,
    }
}

impl Net {
    /// Whether there is a socket besides so many that are kept. Nearing the limit, idle connections
    /// go, the longest idle first: our own to workers, then those of workers and users.
    pub(super) fn make_room(&mut self, kept: usize) -> bool {
        let most = self
            .max_sockets
            .saturating_sub(kept + FIRST + k::SOCKET_MARGIN);
        if self.conns.len() >= most {
            self.close_idle();
        }
        self.conns.len() < most
    }

    fn close_idle(&mut self) {
        let conns = self.conns.iter();
        let mut idle: Vec<_> = conns
            .filter_map(|(key, c)| Some((eviction_order(c)?, *key)))
            .collect();
        idle.sort_unstable();
        log::info!("{} sockets in use; closing idle ones", self.conns.len());
        // Several at once, for looking at all of them costs time.
        for (_, key) in idle.into_iter().take(k::EVICT_SOCKETS) {
            self.close(key);
        }
    }

    /// Accepts all waiting connections, of users and workers or of peers.
    pub(super) fn accept(&mut self, user: bool) {
        let now = self.now();
        loop {
            let listener = if user { &self.clients } else { &self.peers };
            match listener.accept() {
                Ok((stream, _)) => self.admit_connection(stream, user, now),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    if !self.accept_paused {
                        log::warn!("cannot accept: {e}");
                        self.accept_paused = true;
                    }
                    return;
                }
            }
        }
    }

    fn admit_connection(&mut self, stream: TcpStream, user: bool, now: u64) {
        let kept = k::RESERVED_SOCKETS.min(self.max_sockets / 4);
        if !self.make_room(if user { kept } else { 0 }) {
            // Dropped: the load balancer turns to another node.
            log::debug!("too many connections");
            return;
        }
        let _ = stream.set_nonblocking(true);
        let _ = stream.set_nodelay(true);
        let role = if user {
            Role::Server {
                busy: false,
                close: false,
            }
        } else {
            Role::PeerIn
        };
        self.add(Conn::new(stream, role, now + k::IDLE_MS));
    }
}
