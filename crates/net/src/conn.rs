//! One connection: buffers, and what it is for.
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use stonegw_constants::READ_CHUNK;

#[derive(Debug, PartialEq)]
pub(crate) enum Role {
    /// A user or worker; `busy` while a request of theirs is with the core.
    Server {
        busy: bool,
        close: bool,
    },
    /// A call of ours, or an idle connection kept for the next one.
    Client {
        addr: String,
        call: Option<u64>,
    },
    PeerIn,
    PeerOut(usize),
}

pub(crate) struct Conn {
    pub stream: TcpStream,
    pub role: Role,
    pub connecting: bool,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// Bytes of the present request that went out.
    pub sent: usize,
    pub wants_write: bool,
    /// The connection, or the request that has begun, is given up then.
    pub deadline: u64,
    /// When the present request came in; 0: it does not count towards the admission limit.
    pub asked_at: u64,
    pub counted: bool,
}

#[derive(Debug, PartialEq)]
pub(crate) enum Got {
    Data,
    Closed,
}

impl Conn {
    pub fn new(stream: TcpStream, role: Role, deadline: u64) -> Conn {
        Conn {
            stream,
            role,
            connecting: false,
            input: vec![],
            output: vec![],
            sent: 0,
            wants_write: false,
            deadline,
            asked_at: 0,
            counted: false,
        }
    }

    /// Reads what is there.
    pub fn fill(&mut self, limit: usize) -> Got {
        let mut chunk = [0u8; READ_CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Got::Closed,
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < chunk.len() || self.input.len() > limit {
                        return Got::Data;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Got::Data,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Got::Closed,
            }
        }
    }

    /// Writes what it can. False: the connection is broken.
    pub fn drain(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return false,
                Ok(n) => {
                    self.sent += n;
                    self.output.drain(..n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }
}
