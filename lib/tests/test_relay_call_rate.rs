//! Rates that servers name.

use std::time::Duration;

use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::call_rate::InvalidCallRate;

#[test]
fn a_rate_is_a_finite_number_that_is_not_negative() {
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -0.5] {
        assert_eq!(CallRate::per_second(bad), Err(InvalidCallRate), "{bad}");
    }
}

#[test]
fn a_server_that_takes_none_is_tried_once_in_ten_seconds() {
    let none = CallRate::per_second(0.0).unwrap();

    assert_eq!(none.interval(), Duration::from_secs(10));
}

#[test]
fn a_rate_beyond_all_counting_is_no_limit() {
    let most = CallRate::per_second(1e300).unwrap();

    assert!(most.interval() < Duration::from_micros(10), "{most}");
}

#[test]
fn a_part_of_a_rate_is_never_none() {
    let rate = CallRate::per_second(1.7).unwrap();

    assert_eq!(rate.divided_by(2), CallRate::per_second(0.85).unwrap());
    assert!(rate.divided_by(1_000_000).interval() > Duration::ZERO);
}
