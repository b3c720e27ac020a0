//! What a trace expects to hold at a moment.
use super::grammar::parse_ms;
use crate::sim::{Simulation, SubmittedJob};
use crate::stand_ins::Ms;
use stonegw_wire::msg::{JobPhase, TaskState};

/// `expect JOB WORD [N]`, `expect-log TEXT`, `expect-no-log TEXT`. False: the line is none of them.
pub(super) fn check_expectation(sim: &mut Simulation, line: &[String]) -> bool {
    let holds = match line[0].as_str() {
        "expect" => check_job_expectation(sim, line),
        "expect-log" => log_contains(sim, &line[1..]),
        "expect-no-log" => !log_contains(sim, &line[1..]),
        _ => return false,
    };
    if !holds {
        let seen = line.get(1).and_then(|id| sim.jobs.get(id));
        let seen = seen.map(|j| describe_job(sim, &line[1], j));
        sim.record_expectation_failure(format!("{}{}", line.join(" "), seen.unwrap_or_default()));
    }
    true
}

fn describe_job(sim: &Simulation, id: &str, job: &SubmittedJob) -> String {
    let count = |state: TaskState| sim.count_tasks_in_state(id, state);
    format!(
        ": accepted {}, told {:?}, status {}, begun {:?}, {} attempts, {} gang starts, \
         {} ms saved, {} fetching, {} gathering, {} running",
        job.is_accepted,
        job.reported_end,
        job.submission_status,
        job.started_at,
        job.started_attempts.len(),
        job.gang_start_times.len(),
        job.saved_progress_ms,
        count(TaskState::Fetching),
        count(TaskState::WaitingForGang),
        count(TaskState::Running),
    )
}

fn log_contains(sim: &Simulation, words: &[String]) -> bool {
    let wanted = words.join(" ");
    sim.log.iter().any(|l| l.contains(&wanted))
}

fn check_job_expectation(sim: &Simulation, line: &[String]) -> bool {
    let id = line[1].as_str();
    let job = &sim.jobs[id];
    match line[2].as_str() {
        "done" => job.reported_end == Some(JobPhase::Done),
        "cancelled" => job.reported_end == Some(JobPhase::Cancelled),
        "accepted" => job.is_accepted,
        "open" => job.reported_end.is_none(),
        "ended" => job.reported_end.is_some(),
        "begun" => job.started_at.is_some(),
        "gone" => count_remaining_tasks(sim, id) == 0,
        "started-within" => is_started_within(job, parse_ms(&line[3])),
        "attempts" => job.started_attempts.len() <= parse_count(line),
        "starts" => job.gang_start_times.len() == parse_count(line),
        "saved" => job.saved_progress_ms >= parse_ms(&line[3]),
        "fetching" => sim.count_tasks_in_state(id, TaskState::Fetching) == parse_count(line),
        "gathering" => sim.count_tasks_in_state(id, TaskState::WaitingForGang) == parse_count(line),
        "running" => sim.count_tasks_in_state(id, TaskState::Running) == parse_count(line),
        "on-spot" => sim.count_tasks_on_spot(id) == parse_count(line),
        status => job.submission_status.to_string() == status,
    }
}

fn parse_count(line: &[String]) -> usize {
    line[3].parse().expect("number")
}

fn is_started_within(job: &SubmittedJob, ms: Ms) -> bool {
    job.started_at.is_some_and(|at| at <= job.submitted_at + ms)
}

fn count_remaining_tasks(sim: &Simulation, id: &str) -> usize {
    let states = [
        TaskState::Fetching,
        TaskState::WaitingForGang,
        TaskState::Running,
        TaskState::Checkpointing,
    ];
    states
        .iter()
        .map(|s| sim.count_tasks_in_state(id, *s))
        .sum()
}
