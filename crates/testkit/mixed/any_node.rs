//! A controller node of the old or the new version, which replaces the simulation's own node.
//!
//! The simulation uses the events and actions of the new version. They are converted field by field
//! for an old node, except for frames: one version encodes a frame to bytes and the other parses
//! them, as on the network.
use crate::plan::{self, Version};
use old_control::{api as old_api, settings as old_settings};
use stonegw_control as new_control;
use stonegw_control::api::{Action, CallError, Event, Link, Now, Target};
use stonegw_control::settings::{Settings, Team, Tuning};
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

pub use new_control::node::Role;

enum VersionedNode {
    Old(Box<old_control::node::Node>),
    New(Box<new_control::node::Node>),
}

/// A node that runs the version which the plan assigns to its current incarnation.
pub struct Node {
    name: String,
    /// The node's role. An old node has the role `Leader` or `Follower` and no other.
    pub role: Role,
    versioned_node: VersionedNode,
    /// Whether the node's feature gate was open after the last call of `handle`. `false` for an old
    /// node.
    gate_was_open: bool,
}

impl Node {
    /// Starts the node in the version that the plan assigns to its next incarnation.
    pub fn new(settings: Settings, seed: u64) -> Node {
        let name = settings.node_name.clone();
        let versioned_node = match plan::record_start(&name) {
            Version::Old => {
                let settings = to_old_settings(settings);
                VersionedNode::Old(Box::new(old_control::node::Node::new(settings, seed)))
            }
            Version::New => {
                VersionedNode::New(Box::new(new_control::node::Node::new(settings, seed)))
            }
        };
        Node {
            name,
            role: Role::Follower,
            versioned_node,
            gate_was_open: false,
        }
    }

    /// Passes events to the node and returns its actions.
    pub fn handle(&mut self, now: Now, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let was_leader = self.role == Role::Leader;
        let actions = match &mut self.versioned_node {
            VersionedNode::Old(node) => {
                let events: Vec<_> = events.into_iter().map(to_old_event).collect();
                let actions = node.handle(to_old_time(now), events);
                let is_leader = node.role == old_control::node::Role::Leading;
                // The simulation only checks which node is the leader.
                self.role = if is_leader {
                    Role::Leader
                } else {
                    Role::Follower
                };
                actions.into_iter().map(to_new_action).collect()
            }
            VersionedNode::New(node) => {
                let actions = node.handle(now, events);
                self.role = node.role.clone();
                let gate_is_open = node.gangs_enabled();
                if gate_is_open && !self.gate_was_open {
                    plan::record_gate_opened(&self.name);
                }
                self.gate_was_open = gate_is_open;
                actions
            }
        };
        if !was_leader && self.role == Role::Leader {
            plan::record_leader(&self.name);
        }
        actions
    }
}

fn to_old_time(now: Now) -> old_api::Now {
    old_api::Now {
        ms: now.monotonic_ms,
        wall_ms: now.wall_ms,
    }
}

fn to_old_settings(settings: Settings) -> old_settings::Settings {
    assert!(
        settings.class_slos.is_empty(),
        "the simulation sets no service-level objectives for job classes"
    );
    old_settings::Settings {
        node: settings.node_name,
        zone: settings.zone,
        peers: settings.peers,
        zones: settings.zones,
        teams: settings.teams.into_iter().map(to_old_team).collect(),
        promises: vec![],
        report_s: settings.heartbeat_interval_s,
        lease_s: settings.worker_lease_s,
        cancel_s: settings.cancellation_deadline_s,
        state_rps: settings.store_requests_per_s,
        state_write_rps: settings.store_writes_per_s,
        value_bytes: settings.max_value_bytes,
        txn_ops: settings.max_transaction_writes,
        cloud_rps: settings.cloud_requests_per_s,
        list_lag_s: settings.cloud_listing_lag_s,
        max_sockets: settings.max_sockets,
        tuning: to_old_tuning(settings.tuning),
    }
}

fn to_old_team(team: Team) -> old_settings::Team {
    old_settings::Team {
        name: team.name,
        cpus: team.quota_cpus,
        cpus_max: team.limit_cpus,
        gpus: team.quota_gpus,
        gpus_max: team.limit_gpus,
    }
}

fn to_old_tuning(tuning: Tuning) -> old_settings::Tuning {
    old_settings::Tuning {
        spare_tasks: tuning.headroom_tasks,
        idle_boots: tuning.idle_retention_boots,
        slack_use: tuning.slack_fraction,
        inflow_use: tuning.arrival_rate_fraction,
        leader_ttl_ms: tuning.leader_lease_ttl_ms,
        map_ms: tuning.scheduling_interval_ms,
    }
}

fn to_old_frame(frame: &Frame) -> old_wire::frame::Frame {
    let mut bytes = vec![];
    frame.write(&mut bytes);
    let parsed = old_wire::frame::Frame::parse(&bytes);
    parsed
        .expect("the old version parses the frame")
        .expect("the frame is complete")
        .0
}

fn to_new_frame(frame: &old_wire::frame::Frame) -> Frame {
    let mut bytes = vec![];
    frame.write(&mut bytes);
    let parsed = Frame::parse(&bytes);
    parsed
        .expect("the new version parses the frame")
        .expect("the frame is complete")
        .message
}

fn to_old_link(link: Link) -> old_api::Link {
    match link {
        Link::Outbound(peer) => old_api::Link::Out(peer),
        Link::Inbound(number) => old_api::Link::In(number),
    }
}

fn to_new_link(link: old_api::Link) -> Link {
    match link {
        old_api::Link::Out(peer) => Link::Outbound(peer),
        old_api::Link::In(number) => Link::Inbound(number),
    }
}

fn to_old_request(request: Request) -> old_wire::http::Request {
    old_wire::http::Request {
        method: request.method,
        path: request.path,
        close: request.connection_close,
        body: request.body,
    }
}

fn to_old_call_error(error: CallError) -> old_api::CallError {
    match error {
        CallError::NotSent => old_api::CallError::NotSent,
        // The old version has one error for both cases.
        CallError::OutcomeUnknown | CallError::ResponseTooLarge => old_api::CallError::Unknown,
    }
}

fn to_old_event(event: Event) -> old_api::Event {
    match event {
        Event::Start => old_api::Event::Start,
        Event::Tick => old_api::Event::Tick,
        Event::Request {
            request_id,
            request,
        } => old_api::Event::Request {
            id: request_id,
            request: to_old_request(request),
        },
        Event::CallDone { call_id, result } => old_api::Event::CallDone {
            call: call_id,
            result: result.map_err(to_old_call_error),
        },
        Event::Frame { from, frame } => old_api::Event::Frame {
            from: to_old_link(from),
            frame: to_old_frame(&frame),
        },
        Event::LinkUp(link) => old_api::Event::LinkUp(to_old_link(link)),
        Event::LinkDown(link) => old_api::Event::LinkDown(to_old_link(link)),
    }
}

fn to_new_target(target: old_api::Target) -> Target {
    match target {
        old_api::Target::State => Target::Store,
        old_api::Target::Cloud => Target::Cloud,
        old_api::Target::Worker(address) => Target::Worker(address),
    }
}

fn to_new_action(action: old_api::Action) -> Action {
    match action {
        old_api::Action::Reply {
            id,
            status,
            retry_after_s,
            body,
        } => Action::Reply {
            request_id: id,
            status,
            retry_after_s,
            body,
        },
        old_api::Action::Call {
            call,
            target,
            method,
            path,
            body,
            timeout_ms,
        } => Action::Call {
            call_id: call,
            target: to_new_target(target),
            method,
            path,
            body,
            timeout_ms,
        },
        old_api::Action::Send { to, frame } => Action::SendFrame {
            to: to_new_link(to),
            frame: to_new_frame(&frame),
        },
    }
}
