use super::*;

fn busy_queue() -> QueueForecast {
    let mut q = QueueForecast {
        free_cpus: 1.0,
        free_memory_gb: 8.0,
        ..QueueForecast::default()
    };
    q.expected_releases.push(ExpectedRelease::new(
        TimeDistribution::point_mass(12.0),
        2.0,
        0.0,
        4.0,
    ));
    q.expected_releases.push(ExpectedRelease::new(
        TimeDistribution::point_mass(30.0),
        1.0,
        0.0,
        4.0,
    ));
    q
}

#[test]
fn a_task_waits_for_as_much_room_as_it_needs() {
    let mut q = busy_queue();
    assert!(q.estimate_start(1.0, 0.0, 1.0).unwrap().wait.is_none());
    assert_eq!(
        q.estimate_start(2.0, 0.0, 1.0)
            .unwrap()
            .wait
            .unwrap()
            .mean_s,
        12.0
    );
    assert_eq!(
        q.estimate_start(4.0, 0.0, 1.0)
            .unwrap()
            .wait
            .unwrap()
            .mean_s,
        30.0
    );
    assert!(q.estimate_start(5.0, 0.0, 1.0).is_none());
}

#[test]
fn two_are_held_and_no_more() {
    let mut q = busy_queue();
    for expected in [12.0, 30.0] {
        let s = q.estimate_start(2.0, 0.0, 1.0).unwrap();
        assert_eq!(s.wait.as_ref().unwrap().mean_s, expected);
        let end = s.wait.as_ref().unwrap().distribution.shift(60.0);
        q.add_task(&s, end, 2.0, 0.0, 1.0);
    }
    assert!(q.estimate_start(2.0, 0.0, 1.0).is_none());
}
