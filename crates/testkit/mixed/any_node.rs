//! A controller of either version, in the place of the stand-in's own. Events and actions pass
//! through the form that they have on the wire.
use crate::plan;
use stonegw_control as new;
use stonegw_control::api::{Action, Event, Now};
use stonegw_control::settings::Settings;
use stonegw_wire::frame::Frame;

pub use new::node::Role;

enum Inner {
    Old(Box<old_control::node::Node>),
    New(Box<new::node::Node>),
}

pub struct Node {
    name: String,
    pub role: Role,
    inner: Inner,
    /// Its gate was seen open.
    opened: bool,
}

impl Node {
    pub fn new(settings: Settings, seed: u64) -> Node {
        let name = settings.node.clone();
        let inner = match plan::starts(&name) {
            plan::Version::Old => {
                let settings = old_settings(settings);
                Inner::Old(Box::new(old_control::node::Node::new(settings, seed)))
            }
            plan::Version::New => Inner::New(Box::new(new::node::Node::new(settings, seed))),
        };
        Node {
            name,
            role: Role::Follower,
            inner,
            opened: false,
        }
    }

    pub fn handle(&mut self, now: Now, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let led = self.role == Role::Leading;
        let actions = match &mut self.inner {
            Inner::Old(node) => {
                let now = old_control::api::Now {
                    ms: now.ms,
                    wall_ms: now.wall_ms,
                };
                let events: Vec<_> = events.into_iter().map(old_event).collect();
                let actions = node.handle(now, events);
                let leads = node.role == old_control::node::Role::Leading;
                // The stand-in only asks who leads.
                self.role = if leads { Role::Leading } else { Role::Follower };
                actions.into_iter().map(new_action).collect()
            }
            Inner::New(node) => {
                let actions = node.handle(now, events);
                self.role = node.role.clone();
                let open = node.gangs_open();
                if open && !self.opened {
                    plan::gate_opened(&self.name);
                }
                self.opened = open;
                actions
            }
        };
        if !led && self.role == Role::Leading {
            plan::leads(&self.name);
        }
        actions
    }
}

fn old_settings(s: Settings) -> old_control::settings::Settings {
    use old_control::settings as old;
    let team = |t: new::settings::Team| old::Team {
        name: t.name,
        cpus: t.cpus,
        cpus_max: t.cpus_max,
        gpus: t.gpus,
        gpus_max: t.gpus_max,
    };
    assert!(s.promises.is_empty(), "the stand-in promises nothing");
    old::Settings {
        node: s.node,
        zone: s.zone,
        peers: s.peers,
        zones: s.zones,
        teams: s.teams.into_iter().map(team).collect(),
        promises: vec![],
        report_s: s.report_s,
        lease_s: s.lease_s,
        cancel_s: s.cancel_s,
        state_rps: s.state_rps,
        state_write_rps: s.state_write_rps,
        value_bytes: s.value_bytes,
        txn_ops: s.txn_ops,
        cloud_rps: s.cloud_rps,
        list_lag_s: s.list_lag_s,
        max_sockets: s.max_sockets,
        tuning: old::Tuning {
            spare_tasks: s.tuning.spare_tasks,
            idle_boots: s.tuning.idle_boots,
            slack_use: s.tuning.slack_use,
            inflow_use: s.tuning.inflow_use,
            leader_ttl_ms: s.tuning.leader_ttl_ms,
            map_ms: s.tuning.map_ms,
        },
    }
}

fn old_frame(frame: &Frame) -> old_wire::frame::Frame {
    let mut bytes = vec![];
    frame.write(&mut bytes);
    let parsed = old_wire::frame::Frame::parse(&bytes);
    parsed.expect("the old version reads it").expect("whole").0
}

fn new_frame(frame: &old_wire::frame::Frame) -> Frame {
    let mut bytes = vec![];
    frame.write(&mut bytes);
    let parsed = Frame::parse(&bytes);
    parsed.expect("the new version reads it").expect("whole").message
}

fn old_link(link: new::api::Link) -> old_control::api::Link {
    match link {
        new::api::Link::Out(peer) => old_control::api::Link::Out(peer),
        new::api::Link::In(number) => old_control::api::Link::In(number),
    }
}

fn new_link(link: old_control::api::Link) -> new::api::Link {
    match link {
        old_control::api::Link::Out(peer) => new::api::Link::Out(peer),
        old_control::api::Link::In(number) => new::api::Link::In(number),
    }
}

fn old_event(event: Event) -> old_control::api::Event {
    use old_control::api as old;
    match event {
        Event::Start => old::Event::Start,
        Event::Tick => old::Event::Tick,
        Event::Request { id, request } => old::Event::Request {
            id,
            request: old_wire::http::Request {
                method: request.method,
                path: request.path,
                close: request.close,
                body: request.body,
            },
        },
        Event::CallDone { call, result } => old::Event::CallDone {
            call,
            result: result.map_err(|error| match error {
                new::api::CallError::NotSent => old::CallError::NotSent,
                // The earlier release was told no more than that it is unknown.
                new::api::CallError::Unknown | new::api::CallError::TooLarge => {
                    old::CallError::Unknown
                }
            }),
        },
        Event::Frame { from, frame } => old::Event::Frame {
            from: old_link(from),
            frame: old_frame(&frame),
        },
        Event::LinkUp(link) => old::Event::LinkUp(old_link(link)),
        Event::LinkDown(link) => old::Event::LinkDown(old_link(link)),
    }
}

fn new_action(action: old_control::api::Action) -> Action {
    use old_control::api as old;
    match action {
        old::Action::Reply {
            id,
            status,
            retry_after_s,
            body,
        } => Action::Reply {
            id,
            status,
            retry_after_s,
            body,
        },
        old::Action::Call {
            call,
            target,
            method,
            path,
            body,
            timeout_ms,
        } => Action::Call {
            call,
            target: match target {
                old::Target::State => new::api::Target::State,
                old::Target::Cloud => new::api::Target::Cloud,
                old::Target::Worker(addr) => new::api::Target::Worker(addr),
            },
            method,
            path,
            body,
            timeout_ms,
        },
        old::Action::Send { to, frame } => Action::Send {
            to: new_link(to),
            frame: new_frame(&frame),
        },
    }
}
