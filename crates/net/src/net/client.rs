//! Calls to workers, the cloud and the state service, over kept or new connections.
use super::socket::connect;
use super::Net;
use crate::conn::{Conn, Got, Role};
use crate::event::{Failed, NetEvent};
use stonegw_constants as k;
use stonegw_wire::http::{self, HttpError};

impl Net {
    /// Starts call `call`, which fails if it has no answer after `wait` ms.
    ///
    /// `vital`: to the state service or the cloud, which calls to workers must never keep from a
    /// socket.
    #[allow(clippy::too_many_arguments)]
    pub fn call(
        &mut self,
        call: u64,
        addr: &str,
        vital: bool,
        method: &str,
        path: &str,
        body: &[u8],
        wait: u64,
    ) {
        let now = self.now();
        let kept = self.idle.get_mut(addr).and_then(Vec::pop);
        let Some(key) = kept.or_else(|| self.open_call(addr, vital)) else {
            return self.failed(call, Failed::NotSent);
        };
        let Some(c) = self.conns.get_mut(&key) else {
            return self.failed(call, Failed::NotSent);
        };
        c.role = Role::Client {
            addr: addr.into(),
            call: Some(call),
        };
        c.deadline = now + wait;
        c.sent = 0;
        c.input.clear();
        http::write_request(&mut c.output, method, addr, path, body);
        self.calls.insert(call, key);
        if !self.conns[&key].connecting {
            self.unsent.push(key);
        }
    }

    /// Starts a new connection for a call, if there is a socket left for it.
    fn open_call(&mut self, addr: &str, vital: bool) -> Option<usize> {
        if !self.make_room(if vital { 0 } else { k::VITAL_SOCKETS }) {
            log::warn!("no socket left for {addr}");
            return None;
        }
        let stream = match connect(addr) {
            Ok(stream) => stream,
            Err(e) => {
                log::debug!("no connection to {addr}: {e}");
                return None;
            }
        };
        let role = Role::Client {
            addr: addr.into(),
            call: None,
        };
        let mut c = Conn::new(stream, role, 0);
        c.connecting = true;
        self.add(c)
    }

    /// Reports that call `call` failed.
    pub fn failed(&mut self, call: u64, why: Failed) {
        self.out.push(NetEvent::CallDone {
            call,
            result: Err(why),
        });
    }

    /// Parses the answer to the call on this connection, after a read with the outcome `got`.
    pub(super) fn answered(&mut self, key: usize, got: Got) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::Client { addr, call } = &mut c.role else {
            return;
        };
        let Some(id) = *call else {
            // Closed, or unasked bytes: of no use any more.
            return self.close(key);
        };
        match http::parse_response(&c.input, k::MAX_ANSWER) {
            Ok(Some((response, taken))) => {
                let keep = !response.close && taken == c.input.len() && got == Got::Data;
                c.input = vec![];
                *call = None;
                let addr = addr.clone();
                self.calls.remove(&id);
                let result = Ok((response.status, response.body));
                self.out.push(NetEvent::CallDone { call: id, result });
                if keep {
                    self.idle.entry(addr).or_default().push(key);
                    c.deadline = now + k::IDLE_CALL_MS;
                } else {
                    self.close(key);
                }
            }
            Ok(None) if got == Got::Data => {}
            Ok(None) => self.close(key),
            Err(HttpError::BodyTooLarge) => {
                log::warn!("{addr} answered with more than {} bytes", k::MAX_ANSWER);
                *call = None;
                self.calls.remove(&id);
                self.failed(id, Failed::TooLarge);
                self.close(key);
            }
            Err(e) => {
                log::warn!("{addr} answered with a malformed head: {e:?}");
                self.close(key);
            }
        }
    }
}
