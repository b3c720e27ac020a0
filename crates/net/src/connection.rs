//! One connection: its buffers and its purpose.
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use stonegw_constants::READ_CHUNK_BYTES;

/// What a connection is for.
#[derive(Debug, PartialEq)]
pub(crate) enum ConnectionKind {
    /// Accepted from a user or worker.
    Server {
        /// The controller has not yet replied to a request.
        request_in_progress: bool,
        close_after_reply: bool,
    },
    /// Opened for calls of this node.
    Client {
        remote_addr: String,
        /// The call in progress; `None`: idle, kept for the next call.
        call_id: Option<u64>,
    },
    /// Accepted from a peer.
    PeerInbound,
    /// Opened to a peer, by index in the list of peers.
    PeerOutbound(usize),
}

pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) kind: ConnectionKind,
    pub(crate) is_connecting: bool,
    /// Received and not yet parsed.
    pub(crate) input: Vec<u8>,
    /// Not yet sent.
    pub(crate) output: Vec<u8>,
    /// Bytes of the current call that were sent.
    pub(crate) bytes_sent: usize,
    /// Whether the poller watches for writability.
    pub(crate) wants_write: bool,
    /// When the connection is closed unless something happens on it; also the deadline of the
    /// request being received and of the call in progress.
    pub(crate) deadline: u64,
    /// When the current request was received.
    pub(crate) request_received_at: u64,
    /// Whether the current request counts towards the admission limit.
    pub(crate) counts_toward_admission: bool,
}

/// Whether the remote end can send more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReadOutcome {
    Open,
    Closed,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, kind: ConnectionKind, deadline: u64) -> Connection {
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

    /// Reads what is available, until more than `max_input_bytes` are buffered.
    pub(crate) fn read_available(&mut self, max_input_bytes: usize) -> ReadOutcome {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(length) => {
                    self.input.extend_from_slice(&chunk[..length]);
                    if length < chunk.len() || self.input.len() > max_input_bytes {
                        return ReadOutcome::Open;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::Open,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }

    /// Sends as much of the output as the socket takes. An error means that the connection is
    /// broken.
    pub(crate) fn write_pending(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.bytes_sent += length;
                    self.output.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
