//! All sockets of the process and what happens on them.
use crate::admit::Admission;
use crate::conn::{Conn, Got, Role};
use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use stonegw_constants as k;
use stonegw_wire::frame::Frame;
use stonegw_wire::http::{self, HttpError, Request};
use stonegw_wire::msg::{encode, ErrorBody};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    Out(usize),
    In(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    NotSent,
    Unknown,
}

#[derive(Debug)]
pub enum NetEvent {
    Request {
        id: u64,
        request: Request,
    },
    CallDone {
        call: u64,
        result: Result<(u16, Vec<u8>), Failed>,
    },
    Frame {
        from: Link,
        frame: Frame,
    },
    LinkUp(Link),
    LinkDown(Link),
}

const CLIENTS: usize = 0;
const PEERS: usize = 1;
const FIRST: usize = 2;

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
    accept_paused: bool,
}

fn connect(addr: &str) -> io::Result<TcpStream> {
    let addr: SocketAddr = addr
        .parse()
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an IP address and port"))?;
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_nodelay(true);
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(115) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}

impl Net {
    pub fn new(
        client_listen: SocketAddr,
        peer_listen: SocketAddr,
        peer_addrs: Vec<String>,
        max_sockets: usize,
    ) -> io::Result<Net> {
        let poller = Poller::new()?;
        let listen = |addr: SocketAddr, key| -> io::Result<TcpListener> {
            let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_reuse_address(true)?;
            socket.bind(&addr.into())?;
            socket.listen(k::LISTEN_BACKLOG)?;
            socket.set_nonblocking(true)?;
            let l: TcpListener = socket.into();
            // Safe: the listeners live as long as the poller.
            unsafe { poller.add_with_mode(&l, Event::readable(key), PollMode::Level)? };
            Ok(l)
        };
        let clients = listen(client_listen, CLIENTS)?;
        let peers = listen(peer_listen, PEERS)?;
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

    // ---- What the core asks for -------------------------------------------------------------

    pub fn reply(&mut self, id: u64, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        let now = self.now();
        let key = id as usize;
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Server { busy, close } = &mut c.role else {
            return;
        };
        *busy = false;
        http::write_response(&mut c.output, status, retry_after_s, *close, body);
        c.deadline = now + k::IDLE_MS;
        if c.counted {
            c.counted = false;
            self.admission.leave(now, now.saturating_sub(c.asked_at));
        }
        self.unsent.push(key);
        // The next request may already be here.
        self.serve(key);
    }

    /// `vital`: to the state service or the cloud, which calls to workers must never keep from a
    /// socket.
    #[allow(clippy::too_many_arguments)]
    pub fn call(
        &mut self,
        call: u64,
        addr: &str,
        vital: bool,
        method: &str,
        path: &str,
        body: &[u8],
        wait: u64,
    ) {
        let now = self.now();
        let kept = self.idle.get_mut(addr).and_then(Vec::pop);
        let key = match kept {
            Some(key) => key,
            None if !self.make_room(if vital { 0 } else { k::VITAL_SOCKETS }) => {
                log::warn!("no socket left for {addr}");
                return self.failed(call, Failed::NotSent);
            }
            None => match connect(addr) {
                Ok(stream) => {
                    let role = Role::Client {
                        addr: addr.into(),
                        call: None,
                    };
                    let mut c = Conn::new(stream, role, 0);
                    c.connecting = true;
                    match self.add(c) {
                        Some(key) => key,
                        None => return self.failed(call, Failed::NotSent),
                    }
                }
                Err(e) => {
                    log::debug!("no connection to {addr}: {e}");
                    return self.failed(call, Failed::NotSent);
                }
            },
        };
        let Some(c) = self.conns.get_mut(&key) else {
            return self.failed(call, Failed::NotSent);
        };
        c.role = Role::Client {
            addr: addr.into(),
            call: Some(call),
        };
        c.deadline = now + wait;
        c.sent = 0;
        c.input.clear();
        http::write_request(&mut c.output, method, addr, path, body);
        self.calls.insert(call, key);
        if !self.conns[&key].connecting {
            self.unsent.push(key);
        }
    }

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

    // ---- Connections ------------------------------------------------------------------------

    fn add(&mut self, c: Conn) -> Option<usize> {
        let key = self.next;
        self.next += 1;
        let interest = if c.connecting {
            Event::all(key)
        } else {
            Event::readable(key)
        };
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

    /// Whether there is a socket besides so many that are kept. Nearing the limit, idle connections
    /// go, the longest idle first: our own to workers, then those of workers and users.
    fn make_room(&mut self, kept: usize) -> bool {
        let most = self
            .max_sockets
            .saturating_sub(kept + FIRST + k::SOCKET_MARGIN);
        if self.conns.len() >= most {
            let idle = |c: &Conn| match &c.role {
                Role::Client { call: None, .. } => Some((0, c.deadline)),
                Role::Server { busy: false, .. } if c.input.is_empty() && c.output.is_empty() => {
                    Some((1, c.deadline))
                }
                _ => None,
            };
            let conns = self.conns.iter();
            let mut old: Vec<_> = conns.filter_map(|(k, c)| Some((idle(c)?, *k))).collect();
            old.sort_unstable();
            log::info!("{} sockets in use; closing idle ones", self.conns.len());
            // Several at once, for looking at all of them costs time.
            for (_, key) in old.into_iter().take(k::EVICT_SOCKETS) {
                self.close(key);
            }
        }
        self.conns.len() < most
    }

    fn accept(&mut self, user: bool) {
        let now = self.now();
        loop {
            let listener = if user { &self.clients } else { &self.peers };
            match listener.accept() {
                Ok((stream, _)) => {
                    let kept = k::RESERVED_SOCKETS.min(self.max_sockets / 4);
                    if !self.make_room(if user { kept } else { 0 }) {
                        // Dropped: the load balancer turns to another node.
                        log::debug!("too many connections");
                        continue;
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

    /// The call comes to nothing.
    pub fn failed(&mut self, call: u64, why: Failed) {
        self.out.push(NetEvent::CallDone {
            call,
            result: Err(why),
        });
    }

    fn close(&mut self, key: usize) {
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
                if let Some(list) = self.idle.get_mut(&addr) {
                    list.retain(|i| *i != key);
                }
                if let Some(call) = call {
                    self.calls.remove(&call);
                    let why = if c.connecting || c.sent == 0 {
                        Failed::NotSent
                    } else {
                        Failed::Unknown
                    };
                    self.failed(call, why);
                }
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

    /// Writes what is due and asks for write events only while something is left.
    fn push(&mut self, key: usize) {
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        if !c.drain() {
            return self.close(key);
        }
        let left = !c.output.is_empty();
        if !left
            && c.role
                == (Role::Server {
                    busy: false,
                    close: true,
                })
        {
            return self.close(key);
        }
        if left != c.wants_write {
            c.wants_write = left;
            let interest = if left {
                Event::all(key)
            } else {
                Event::readable(key)
            };
            if self
                .poller
                .modify_with_mode(&c.stream, interest, PollMode::Level)
                .is_err()
            {
                self.close(key);
            }
        }
    }

    fn ready(&mut self, key: usize, readable: bool, writable: bool) {
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        if c.connecting {
            match c.stream.take_error() {
                Ok(None) if writable => {
                    c.connecting = false;
                    if let Role::PeerOut(i) = c.role {
                        self.out.push(NetEvent::LinkUp(Link::Out(i)));
                    }
                    self.push(key);
                }
                Ok(None) => {}
                _ => return self.close(key),
            }
            return;
        }
        if writable {
            self.push(key);
        }
        if !readable {
            return;
        }
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

    fn serve(&mut self, key: usize) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Server { busy, close } = &mut c.role else {
            return;
        };
        if *busy || c.input.is_empty() {
            return;
        }
        match http::parse_request(&c.input, k::MAX_BODY) {
            Ok(None) => {
                // From its first byte a request has so long to arrive.
                c.deadline = c.deadline.min(now + k::SLOW_MS);
            }
            Ok(Some((request, taken))) => {
                c.input.drain(..taken);
                *busy = true;
                *close = request.close;
                c.deadline = now + k::IDLE_MS;
                c.asked_at = now;
                let user = request.path.starts_with("/submissions");
                let question = (request.method == "GET").then_some(request.path.as_str());
                if user && !self.admission.enter(now, question) {
                    let body = encode(&ErrorBody {
                        error: "too many requests in progress".into(),
                    });
                    return self.reply(key as u64, 429, Some(k::RETRY_BUSY_S), &body);
                }
                c.counted = user;
                self.out.push(NetEvent::Request {
                    id: key as u64,
                    request,
                });
            }
            Err(e) => self.reject(key, e),
        }
    }

    fn reject(&mut self, key: usize, e: HttpError) {
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let body = encode(&ErrorBody {
            error: format!("{e:?}"),
        });
        c.input.clear();
        c.role = Role::Server {
            busy: false,
            close: true,
        };
        http::write_response(&mut c.output, e.status(), None, true, &body);
        self.push(key);
    }

    fn answered(&mut self, key: usize, got: Got) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Client { addr, call } = &mut c.role else {
            return;
        };
        let Some(id) = *call else {
            // Closed, or unasked bytes: of no use any more.
            return self.close(key);
        };
        match http::parse_response(&c.input, k::MAX_ANSWER) {
            Ok(Some((response, taken))) => {
                let keep = !response.close && taken == c.input.len() && got == Got::Data;
                c.input = vec![];
                *call = None;
                let addr = addr.clone();
                self.calls.remove(&id);
                let result = Ok((response.status, response.body));
                self.out.push(NetEvent::CallDone { call: id, result });
                if keep {
                    self.idle.entry(addr).or_default().push(key);
                    c.deadline = now + k::IDLE_CALL_MS;
                } else {
                    self.close(key);
                }
            }
            Ok(None) if got == Got::Data => {}
            Ok(None) => self.close(key),
            Err(e) => {
                log::warn!("{addr} answered with a malformed head: {e:?}");
                self.close(key);
            }
        }
    }

    fn frames(&mut self, key: usize, from: Link, got: Got) {
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

    fn timers(&mut self) {
        let now = self.now();
        let late: Vec<usize> = self
            .calls
            .values()
            .copied()
            .filter(|key| self.conns.get(key).is_some_and(|c| now >= c.deadline))
            .collect();
        for key in late {
            self.close(key);
        }
        if now >= self.swept + 1_000 {
            self.swept = now;
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
            self.dial(now);
        }
    }

    fn dial(&mut self, now: u64) {
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
