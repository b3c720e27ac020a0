use stonegw_constants::ADMISSION_LIMIT_MIN;
use stonegw_net::admission::AdmissionLimiter;

#[test]
fn the_limit_follows_the_measured_times() {
    let mut limiter = AdmissionLimiter::default();
    let start = limiter.limit();
    for step in 0..500 {
        assert!(limiter.try_admit(step * 10, None));
        limiter.record_completion(step * 10, 20);
    }
    let grown = limiter.limit();
    assert!(grown > start);
    for step in 0..20 {
        limiter.try_admit(0, None);
        limiter.record_completion(10_000 + step * 2_000, 1_500);
    }
    assert!(
        limiter.limit() < grown * 0.8,
        "{} of {grown}",
        limiter.limit()
    );
    assert!(limiter.limit() >= ADMISSION_LIMIT_MIN);
    let mut admitted = 0;
    while limiter.try_admit(0, None) {
        admitted += 1;
    }
    assert!((admitted as f64 - limiter.limit()).abs() <= 1.0);
}

#[test]
fn no_question_is_turned_away_again_and_again() {
    let mut limiter = AdmissionLimiter::default();
    while limiter.try_admit(0, None) {}
    // The limit stays used up; a job's user queries every five seconds.
    let asked = (0..75_000).step_by(5_000);
    let answered = asked
        .filter(|now_ms| limiter.try_admit(*now_ms, Some("/submissions/run-1")))
        .count();
    assert!(answered >= 5, "{answered}");
    assert!(!limiter.try_admit(75_000, Some("/submissions/run-2")));
}

/// Users who query many times as often must not keep submissions and cancellations out.
#[test]
fn a_storm_of_questions_leaves_room_for_submissions() {
    let mut limiter = AdmissionLimiter::default();
    let admitted = (0..10_000)
        .filter(|n| limiter.try_admit(0, Some(&format!("/submissions/run-{n}"))))
        .count();
    assert!(admitted > 0);
    assert!(
        limiter.try_admit(0, None),
        "a submission beside {admitted} status queries"
    );
}
