//! Checks the `expect` lines of a trace at the time that they name.
use super::grammar::parse_ms;
use crate::sim::Simulation;
use crate::stand_ins::{Ms, SubmittedJob};
use stonegw_wire::msg::{JobPhase, TaskState};

/// Checks a line `expect JOB WORD [N]`, `expect-log TEXT` or `expect-no-log TEXT`, and records a
/// failure if it does not hold. Returns `false` if the line is none of these.
pub(super) fn check_expectation(sim: &mut Simulation, line: &[String]) -> bool {
    let holds = match line[0].as_str() {
        "expect" => check_job_expectation(sim, line),
        "expect-log" => log_contains(sim, &line[1..]),
        "expect-no-log" => !log_contains(sim, &line[1..]),
        _ => return false,
    };
    if !holds {
        let job = line.get(1).and_then(|job_id| sim.jobs.get(job_id));
        let state = job.map(|job| describe_job(sim, &line[1], job));
        sim.record_expectation_failure(format!("{}{}", line.join(" "), state.unwrap_or_default()));
    }
    true
}

fn describe_job(sim: &Simulation, job_id: &str, job: &SubmittedJob) -> String {
    let count = |state: TaskState| sim.cluster().count_tasks_in_state(job_id, state);
    format!(
        ": accepted {}, reported end {:?}, status {}, started at {:?}, {} attempts, \
         {} gang starts, {} ms saved, {} fetching, {} waiting for the gang, {} running",
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
    let text = words.join(" ");
    sim.log.iter().any(|line| line.contains(&text))
}

fn check_job_expectation(sim: &Simulation, line: &[String]) -> bool {
    let job_id = line[1].as_str();
    let job = &sim.jobs[job_id];
    let has_in_state =
        |state| sim.cluster().count_tasks_in_state(job_id, state) == parse_count(line);
    match line[2].as_str() {
        "done" => job.reported_end == Some(JobPhase::Done),
        "cancelled" => job.reported_end == Some(JobPhase::Cancelled),
        "accepted" => job.is_accepted,
        "not-ended" => job.reported_end.is_none(),
        "ended" => job.reported_end.is_some(),
        "started" => job.started_at.is_some(),
        "no-tasks" => sim.cluster().present_tasks_of_job(job_id).count() == 0,
        "started-within" => is_started_within(job, parse_ms(&line[3])),
        "max-attempts" => job.started_attempts.len() <= parse_count(line),
        "gang-starts" => job.gang_start_times.len() == parse_count(line),
        "saved" => job.saved_progress_ms >= parse_ms(&line[3]),
        "fetching" => has_in_state(TaskState::Fetching),
        "waiting-for-gang" => has_in_state(TaskState::WaitingForGang),
        "running" => has_in_state(TaskState::Running),
        "on-spot" => sim.cluster().count_tasks_on_spot(job_id) == parse_count(line),
        status => job.submission_status.to_string() == status,
    }
}

fn parse_count(line: &[String]) -> usize {
    line[3]
        .parse()
        .expect("expected number of tasks, attempts or starts")
}

fn is_started_within(job: &SubmittedJob, duration: Ms) -> bool {
    job.started_at
        .is_some_and(|at| at <= job.submitted_at + duration)
}
