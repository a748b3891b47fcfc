//! Which boxes may use their share of the retry budget.

use std::time::Duration;

use badgerferry_lib::relay::budget_share::BudgetShare;
use badgerferry_lib::relay::budget_share::STORE_CONTACT_TIMEOUT;
use badgerferry_lib::relay::gossip_topology::BOX_EXPIRY;
use badgerferry_lib::time::Time;

const WINDOW: Duration = Duration::from_secs(10);

/// A box that is listed, and confirmed each second of this span.
fn confirmed(share: &mut BudgetShare, from_s: u64, until_s: u64) {
    share.set_listed();
    for second in from_s..=until_s {
        share.confirm(Time::from_millis(second * 1_000), WINDOW);
    }
}

#[test]
fn box_that_is_not_listed_has_no_share() {
    let mut share = BudgetShare::default();

    share.confirm(Time::from_millis(1_000), WINDOW);

    assert_eq!(share.held_since(Time::from_millis(1_001)), None);
}

#[test]
fn listed_box_holds_its_share_since_it_was_confirmed() {
    let mut share = BudgetShare::default();

    confirmed(&mut share, 2, 9);

    let since = share.held_since(Time::from_millis(9_500));
    assert_eq!(since, Some(Time::from_millis(2_000)));
}

#[test]
fn new_box_that_is_cut_off_has_no_share_and_begins_anew() {
    let mut share = BudgetShare::default();
    confirmed(&mut share, 0, 5);

    let cut_off = Time::from_millis(5_000) + STORE_CONTACT_TIMEOUT;
    let lost = share.held_since(cut_off);
    confirmed(&mut share, 20, 20);

    assert_eq!(lost, None);
    let since = share.held_since(Time::from_millis(20_000));
    assert_eq!(since, Some(Time::from_millis(20_000)));
}

#[test]
fn box_keeps_its_share_while_it_is_cut_off_until_others_may_forget_it() {
    let mut share = BudgetShare::default();
    confirmed(&mut share, 0, 10);
    let cut_off = Time::from_millis(10_000);

    let at_first = share.held_since(cut_off + BOX_EXPIRY / 2);
    let in_the_end = share.held_since(cut_off + BOX_EXPIRY);

    assert_eq!((at_first, in_the_end), (Some(Time::ZERO), None));
}
