//! One connection: buffers, and what it is for.
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use stonegw_constants::READ_CHUNK_BYTES;

#[derive(Debug, PartialEq)]
pub(crate) enum ConnectionKind {
    /// A user or worker; `busy` while a request of theirs is with the core.
    Server {
        request_in_progress: bool,
        close_after_reply: bool,
    },
    /// A call of ours, or an idle connection kept for the next one.
    Client {
        remote_addr: String,
        call_id: Option<u64>,
    },
    PeerInbound,
    PeerOutbound(usize),
}

pub(crate) struct Connection {
    pub stream: TcpStream,
    pub kind: ConnectionKind,
    pub is_connecting: bool,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// Bytes of the present request that went out.
    pub bytes_sent: usize,
    pub wants_write: bool,
    /// The connection, or the request that has begun, is given up then.
    pub deadline: u64,
    /// When the present request came in; 0: it does not count towards the admission limit.
    pub request_received_at: u64,
    pub counts_toward_admission: bool,
}

#[derive(Debug, PartialEq)]
pub(crate) enum ReadOutcome {
    Open,
    Closed,
}

impl Connection {
    pub fn new(stream: TcpStream, kind: ConnectionKind, deadline: u64) -> Connection {
        Connection {
            stream,
            kind,
            is_connecting: false,
            input: vec![],
            output: vec![],
            bytes_sent: 0,
            wants_write: false,
            deadline,
            request_received_at: 0,
            counts_toward_admission: false,
        }
    }

    /// Reads what is there.
    pub fn read_available(&mut self, limit: usize) -> ReadOutcome {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < chunk.len() || self.input.len() > limit {
                        return ReadOutcome::Open;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadOutcome::Open,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }

    /// Writes what it can. False: the connection is broken.
    pub fn write_pending(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return false,
                Ok(n) => {
                    self.bytes_sent += n;
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
