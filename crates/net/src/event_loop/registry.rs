//! Registers, writes and closes connections.
use super::EventLoop;
use crate::connection::{Connection, ConnectionKind};
use crate::event::{CallFailure, NetworkEvent, PeerLink};
use polling::{Event, PollMode};
use stonegw_constants::PEER_REDIAL_INTERVAL_MS;

/// The events to wait for: reads, and writes if `writes`.
fn poll_interest(key: usize, writes: bool) -> Event {
    if writes {
        Event::all(key)
    } else {
        Event::readable(key)
    }
}

impl EventLoop {
    /// Registers a connection with the poller and returns its key.
    pub(super) fn register_connection(&mut self, c: Connection) -> Option<usize> {
        let key = self.next_key;
        self.next_key += 1;
        let interest = poll_interest(key, c.is_connecting);
        #[allow(
            unsafe_code,
            reason = "the poller takes raw sockets whose owner must outlive them"
        )]
        // SAFETY: `close_connection` deletes the stream from the poller before it is dropped.
        let added = unsafe {
            self.poller
                .add_with_mode(&c.stream, interest, PollMode::Level)
        };
        if let Err(e) = added {
            log::warn!("cannot poll a socket: {e}");
            return None;
        }
        let mut c = c;
        c.wants_write = c.is_connecting;
        self.connections.insert(key, c);
        Some(key)
    }

    /// Closes a connection and reports what ends with it.
    pub(super) fn close_connection(&mut self, key: usize) {
        let Some(c) = self.connections.remove(&key) else {
            return;
        };
        let _ = self.poller.delete(&c.stream);
        match c.kind {
            ConnectionKind::Server { .. } => {
                self.is_accept_paused = false;
                if c.counts_toward_admission {
                    self.admission.release_unmeasured();
                }
            }
            ConnectionKind::Client {
                remote_addr: addr,
                call_id: call,
            } => {
                let why = if c.is_connecting || c.bytes_sent == 0 {
                    CallFailure::NotSent
                } else {
                    CallFailure::OutcomeUnknown
                };
                self.forget_client_connection(key, &addr, call, why);
            }
            ConnectionKind::PeerOutbound(i) => {
                self.peer_links[i] = Err(self.now_ms() + PEER_REDIAL_INTERVAL_MS);
                if !c.is_connecting {
                    self.pending_events
                        .push(NetworkEvent::LinkDown(PeerLink::Outbound(i)));
                }
            }
            ConnectionKind::PeerInbound => self
                .pending_events
                .push(NetworkEvent::LinkDown(PeerLink::Inbound(key as u64))),
        }
    }

    /// Forgets a closed client connection and fails the call on it, if there is one.
    fn forget_client_connection(
        &mut self,
        key: usize,
        addr: &str,
        call: Option<u64>,
        why: CallFailure,
    ) {
        if let Some(list) = self.idle_connections.get_mut(addr) {
            list.retain(|i| *i != key);
        }
        if let Some(call) = call {
            self.calls_in_progress.remove(&call);
            self.report_call_failure(call, why);
        }
    }

    /// Writes what is due and asks for write events only while something is left.
    pub(super) fn write_output(&mut self, key: usize) {
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        if !c.write_pending() {
            return self.close_connection(key);
        }
        let left = !c.output.is_empty();
        let answered_last = ConnectionKind::Server {
            request_in_progress: false,
            close_after_reply: true,
        };
        if !left && c.kind == answered_last {
            return self.close_connection(key);
        }
        if left != c.wants_write {
            c.wants_write = left;
            let interest = poll_interest(key, left);
            if self
                .poller
                .modify_with_mode(&c.stream, interest, PollMode::Level)
                .is_err()
            {
                self.close_connection(key);
            }
        }
    }
}
