//! The event loop, which handles all sockets of the process.
mod accept;
mod client;
mod peer;
mod registry;
mod server;
mod socket;
mod timers;

use crate::admission::AdmissionLimiter;
use crate::connection::{Connection, ConnectionKind, ReadOutcome};
use crate::event::{NetworkEvent, PeerLink};
use accept::ListenerKind;
use peer::{OutboundLink, Peer};
use polling::{Event, Events, PollMode, Poller};
use socket::open_listener;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use stonegw_constants::{
    MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BYTES, TIMER_INTERVAL_MS,
};

const CLIENT_LISTENER_KEY: usize = 0;
const PEER_LISTENER_KEY: usize = 1;
const FIRST_CONNECTION_KEY: usize = 2;

/// The event loop with all sockets of the process.
pub struct EventLoop {
    poller: Poller,
    poll_events: Events,
    started_at: Instant,
    client_listener: TcpListener,
    peer_listener: TcpListener,
    connections: HashMap<usize, Connection>,
    next_key: usize,
    max_sockets: usize,
    /// Keys of the idle connections that are kept for calls, by remote address.
    idle_connections: HashMap<String, Vec<usize>>,
    /// Connection key of each call in progress, by call id.
    calls_in_progress: HashMap<u64, usize>,
    peers: Vec<Peer>,
    admission: AdmissionLimiter,
    pending_events: Vec<NetworkEvent>,
    /// Keys of connections with new output. The output of a connection is written once per turn of
    /// the loop, so that it is sent in few packets.
    unwritten_connections: Vec<usize>,
    /// Time of the last sweep, which closes expired connections and redials peers.
    last_sweep_at: u64,
    /// Time at which the timers last ran.
    timers_ran_at: u64,
    /// Whether a failure to accept a connection was logged. Further failures are not logged until a
    /// connection of a user or worker is closed.
    is_accept_failure_logged: bool,
}

impl EventLoop {
    /// Creates an event loop and opens the listening sockets. `peer_addrs` contains the IP address
    /// and port of each other controller.
    ///
    /// # Errors
    ///
    /// Returns an error if a listening socket cannot be opened or the system provides no poller.
    pub fn new(
        client_listen: SocketAddr,
        peer_listen: SocketAddr,
        peer_addrs: Vec<String>,
        max_sockets: usize,
    ) -> io::Result<EventLoop> {
        let poller = Poller::new()?;
        let client_listener = open_listener(client_listen)?;
        let peer_listener = open_listener(peer_listen)?;
        let listeners = [
            (&client_listener, CLIENT_LISTENER_KEY),
            (&peer_listener, PEER_LISTENER_KEY),
        ];
        for (listener, key) in listeners {
            #[allow(
                unsafe_code,
                reason = "the poller does not own the sockets; the caller must keep them open"
            )]
            // SAFETY: the event loop owns both the listeners and the poller.
            unsafe {
                poller.add_with_mode(listener, Event::readable(key), PollMode::Level)?;
            }
        }
        let to_unconnected_peer = |addr| Peer {
            addr,
            outbound: OutboundLink::RedialAt(0),
        };
        Ok(EventLoop {
            poller,
            poll_events: Events::new(),
            started_at: Instant::now(),
            client_listener,
            peer_listener,
            connections: HashMap::new(),
            next_key: FIRST_CONNECTION_KEY,
            max_sockets,
            idle_connections: HashMap::new(),
            calls_in_progress: HashMap::new(),
            peers: peer_addrs.into_iter().map(to_unconnected_peer).collect(),
            admission: AdmissionLimiter::default(),
            pending_events: vec![],
            unwritten_connections: vec![],
            last_sweep_at: 0,
            timers_ran_at: 0,
            is_accept_failure_logged: false,
        })
    }

    /// Returns the time in ms since the event loop was created, by the monotonic clock, plus one so
    /// that 0 can mean "never".
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1
    }

    /// Sends pending output, waits for events for at most the interval of the timers, runs the
    /// timers and returns the events. Does not wait if there are events to return already.
    ///
    /// # Errors
    ///
    /// Returns an error if the system's poller fails.
    pub fn poll(&mut self) -> io::Result<Vec<NetworkEvent>> {
        self.poll_events.clear();
        for key in std::mem::take(&mut self.unwritten_connections) {
            self.write_output(key);
        }
        let timeout_ms = if self.pending_events.is_empty() {
            TIMER_INTERVAL_MS
        } else {
            0
        };
        let timeout = Duration::from_millis(timeout_ms);
        match self.poller.wait(&mut self.poll_events, Some(timeout)) {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        let ready: Vec<Event> = self.poll_events.iter().collect();
        for event in ready {
            match event.key {
                CLIENT_LISTENER_KEY => self.accept_connections(ListenerKind::Client),
                PEER_LISTENER_KEY => self.accept_connections(ListenerKind::Peer),
                _ => self.handle_readiness(event),
            }
        }
        self.run_timers();
        Ok(std::mem::take(&mut self.pending_events))
    }

    /// Handles a readiness event of a connection.
    fn handle_readiness(&mut self, event: Event) {
        let Some(connection) = self.connections.get(&event.key) else {
            return;
        };
        if connection.is_connecting {
            return self.finish_connecting(event);
        }
        if event.writable {
            self.write_output(event.key);
        }
        if event.readable {
            self.handle_readable(event.key);
        }
    }

    /// Completes a connection attempt if it has succeeded or failed.
    fn finish_connecting(&mut self, event: Event) {
        let Some(connection) = self.connections.get_mut(&event.key) else {
            return;
        };
        match connection.stream.take_error() {
            Ok(None) if event.writable => {
                connection.is_connecting = false;
                if let ConnectionKind::PeerOutbound(index) = connection.kind {
                    self.pending_events
                        .push(NetworkEvent::LinkUp(PeerLink::Outbound(index)));
                }
                self.write_output(event.key);
            }
            Ok(None) => {}
            _ => self.close_connection(event.key),
        }
    }

    /// Reads the available bytes and passes them to the parser for this kind of connection.
    fn handle_readable(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let max_input_bytes = match connection.kind {
            ConnectionKind::Server { .. } => MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES,
            _ => MAX_RESPONSE_BYTES,
        };
        let outcome = connection.read_available(max_input_bytes);
        match connection.kind {
            ConnectionKind::Server { .. } => {
                if outcome == ReadOutcome::Closed {
                    return self.close_connection(key);
                }
                self.serve_next_request(key);
            }
            ConnectionKind::Client { .. } => self.handle_response(key, outcome),
            ConnectionKind::PeerInbound => {
                self.receive_frames(key, PeerLink::Inbound(key as u64), outcome);
            }
            ConnectionKind::PeerOutbound(index) => {
                self.receive_frames(key, PeerLink::Outbound(index), outcome);
            }
        }
    }
}
