//! Parsing and division of call limits.

use std::time::Duration;

use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::call_rate::InvalidCallRate;

#[test]
fn non_finite_and_negative_rates_are_rejected() {
    for bad in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -0.5] {
        assert_eq!(CallRate::per_second(bad), Err(InvalidCallRate), "{bad}");
    }
}

#[test]
fn a_limit_of_zero_allows_one_call_in_ten_seconds() {
    let zero = CallRate::per_second(0.0).unwrap();

    assert_eq!(zero.interval(), Duration::from_secs(10));
}

#[test]
fn a_huge_rate_is_clamped_to_an_ineffective_limit() {
    let huge = CallRate::per_second(1e300).unwrap();

    assert!(huge.interval() < Duration::from_micros(10), "{huge}");
}

#[test]
fn a_share_of_a_rate_is_never_zero() {
    let rate = CallRate::per_second(1.7).unwrap();

    assert_eq!(rate.divided_by(2), CallRate::per_second(0.85).unwrap());
    assert!(rate.divided_by(1_000_000).interval() > Duration::ZERO);
}
