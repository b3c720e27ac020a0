use stonegw_constants::ADMISSION_LIMIT_MIN;
use stonegw_net::admission::*;

#[test]
fn the_limit_follows_the_measured_times() {
    let mut a = AdmissionLimiter::default();
    let start = a.limit();
    for t in 0..500 {
        assert!(a.try_admit(t * 10, None));
        a.record_completion(t * 10, 20);
    }
    let grown = a.limit();
    assert!(grown > start);
    for t in 0..20 {
        a.try_admit(0, None);
        a.record_completion(10_000 + t * 2_000, 1_500);
    }
    assert!(a.limit() < grown * 0.8, "{} of {grown}", a.limit());
    assert!(a.limit() >= ADMISSION_LIMIT_MIN);
    let mut taken = 0;
    while a.try_admit(0, None) {
        taken += 1;
    }
    assert!((taken as f64 - a.limit()).abs() <= 1.0);
}

#[test]
fn no_question_is_turned_away_again_and_again() {
    let mut a = AdmissionLimiter::default();
    while a.try_admit(0, None) {}
    // All places stay taken; a job's user asks every five seconds.
    let asked = (0..75_000).step_by(5_000);
    let answered = asked
        .filter(|t| a.try_admit(*t, Some("/submissions/run-1")))
        .count();
    assert!(answered >= 5, "{answered}");
    assert!(!a.try_admit(75_000, Some("/submissions/run-2")));
}

/// Users who ask many times as often must not keep submissions and cancellations out.
#[test]
fn a_storm_of_questions_leaves_room_for_submissions() {
    let mut a = AdmissionLimiter::default();
    let questions = (0..10_000)
        .filter(|n| a.try_admit(0, Some(&format!("/submissions/run-{n}"))))
        .count();
    assert!(questions > 0);
    assert!(
        a.try_admit(0, None),
        "a submission beside {questions} questions"
    );
}
