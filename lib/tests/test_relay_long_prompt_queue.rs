//! The order in which long prompts go, over all boxes.

use std::time::Duration;

use badgerferry_lib::relay::long_prompt_queue::LongPromptQueue;
use badgerferry_lib::relay::long_prompt_queue::QueuedPrompt;
use badgerferry_lib::relay::long_prompt_queue::Turn;
use badgerferry_lib::time::Time;

fn waiting(read_ms: u64, due_ms: u64) -> QueuedPrompt {
    QueuedPrompt {
        prefill: Duration::from_millis(read_ms),
        due: Time::from_millis(due_ms),
        objective: Duration::from_millis(due_ms),
        random_rank: 0,
        engines: 60,
        arrived: Time::ZERO,
        deadline: Time::from_millis(due_ms + 12_000),
    }
}

/// When other boxes have heard of a prompt that began to wait at zero.
const ANNOUNCED: Time = Time::from_millis(100);

#[test]
fn the_shortest_reading_goes_first_and_late_prompts_last() {
    let mut queue = LongPromptQueue::default();
    let long = queue.push(Time::ZERO, waiting(3_000, 3_000));
    let short = queue.push(Time::ZERO, waiting(400, 3_000));
    let late = queue.push(Time::ZERO, waiting(100, 10));
    let is_first =
        |queue: &LongPromptQueue, ticket| queue.turn(ANNOUNCED, ticket, "a") == Turn::First;

    assert!(is_first(&queue, short));
    assert!(!is_first(&queue, long));
    queue.remove(short);
    assert!(is_first(&queue, long));
    queue.remove(long);
    assert!(is_first(&queue, late));
}

/// 17 engines would take 600 ms for the first of them, and it is due in 500.
#[test]
fn a_prompt_that_no_engines_could_read_on_time_lets_others_go_before_it() {
    let mut queue = LongPromptQueue::default();
    let hopeless = queue.push(Time::ZERO, waiting(10_200, 600));
    let larger = queue.push(Time::ZERO, waiting(11_000, 3_000));

    assert_eq!(queue.turn(ANNOUNCED, hopeless, "a"), Turn::Blocked);
    assert_eq!(queue.turn(ANNOUNCED, larger, "a"), Turn::First);
}

#[test]
fn a_prompt_waits_until_other_boxes_have_heard_of_it() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, waiting(400, 3_000));

    assert_eq!(queue.turn(Time::from_millis(1), ticket, "a"), Turn::Blocked);
    assert_eq!(queue.turn(ANNOUNCED, ticket, "a"), Turn::First);
}

#[test]
fn boxes_with_waiting_prompts_agree_on_one_that_goes_first() {
    let mut here = LongPromptQueue::default();
    let mut there = LongPromptQueue::default();
    let ours = here.push(Time::ZERO, waiting(400, 3_000));
    let theirs = there.push(Time::ZERO, waiting(400, 3_000));

    here.record_box_head(ANNOUNCED, "b", there.head(ANNOUNCED));
    there.record_box_head(ANNOUNCED, "a", here.head(ANNOUNCED));

    assert_eq!(here.turn(ANNOUNCED, ours, "a"), Turn::First);
    assert_eq!(there.turn(ANNOUNCED, theirs, "b"), Turn::Yields);
    there.record_box_head(ANNOUNCED, "a", None);
    assert_eq!(there.turn(ANNOUNCED, theirs, "b"), Turn::First);
}

#[test]
fn a_dead_boxs_prompt_holds_nobody_up_for_long() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, waiting(3_000, 3_000));
    let mut dead = LongPromptQueue::default();
    dead.push(Time::ZERO, waiting(400, 3_000));
    queue.record_box_head(Time::ZERO, "b", dead.head(Time::ZERO));

    assert_eq!(queue.turn(ANNOUNCED, ticket, "a"), Turn::Yields);
    assert_eq!(queue.turn(Time::from_millis(500), ticket, "a"), Turn::First);
}

/// Engines that turn free one by one would else be taken by those that need few.
#[test]
fn what_turns_free_gathers_for_the_first_while_others_give_way() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, waiting(3_000, 3_000));

    assert!(!queue.yielded_long_enough(Time::from_millis(100), ticket, true));
    assert!(!queue.yielded_long_enough(Time::from_millis(1_000), ticket, true));
    assert!(queue.yielded_long_enough(Time::from_millis(1_200), ticket, true));
}

#[test]
fn a_prompt_that_engines_could_read_stops_giving_way() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, waiting(3_000, 3_000));

    assert!(!queue.yielded_long_enough(Time::from_millis(100), ticket, true));
    assert!(!queue.yielded_long_enough(Time::from_millis(300), ticket, false));
    assert!(!queue.yielded_long_enough(Time::from_millis(400), ticket, true));
    assert!(queue.yielded_long_enough(Time::from_millis(2_400), ticket, true));
}

#[test]
fn a_prompt_is_given_up_before_its_callers_time_is_over() {
    let row = waiting(3_000, 3_000);

    assert!(row.expires_at() > row.due);
    assert!(row.expires_at() + Duration::from_secs(2) <= row.deadline);
}

#[test]
fn a_prompt_waits_as_long_as_engines_could_still_answer_it() {
    let row = QueuedPrompt {
        prefill: Duration::from_secs(17),
        due: Time::from_millis(3_000),
        objective: Duration::from_secs(3),
        random_rank: 0,
        engines: 60,
        arrived: Time::ZERO,
        deadline: Time::from_millis(15_000),
    };
    let returned = QueuedPrompt {
        arrived: Time::from_millis(12_500),
        ..row
    };

    assert_eq!(row.expires_at(), Time::from_millis(12_000));
    assert_eq!(
        returned.expires_at(),
        returned.arrived,
        "it is refused at once"
    );
}

#[test]
fn a_prompt_knows_whether_the_order_or_the_engines_kept_it() {
    let mut queue = LongPromptQueue::default();
    let first = queue.push(Time::ZERO, waiting(400, 3_000));
    let second = queue.push(Time::ZERO, waiting(3_000, 3_000));
    let too_few_engines = || None::<()>;

    queue.try_start(ANNOUNCED, second, "a", too_few_engines);
    queue.try_start(ANNOUNCED, first, "a", too_few_engines);
    queue.remove(first);
    queue.try_start(ANNOUNCED, second, "a", too_few_engines);

    let blocked_polls = queue.blocked_polls(second);
    assert_eq!(
        (blocked_polls.not_first, blocked_polls.too_few_engines),
        (1, 1)
    );
}

#[test]
fn large_prompts_go_by_lot_and_after_smaller_ones() {
    let mut queue = LongPromptQueue::default();
    let random_rank = |random_rank, row| QueuedPrompt { random_rank, ..row };
    let large = queue.push(Time::ZERO, random_rank(2, waiting(6_000, 3_000)));
    let largest = queue.push(Time::ZERO, random_rank(1, waiting(40_000, 3_000)));
    let smaller = queue.push(Time::ZERO, random_rank(3, waiting(3_000, 3_000)));
    let is_first =
        |queue: &LongPromptQueue, ticket| queue.turn(ANNOUNCED, ticket, "a") == Turn::First;

    assert!(is_first(&queue, smaller));
    queue.remove(smaller);
    assert!(is_first(&queue, largest));
    queue.remove(largest);
    assert!(is_first(&queue, large));
}

#[test]
fn large_prompts_that_are_late_go_by_their_reading() {
    let mut queue = LongPromptQueue::default();
    let at = Time::from_millis(4_000);
    let random_rank = |random_rank, row| QueuedPrompt { random_rank, ..row };
    let large = queue.push(Time::ZERO, random_rank(2, waiting(6_000, 3_000)));
    let largest = queue.push(Time::ZERO, random_rank(1, waiting(40_000, 3_000)));

    assert_eq!(queue.turn(at, large, "a"), Turn::First);
    assert_eq!(queue.turn(at, largest, "a"), Turn::Blocked);
}

#[test]
fn of_large_prompts_the_larger_draws_the_better_lot() {
    let mut queue = LongPromptQueue::default();
    let random_rank = |random_rank, row| QueuedPrompt { random_rank, ..row };
    let large = queue.push(Time::ZERO, random_rank(10_000, waiting(4_000, 3_000)));
    let largest = queue.push(Time::ZERO, random_rank(30_000, waiting(40_000, 3_000)));

    assert_eq!(queue.turn(ANNOUNCED, largest, "a"), Turn::First);
    assert_eq!(queue.turn(ANNOUNCED, large, "a"), Turn::Blocked);
}

/// Where 17 engines are most of the fleet, large prompts are late before so many are free.
#[test]
fn where_engines_are_few_a_large_prompt_that_is_late_keeps_its_place() {
    let mut queue = LongPromptQueue::default();
    let at = Time::from_millis(4_000);
    let few = |random_rank, read_ms, due_ms| QueuedPrompt {
        random_rank,
        engines: 18,
        ..waiting(read_ms, due_ms)
    };
    let late = queue.push(Time::ZERO, few(1, 25_000, 3_000));
    let large = queue.push(Time::ZERO, few(2, 25_000, 8_000));
    let smaller = queue.push(Time::ZERO, few(3, 3_000, 8_000));

    assert_eq!(queue.turn(at, smaller, "a"), Turn::First);
    queue.remove(smaller);
    assert_eq!(queue.turn(at, late, "a"), Turn::First);
    assert_eq!(queue.turn(at, large, "a"), Turn::Blocked);
    assert!(queue.late_chunk(at, late) > Some(Duration::from_secs(3)));
    assert_eq!(queue.late_chunk(at, large), None, "it can be on time");
}

#[test]
fn a_late_prompt_is_read_in_parts_that_end_in_its_callers_time() {
    let mut queue = LongPromptQueue::default();
    let late = QueuedPrompt {
        engines: 18,
        ..waiting(25_000, 3_000)
    };
    let ticket = queue.push(Time::ZERO, late);
    let at = Time::from_millis(9_000);

    let alone = queue.late_chunk(at, ticket);
    queue.push(Time::ZERO, late);

    assert_eq!(alone, None, "it is read by all that are free");
    assert_eq!(queue.late_chunk(at, ticket), Some(Duration::from_secs(2)));
    assert_eq!(queue.late_chunk(Time::from_millis(12_000), ticket), None);
}
