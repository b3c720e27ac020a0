//! The event loop over all sockets of the process.
mod accept;
mod client;
mod peer;
mod registry;
mod server;
mod socket;

use crate::admission::AdmissionLimiter;
use crate::connection::{Connection, ConnectionKind, ReadOutcome};
use crate::event::{NetworkEvent, PeerLink};
use polling::{Event, Events, PollMode, Poller};
use socket::open_listener;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use stonegw_constants::{
    MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BYTES, PROCESS_PAUSE_THRESHOLD_MS,
    TIMER_INTERVAL_MS,
};

const CLIENT_LISTENER_KEY: usize = 0;
const PEER_LISTENER_KEY: usize = 1;
const FIRST_CONNECTION_KEY: usize = 2;

/// All sockets of the process and what happens on them.
pub struct EventLoop {
    poller: Poller,
    poll_events: Events,
    started_at: Instant,
    client_listener: TcpListener,
    peer_listener: TcpListener,
    connections: HashMap<usize, Connection>,
    next_key: usize,
    max_sockets: usize,
    /// Idle connections of ours, by address.
    idle_connections: HashMap<String, Vec<usize>>,
    /// Calls in progress, with their connection.
    calls_in_progress: HashMap<u64, usize>,
    peer_addrs: Vec<String>,
    /// The connection to each peer, or when to dial again.
    peer_links: Vec<Result<usize, u64>>,
    admission: AdmissionLimiter,
    pending_events: Vec<NetworkEvent>,
    /// Connections with something new to send: all that one turn has to say goes out together.
    unwritten_connections: Vec<usize>,
    last_sweep_at: u64,
    /// When the timers last ran.
    timers_ran_at: u64,
    is_accept_paused: bool,
}

impl EventLoop {
    /// Opens the listening sockets; `peer_addrs`: the other controllers, as IP address and port.
    pub fn new(
        client_listen: SocketAddr,
        peer_listen: SocketAddr,
        peer_addrs: Vec<String>,
        max_sockets: usize,
    ) -> io::Result<EventLoop> {
        let poller = Poller::new()?;
        let clients = open_listener(client_listen)?;
        let peers = open_listener(peer_listen)?;
        for (listener, key) in [(&clients, CLIENT_LISTENER_KEY), (&peers, PEER_LISTENER_KEY)] {
            #[allow(
                unsafe_code,
                reason = "the poller takes raw sockets whose owner must outlive them"
            )]
            // SAFETY: the event loop owns the listeners together with the poller.
            unsafe {
                poller.add_with_mode(listener, Event::readable(key), PollMode::Level)?
            };
        }
        let peer_links = peer_addrs.iter().map(|_| Err(0)).collect();
        Ok(EventLoop {
            poller,
            poll_events: Events::new(),
            started_at: Instant::now(),
            client_listener: clients,
            peer_listener: peers,
            connections: HashMap::new(),
            next_key: FIRST_CONNECTION_KEY,
            max_sockets,
            idle_connections: HashMap::new(),
            calls_in_progress: HashMap::new(),
            peer_addrs,
            peer_links,
            admission: AdmissionLimiter::default(),
            pending_events: vec![],
            unwritten_connections: vec![],
            last_sweep_at: 0,
            timers_ran_at: 0,
            is_accept_paused: false,
        })
    }

    /// Milliseconds of the steady clock since the start, plus one so that 0 means "never".
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1
    }

    /// Waits for something to happen, at most until the next turn of the timers.
    pub fn poll(&mut self) -> io::Result<Vec<NetworkEvent>> {
        self.poll_events.clear();
        for key in std::mem::take(&mut self.unwritten_connections) {
            self.write_output(key);
        }
        let wait = Duration::from_millis(if self.pending_events.is_empty() {
            TIMER_INTERVAL_MS
        } else {
            0
        });
        match self.poller.wait(&mut self.poll_events, Some(wait)) {
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        let happened: Vec<Event> = self.poll_events.iter().collect();
        for ev in happened {
            match ev.key {
                CLIENT_LISTENER_KEY => self.accept_connections(true),
                PEER_LISTENER_KEY => self.accept_connections(false),
                key => self.handle_readiness(key, ev.readable, ev.writable),
            }
        }
        self.run_timers();
        Ok(std::mem::take(&mut self.pending_events))
    }

    /// Handles one readiness event.
    fn handle_readiness(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(c) = self.connections.get(&key) else {
            return;
        };
        if c.is_connecting {
            return self.finish_connecting(key, writable);
        }
        if writable {
            self.write_output(key);
        }
        if readable {
            self.handle_readable(key);
        }
    }

    /// Ends a connection attempt, if it has succeeded or failed.
    fn finish_connecting(&mut self, key: usize, writable: bool) {
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        match c.stream.take_error() {
            Ok(None) if writable => {
                c.is_connecting = false;
                if let ConnectionKind::PeerOutbound(i) = c.kind {
                    self.pending_events
                        .push(NetworkEvent::LinkUp(PeerLink::Outbound(i)));
                }
                self.write_output(key);
            }
            Ok(None) => {}
            _ => self.close_connection(key),
        }
    }

    /// Reads what has arrived and hands it to the parser for its role.
    fn handle_readable(&mut self, key: usize) {
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        let limit = match c.kind {
            ConnectionKind::Server { .. } => MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES,
            _ => MAX_RESPONSE_BYTES,
        };
        let got = c.read_available(limit);
        match c.kind {
            ConnectionKind::Server { .. } => {
                if got == ReadOutcome::Closed {
                    return self.close_connection(key);
                }
                self.serve_next_request(key);
            }
            ConnectionKind::Client { .. } => self.handle_response(key, got),
            ConnectionKind::PeerInbound => {
                self.receive_frames(key, PeerLink::Inbound(key as u64), got)
            }
            ConnectionKind::PeerOutbound(i) => self.receive_frames(key, PeerLink::Outbound(i), got),
        }
    }

    /// Closes what is past its deadline and redials peers.
    fn run_timers(&mut self) {
        let now = self.now_ms();
        let gap = now.saturating_sub(std::mem::replace(&mut self.timers_ran_at, now));
        if gap >= PROCESS_PAUSE_THRESHOLD_MS {
            return self.extend_deadlines(gap);
        }
        self.close_timed_out_calls(now);
        if now >= self.last_sweep_at + 1_000 {
            self.last_sweep_at = now;
            self.close_expired_connections(now);
            self.dial_peers(now);
        }
    }

    /// The process stood still: what has come meanwhile is read before anything counts as late, and the
    /// admission limit learns nothing from requests that waited.
    fn extend_deadlines(&mut self, gap: u64) {
        for c in self.connections.values_mut() {
            c.deadline += gap;
            c.request_received_at += gap;
        }
    }

    fn close_timed_out_calls(&mut self, now: u64) {
        let late: Vec<usize> = self
            .calls_in_progress
            .values()
            .copied()
            .filter(|key| self.connections.get(key).is_some_and(|c| now >= c.deadline))
            .collect();
        for key in late {
            self.close_connection(key);
        }
    }

    /// Closes connections past their deadline, except while the core owes an answer.
    fn close_expired_connections(&mut self, now: u64) {
        let old: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, c)| {
                now >= c.deadline
                    && !matches!(
                        c.kind,
                        ConnectionKind::Server {
                            request_in_progress: true,
                            ..
                        }
                    )
            })
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            self.close_connection(key);
        }
    }
}
