use super::*;

#[test]
fn only_a_long_time_between_turns_is_a_pause() {
    let mut detector = PauseDetector::default();
    assert_eq!(detector.turn(50_000), None, "the first turn follows none");
    assert_eq!(detector.turn(50_100), None);
    assert_eq!(detector.turn(50_100 + k::PAUSE_MS - 1), None);
    let now = 50_100 + 2 * k::PAUSE_MS - 1;
    let gap = k::PAUSE_MS;
    assert_eq!(detector.turn(now), Some(Pause { now, gap }));
    assert_eq!(detector.turn(now + 100), None, "one pause is told once");
}

#[test]
fn times_move_on_and_never_stays_never() {
    let pause = Pause {
        now: 20_000,
        gap: 9_000,
    };
    let (mut never, mut past) = (0, 10_000);
    pause.shift(&mut never);
    pause.shift(&mut past);
    assert_eq!((never, past), (0, 19_000));
}
