//! The stonegw controller daemon.
mod convert;
mod settings;

use clap::Parser;
use convert::{to_controller_event, to_peer_link};
use rand::{Rng, SeedableRng};
use settings::LoadedSettings;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use stonegw_constants::{SLOW_TURN_THRESHOLD_MS, STALE_TURN_THRESHOLD_MS};
use stonegw_control::api::{Action, Event, Now, Target};
use stonegw_control::node::Node;
use stonegw_net::{CallFailure, EventLoop, OutgoingCall, SocketReserve};

/// The exit code for invalid or unreadable settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Controller of the stonegw cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Settings file of the platform (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Tuning file of the operators (HCL); every key in it is optional.
    #[arg(long, value_name = "FILE")]
    tuning: Option<PathBuf>,
    /// Check the settings, print the effective values and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let loaded = match settings::load_settings(&args.config, args.tuning.as_deref()) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("stonegwd: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        // The result is ignored: the check does not fail if the reader closes the pipe early.
        let _ = writeln!(std::io::stdout(), "{:#?}", loaded.settings);
        return ExitCode::SUCCESS;
    }
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .init();
    match run_controller(loaded) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("cannot run the event loop: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the controller: passes network events to it, and performs the actions that it returns.
fn run_controller(loaded: LoadedSettings) -> std::io::Result<()> {
    let settings = loaded.settings;
    log::info!("{} starts", settings.node_name);
    for team in &settings.teams {
        log::debug!("{team:?}");
    }
    let mut event_loop = EventLoop::new(
        loaded.client_listen,
        loaded.cluster_listen,
        loaded.peer_endpoints,
        settings.max_sockets,
    )?;
    let services = ServiceEndpoints {
        cloud: loaded.cloud_endpoint,
        store: loaded.store_endpoint,
    };
    let seed = rand::rngs::SmallRng::from_os_rng().random();
    let mut node = Node::new(settings, seed);
    let mut events = vec![Event::Start];
    loop {
        if events.is_empty() {
            events.push(Event::Tick);
        }
        run_turn(&mut event_loop, &mut node, &services, &mut events);
        events.extend(event_loop.poll()?.into_iter().map(to_controller_event));
    }
}

/// Passes the events to the controller and performs the actions that it returns. Leaves `events`
/// empty.
fn run_turn(
    event_loop: &mut EventLoop,
    node: &mut Node,
    services: &ServiceEndpoints,
    events: &mut Vec<Event>,
) {
    let now = Now {
        monotonic_ms: event_loop.now_ms(),
        wall_ms: wall_clock_ms(),
    };
    let event_count = events.len();
    let started_at = event_loop.now_ms();
    let actions = node.handle(now, events.drain(..));
    let elapsed_ms = event_loop.now_ms() - started_at;
    if elapsed_ms > SLOW_TURN_THRESHOLD_MS {
        log::info!("a turn of {event_count} events took {elapsed_ms} ms");
    }
    for action in actions {
        // If the process was paused, the leader's lease may have expired since the controller chose
        // the action. The action must then not reach the cloud or the workers any more.
        let is_stale = event_loop.now_ms() > now.monotonic_ms + STALE_TURN_THRESHOLD_MS;
        match action {
            Action::Call {
                call_id,
                target,
                method,
                path,
                ..
            } if is_stale && target != Target::Store => {
                log::warn!("the process was paused; not sending the stale call {method} {path}");
                event_loop.report_call_failure(call_id, CallFailure::NotSent);
            }
            action => perform_action(event_loop, services, action),
        }
    }
}

/// Returns the milliseconds since the Unix epoch.
fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// The IP address and port of each external service.
struct ServiceEndpoints {
    cloud: String,
    store: String,
}

fn perform_action(event_loop: &mut EventLoop, services: &ServiceEndpoints, action: Action) {
    match action {
        Action::Reply {
            request_id,
            status,
            retry_after_s,
            body,
        } => event_loop.reply(request_id, status, retry_after_s, &body),
        Action::Call {
            call_id,
            target,
            method,
            path,
            body,
            timeout_ms,
        } => {
            let (remote_addr, reserve) = match &target {
                Target::Store => (&services.store, SocketReserve::Services),
                Target::Cloud => (&services.cloud, SocketReserve::Services),
                Target::Worker(addr) => (addr, SocketReserve::Workers),
            };
            event_loop.start_call(&OutgoingCall {
                call_id,
                remote_addr,
                reserve,
                method,
                path: &path,
                body: &body,
                timeout_ms,
            });
        }
        Action::SendFrame { to, frame } => event_loop.send_frame(to_peer_link(to), &frame),
    }
}
