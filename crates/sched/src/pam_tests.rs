use super::*;

fn busy() -> Queue {
    let mut q = Queue {
        cpus: 1.0,
        memory: 8.0,
        ..Queue::default()
    };
    q.slots.push(Slot::new(Curve::at(12.0), 2.0, 0.0, 4.0));
    q.slots.push(Slot::new(Curve::at(30.0), 1.0, 0.0, 4.0));
    q
}

#[test]
fn a_task_waits_for_as_much_room_as_it_needs() {
    let mut q = busy();
    assert!(q.start(1.0, 0.0, 1.0).unwrap().wait.is_none());
    assert_eq!(q.start(2.0, 0.0, 1.0).unwrap().wait.unwrap().mean, 12.0);
    assert_eq!(q.start(4.0, 0.0, 1.0).unwrap().wait.unwrap().mean, 30.0);
    assert!(q.start(5.0, 0.0, 1.0).is_none());
}

#[test]
fn two_are_held_and_no_more() {
    let mut q = busy();
    for expected in [12.0, 30.0] {
        let s = q.start(2.0, 0.0, 1.0).unwrap();
        assert_eq!(s.wait.as_ref().unwrap().mean, expected);
        let end = s.wait.as_ref().unwrap().curve.shift(60.0);
        q.push(&s, end, 2.0, 0.0, 1.0);
    }
    assert!(q.start(2.0, 0.0, 1.0).is_none());
}
