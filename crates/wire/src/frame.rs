//! Binary frames between controllers. A frame consists of a header of fixed size and a body whose
//! layout depends on the kind of frame: a struct of fixed size, a sequence of such structs, or such
//! a struct followed by the bytes of an encoded message. All numbers are little-endian.
use crate::Parsed;
use thiserror::Error;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Value of the first field of each header, which marks the start of a frame.
pub const MAGIC: u32 = 0x5747_5453;
/// Version of the frame format.
pub const FRAME_VERSION: u16 = 2;
/// Maximum number of bytes after the header. This leaves room for a relayed heartbeat or its reply,
/// whose HTTP bodies have at most 64 KiB.
pub const MAX_FRAME_BODY_BYTES: usize = 96 * 1024;

/// The header of every frame.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug)]
#[repr(C)]
pub struct Header {
    /// Always [`MAGIC`].
    pub magic: U32,
    /// Always [`FRAME_VERSION`].
    pub version: U16,
    /// The kind of the frame.
    pub kind: U16,
    /// Number of bytes after the header.
    pub body_len: U32,
}

/// Size of a header in bytes.
pub const HEADER_BYTES: usize = size_of::<Header>();

/// The message that a node sends to a peer on connecting and then every second as a ping. It
/// contains the sender's name, the highest term that the sender knows and its status. The receiver
/// first sends the cancellations that the sender lacks according to `jobs_revision`, then its own
/// `Hello` as the reply. When the reply arrives, the pinging node has therefore received every
/// cancellation that the peer knew at `ping_sent_at`.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct Hello {
    /// The highest term that the sender knows, or a higher fencing token whose term it does not
    /// know.
    pub term: U64,
    /// Random number that distinguishes this process from earlier processes of the same node.
    pub process_nonce: U64,
    /// Time at which the ping was sent, in ms of the pinging node's monotonic clock. The reply
    /// repeats it. 0 if the pinging node does not use the reply to learn which cancellations exist.
    pub ping_sent_at: U64,
    /// Revision of the key-value store up to which the sender has all changes of the jobs, or
    /// `u64::MAX` if it requests no cancellations.
    pub jobs_revision: U64,
    /// 1 if the sender is the leader, else 0.
    pub is_leader: u8,
    /// 1 if the sender can reach the key-value store, else 0.
    pub is_store_reachable: u8,
    /// The sender's name, padded with zero bytes.
    pub node_name: [u8; 30],
}

/// A stored cancellation of a job. One frame can contain any number of cancellations.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct Cancellation {
    /// The job id, padded with zero bytes.
    pub job_id: [u8; 24],
    /// The revision of the key-value store at which the cancellation was stored.
    pub revision: U64,
}

/// Header of a relayed heartbeat or of the reply to it. The encoded message follows.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct RelayHeader {
    /// Id of the relayed request, chosen by the relaying node.
    pub request_id: U64,
    /// HTTP status code of a reply; 0 in a heartbeat.
    pub status: U16,
}

/// Task counts of one job, for display. One frame can contain the counts of any number of jobs.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct TaskCounts {
    /// The job id, padded with zero bytes.
    pub job_id: [u8; 24],
    /// Number of completed tasks.
    pub done: U32,
    /// Number of running tasks.
    pub running: U32,
}

/// A message between controllers.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A greeting, a ping or the reply to a ping.
    Hello(Hello),
    /// A worker's heartbeat, relayed to the leader.
    Heartbeat {
        /// Id of the relayed request, which the reply repeats.
        request_id: u64,
        /// The encoded heartbeat.
        body: Vec<u8>,
    },
    /// The leader's reply to a relayed heartbeat.
    HeartbeatReply {
        /// Id of the relayed request to which this is the reply.
        request_id: u64,
        /// HTTP status code.
        status: u16,
        /// The encoded reply.
        body: Vec<u8>,
    },
    /// Task counts of jobs, for display.
    TaskCounts(Vec<TaskCounts>),
    /// Stored cancellations.
    Cancellations(Vec<Cancellation>),
}

/// The reason why bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The magic number is wrong.
    #[error("wrong magic number")]
    WrongMagic,
    /// The version is not [`FRAME_VERSION`].
    #[error("unsupported frame version")]
    UnsupportedVersion,
    /// The body length exceeds the limit or does not match the kind.
    #[error("invalid body length")]
    InvalidLength,
    /// The kind of frame is unknown.
    #[error("unknown frame kind")]
    UnknownKind,
}

const KIND_HELLO: u16 = 1;
const KIND_HEARTBEAT: u16 = 2;
const KIND_HEARTBEAT_REPLY: u16 = 3;
const KIND_TASK_COUNTS: u16 = 4;
const KIND_CANCELLATIONS: u16 = 5;

/// Converts a text to a field of fixed size: truncates it to `N` bytes or pads it with zero bytes.
pub fn to_padded_text<const N: usize>(text: &str) -> [u8; N] {
    let mut field = [0; N];
    let length = text.len().min(N);
    field[..length].copy_from_slice(&text.as_bytes()[..length]);
    field
}

/// Returns the text of a field that is padded with zero bytes, or an empty text if it is not UTF-8.
pub fn from_padded_text(field: &[u8]) -> &str {
    let end = field
        .iter()
        .position(|byte| *byte == 0)
        .unwrap_or(field.len());
    std::str::from_utf8(&field[..end]).unwrap_or("")
}

impl Frame {
    /// Appends the encoded frame to `buffer`.
    pub fn write(&self, buffer: &mut Vec<u8>) {
        let start = buffer.len();
        buffer.resize(start + HEADER_BYTES, 0);
        self.write_body(buffer);
        let body_bytes = buffer.len() - start - HEADER_BYTES;
        let header = Header {
            magic: MAGIC.into(),
            version: FRAME_VERSION.into(),
            kind: self.kind().into(),
            body_len: (body_bytes as u32).into(),
        };
        buffer[start..start + HEADER_BYTES].copy_from_slice(header.as_bytes());
    }

    fn kind(&self) -> u16 {
        match self {
            Frame::Hello(_) => KIND_HELLO,
            Frame::Heartbeat { .. } => KIND_HEARTBEAT,
            Frame::HeartbeatReply { .. } => KIND_HEARTBEAT_REPLY,
            Frame::TaskCounts(_) => KIND_TASK_COUNTS,
            Frame::Cancellations(_) => KIND_CANCELLATIONS,
        }
    }

    fn write_body(&self, buffer: &mut Vec<u8>) {
        match self {
            Frame::Hello(hello) => buffer.extend_from_slice(hello.as_bytes()),
            Frame::Heartbeat { request_id, body } => {
                write_relayed_body(buffer, *request_id, 0, body);
            }
            Frame::HeartbeatReply {
                request_id,
                status,
                body,
            } => write_relayed_body(buffer, *request_id, *status, body),
            Frame::TaskCounts(counts) => buffer.extend_from_slice(counts.as_bytes()),
            Frame::Cancellations(cancellations) => {
                buffer.extend_from_slice(cancellations.as_bytes());
            }
        }
    }

    /// Parses the frame at the start of the buffer. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid frame. The link cannot be used any further.
    pub fn parse(buffer: &[u8]) -> Result<Option<Parsed<Frame>>, FrameError> {
        let Ok((header, rest)) = Header::ref_from_prefix(buffer) else {
            return Ok(None);
        };
        header.validate()?;
        let body_bytes = header.body_len.get() as usize;
        let Some(body) = rest.get(..body_bytes) else {
            return Ok(None);
        };
        Ok(Some(Parsed {
            message: parse_body(header.kind.get(), body)?,
            consumed_bytes: HEADER_BYTES + body_bytes,
        }))
    }
}

impl Header {
    fn validate(&self) -> Result<(), FrameError> {
        if self.magic.get() != MAGIC {
            return Err(FrameError::WrongMagic);
        }
        if self.version.get() != FRAME_VERSION {
            return Err(FrameError::UnsupportedVersion);
        }
        if self.body_len.get() as usize > MAX_FRAME_BODY_BYTES {
            return Err(FrameError::InvalidLength);
        }
        if !(KIND_HELLO..=KIND_CANCELLATIONS).contains(&self.kind.get()) {
            return Err(FrameError::UnknownKind);
        }
        Ok(())
    }
}

fn write_relayed_body(buffer: &mut Vec<u8>, request_id: u64, status: u16, body: &[u8]) {
    let header = RelayHeader {
        request_id: request_id.into(),
        status: status.into(),
    };
    buffer.extend_from_slice(header.as_bytes());
    buffer.extend_from_slice(body);
}

fn parse_body(kind: u16, body: &[u8]) -> Result<Frame, FrameError> {
    match kind {
        KIND_HELLO => Hello::read_from_bytes(body)
            .map(Frame::Hello)
            .map_err(|_| FrameError::InvalidLength),
        KIND_HEARTBEAT => {
            let (header, message) = parse_relay_header(body)?;
            Ok(Frame::Heartbeat {
                request_id: header.request_id.get(),
                body: message.to_vec(),
            })
        }
        KIND_HEARTBEAT_REPLY => {
            let (header, message) = parse_relay_header(body)?;
            Ok(Frame::HeartbeatReply {
                request_id: header.request_id.get(),
                status: header.status.get(),
                body: message.to_vec(),
            })
        }
        KIND_TASK_COUNTS => parse_records(body).map(Frame::TaskCounts),
        KIND_CANCELLATIONS => parse_records(body).map(Frame::Cancellations),
        _ => Err(FrameError::UnknownKind),
    }
}

fn parse_relay_header(body: &[u8]) -> Result<(&RelayHeader, &[u8]), FrameError> {
    RelayHeader::ref_from_prefix(body).map_err(|_| FrameError::InvalidLength)
}

/// Parses a body that is a sequence of records of the same size.
fn parse_records<T>(body: &[u8]) -> Result<Vec<T>, FrameError>
where
    T: FromBytes + KnownLayout + Immutable + Unaligned + Clone,
{
    <[T]>::ref_from_bytes(body)
        .map(<[T]>::to_vec)
        .map_err(|_| FrameError::InvalidLength)
}
