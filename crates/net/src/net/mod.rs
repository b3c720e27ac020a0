//! The event loop over all sockets of the process.
mod budget;
mod client;
mod connection;
mod peer;
mod server;
mod socket;

use crate::admit::Admission;
use crate::conn::{Conn, Got, Role};
use crate::event::{Link, NetEvent};
use polling::{Event, Events, PollMode, Poller};
use socket::listen;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use stonegw_constants as k;

const CLIENTS: usize = 0;
const PEERS: usize = 1;
const FIRST: usize = 2;

/// All sockets of the process and what happens on them.
pub struct Net {
    poller: Poller,
    events: Events,
    start: Instant,
    clients: TcpListener,
    peers: TcpListener,
    conns: HashMap<usize, Conn>,
    next: usize,
    max_sockets: usize,
    /// Idle connections of ours, by address.
    idle: HashMap<String, Vec<usize>>,
    /// Calls in progress, with their connection.
    calls: HashMap<u64, usize>,
    peer_addrs: Vec<String>,
    /// The connection to each peer, or when to dial again.
    peer_links: Vec<Result<usize, u64>>,
    admission: Admission,
    out: Vec<NetEvent>,
    /// Connections with something new to send: all that one turn has to say goes out together.
    unsent: Vec<usize>,
    swept: u64,
    /// When the timers last ran.
    timed_at: u64,
    accept_paused: bool,
}

impl Net {
    /// Opens the listening sockets; `peer_addrs`: the other controllers, as IP address and port.
    pub fn new(
        client_listen: SocketAddr,
        peer_listen: SocketAddr,
        peer_addrs: Vec<String>,
        max_sockets: usize,
    ) -> io::Result<Net> {
        let poller = Poller::new()?;
        let clients = listen(client_listen)?;
        let peers = listen(peer_listen)?;
        for (listener, key) in [(&clients, CLIENTS), (&peers, PEERS)] {
            // Safe: the listeners live as long as the poller.
            unsafe { poller.add_with_mode(listener, Event::readable(key), PollMode::Level)? };
        }
        let peer_links = peer_addrs.iter().map(|_| Err(0)).collect();
        Ok(Net {
            poller,
            events: Events::new(),
            start: Instant::now(),
            clients,
            peers,
            conns: HashMap::new(),
            next: FIRST,
            max_sockets,
            idle: HashMap::new(),
            calls: HashMap::new(),
            peer_addrs,
            peer_links,
            admission: Admission::default(),
            out: vec![],
            unsent: vec![],
            swept: 0,
            timed_at: 0,
            accept_paused: false,
        })
    }

    /// Milliseconds of the steady clock since the start, plus one so that 0 means "never".
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    /// Waits for something to happen, at most until the next turn of the timers.
    pub fn poll(&mut self) -> io::Result<Vec<NetEvent>> {
        self.events.clear();
        for key in std::mem::take(&mut self.unsent) {
            self.push(key);
        }
        let wait = Duration::from_millis(if self.out.is_empty() { k::TICK_MS } else { 0 });
        match self.poller.wait(&mut self.events, Some(wait)) {
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        let happened: Vec<Event> = self.events.iter().collect();
        for ev in happened {
            match ev.key {
                CLIENTS => self.accept(true),
                PEERS => self.accept(false),
                key => self.ready(key, ev.readable, ev.writable),
            }
        }
        self.timers();
        Ok(std::mem::take(&mut self.out))
    }

    /// Handles one readiness event.
    fn ready(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(c) = self.conns.get(&key) else {
            return;
        };
        if c.connecting {
            return self.connected(key, writable);
        }
        if writable {
            self.push(key);
        }
        if readable {
            self.read(key);
        }
    }

    /// Ends a connection attempt, if it has succeeded or failed.
    fn connected(&mut self, key: usize, writable: bool) {
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        match c.stream.take_error() {
            Ok(None) if writable => {
                c.connecting = false;
                if let Role::PeerOut(i) = c.role {
                    self.out.push(NetEvent::LinkUp(Link::Out(i)));
                }
                self.push(key);
            }
            Ok(None) => {}
            _ => self.close(key),
        }
    }

    /// Reads what has arrived and hands it to the parser for its role.
    fn read(&mut self, key: usize) {
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let limit = match c.role {
            Role::Server { .. } => k::MAX_HEAD + k::MAX_BODY,
            _ => k::MAX_ANSWER,
        };
        let got = c.fill(limit);
        match c.role {
            Role::Server { .. } => {
                if got == Got::Closed {
                    return self.close(key);
                }
                self.serve(key);
            }
            Role::Client { .. } => self.answered(key, got),
            Role::PeerIn => self.frames(key, Link::In(key as u64), got),
            Role::PeerOut(i) => self.frames(key, Link::Out(i), got),
        }
    }

    /// Closes what is past its deadline and redials peers.
    fn timers(&mut self) {
        let now = self.now();
        let gap = now.saturating_sub(std::mem::replace(&mut self.timed_at, now));
        if gap >= k::PAUSE_MS {
            return self.resume(gap);
        }
        self.close_late_calls(now);
        if now >= self.swept + 1_000 {
            self.swept = now;
            self.close_expired(now);
            self.dial(now);
        }
    }

    /// The process stood still: what has come meanwhile is read before anything counts as late, and the
    /// admission limit learns nothing from requests that waited.
    fn resume(&mut self, gap: u64) {
        for c in self.conns.values_mut() {
            c.deadline += gap;
            c.asked_at += gap;
        }
    }

    fn close_late_calls(&mut self, now: u64) {
        let late: Vec<usize> = self
            .calls
            .values()
            .copied()
            .filter(|key| self.conns.get(key).is_some_and(|c| now >= c.deadline))
            .collect();
        for key in late {
            self.close(key);
        }
    }

    /// Closes connections past their deadline, except while the core owes an answer.
    fn close_expired(&mut self, now: u64) {
        let old: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| {
                now >= c.deadline && !matches!(c.role, Role::Server { busy: true, .. })
            })
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            self.close(key);
        }
    }
}
