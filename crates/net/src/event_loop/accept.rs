//! Accepting connections within the limit on open sockets.
use super::{EventLoop, FIRST_CONNECTION_KEY};
use crate::connection::{Connection, ConnectionKind};
use std::io;
use std::net::TcpStream;
use stonegw_constants::{
    IDLE_CONNECTION_TIMEOUT_MS, IDLE_EVICTION_BATCH, RESERVED_OUTBOUND_SOCKETS, UNCOUNTED_SOCKETS,
};

/// The rank of an idle connection, lowest closed first; `None` if it is in use.
fn eviction_rank(c: &Connection) -> Option<(u8, u64)> {
    match &c.kind {
        ConnectionKind::Client { call_id: None, .. } => Some((0, c.deadline)),
        ConnectionKind::Server {
            request_in_progress: false,
            ..
        } if c.input.is_empty() && c.output.is_empty() => Some((1, c.deadline)),
        _ => None,
    }
}

impl EventLoop {
    /// Whether there is a socket besides so many that are kept. Nearing the limit, idle connections
    /// go, the longest idle first: our own to workers, then those of workers and users.
    pub(super) fn ensure_socket_available(&mut self, kept: usize) -> bool {
        let most = self
            .max_sockets
            .saturating_sub(kept + FIRST_CONNECTION_KEY + UNCOUNTED_SOCKETS);
        if self.connections.len() >= most {
            self.evict_idle_connections();
        }
        self.connections.len() < most
    }

    fn evict_idle_connections(&mut self) {
        let conns = self.connections.iter();
        let mut idle: Vec<_> = conns
            .filter_map(|(key, c)| Some((eviction_rank(c)?, *key)))
            .collect();
        idle.sort_unstable();
        log::info!(
            "{} sockets in use; closing idle ones",
            self.connections.len()
        );
        // Several at once, for looking at all of them costs time.
        for (_, key) in idle.into_iter().take(IDLE_EVICTION_BATCH) {
            self.close_connection(key);
        }
    }

    /// Accepts all waiting connections, of users and workers or of peers.
    pub(super) fn accept_connections(&mut self, user: bool) {
        let now = self.now_ms();
        loop {
            let listener = if user {
                &self.client_listener
            } else {
                &self.peer_listener
            };
            match listener.accept() {
                Ok((stream, _)) => self.register_accepted(stream, user, now),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    if !self.is_accept_paused {
                        log::warn!("cannot accept: {e}");
                        self.is_accept_paused = true;
                    }
                    return;
                }
            }
        }
    }

    fn register_accepted(&mut self, stream: TcpStream, user: bool, now: u64) {
        let kept = RESERVED_OUTBOUND_SOCKETS.min(self.max_sockets / 4);
        if !self.ensure_socket_available(if user { kept } else { 0 }) {
            // Dropped: the load balancer turns to another node.
            log::debug!("too many connections");
            return;
        }
        let _ = stream.set_nonblocking(true);
        let _ = stream.set_nodelay(true);
        let role = if user {
            ConnectionKind::Server {
                request_in_progress: false,
                close_after_reply: false,
            }
        } else {
            ConnectionKind::PeerInbound
        };
        self.register_connection(Connection::new(
            stream,
            role,
            now + IDLE_CONNECTION_TIMEOUT_MS,
        ));
    }
}
