//! Accepts connections, within the limit on open sockets.
use super::{EventLoop, FIRST_CONNECTION_KEY};
use crate::connection::{Connection, ConnectionKind};
use std::io;
use std::net::TcpStream;
use stonegw_constants::{
    IDLE_CONNECTION_TIMEOUT_MS, IDLE_EVICTION_BATCH, RESERVED_OUTBOUND_SOCKETS,
    RESERVED_OUTBOUND_SOCKETS_DIVISOR, UNCOUNTED_SOCKETS,
};

/// The kind of remote end that connects to a listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Users and workers.
    Client,
    /// Other controllers.
    Peer,
}

/// The order in which idle connections are closed, lowest rank first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// A connection that this node opened, with the time at which it would be closed anyway.
    Client { deadline: u64 },
    /// A connection from a user or worker, with the time at which it would be closed anyway.
    Server { deadline: u64 },
}

impl EvictionRank {
    /// Returns the rank of an idle connection, or `None` if the connection is in use.
    fn of(connection: &Connection) -> Option<EvictionRank> {
        let deadline = connection.deadline;
        match &connection.kind {
            ConnectionKind::Client { call_id: None, .. } => Some(EvictionRank::Client { deadline }),
            ConnectionKind::Server {
                request_in_progress: false,
                ..
            } if connection.input.is_empty() && connection.output.is_empty() => {
                Some(EvictionRank::Server { deadline })
            }
            _ => None,
        }
    }
}

impl EventLoop {
    /// Returns `true` if one more socket may be opened while `reserved` sockets stay free. If the
    /// limit is reached, closes idle connections before deciding: first those for calls of this
    /// node, then those of workers and users, and within each group the longest idle first.
    pub(super) fn ensure_socket_available(&mut self, reserved: usize) -> bool {
        let max_connections = self
            .max_sockets
            .saturating_sub(reserved + FIRST_CONNECTION_KEY + UNCOUNTED_SOCKETS);
        if self.connections.len() >= max_connections {
            self.evict_idle_connections();
        }
        self.connections.len() < max_connections
    }

    fn evict_idle_connections(&mut self) {
        let mut idle: Vec<(EvictionRank, usize)> = self
            .connections
            .iter()
            .filter_map(|(key, connection)| Some((EvictionRank::of(connection)?, *key)))
            .collect();
        idle.sort_unstable();
        log::info!(
            "{} sockets in use; closing idle ones",
            self.connections.len()
        );
        // Several connections are closed at once, since ranking all connections is expensive.
        for (_, key) in idle.into_iter().take(IDLE_EVICTION_BATCH) {
            self.close_connection(key);
        }
    }

    /// Accepts all waiting connections on a listening socket.
    pub(super) fn accept_connections(&mut self, kind: ListenerKind) {
        let now = self.now_ms();
        loop {
            let listener = match kind {
                ListenerKind::Client => &self.client_listener,
                ListenerKind::Peer => &self.peer_listener,
            };
            match listener.accept() {
                Ok((stream, _)) => self.register_accepted(stream, kind, now),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    if !self.is_accept_failure_logged {
                        log::warn!("cannot accept connections: {error}");
                        self.is_accept_failure_logged = true;
                    }
                    return;
                }
            }
        }
    }

    fn register_accepted(&mut self, stream: TcpStream, kind: ListenerKind, now: u64) {
        let reserved = match kind {
            ListenerKind::Client => {
                RESERVED_OUTBOUND_SOCKETS.min(self.max_sockets / RESERVED_OUTBOUND_SOCKETS_DIVISOR)
            }
            ListenerKind::Peer => 0,
        };
        if !self.ensure_socket_available(reserved) {
            // The connection is dropped; the load balancer retries at another node.
            log::debug!("socket limit reached; dropping a new connection");
            return;
        }
        let _ = stream.set_nonblocking(true);
        let _ = stream.set_nodelay(true);
        let connection_kind = match kind {
            ListenerKind::Client => ConnectionKind::Server {
                request_in_progress: false,
                close_after_reply: false,
            },
            ListenerKind::Peer => ConnectionKind::PeerInbound,
        };
        let deadline = now + IDLE_CONNECTION_TIMEOUT_MS;
        self.register_connection(Connection::new(stream, connection_kind, deadline));
    }
}
