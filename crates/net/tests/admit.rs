use stonegw_constants as k;
use stonegw_net::admit::*;

#[test]
fn the_limit_follows_the_measured_times() {
    let mut a = Admission::default();
    let start = a.limit();
    for t in 0..500 {
        assert!(a.enter(t * 10, None));
        a.leave(t * 10, 20);
    }
    let grown = a.limit();
    assert!(grown > start);
    for t in 0..20 {
        a.enter(0, None);
        a.leave(10_000 + t * 2_000, 1_500);
    }
    assert!(a.limit() < grown * 0.8, "{} of {grown}", a.limit());
    assert!(a.limit() >= k::ADMIT_MIN);
    let mut taken = 0;
    while a.enter(0, None) {
        taken += 1;
    }
    assert!((taken as f64 - a.limit()).abs() <= 1.0);
}

#[test]
fn no_question_is_turned_away_again_and_again() {
    let mut a = Admission::default();
    while a.enter(0, None) {}
    // All places stay taken; a job's user asks every five seconds.
    let asked = (0..75_000).step_by(5_000);
    let answered = asked
        .filter(|t| a.enter(*t, Some("/submissions/run-1")))
        .count();
    assert!(answered >= 5, "{answered}");
    assert!(!a.enter(75_000, Some("/submissions/run-2")));
}

/// Users who ask many times as often must not keep submissions and cancellations out.
#[test]
fn a_storm_of_questions_leaves_room_for_submissions() {
    let mut a = Admission::default();
    let questions = (0..10_000)
        .filter(|n| a.enter(0, Some(&format!("/submissions/run-{n}"))))
        .count();
    assert!(questions > 0);
    assert!(
        a.enter(0, None),
        "a submission beside {questions} questions"
    );
}
