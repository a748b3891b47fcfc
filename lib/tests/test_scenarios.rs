//! Scripted scenarios of the request's state machine and of the lease, as data-driven tests.
//!
//! Each file under `scenarios/` is run. `REWRITE=1` writes the actual output to the files, to be
//! reviewed before it is committed. `docs/contributing.md` describes the format.

use std::collections::HashMap;
use std::time::Duration;

use badgerferry_lib::exchange::Action;
use badgerferry_lib::exchange::Event;
use badgerferry_lib::exchange::Exchange;
use badgerferry_lib::exchange::ExchangeLimits;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::lease::Lease;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::platform_wire::LeaseResponse;
use badgerferry_lib::request::Placement;
use badgerferry_lib::request::Share;
use badgerferry_lib::settings_commit::NoAnswer;
use badgerferry_lib::stream_join::Frame;
use badgerferry_lib::stream_join::FrameBody;
use badgerferry_lib::time::Time;
use badgerferry_testutils::fixtures::rng;
use datadriven::TestCase;
use rand_chacha::ChaCha8Rng;

fn arg<'a>(case: &'a TestCase, name: &str) -> Option<&'a str> {
    let values = case.args.get(name)?;
    values.first().map(String::as_str)
}

fn number_arg(case: &TestCase, name: &str) -> u64 {
    let text = arg(case, name).unwrap_or("0");
    text.parse().expect("argument is a whole number")
}

/// Formats attempt identifiers as `A1`, `A2`, in the order of their first use.
#[derive(Default)]
struct AttemptNames(HashMap<AttemptId, usize>);

impl AttemptNames {
    fn of(&mut self, id: AttemptId) -> String {
        let next = self.0.len() + 1;
        format!("A{}", self.0.entry(id).or_insert(next))
    }
}

struct ExchangeScenario {
    exchange: Exchange,
    attempt: AttemptId,
    rng: ChaCha8Rng,
    names: AttemptNames,
}

impl ExchangeScenario {
    fn new(case: &TestCase) -> Self {
        let mut rng = rng(1);
        let limits = ExchangeLimits {
            deadline: Time::from_millis(number_arg(case, "limit")),
            first_token: Duration::from_secs(10),
            between_tokens: Duration::from_secs(5),
            max_attempts: number_arg(case, "attempts") as u32,
            max_tokens: arg(case, "tokens")
                .map_or(1_000, |tokens| tokens.parse().expect("a number")),
            repeatable: arg(case, "repeatable") != Some("no"),
        };
        Self {
            exchange: Exchange::new(limits),
            attempt: AttemptId::draw(&mut rng),
            rng,
            names: AttemptNames::default(),
        }
    }

    fn frame(&self, words: &[&str], own: bool) -> Frame {
        let other = AttemptId::draw(&mut rng(99));
        let number = words[1].parse().expect("a number");
        let body = match words[0] {
            "end" => FrameBody::End {
                tokens: number,
                prompt_tokens: 7,
            },
            _ => FrameBody::Token {
                offset: number,
                text: words[2].to_owned(),
            },
        };
        Frame {
            attempt: if own { self.attempt } else { other },
            body,
        }
    }

    /// Runs one line of input, which is one event, and returns the resulting actions.
    fn run_event(&mut self, now: Time, line: &str) -> Vec<String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let frame;
        let event = match words[0] {
            "place" => Event::Placed {
                placement: placement(&words[1..]),
                prefill: Duration::from_millis(100),
            },
            "refuse" => Event::Refused {
                reason: RefusalReason::WouldMissDeadline,
                retry_after: Some(Duration::from_secs(3)),
            },
            "reserved" => Event::Reserved,
            "no-room" => Event::ReservationFailed,
            "ready" => Event::SharePrefilled,
            "no-connection" => Event::NoConnection,
            "not-started" => Event::ServerDidNotStart,
            "answered" => Event::ResponseComplete,
            "broken" => Event::AttemptLost,
            "gone" => Event::CallerDisconnected,
            "stopping" => Event::BoxStopping,
            "tick" => Event::Tick,
            "foreign" => {
                frame = self.frame(&words[1..], false);
                Event::Frame(&frame)
            }
            "token" | "end" => {
                frame = self.frame(&words, true);
                Event::Frame(&frame)
            }
            other => panic!("unknown event: {other}"),
        };
        let actions = self.exchange.on_event(now, &event, &mut self.rng);
        actions
            .into_iter()
            .map(|action| self.format_action(action))
            .collect()
    }

    fn format_action(&mut self, action: Action) -> String {
        match action {
            Action::Reserve { server, tokens, .. } => format!("reserve {tokens} at {server}"),
            Action::Release { server, .. } => format!("release at {server}"),
            Action::Prefill {
                server,
                from,
                tokens,
                ..
            } => format!("prefill {tokens} from {from} at {server}"),
            Action::Send {
                server,
                attempt,
                group,
                offset,
            } => {
                self.attempt = attempt;
                let group = if group.is_some() {
                    " with the group"
                } else {
                    ""
                };
                format!(
                    "send {} to {server} from {offset}{group}",
                    self.names.of(attempt)
                )
            }
            Action::Cancel { server, attempt } => {
                format!("cancel {} at {server}", self.names.of(attempt))
            }
            Action::Forward(text) => format!("forward {text}"),
            Action::CountDropped(reason) => format!("drop {}", reason.label()),
            Action::FirstToken => "first token".to_owned(),
            Action::PlacementEnded(end) => format!("ended {end:?}"),
            Action::Requeue { avoid, is_retry } => {
                let avoid = avoid.map_or_else(|| "nobody".to_owned(), |name| name.to_string());
                format!("queue again, avoid {avoid}, repeat {is_retry}")
            }
            Action::Finish(outcome) => format!("finish: {}", outcome_line(&outcome)),
        }
    }
}

fn outcome_line(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed { tokens } => format!("whole, {tokens} tokens"),
        Outcome::Refused(refused) => {
            format!(
                "not run ({}), back in {:?}",
                refused.reason(),
                refused.retry_after()
            )
        }
        Outcome::Failed(reason) => format!("may have run ({reason})"),
        Outcome::Cancelled => "cancelled".to_owned(),
    }
}

fn placement(words: &[&str]) -> Placement {
    let share = |word: &&str| {
        let (server, tokens) = word.split_once(':').expect("server:tokens");
        let tokens = tokens.parse().expect("a number");
        Share {
            server: ServerName::new(server),
            tokens,
            prompt: tokens,
        }
    };
    match words {
        [one] if !one.contains(':') => Placement::One(ServerName::new(*one)),
        shares => Placement::Group(shares.iter().map(share).collect()),
    }
}

#[test]
fn exchange_scenarios() {
    datadriven::walk("tests/scenarios/exchange", |file| {
        let mut scenario = None;
        file.run(|case| {
            if case.directive == "request" {
                scenario = Some(ExchangeScenario::new(case));
                return String::new();
            }
            assert_eq!(case.directive, "at");
            let scenario = scenario.as_mut().expect("`request` is the first directive");
            let now = Time::from_millis(number_arg(case, "ms"));
            let lines = case
                .input
                .lines()
                .flat_map(|line| scenario.run_event(now, line));
            lines.map(|line| line + "\n").collect::<String>()
        });
    });
}

fn lease_response(case: &TestCase) -> Result<LeaseResponse, NoAnswer> {
    match arg(case, "granted") {
        None => Err(NoAnswer),
        Some(granted) => Ok(LeaseResponse {
            granted: granted == "yes",
            holder: arg(case, "holder").unwrap_or("me").to_owned(),
            fence: number_arg(case, "fence"),
        }),
    }
}

#[test]
fn lease_scenarios() {
    datadriven::walk("tests/scenarios/lease", |file| {
        let mut lease = Lease::new(Duration::from_secs(10));
        file.run(|case| {
            let now = Time::from_millis(number_arg(case, "ms"));
            match case.directive.as_str() {
                "lease" => lease = Lease::new(Duration::from_millis(number_arg(case, "ttl"))),
                "answer" => {
                    let asked_at = Time::from_millis(number_arg(case, "asked"));
                    lease.on_response(asked_at, now, lease_response(case));
                }
                "look" => {}
                other => panic!("unknown directive: {other}"),
            }
            let order = match lease.fence(now) {
                Some(fence) => format!("may order under {fence}"),
                None => "may not order".to_owned(),
            };
            let ask = if lease.is_request_due(now) {
                ", asks"
            } else {
                ""
            };
            format!("{order}{ask}\n")
        });
    });
}
