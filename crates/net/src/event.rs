//! What the event loop reports to its caller.
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

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
