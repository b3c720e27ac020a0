use stonegw_sched::pam::*;

#[test]
fn best_chance_first_then_soonest_finish() {
    let (a, b) = (
        Offer {
            chance: 0.9,
            finish: 50.0,
            spare: 0.0,
            price: 1.0,
        },
        Offer {
            chance: 0.5,
            finish: 10.0,
            spare: 0.0,
            price: 1.0,
        },
    );
    assert!(a.beats(&b) && !b.beats(&a));
    assert_eq!(soonest([(1, a), (2, b)].into_iter()).unwrap().0, 2);
}
