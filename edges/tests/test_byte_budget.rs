//! Bytes of responses that are buffered at a time.

use badgerferry_edges::byte_budget::ByteBudget;
use badgerferry_edges::byte_budget::NoRoom;

const BUDGET: usize = 1 << 20;
static CHUNK: [u8; 64 << 10] = [0; 64 << 10];

#[test]
fn responses_beyond_the_budget_get_no_room() {
    let budget = ByteBudget::new(BUDGET);
    let mut endless = budget.buffer();
    while endless.push(&CHUNK).is_ok() {}

    let mut other = budget.buffer();

    assert_eq!(other.push(&CHUNK), Ok(()), "short responses do not count");
    assert_eq!(other.push(&CHUNK), Err(NoRoom));
    assert!(endless.len() <= BUDGET + CHUNK.len());
}

#[test]
fn room_is_free_again_once_a_response_is_dropped() {
    let budget = ByteBudget::new(BUDGET);
    let mut first = budget.buffer();
    while first.push(&CHUNK).is_ok() {}
    let whole = first.finish();
    let mut second = budget.buffer();
    assert_eq!(second.push(&CHUNK), Ok(()));
    assert_eq!(second.push(&CHUNK), Err(NoRoom), "a whole response counts");

    drop(whole);

    assert_eq!(second.push(&CHUNK), Ok(()));
}
