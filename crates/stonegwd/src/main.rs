//! The stonegw controller daemon.
mod settings;

use clap::Parser;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use stonegw_constants::{SLOW_TURN_THRESHOLD_MS, STALE_TURN_THRESHOLD_MS};
use stonegw_control::api::{Action, CallError, Event, Link, Now, Target};
use stonegw_control::node::Node;
use stonegw_net::{CallFailure, EventLoop, NetworkEvent};

/// Controller of the stonegw cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (HCL); every value in it has a default.
    #[arg(long, value_name = "FILE")]
    tuning: Option<PathBuf>,
    /// Check the settings, print what they come to, and stop.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let loaded = match settings::load_settings(&args.config, args.tuning.as_deref()) {
        Ok(loaded) => loaded,
        Err(why) => {
            eprintln!("stonegwd: {why}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        // Whoever reads may stop early; the check has passed all the same.
        let _ = writeln!(std::io::stdout(), "{:#?}", loaded.settings);
        return ExitCode::SUCCESS;
    }
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .init();
    match run_controller(loaded) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run_controller(loaded: settings::LoadedSettings) -> std::io::Result<()> {
    let settings::LoadedSettings {
        settings: core,
        client_listen,
        cluster_listen,
        peer_endpoints,
        cloud_endpoint: cloud,
        store_endpoint: state,
    } = loaded;
    log::info!("{} starts", core.node_name);
    for team in &core.teams {
        log::debug!("{team:?}");
    }
    let mut net = EventLoop::new(
        client_listen,
        cluster_listen,
        peer_endpoints,
        core.max_sockets,
    )?;
    let mut node = Node::new(core, rand::rngs::SmallRng::from_os_rng().random());
    let mut events = vec![Event::Start];
    loop {
        if events.is_empty() {
            events.push(Event::Tick);
        }
        let now = Now {
            monotonic_ms: net.now_ms(),
            wall_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
        };
        let (came, began) = (events.len(), net.now_ms());
        let actions = node.handle(now, events.drain(..));
        let took = net.now_ms() - began;
        if took > SLOW_TURN_THRESHOLD_MS {
            log::info!("a turn of {came} events took {took} ms");
        }
        for action in actions {
            // Should the process have stood still meanwhile, the lease on which the cloud and the
            // workers may be told something may be over.
            let stale = net.now_ms() > now.monotonic_ms + STALE_TURN_THRESHOLD_MS;
            perform_action(&mut net, action, &cloud, &state, stale);
        }
        events.extend(net.poll()?.into_iter().map(to_controller_event));
    }
}

fn perform_action(net: &mut EventLoop, action: Action, cloud: &str, state: &str, stale: bool) {
    match action {
        Action::Reply {
            request_id: id,
            status,
            retry_after_s,
            body,
        } => net.reply(id, status, retry_after_s, &body),
        Action::Call {
            call_id: call,
            target,
            method,
            path,
            body,
            timeout_ms,
        } => {
            if stale && target != Target::Store {
                log::warn!("stood still; {method} {path} is not sent");
                return net.report_call_failure(call, CallFailure::NotSent);
            }
            let addr = match &target {
                Target::Store => state,
                Target::Cloud => cloud,
                Target::Worker(addr) => addr,
            };
            let vital = !matches!(target, Target::Worker(_));
            net.start_call(call, addr, vital, method, &path, &body, timeout_ms);
        }
        Action::SendFrame { to, frame } => net.send_frame(
            match to {
                Link::Outbound(i) => stonegw_net::PeerLink::Outbound(i),
                Link::Inbound(n) => stonegw_net::PeerLink::Inbound(n),
            },
            &frame,
        ),
    }
}

fn to_controller_link(l: stonegw_net::PeerLink) -> Link {
    match l {
        stonegw_net::PeerLink::Outbound(i) => Link::Outbound(i),
        stonegw_net::PeerLink::Inbound(n) => Link::Inbound(n),
    }
}

fn to_controller_event(event: NetworkEvent) -> Event {
    match event {
        NetworkEvent::Request {
            request_id: id,
            request,
        } => Event::Request {
            request_id: id,
            request,
        },
        NetworkEvent::CallDone {
            call_id: call,
            result,
        } => Event::CallDone {
            call_id: call,
            result: result.map_err(|e| match e {
                CallFailure::NotSent => CallError::NotSent,
                CallFailure::OutcomeUnknown => CallError::OutcomeUnknown,
                CallFailure::ResponseTooLarge => CallError::ResponseTooLarge,
            }),
        },
        NetworkEvent::Frame { link: from, frame } => Event::Frame {
            from: to_controller_link(from),
            frame,
        },
        NetworkEvent::LinkUp(l) => Event::LinkUp(to_controller_link(l)),
        NetworkEvent::LinkDown(l) => Event::LinkDown(to_controller_link(l)),
    }
}
