use stonegw_constants::BIN_S;
use stonegw_sched::curve::*;

#[test]
fn convolution_and_shortcut_agree() {
    let (mut a, mut b) = (Curve::zero(), Curve::zero());
    for (s, m) in [(3.0, 0.25), (9.0, 0.5), (30.0, 0.25)] {
        a.add(s, m);
    }
    for (s, m) in [(6.0, 0.5), (12.0, 0.5)] {
        b.add(s, m);
    }
    let full = a.convolve(&b).cumulative();
    for due in [0.0, 9.0, 15.0, 21.0, 60.0] {
        let short = a.chance(&b.cumulative(), due);
        assert!((short - f64::from(full.0[(due / BIN_S) as usize])).abs() < 1e-6);
        // Nothing is better than starting at the earliest.
        assert!(short <= b.cumulative().by(a.earliest(), due) + 1e-6);
        assert_eq!(
            Curve::at(9.0).chance(&b.cumulative(), due),
            b.cumulative().by(9.0, due)
        );
        assert!((b.sum_to(due) - b.cumulative().by(0.0, due)).abs() < 1e-6);
    }
    assert_eq!(a.chance(&b.cumulative(), -1.0), 0.0);
}

#[test]
fn the_later_of_two_is_no_earlier_than_either() {
    let mut a = Curve::at(6.0);
    a.0[2] = 0.5;
    a.add(30.0, 0.5);
    let l = a.later(&Curve::at(12.0));
    assert!((l.0[4] - 0.5).abs() < 1e-6 && (l.0[10] - 0.5).abs() < 1e-6);
    assert!(l.mean() >= a.mean() && l.mean() >= 12.0);
}

#[test]
fn a_long_right_tail_is_positive_skew() {
    let mut c = Curve::zero();
    c.add(6.0, 0.9);
    c.add(120.0, 0.1);
    assert!(c.skewness() > 0.9);
    assert_eq!(Curve::at(9.0).skewness(), 0.0);
}
