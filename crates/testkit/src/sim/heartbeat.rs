//! Heartbeats from workers to nodes, and the replies to them.
use super::event::SimulationEvent;
use super::requests::Requester;
use super::simulation::Simulation;
use crate::stand_ins::{
    HeartbeatInFlight, Worker, HEARTBEAT_INTERVAL_MS, HEARTBEAT_RETRY_MS, HEARTBEAT_TIMEOUT_MS,
};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{decode, encode, CommandBatch, Heartbeat, Redirect};

const HEARTBEAT_PATH: &str = "/agent/beat";

/// Whether a heartbeat reaches its node.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum HeartbeatDelivery {
    Arrives,
    Lost,
}

/// Returns the request that carries a heartbeat to a node.
fn heartbeat_request(body: Vec<u8>) -> Request {
    Request {
        method: "POST".into(),
        path: HEARTBEAT_PATH.into(),
        connection_close: false,
        body,
    }
}

/// Returns the index of the node that a reply redirects to.
fn redirect_target(body: &[u8]) -> Option<usize> {
    let target = decode::<Redirect>(body).ok()?.target_node?;
    target.strip_prefix("node-")?.parse().ok()
}

impl Simulation {
    /// Gives up a heartbeat that was not answered in time; the worker then tries the next node.
    pub(super) fn time_out_heartbeat(&mut self, id: &str) {
        let now = self.now;
        let node_count = self.nodes.len();
        let worker = self.worker_mut(id);
        let Some(heartbeat) = worker.heartbeat_in_flight else {
            return;
        };
        if now < heartbeat.sent_at + HEARTBEAT_TIMEOUT_MS {
            return;
        }
        worker.heartbeat_in_flight = None;
        worker.heartbeat_node = (worker.heartbeat_node + 1) % node_count;
        worker.next_heartbeat_at = now + HEARTBEAT_RETRY_MS;
        self.requests.remove(heartbeat.request_id);
    }

    /// Returns whether a heartbeat that the worker sends now would reach its node.
    pub(super) fn heartbeat_delivery(&self, worker: &Worker) -> HeartbeatDelivery {
        let node = worker.heartbeat_node;
        let faults = &self.network_faults;
        let is_lost = faults.is_node_partitioned_from_zone(self.now, node, &worker.zone)
            || self.worker_faults.loses_heartbeats(self.now, &worker.id);
        match is_lost {
            true => HeartbeatDelivery::Lost,
            false => HeartbeatDelivery::Arrives,
        }
    }

    /// Sends a heartbeat, and a duplicate of it if a fault asks for one.
    pub(super) fn send_heartbeat(&mut self, id: &str, delivery: HeartbeatDelivery) {
        let now = self.now;
        let request_id = self.requests.allocate_id();
        let worker = self.worker_mut(id);
        worker.has_unreported_changes = false;
        worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        worker.heartbeat_in_flight = Some(HeartbeatInFlight {
            request_id,
            sent_at: now,
        });
        let node = worker.heartbeat_node;
        let heartbeat = worker.build_heartbeat(now);
        if delivery == HeartbeatDelivery::Arrives {
            let requester = Requester::Worker(id.into());
            self.requests.insert(request_id, requester);
            let arrival = SimulationEvent::RequestArrival {
                request_id,
                node,
                request: heartbeat_request(encode(&heartbeat)),
            };
            self.schedule_after(self.network_latency_ms, arrival);
        }
        self.send_heartbeat_copy(id, node, &heartbeat);
    }

    /// Schedules a duplicate of the heartbeat at some node if a fault asks for one.
    fn send_heartbeat_copy(&mut self, id: &str, node: usize, heartbeat: &Heartbeat) {
        let node_count = self.nodes.len();
        let faults = &mut self.worker_faults;
        let Some(copy) = faults.next_heartbeat_copy(self.now, id, node, node_count) else {
            return;
        };
        let arrival = SimulationEvent::RequestArrival {
            request_id: self.requests.add(Requester::LogOnly),
            node: copy.node,
            request: heartbeat_request(encode(heartbeat)),
        };
        self.schedule_after(copy.delay_ms, arrival);
    }

    /// Builds a heartbeat of the machine now and withholds it for later delivery.
    pub fn withhold_heartbeat(&mut self, id: &str) {
        let now = self.now;
        let heartbeat = self.worker_mut(id).build_heartbeat(now);
        let withheld = &mut self.worker_faults.withheld_heartbeats;
        withheld.push_back(encode(&heartbeat));
    }

    /// Delivers the oldest withheld heartbeat to a node; the reply is only logged.
    pub fn deliver_withheld_heartbeat(&mut self, node: usize) {
        if let Some(body) = self.worker_faults.withheld_heartbeats.pop_front() {
            let request_id = self.requests.add(Requester::LogOnly);
            self.send_request(request_id, node, heartbeat_request(body));
        }
    }

    /// Handles the reply to a worker's heartbeat: renews the lease and executes the commands, or
    /// follows a redirect.
    pub(super) fn handle_heartbeat_reply(
        &mut self,
        id: &str,
        request_id: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let is_lost = self.worker_faults.loses_replies(now, id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(heartbeat) = worker.heartbeat_in_flight else {
            return;
        };
        if heartbeat.request_id != request_id || is_lost || now < worker.hung_until {
            return;
        }
        worker.heartbeat_in_flight = None;
        self.schedule_worker_wakeup(id, now);
        if status != 200 {
            return self.follow_redirect(id, body);
        }
        let Ok(batch) = decode::<CommandBatch>(body) else {
            return;
        };
        let worker = self.worker_mut(id);
        if batch.fencing_token < worker.fencing_token {
            return;
        }
        worker.observe_fencing_token(batch.fencing_token);
        worker.lease_renewed_at = heartbeat.sent_at;
        self.execute_commands(id, batch.commands);
    }

    /// Switches the worker to the node that the reply names, or else to the next node.
    fn follow_redirect(&mut self, id: &str, body: &[u8]) {
        let now = self.now;
        let node_count = self.nodes.len();
        let worker = self.worker_mut(id);
        let other_node = redirect_target(body).filter(|node| *node != worker.heartbeat_node);
        worker.heartbeat_node = other_node.unwrap_or((worker.heartbeat_node + 1) % node_count);
        worker.next_heartbeat_at = now + HEARTBEAT_RETRY_MS;
    }
}
