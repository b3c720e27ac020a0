//! Frames between controllers: a fixed header, a fixed body per kind, then raw bytes where the
//! kind carries any. All numbers are little-endian.
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// First field of each header.
pub const MAGIC: u32 = 0x5747_5453;
/// Version of the frame format.
pub const VERSION: u16 = 2;
/// Bytes after the header at most: a report or its answer and some.
pub const MAX_FRAME: usize = 96 * 1024;

/// The head of each frame.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug)]
#[repr(C)]
pub struct Header {
    /// Always [`MAGIC`].
    pub magic: U32,
    /// Always [`VERSION`].
    pub version: U16,
    /// The kind of frame.
    pub kind: U16,
    /// Bytes after the header.
    pub len: U32,
}

/// Bytes of a header.
pub const HEADER: usize = size_of::<Header>();

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
    pub nonce: U64,
    /// The asker's steady clock, ms; an answer gives it back. 0 where nothing is asked.
    pub asked: U64,
    /// The revision up to which the speaker has all changes of the jobs.
    pub revision: U64,
    /// 1 if the speaker leads, else 0.
    pub leads: u8,
    /// 1 if the speaker reaches the state service, else 0.
    pub state_ok: u8,
    /// The speaker's name, padded with zero bytes.
    pub name: [u8; 30],
}

/// A stored cancellation; a frame carries any number of these.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct Cancelled {
    /// The job id, padded with zero bytes.
    pub job: [u8; 24],
    /// The stamp under which it is stored.
    pub stamp: U64,
}

/// Head of a relayed report or its answer; the message body follows.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct Relay {
    /// Number of the relayed request, chosen by the asker.
    pub request: U64,
    /// HTTP status of an answer; 0 in a report.
    pub status: U16,
}

/// Counts for display of one job; a frame carries any number of these.
#[derive(
    FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned, Clone, Copy, Debug, PartialEq,
)]
#[repr(C)]
pub struct Counts {
    /// The job id, padded with zero bytes.
    pub job: [u8; 24],
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
    Report {
        /// Number of the request, which the answer repeats.
        request: u64,
        /// The encoded report.
        body: Vec<u8>,
    },
    /// The leader's answer to a relayed report.
    Answer {
        /// Number of the request that is answered.
        request: u64,
        /// HTTP status.
        status: u16,
        /// The encoded answer.
        body: Vec<u8>,
    },
    /// Counts for display.
    Counts(Vec<Counts>),
    /// Stored cancellations.
    Cancelled(Vec<Cancelled>),
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The magic number is wrong.
    Magic,
    /// The version is another one.
    Version,
    /// The length is above the limit or does not fit the kind.
    Length,
    /// The kind is unknown.
    Kind,
}

const HELLO: u16 = 1;
const REPORT: u16 = 2;
const ANSWER: u16 = 3;
const COUNTS: u16 = 4;
const CANCELLED: u16 = 5;

/// A text as fixed-size field: cut to `N` bytes or padded with zero bytes.
pub fn name<const N: usize>(text: &str) -> [u8; N] {
    let mut out = [0; N];
    let n = text.len().min(N);
    out[..n].copy_from_slice(&text.as_bytes()[..n]);
    out
}

/// The text of a fixed-size field; empty if it is not UTF-8.
pub fn text(name: &[u8]) -> &str {
    let end = name.iter().position(|b| *b == 0).unwrap_or(name.len());
    std::str::from_utf8(&name[..end]).unwrap_or("")
}

impl Frame {
    /// Appends the encoded frame to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        let at = out.len();
        out.resize(at + HEADER, 0);
        let kind = match self {
            Frame::Hello(h) => {
                out.extend_from_slice(h.as_bytes());
                HELLO
            }
            Frame::Report { request, body } => {
                let head = Relay {
                    request: (*request).into(),
                    status: 0.into(),
                };
                out.extend_from_slice(head.as_bytes());
                out.extend_from_slice(body);
                REPORT
            }
            Frame::Answer {
                request,
                status,
                body,
            } => {
                let head = Relay {
                    request: (*request).into(),
                    status: (*status).into(),
                };
                out.extend_from_slice(head.as_bytes());
                out.extend_from_slice(body);
                ANSWER
            }
            Frame::Counts(list) => {
                out.extend_from_slice(list.as_bytes());
                COUNTS
            }
            Frame::Cancelled(list) => {
                out.extend_from_slice(list.as_bytes());
                CANCELLED
            }
        };
        let head = Header {
            magic: MAGIC.into(),
            version: VERSION.into(),
            kind: kind.into(),
            len: ((out.len() - at - HEADER) as u32).into(),
        };
        out[at..at + HEADER].copy_from_slice(head.as_bytes());
    }

    /// Returns the frame and how many bytes it took, or `None` until it is whole.
    pub fn parse(buf: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
        let Ok((head, rest)) = Header::ref_from_prefix(buf) else {
            return Ok(None);
        };
        if head.magic.get() != MAGIC {
            return Err(FrameError::Magic);
        }
        if head.version.get() != VERSION {
            return Err(FrameError::Version);
        }
        let len = head.len.get() as usize;
        if len > MAX_FRAME {
            return Err(FrameError::Length);
        }
        if !(HELLO..=CANCELLED).contains(&head.kind.get()) {
            return Err(FrameError::Kind);
        }
        if rest.len() < len {
            return Ok(None);
        }
        let body = &rest[..len];
        let frame = match head.kind.get() {
            HELLO => Frame::Hello(Hello::read_from_bytes(body).map_err(|_| FrameError::Length)?),
            COUNTS => {
                let list = <[Counts]>::ref_from_bytes(body).map_err(|_| FrameError::Length)?;
                Frame::Counts(list.to_vec())
            }
            CANCELLED => {
                let list = <[Cancelled]>::ref_from_bytes(body).map_err(|_| FrameError::Length)?;
                Frame::Cancelled(list.to_vec())
            }
            kind => {
                let (r, body) = Relay::ref_from_prefix(body).map_err(|_| FrameError::Length)?;
                let (request, body) = (r.request.get(), body.to_vec());
                if kind == REPORT {
                    Frame::Report { request, body }
                } else {
                    Frame::Answer {
                        request,
                        status: r.status.get(),
                        body,
                    }
                }
            }
        };
        Ok(Some((frame, HEADER + len)))
    }
}
