//! Order in which long prompts start, across all boxes.

use std::time::Duration;

use badgerferry_lib::relay::long_prompt_queue::LongPromptQueue;
use badgerferry_lib::relay::long_prompt_queue::QueuedPrompt;
use badgerferry_lib::relay::long_prompt_queue::Turn;
use badgerferry_lib::time::Time;

fn queued(prefill_ms: u64, due_ms: u64) -> QueuedPrompt {
    QueuedPrompt {
        prefill: Duration::from_millis(prefill_ms),
        decode: Duration::from_millis(500),
        due: Time::from_millis(due_ms),
        engines: 60,
        arrived: Time::ZERO,
        deadline: Time::from_millis(due_ms + 12_000),
        is_requeued: false,
    }
}

/// Time by which other boxes know of a prompt that was queued at zero.
const ANNOUNCED_AT: Time = Time::from_millis(100);

#[test]
fn shortest_prefill_starts_first_and_late_prompts_last() {
    let mut queue = LongPromptQueue::default();
    let long = queue.push(Time::ZERO, queued(3_000, 3_000));
    let short = queue.push(Time::ZERO, queued(400, 3_000));
    let late = queue.push(Time::ZERO, queued(100, 10));
    let is_first =
        |queue: &LongPromptQueue, ticket| queue.turn(ANNOUNCED_AT, ticket, "a") == Turn::First;

    assert!(is_first(&queue, short));
    assert!(!is_first(&queue, long));
    queue.remove(short);
    assert!(is_first(&queue, long));
    queue.remove(long);
    assert!(is_first(&queue, late));
}

/// 17 engines take 600 ms to prefill the first prompt, which is due in 500 ms.
#[test]
fn prompt_that_will_be_late_starts_after_others() {
    let mut queue = LongPromptQueue::default();
    let late = queue.push(Time::ZERO, queued(10_200, 600));
    let larger = queue.push(Time::ZERO, queued(11_000, 3_000));

    assert_eq!(queue.turn(ANNOUNCED_AT, late, "a"), Turn::Blocked);
    assert_eq!(queue.turn(ANNOUNCED_AT, larger, "a"), Turn::First);
}

#[test]
fn prompt_waits_until_other_boxes_know_of_it() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, queued(400, 3_000));

    assert_eq!(queue.turn(Time::from_millis(1), ticket, "a"), Turn::Blocked);
    assert_eq!(queue.turn(ANNOUNCED_AT, ticket, "a"), Turn::First);
}

#[test]
fn boxes_with_waiting_prompts_agree_on_the_first() {
    let mut here = LongPromptQueue::default();
    let mut there = LongPromptQueue::default();
    let ours = here.push(Time::ZERO, queued(400, 3_000));
    let theirs = there.push(Time::ZERO, queued(400, 3_000));

    here.record_box_head(ANNOUNCED_AT, "b", there.head(ANNOUNCED_AT));
    there.record_box_head(ANNOUNCED_AT, "a", here.head(ANNOUNCED_AT));

    assert_eq!(here.turn(ANNOUNCED_AT, ours, "a"), Turn::First);
    assert_eq!(there.turn(ANNOUNCED_AT, theirs, "b"), Turn::Yields);
    there.record_box_head(ANNOUNCED_AT, "a", None);
    assert_eq!(there.turn(ANNOUNCED_AT, theirs, "b"), Turn::First);
}

#[test]
fn announcement_of_a_failed_box_expires() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, queued(3_000, 3_000));
    let mut failed = LongPromptQueue::default();
    failed.push(Time::ZERO, queued(400, 3_000));
    queue.record_box_head(Time::ZERO, "b", failed.head(Time::ZERO));

    assert_eq!(queue.turn(ANNOUNCED_AT, ticket, "a"), Turn::Yields);
    assert_eq!(queue.turn(Time::from_millis(500), ticket, "a"), Turn::First);
}

/// If prompts didn't yield, those that need few engines would take each engine as it becomes free,
/// before enough are free for a prompt that needs many.
#[test]
fn prompt_yields_for_a_bounded_time() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, queued(3_000, 3_000));

    assert!(!queue.yielded_long_enough(Time::from_millis(100), ticket, true));
    assert!(!queue.yielded_long_enough(Time::from_millis(1_000), ticket, true));
    assert!(queue.yielded_long_enough(Time::from_millis(1_200), ticket, true));
}

#[test]
fn yielding_time_restarts_when_engines_become_busy() {
    let mut queue = LongPromptQueue::default();
    let ticket = queue.push(Time::ZERO, queued(3_000, 3_000));

    assert!(!queue.yielded_long_enough(Time::from_millis(100), ticket, true));
    assert!(!queue.yielded_long_enough(Time::from_millis(300), ticket, false));
    assert!(!queue.yielded_long_enough(Time::from_millis(400), ticket, true));
    assert!(queue.yielded_long_enough(Time::from_millis(2_400), ticket, true));
}

#[test]
fn prompt_expires_before_its_deadline() {
    let prompt = queued(3_000, 3_000);

    assert!(prompt.expires_at() > prompt.due);
    assert!(prompt.expires_at() + Duration::from_secs(2) <= prompt.deadline);
}

#[test]
fn prompt_waits_as_long_as_engines_could_meet_its_deadline() {
    let prompt = QueuedPrompt {
        prefill: Duration::from_secs(17),
        decode: Duration::from_millis(500),
        due: Time::from_millis(3_000),
        engines: 60,
        arrived: Time::ZERO,
        deadline: Time::from_millis(15_000),
        is_requeued: false,
    };
    let retried = QueuedPrompt {
        arrived: Time::from_millis(12_500),
        ..prompt
    };

    assert_eq!(prompt.expires_at(), Time::from_millis(12_000));
    assert_eq!(
        retried.expires_at(),
        retried.arrived,
        "a prompt that is retried too late is rejected at once"
    );
}

#[test]
fn blocked_polls_are_counted_by_cause() {
    let mut queue = LongPromptQueue::default();
    let first = queue.push(Time::ZERO, queued(400, 3_000));
    let second = queue.push(Time::ZERO, queued(3_000, 3_000));
    let find_no_engines = || None::<()>;

    queue.try_start(ANNOUNCED_AT, second, "a", find_no_engines);
    queue.try_start(ANNOUNCED_AT, first, "a", find_no_engines);
    queue.remove(first);
    queue.try_start(ANNOUNCED_AT, second, "a", find_no_engines);

    let blocked_polls = queue.blocked_polls(second);
    assert_eq!(
        (blocked_polls.not_first, blocked_polls.too_few_engines),
        (1, 1)
    );
}

#[test]
fn late_large_prompts_start_by_prefill_time() {
    let mut queue = LongPromptQueue::default();
    let now = Time::from_millis(4_000);
    let large = queue.push(Time::ZERO, queued(6_000, 3_000));
    let largest = queue.push(Time::ZERO, queued(40_000, 3_000));

    assert_eq!(queue.turn(now, large, "a"), Turn::First);
    assert_eq!(queue.turn(now, largest, "a"), Turn::Blocked);
}

/// Sizes of the prompts that arrived before, and how many of the largest engines took.
fn queue_after(large_taken: usize) -> LongPromptQueue {
    let mut queue = LongPromptQueue::default();
    for index in 0..200 {
        let is_large = index % 8 == 0;
        let prefill = Duration::from_millis(if is_large { 25_000 } else { 3_000 });
        queue.size_groups.record_arrival(Time::ZERO, prefill);
        if !is_large || index / 8 < large_taken {
            queue.size_groups.record_start(Time::ZERO, prefill);
        }
    }
    queue
}

#[test]
fn shortest_prefill_starts_first_while_large_prompts_keep_up() {
    let mut queue = queue_after(25);
    let large = queue.push(Time::ZERO, queued(25_000, 8_000));
    let small = queue.push(Time::ZERO, queued(3_000, 8_000));

    assert_eq!(queue.turn(ANNOUNCED_AT, small, "a"), Turn::First);
    assert_eq!(queue.turn(ANNOUNCED_AT, large, "a"), Turn::Blocked);
}

#[test]
fn large_prompts_start_first_when_their_size_group_is_behind() {
    let mut queue = queue_after(5);
    let large = queue.push(Time::ZERO, queued(25_000, 8_000));
    let small = queue.push(Time::ZERO, queued(3_000, 8_000));

    assert_eq!(queue.turn(ANNOUNCED_AT, large, "a"), Turn::First);
    assert_eq!(queue.turn(ANNOUNCED_AT, small, "a"), Turn::Blocked);
}

#[test]
fn boxes_agree_that_a_size_group_is_behind() {
    let there = queue_after(5);
    let mut here = LongPromptQueue::default();
    let counts = there.size_groups.own_counts(Time::ZERO);
    here.size_groups.record_box(Time::ZERO, "b", &counts);
    let large = here.push(Time::ZERO, queued(25_000, 8_000));
    let small = here.push(Time::ZERO, queued(3_000, 8_000));

    assert_eq!(here.turn(ANNOUNCED_AT, large, "a"), Turn::First);
    assert_eq!(here.turn(ANNOUNCED_AT, small, "a"), Turn::Blocked);
}

#[test]
fn late_prompt_starts_last_unless_its_size_group_is_behind() {
    let now = Time::from_millis(4_000);
    let turn_of_late = |large_taken| {
        let mut queue = queue_after(large_taken);
        let late = queue.push(Time::ZERO, queued(25_000, 3_000));
        queue.push(Time::ZERO, queued(3_000, 8_000));
        queue.turn(now, late, "a")
    };

    assert_eq!(turn_of_late(25), Turn::Blocked);
    assert_eq!(turn_of_late(5), Turn::First);
}

/// Where 17 engines are most of the fleet, large prompts are late before that many are free at once.
#[test]
fn with_few_engines_a_late_prompt_of_a_group_that_is_behind_uses_long_chunks() {
    let now = Time::from_millis(4_000);
    let few = |due_ms| QueuedPrompt {
        engines: 18,
        ..queued(25_000, due_ms)
    };
    let mut queue = queue_after(5);
    let late = queue.push(Time::ZERO, few(3_000));
    let large = queue.push(Time::ZERO, few(8_000));
    let mut fair = queue_after(25);
    let late_and_fair = fair.push(Time::ZERO, few(3_000));
    fair.push(Time::ZERO, few(8_000));

    assert!(queue.late_chunk(now, late) > Some(Duration::from_secs(3)));
    assert_eq!(
        queue.late_chunk(now, large),
        None,
        "the prompt can still be on time"
    );
    assert_eq!(fair.late_chunk(now, late_and_fair), None);
}

#[test]
fn chunk_of_a_late_prompt_ends_before_its_deadline() {
    let mut queue = queue_after(5);
    let late = QueuedPrompt {
        engines: 18,
        ..queued(25_000, 3_000)
    };
    let ticket = queue.push(Time::ZERO, late);
    let now = Time::from_millis(9_000);

    let alone = queue.late_chunk(now, ticket);
    queue.push(Time::ZERO, late);

    assert_eq!(
        alone, None,
        "a prompt that waits alone uses all free engines"
    );
    assert_eq!(queue.late_chunk(now, ticket), Some(Duration::from_secs(2)));
    assert_eq!(queue.late_chunk(Time::from_millis(12_000), ticket), None);
}

#[test]
fn prompt_that_could_not_complete_its_response_is_not_started() {
    let prompt = QueuedPrompt {
        decode: Duration::from_secs(2),
        ..queued(25_000, 3_000)
    };
    let now = Time::from_millis(10_000);

    assert!(prompt.can_complete(now, Duration::from_secs(3)));
    assert!(!prompt.can_complete(now, Duration::from_millis(3_100)));
}

/// A caller's limit on the length of the response is often far above the length.
#[test]
fn long_response_limit_does_not_expire_a_prompt_at_once() {
    let prompt = QueuedPrompt {
        decode: Duration::from_mins(2),
        ..queued(3_000, 3_000)
    };

    assert!(prompt.expires_at() > Time::from_millis(10_000));
    assert!(prompt.can_complete(Time::ZERO, Duration::from_secs(5)));
}

/// Guards against callers that are told to retry a prompt which no engines can complete any more.
#[test]
fn expired_prompt_is_not_invited_back_before_its_deadline() {
    let prompt = queued(20_000, 4_000);
    let expired_at = prompt.expires_at();

    let retry_after = prompt.retry_after(expired_at);

    let retried = |delay| QueuedPrompt {
        arrived: expired_at + delay,
        ..prompt
    };
    let is_rejected_at_once = |prompt: QueuedPrompt| prompt.expires_at() <= prompt.arrived;
    assert!(is_rejected_at_once(retried(Duration::from_millis(250))));
    assert!(is_rejected_at_once(retried(
        retry_after.saturating_sub(Duration::from_millis(1))
    )));
    assert_eq!(expired_at + retry_after, prompt.deadline);
}
