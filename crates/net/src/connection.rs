//! A connection with its socket, its buffers and its purpose.
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use stonegw_constants::READ_CHUNK_BYTES;

/// The purpose of a connection.
#[derive(Debug, PartialEq)]
pub(crate) enum ConnectionKind {
    /// A connection that was accepted from a user or worker.
    Server {
        /// Whether the controller has yet to reply to a request.
        request_in_progress: bool,
        close_after_reply: bool,
    },
    /// A connection that was opened for calls of this node.
    Client {
        remote_addr: String,
        /// Id of the call in progress; `None` while the connection is idle and kept for the next
        /// call.
        call_id: Option<u64>,
    },
    /// A link that was accepted from a peer.
    PeerInbound,
    /// A link that was opened to the peer with this index in the list of peers.
    PeerOutbound(usize),
}

pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) kind: ConnectionKind,
    pub(crate) is_connecting: bool,
    /// Bytes that were received and are not yet parsed.
    pub(crate) input: Vec<u8>,
    /// Bytes that are not yet sent.
    pub(crate) output: Vec<u8>,
    /// Number of bytes sent since the current call started.
    pub(crate) bytes_sent: usize,
    /// Whether the poller waits for the socket to become writable.
    pub(crate) wants_write: bool,
    /// Time at which the connection is closed if there is no activity on it. It is also the
    /// deadline for receiving the current request and for the call in progress.
    pub(crate) deadline: u64,
    /// Time at which the current request was received.
    pub(crate) request_received_at: u64,
    /// Whether the current request counts towards the admission limit.
    pub(crate) counts_toward_admission: bool,
}

/// Whether the remote end can send more data.
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

    /// Reads the available bytes, and stops when more than `max_input_bytes` are buffered.
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

    /// Sends as much of the output as the socket accepts. An error means that the connection is
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
