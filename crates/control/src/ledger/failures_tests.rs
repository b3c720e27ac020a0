use super::*;
use rand::SeedableRng;

#[test]
fn waits_double_up_to_a_limit_and_differ_between_jobs() {
    let waits = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut failures = Failures::default();
        (0..10)
            .map(|_| failures.next_wait_ms(&mut rng))
            .collect::<Vec<Ms>>()
    };
    for (round, wait) in waits(1).into_iter().enumerate() {
        let most = (k::START_RETRY_MS << (round + 1)).min(k::START_RETRY_MAX_MS);
        let least = most - most / k::START_RETRY_JITTER_PART;
        assert!((least..=most).contains(&wait), "round {round}: {wait} ms");
    }
    assert_ne!(waits(1), waits(2));
}

#[test]
fn a_job_that_fails_everywhere_avoids_no_machine() {
    let mut failures = Failures::default();
    failures.on_machine("host-0");
    failures.on_machine("host-0");
    assert!(failures.avoids("host-0") && !failures.avoids("host-1"));
    for n in 1..k::BROKEN_JOB_MACHINES {
        assert!(!failures.job_is_broken());
        failures.on_machine(&format!("host-{n}"));
    }
    assert!(failures.job_is_broken());
    assert!(!failures.avoids("host-0") && !failures.avoids_any());
    failures.task_done();
    assert!(!failures.job_is_broken());
}

#[test]
fn a_machine_that_failed_stays_avoided_once_the_job_succeeds_elsewhere() {
    let mut failures = Failures::default();
    failures.on_machine("host-0");
    failures.task_done();
    assert!(failures.avoids("host-0"));
    for n in 1..=k::BROKEN_JOB_MACHINES {
        failures.on_machine(&format!("host-{n}"));
    }
    assert!(failures.avoids("host-0") && !failures.job_is_broken());
}
