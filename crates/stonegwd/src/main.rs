//! The stonegw controller daemon.
mod settings;

use clap::Parser;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use stonegw_constants as k;
use stonegw_control::api::{Action, CallError, Event, Link, Now, Target};
use stonegw_control::node::Node;
use stonegw_net::{Failed, Net, NetEvent};

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
    let loaded = match settings::load(&args.config, args.tuning.as_deref()) {
        Ok(loaded) => loaded,
        Err(why) => {
            eprintln!("stonegwd: {why}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        // Whoever reads may stop early; the check has passed all the same.
        let _ = writeln!(std::io::stdout(), "{:#?}", loaded.core);
        return ExitCode::SUCCESS;
    }
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .init();
    match run(loaded) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run(loaded: settings::Loaded) -> std::io::Result<()> {
    let settings::Loaded {
        core,
        client_listen,
        cluster_listen,
        peer_endpoints,
        cloud,
        state,
    } = loaded;
    log::info!("{} starts", core.node);
    for team in &core.teams {
        log::debug!("{team:?}");
    }
    let mut net = Net::new(
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
            ms: net.now(),
            wall_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
        };
        let (came, began) = (events.len(), net.now());
        let actions = node.handle(now, events.drain(..));
        let took = net.now() - began;
        if took > k::SLOW_TURN_MS {
            log::info!("a turn of {came} events took {took} ms");
        }
        for action in actions {
            // Should the process have stood still meanwhile, the lease on which the cloud and the
            // workers may be told something may be over.
            let stale = net.now() > now.ms + k::STALE_TURN_MS;
            perform(&mut net, action, &cloud, &state, stale);
        }
        events.extend(net.poll()?.into_iter().map(translate));
    }
}

fn perform(net: &mut Net, action: Action, cloud: &str, state: &str, stale: bool) {
    match action {
        Action::Reply {
            id,
            status,
            retry_after_s,
            body,
        } => net.reply(id, status, retry_after_s, &body),
        Action::Call {
            call,
            target,
            method,
            path,
            body,
            timeout_ms,
        } => {
            if stale && target != Target::State {
                log::warn!("stood still; {method} {path} is not sent");
                return net.failed(call, Failed::NotSent);
            }
            let addr = match &target {
                Target::State => state,
                Target::Cloud => cloud,
                Target::Worker(addr) => addr,
            };
            let vital = !matches!(target, Target::Worker(_));
            net.call(call, addr, vital, method, &path, &body, timeout_ms);
        }
        Action::Send { to, frame } => net.send(
            match to {
                Link::Out(i) => stonegw_net::Link::Out(i),
                Link::In(n) => stonegw_net::Link::In(n),
            },
            &frame,
        ),
    }
}

fn link(l: stonegw_net::Link) -> Link {
    match l {
        stonegw_net::Link::Out(i) => Link::Out(i),
        stonegw_net::Link::In(n) => Link::In(n),
    }
}

fn translate(event: NetEvent) -> Event {
    match event {
        NetEvent::Request { id, request } => Event::Request { id, request },
        NetEvent::CallDone { call, result } => Event::CallDone {
            call,
            result: result.map_err(|e| match e {
                Failed::NotSent => CallError::NotSent,
                Failed::Unknown => CallError::Unknown,
                Failed::TooLarge => CallError::TooLarge,
            }),
        },
        NetEvent::Frame { from, frame } => Event::Frame {
            from: link(from),
            frame,
        },
        NetEvent::LinkUp(l) => Event::LinkUp(link(l)),
        NetEvent::LinkDown(l) => Event::LinkDown(link(l)),
    }
}
