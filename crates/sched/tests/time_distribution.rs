use stonegw_constants::CURVE_BIN_S;
use stonegw_sched::time_distribution::*;

#[test]
fn convolution_and_shortcut_agree() {
    let (mut a, mut b) = (TimeDistribution::empty(), TimeDistribution::empty());
    for (s, m) in [(3.0, 0.25), (9.0, 0.5), (30.0, 0.25)] {
        a.add_mass(s, m);
    }
    for (s, m) in [(6.0, 0.5), (12.0, 0.5)] {
        b.add_mass(s, m);
    }
    let full = a.convolve(&b).cumulative();
    for due in [0.0, 9.0, 15.0, 21.0, 60.0] {
        let short = a.on_time_probability(&b.cumulative(), due);
        assert!((short - f64::from(full.0[(due / CURVE_BIN_S) as usize])).abs() < 1e-6);
        // Nothing is better than starting at the earliest.
        assert!(
            short
                <= b.cumulative()
                    .on_time_probability_after(a.earliest_s(), due)
                    + 1e-6
        );
        assert_eq!(
            TimeDistribution::point_mass(9.0).on_time_probability(&b.cumulative(), due),
            b.cumulative().on_time_probability_after(9.0, due)
        );
        assert!(
            (b.probability_by(due) - b.cumulative().on_time_probability_after(0.0, due)).abs()
                < 1e-6
        );
    }
    assert_eq!(a.on_time_probability(&b.cumulative(), -1.0), 0.0);
}

#[test]
fn the_later_of_two_is_no_earlier_than_either() {
    let mut a = TimeDistribution::point_mass(6.0);
    a.0[2] = 0.5;
    a.add_mass(30.0, 0.5);
    let l = a.maximum(&TimeDistribution::point_mass(12.0));
    assert!((l.0[4] - 0.5).abs() < 1e-6 && (l.0[10] - 0.5).abs() < 1e-6);
    assert!(l.mean_s() >= a.mean_s() && l.mean_s() >= 12.0);
}

#[test]
fn a_long_right_tail_is_positive_skew() {
    let mut c = TimeDistribution::empty();
    c.add_mass(6.0, 0.9);
    c.add_mass(120.0, 0.1);
    assert!(c.skewness() > 0.9);
    assert_eq!(TimeDistribution::point_mass(9.0).skewness(), 0.0);
}
