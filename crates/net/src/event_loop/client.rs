//! Calls to workers, the cloud and the state service, over kept or new connections.
use super::socket::start_connect;
use super::EventLoop;
use crate::connection::{Connection, ConnectionKind, ReadOutcome};
use crate::event::{CallFailure, NetworkEvent};
use stonegw_constants::{
    IDLE_CLIENT_CONNECTION_TIMEOUT_MS, MAX_RESPONSE_BYTES, RESERVED_SERVICE_SOCKETS,
};
use stonegw_wire::http::{self, HttpError};
use stonegw_wire::Parsed;

impl EventLoop {
    /// Starts call `call`, which fails if it has no answer after `wait` ms.
    ///
    /// `vital`: to the state service or the cloud, which calls to workers must never keep from a
    /// socket.
    #[allow(clippy::too_many_arguments, reason = "a call has this many parts")]
    pub fn start_call(
        &mut self,
        call: u64,
        addr: &str,
        vital: bool,
        method: &str,
        path: &str,
        body: &[u8],
        wait: u64,
    ) {
        let now = self.now_ms();
        let kept = self.idle_connections.get_mut(addr).and_then(Vec::pop);
        let Some(key) = kept.or_else(|| self.connect_for_call(addr, vital)) else {
            return self.report_call_failure(call, CallFailure::NotSent);
        };
        let Some(c) = self.connections.get_mut(&key) else {
            return self.report_call_failure(call, CallFailure::NotSent);
        };
        c.kind = ConnectionKind::Client {
            remote_addr: addr.into(),
            call_id: Some(call),
        };
        c.deadline = now + wait;
        c.bytes_sent = 0;
        c.input.clear();
        http::write_request(&mut c.output, method, addr, path, body);
        self.calls_in_progress.insert(call, key);
        if !self.connections[&key].is_connecting {
            self.unwritten_connections.push(key);
        }
    }

    /// Starts a new connection for a call, if there is a socket left for it.
    fn connect_for_call(&mut self, addr: &str, vital: bool) -> Option<usize> {
        if !self.ensure_socket_available(if vital { 0 } else { RESERVED_SERVICE_SOCKETS }) {
            log::warn!("no socket left for {addr}");
            return None;
        }
        let stream = match start_connect(addr) {
            Ok(stream) => stream,
            Err(e) => {
                log::debug!("no connection to {addr}: {e}");
                return None;
            }
        };
        let role = ConnectionKind::Client {
            remote_addr: addr.into(),
            call_id: None,
        };
        let mut c = Connection::new(stream, role, 0);
        c.is_connecting = true;
        self.register_connection(c)
    }

    /// Reports that call `call` failed.
    pub fn report_call_failure(&mut self, call: u64, why: CallFailure) {
        self.pending_events.push(NetworkEvent::CallDone {
            call_id: call,
            result: Err(why),
        });
    }

    /// Parses the answer to the call on this connection, after a read with the outcome `got`.
    pub(super) fn handle_response(&mut self, key: usize, got: ReadOutcome) {
        let now = self.now_ms();
        let Some(c) = self.connections.get_mut(&key) else {
            return;
        };
        let ConnectionKind::Client {
            remote_addr: addr,
            call_id: call,
        } = &mut c.kind
        else {
            return;
        };
        let Some(id) = *call else {
            // Closed, or unasked bytes: of no use any more.
            return self.close_connection(key);
        };
        match http::parse_response(&c.input, MAX_RESPONSE_BYTES) {
            Ok(Some(Parsed {
                message: response,
                consumed_bytes,
            })) => {
                let keep = !response.connection_close
                    && consumed_bytes == c.input.len()
                    && got == ReadOutcome::Open;
                c.input = vec![];
                *call = None;
                let addr = addr.clone();
                self.calls_in_progress.remove(&id);
                let result = Ok((response.status, response.body));
                self.pending_events.push(NetworkEvent::CallDone {
                    call_id: id,
                    result,
                });
                if keep {
                    self.idle_connections.entry(addr).or_default().push(key);
                    c.deadline = now + IDLE_CLIENT_CONNECTION_TIMEOUT_MS;
                } else {
                    self.close_connection(key);
                }
            }
            Ok(None) if got == ReadOutcome::Open => {}
            Ok(None) => self.close_connection(key),
            Err(HttpError::BodyTooLarge) => {
                log::warn!(
                    "{addr} answered with more than {} bytes",
                    MAX_RESPONSE_BYTES
                );
                *call = None;
                self.calls_in_progress.remove(&id);
                self.report_call_failure(id, CallFailure::ResponseTooLarge);
                self.close_connection(key);
            }
            Err(e) => {
                log::warn!("{addr} answered with a malformed head: {e}");
                self.close_connection(key);
            }
        }
    }
}
