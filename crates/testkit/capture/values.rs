//! Messages and frames whose encoding by the version in production is stored as fixtures. This file
//! is compiled with that version to capture them. `crates/wire/tests/fixtures/values.rs` builds the
//! same values with this version's names, and tests compare their encoding with the fixtures.
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use stonegw_wire::frame::{name, Cancelled, Counts, Frame, Hello};
use stonegw_wire::msg::*;

/// Processes each value under the name of its fixture.
pub trait Visitor {
    fn message<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, v: &T);
    fn frame(&mut self, name: &str, frame: &Frame);
}

/// Returns a job with every optional field (`optional`) or with none.
pub fn job(number: u32, kind: JobKind, optional: bool) -> JobSpec {
    JobSpec {
        id: format!("run-{number:06}"),
        class: "train".into(),
        team: "vision".into(),
        kind,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.5,
        image: "img-07".into(),
        image_gb: 6.2,
        types: optional.then(|| vec!["g8".into(), "c16".into()]),
        zone: optional.then(|| "a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: optional.then_some(900.0),
    }
}

fn task(index: u32, state: TaskState, why: Option<ExitCause>) -> TaskReport {
    TaskReport {
        task: format!("run-000412/{index}"),
        attempt: 41_000_007,
        state,
        why,
        saved: (why == Some(ExitCause::Stopped)).then_some(true),
    }
}

/// Returns a report that has a task in every state and an exited task for every exit cause that the
/// version in production defines.
pub fn report() -> Report {
    let states = [
        TaskState::Fetching,
        TaskState::Running,
        TaskState::Saving,
        TaskState::Other,
    ];
    let causes = [
        ExitCause::Done,
        ExitCause::Stopped,
        ExitCause::Error,
        ExitCause::NoRoom,
        ExitCause::Busy,
        ExitCause::Unknown,
        ExitCause::Other,
    ];
    let on = states.into_iter().map(|state| (state, None));
    let exited = causes.map(|why| (TaskState::Exited, Some(why)));
    let all = on.chain(exited).zip(0..);
    Report {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        seq: 88,
        token: 41,
        notice_s: Some(61.5),
        tasks: all
            .map(|((state, why), index)| task(index, state, why))
            .collect(),
    }
}

/// Returns a report of a machine without tasks and without an eviction notice.
pub fn idle_report() -> Report {
    Report {
        notice_s: None,
        tasks: vec![],
        ..report()
    }
}

/// Returns a batch with one command of each kind. `session` is set only for direct commands.
pub fn orders(session: Option<u64>) -> Orders {
    let task = |index: u32| format!("run-000412/{index}");
    let attempt = 41_000_008;
    Orders {
        token: 41,
        session,
        commands: vec![
            Command::Start {
                task: task(4),
                attempt,
            },
            Command::Stop {
                task: task(5),
                attempt,
                grace_s: 10.0,
            },
            Command::Forget {
                task: task(6),
                attempt,
            },
        ],
    }
}

/// Passes the HTTP bodies exchanged with users, workers, the cloud and the state service to the
/// visitor.
pub fn messages(visitor: &mut impl Visitor) {
    visitor.message("array_all_fields", &job(412, JobKind::Array, true));
    visitor.message("service_least_fields", &job(413, JobKind::Service, false));
    for (name, state) in [
        ("status_queued", JobPhase::Queued),
        ("status_running", JobPhase::Running),
        ("status_done", JobPhase::Done),
        ("status_cancelled", JobPhase::Cancelled),
    ] {
        let counts = state == JobPhase::Running;
        let status = JobStatus {
            id: "run-000412".into(),
            state,
            done: counts.then_some(3),
            running: counts.then_some(13),
        };
        visitor.message(name, &status);
    }
    let error = ErrorBody {
        error: "no such job".into(),
    };
    visitor.message("error", &error);
    visitor.message("report", &report());
    visitor.message("report_idle", &idle_report());
    visitor.message("orders", &orders(None));
    visitor.message("orders_direct", &orders(Some(2)));
    let to = ReportTo {
        node: Some("hearth-2".into()),
    };
    visitor.message("report_to", &to);
    visitor.message("report_to_any", &ReportTo { node: None });
    let hire = Hire {
        request: "41-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    visitor.message("hire", &hire);
    let machines = Machines {
        machines: vec!["host-000231".into()],
    };
    visitor.message("machines", &machines);
    visitor.message("lease_request", &LeaseRequest { ttl_ms: 4_000 });
}

/// Passes frames of every kind to the visitor.
pub fn frames(visitor: &mut impl Visitor) {
    let hello = |asked: u64, leads: u8| {
        Frame::Hello(Hello {
            term: 41.into(),
            nonce: 0x000f_1234_5678_9abc.into(),
            asked: asked.into(),
            revision: 431.into(),
            leads,
            state_ok: 1,
            name: name("hearth-2"),
        })
    };
    visitor.frame("hello_asks", &hello(123_456, 1));
    visitor.frame("hello_asks_nothing", &hello(0, 0));
    let frame = Frame::Report {
        request: 9,
        body: encode(&report()),
    };
    visitor.frame("report", &frame);
    for (name, status, body) in [
        ("answer_orders", 200, encode(&orders(None))),
        ("answer_refused", 503, vec![]),
    ] {
        let frame = Frame::Answer {
            request: 9,
            status,
            body,
        };
        visitor.frame(name, &frame);
    }
    let counts = |job: &str, done: u32| Counts {
        job: name(job),
        done: done.into(),
        running: 13.into(),
    };
    let list = vec![
        counts("run-000412", 3),
        counts("run-12345678901234567890", 0),
    ];
    visitor.frame("counts", &Frame::Counts(list));
    let cancelled = |job: &str, stamp: u64| Cancelled {
        job: name(job),
        stamp: stamp.into(),
    };
    let list = vec![cancelled("run-000412", 430), cancelled("run-000413", 431)];
    visitor.frame("cancelled", &Frame::Cancelled(list));
}
