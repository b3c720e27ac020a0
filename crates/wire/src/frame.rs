//! Frames between controllers: a fixed header, a fixed body per kind, then raw bytes where the
//! kind carries any. All numbers are little-endian.
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// First field of each header.
pub const MAGIC: u32 = 0x5747_5453;
/// Version of the frame format.
pub const FRAME_VERSION: u16 = 2;
/// Bytes after the header at most: a report or its answer and some.
pub const MAX_FRAME_BODY_BYTES: usize = 96 * 1024;

/// The head of each frame.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug)]
#[repr(C)]
pub struct Header {
    /// Always [`MAGIC`].
    pub magic: U32,
    /// Always [`FRAME_VERSION`].
    pub version: U16,
    /// The kind of frame.
    pub kind: U16,
    /// Bytes after the header.
    pub body_len: U32,
}

/// Bytes of a header.
pub const HEADER_BYTES: usize = size_of::<Header>();

/// Sent on connecting and every second: who speaks, the highest term known, how it is. Each is
/// answered over the same link by another, after all that `revision` shows to be missing: so an
/// answer tells that its sender knew of no other cancellation at the time `asked`.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct Hello {
    /// The highest term that the speaker knows.
    pub term: U64,
    /// Tells this process from earlier ones of the same name.
    pub process_nonce: U64,
    /// The asker's steady clock, ms; an answer gives it back. 0 where nothing is asked.
    pub ping_sent_at: U64,
    /// The revision up to which the speaker has all changes of the jobs.
    pub jobs_revision: U64,
    /// 1 if the speaker leads, else 0.
    pub is_leader: u8,
    /// 1 if the speaker reaches the state service, else 0.
    pub is_store_reachable: u8,
    /// The speaker's name, padded with zero bytes.
    pub node_name: [u8; 30],
}

/// A stored cancellation; a frame carries any number of these.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct Cancellation {
    /// The job id, padded with zero bytes.
    pub job_id: [u8; 24],
    /// The stamp under which it is stored.
    pub revision: U64,
}

/// Head of a relayed report or its answer; the message body follows.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct RelayHeader {
    /// Number of the relayed request, chosen by the asker.
    pub request_id: U64,
    /// HTTP status of an answer; 0 in a report.
    pub status: U16,
}

/// Counts for display of one job; a frame carries any number of these.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct TaskCounts {
    /// The job id, padded with zero bytes.
    pub job_id: [u8; 24],
    /// Number of tasks done.
    pub done: U32,
    /// Number of tasks running.
    pub running: U32,
}

/// One message between controllers.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Greeting, ping and its answer.
    Hello(Hello),
    /// A worker's report, relayed to the leader.
    Heartbeat {
        /// Number of the request, which the answer repeats.
        request_id: u64,
        /// The encoded report.
        body: Vec<u8>,
    },
    /// The leader's answer to a relayed report.
    HeartbeatReply {
        /// Number of the request that is answered.
        request_id: u64,
        /// HTTP status.
        status: u16,
        /// The encoded answer.
        body: Vec<u8>,
    },
    /// Counts for display.
    TaskCounts(Vec<TaskCounts>),
    /// Stored cancellations.
    Cancellations(Vec<Cancellation>),
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The magic number is wrong.
    WrongMagic,
    /// The version is another one.
    UnsupportedVersion,
    /// The length is above the limit or does not fit the kind.
    InvalidLength,
    /// The kind is unknown.
    UnknownKind,
}

const KIND_HELLO: u16 = 1;
const KIND_HEARTBEAT: u16 = 2;
const KIND_HEARTBEAT_REPLY: u16 = 3;
const KIND_TASK_COUNTS: u16 = 4;
const KIND_CANCELLATIONS: u16 = 5;

/// A text as fixed-size field: cut to `N` bytes or padded with zero bytes.
pub fn to_padded_text<const N: usize>(text: &str) -> [u8; N] {
    let mut out = [0; N];
    let n = text.len().min(N);
    out[..n].copy_from_slice(&text.as_bytes()[..n]);
    out
}

/// The text of a fixed-size field; empty if it is not UTF-8.
pub fn from_padded_text(name: &[u8]) -> &str {
    let end = name.iter().position(|b| *b == 0).unwrap_or(name.len());
    std::str::from_utf8(&name[..end]).unwrap_or("")
}

impl Frame {
    /// Appends the encoded frame to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        let at = out.len();
        out.resize(at + HEADER_BYTES, 0);
        let kind = match self {
            Frame::Hello(h) => {
                out.extend_from_slice(h.as_bytes());
                KIND_HELLO
            }
            Frame::Heartbeat {
                request_id: request,
                body,
            } => {
                let head = RelayHeader {
                    request_id: (*request).into(),
                    status: 0.into(),
                };
                out.extend_from_slice(head.as_bytes());
                out.extend_from_slice(body);
                KIND_HEARTBEAT
            }
            Frame::HeartbeatReply {
                request_id: request,
                status,
                body,
            } => {
                let head = RelayHeader {
                    request_id: (*request).into(),
                    status: (*status).into(),
                };
                out.extend_from_slice(head.as_bytes());
                out.extend_from_slice(body);
                KIND_HEARTBEAT_REPLY
            }
            Frame::TaskCounts(list) => {
                out.extend_from_slice(list.as_bytes());
                KIND_TASK_COUNTS
            }
            Frame::Cancellations(list) => {
                out.extend_from_slice(list.as_bytes());
                KIND_CANCELLATIONS
            }
        };
        let head = Header {
            magic: MAGIC.into(),
            version: FRAME_VERSION.into(),
            kind: kind.into(),
            body_len: ((out.len() - at - HEADER_BYTES) as u32).into(),
        };
        out[at..at + HEADER_BYTES].copy_from_slice(head.as_bytes());
    }

    /// Returns the frame and how many bytes it took, or `None` until it is whole.
    pub fn parse(buf: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
        let Ok((head, rest)) = Header::ref_from_prefix(buf) else {
            return Ok(None);
        };
        if head.magic.get() != MAGIC {
            return Err(FrameError::WrongMagic);
        }
        if head.version.get() != FRAME_VERSION {
            return Err(FrameError::UnsupportedVersion);
        }
        let len = head.body_len.get() as usize;
        if len > MAX_FRAME_BODY_BYTES {
            return Err(FrameError::InvalidLength);
        }
        if !(KIND_HELLO..=KIND_CANCELLATIONS).contains(&head.kind.get()) {
            return Err(FrameError::UnknownKind);
        }
        if rest.len() < len {
            return Ok(None);
        }
        let body = &rest[..len];
        let frame = match head.kind.get() {
            KIND_HELLO => {
                Frame::Hello(Hello::read_from_bytes(body).map_err(|_| FrameError::InvalidLength)?)
            }
            KIND_TASK_COUNTS => {
                let list =
                    <[TaskCounts]>::ref_from_bytes(body).map_err(|_| FrameError::InvalidLength)?;
                Frame::TaskCounts(list.to_vec())
            }
            KIND_CANCELLATIONS => {
                let list = <[Cancellation]>::ref_from_bytes(body)
                    .map_err(|_| FrameError::InvalidLength)?;
                Frame::Cancellations(list.to_vec())
            }
            kind => {
                let (r, body) =
                    RelayHeader::ref_from_prefix(body).map_err(|_| FrameError::InvalidLength)?;
                let (request, body) = (r.request_id.get(), body.to_vec());
                if kind == KIND_HEARTBEAT {
                    Frame::Heartbeat {
                        request_id: request,
                        body,
                    }
                } else {
                    Frame::HeartbeatReply {
                        request_id: request,
                        status: r.status.get(),
                        body,
                    }
                }
            }
        };
        Ok(Some((frame, HEADER_BYTES + len)))
    }
}
