//! What befalls a deployment in a run, and when.

use std::time::Duration;

use badgerferry_standin::server::Behaviour;
use badgerferry_standin::sheet::Sheet;
use badgerferry_standin::sheet::SheetTrouble;
use badgerferry_standin::store::Mode;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::sheet_callers::Leaving;
use crate::sheet_callers::LeavingTime;

/// What befalls servers and boxes.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// This fraction of the servers stands still.
    ServersStill(f64),
    /// This fraction of the servers is slower by a factor.
    ServersSlow(f64, f64),
    /// All servers lose this fraction of their calls.
    CallsLost(f64),
    /// This fraction of the servers declines calls after a delay, and asks for a pause of as many
    /// seconds.
    ServersShed(f64, Duration, u64),
    /// This fraction of the servers handles a fraction of its calls in this way.
    ServersFail(f64, Behaviour, f64),
    /// This fraction of the servers crashes.
    ServersCrash(f64),
    /// This fraction of the servers loses power, and what they have received.
    ServersDark(f64),
    /// This fraction of the boxes stands still.
    BoxesStill(f64),
    /// This fraction of the boxes is killed, and started again at once.
    BoxesKilled(f64),
    /// This fraction of the boxes is killed, and started again at the end.
    BoxesDown(f64),
    /// One box after the other is told to stop, and started again.
    BoxesStopped,
    /// This fraction of the boxes is killed for good, and others take their places.
    BoxesReplaced(f64),
    /// As many boxes are added as this fraction of those that are there.
    BoxesAdded(f64),
    /// This fraction of the forwarders of servers holds all bytes back.
    ServerLinksHeld(f64),
    /// This fraction of the forwarders of servers resets connections.
    ServerLinksReset(f64),
    /// This fraction of the forwarders of boxes resets connections.
    BoxLinksReset(f64),
    /// A route of the desired state changes.
    SettingsChange,
    /// The store handles requests in this way.
    StoreFails(Mode),
    /// Reads of the store that may be old show its present content until the end of the run.
    StoreReadsOld,
    /// Callers leave.
    CallersLeave(Leaving),
    /// This fraction of the callers repeats at once, this many times as often.
    CallersRepeat(f64, f64),
    /// More calls come, by this factor.
    Burst(f64),
    /// Servers need this long until they respond, and run only a few calls at a time.
    ServersBusy(Duration),
    /// A request crashes its servers, after this silence; the calls of it in a second.
    CrashingRequest(Duration, f64),
    /// A part of prompts crashes their servers, this long after the response began; the calls with it in a
    /// second.
    CrashingPart(Duration, f64),
    /// A request and a part crash servers; the calls of each in a second.
    CrashingBoth(CrashTiming, f64),
}

/// When calls crash their servers.
#[derive(Debug, Clone, Copy)]
pub struct CrashTiming {
    /// Whether the head of the response and an event are sent before.
    pub begins_response: bool,
    /// Time from then, or from the arrival of the call.
    pub delay: Duration,
}

impl CrashTiming {
    /// Soon after the response began, long after it, or before it.
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let (begins_response, ms) = match rng.random_range(0..3) {
            0 => (true, 30..120),
            1 => (true, 300..900),
            _ => (false, 30..300),
        };
        Self {
            begins_response,
            delay: Duration::from_millis(rng.random_range(ms)),
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub struct Scheduled {
    pub at: Duration,
    pub lasts: Duration,
    pub trouble: Trouble,
}

/// How hard the troubles are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Shares and times as in site files, and beside them the troubles that the site file names, several at a time.
    Usual,
    /// Most of the servers stand still in turn, and most calls are lost.
    MostServersStill,
    /// A request crashes servers that were silent before, whose callers leave first.
    SilentCrashes,
    /// Servers decline calls whose callers have left.
    LateDeclines,
    /// Most callers leave at any time while servers are busy and crash.
    Departures,
    /// A part of prompts crashes servers, and callers leave before that or after.
    PartCrashes,
    /// Boxes are killed in series while the store fails or shows old content, and most calls are lost.
    StoreFaults,
    /// Boxes are killed, replaced, added and stopped in series, while a request and a part crash servers.
    Churn,
    /// The desired state changes in series while boxes are killed and many calls are lost.
    Settings,
}

/// Callers that leave where a trouble does not say otherwise.
pub const USUAL_LEAVING: Leaving = Leaving {
    fraction: 0.3,
    when: LeavingTime::Between(Duration::from_millis(50), Duration::from_secs(2)),
};

/// Mean interval between the troubles of a site file.
const TROUBLE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a trouble lasts for which the site file states no time.
const DEFAULT_SECONDS: f64 = 5.0;

impl Trouble {
    /// The trouble that a site file names; `None` if it is not played.
    fn of_sheet(named: &SheetTrouble) -> Option<Self> {
        let (share, x) = (named.share, named.x);
        let fail = |share: f64, behaviour, x: f64| Self::ServersFail(share, behaviour, x);
        let has = |word| named.how.split(' ').any(|other| other == word);
        let trouble = match named.kind.as_str() {
            "answer_lost" => fail(
                share.unwrap_or(0.5),
                Behaviour::CloseUnanswered,
                x.unwrap_or(0.03),
            ),
            "garble" if has("extra") => fail(
                share.unwrap_or(0.5),
                Behaviour::AnswerTwice,
                x.unwrap_or(0.02),
            ),
            "garble" => fail(share.unwrap_or(0.5), Behaviour::Garbage, x.unwrap_or(0.02)),
            "srv_grey" if has("slow") => Self::ServersSlow(share.unwrap_or(0.15), x.unwrap_or(8.0)),
            "srv_grey" => {
                let behaviour = match named.how.split(' ').next() {
                    Some("errors") => Behaviour::Fail,
                    Some("shed" | "busy") => Behaviour::Decline,
                    Some("hang" | "mute") => Behaviour::Silent,
                    _ => Behaviour::CloseUnanswered,
                };
                fail(share.unwrap_or(0.15), behaviour, x.unwrap_or(0.4))
            }
            "srv_crash" if has("dark") => Self::ServersDark(share.unwrap_or(0.15)),
            "srv_crash" | "srv_flap" => Self::ServersCrash(share.unwrap_or(0.15)),
            "give_up" => Self::CallersLeave(Leaving {
                fraction: share.unwrap_or(0.2),
                when: LeavingTime::HalfObjective,
            }),
            "retry_abuse" => Self::CallersRepeat(share.unwrap_or(0.3), x.unwrap_or(3.0)),
            "burst" => Self::Burst(x.unwrap_or(1.5)),
            "node_kill" | "herd_kill" => Self::BoxesDown(share.unwrap_or(0.1)),
            "node_freeze" => Self::BoxesStill(share.unwrap_or(0.1)),
            "roll_term" => Self::BoxesStopped,
            "reset_conns" => Self::BoxLinksReset(share.unwrap_or(0.1)),
            "zone_cut" if has("reset") => Self::ServerLinksReset(1.0 / 3.0),
            "zone_cut" => Self::ServerLinksHeld(1.0 / 3.0),
            "node_cut" => Self::ServerLinksHeld(share.unwrap_or(0.1)),
            "platform_down" => Self::StoreFails(match named.how.as_str() {
                how if how.contains("busy") => Mode::Busy,
                how if how.contains("many") => Mode::TooMany,
                how if how.contains("reset") => Mode::Reset,
                _ => Mode::Silent,
            }),
            _ => return None,
        };
        Some(trouble)
    }
}

/// Callers leave at any time between these.
const fn leave(fraction: f64, earliest: Duration, latest: Duration) -> Trouble {
    Trouble::CallersLeave(Leaving {
        fraction,
        when: LeavingTime::Between(earliest, latest),
    })
}

/// Draws the troubles of a run.
pub fn draw(
    rng: &mut ChaCha8Rng,
    severity: Severity,
    lasts: Duration,
    sheet: &Sheet,
) -> Vec<Scheduled> {
    let mut troubles = draw_processes(rng, severity, lasts);
    if severity == Severity::Usual {
        troubles.extend(draw_from_sheet(rng, lasts, sheet));
    }
    troubles.extend(draw_links(rng, lasts));
    troubles
}

/// Troubles of the site file, as many at a time as on the platform's days.
fn draw_from_sheet(rng: &mut ChaCha8Rng, lasts: Duration, sheet: &Sheet) -> Vec<Scheduled> {
    let named = sheet.troubles().iter();
    let playable: Vec<_> = named
        .filter_map(|named| Some((named, Trouble::of_sheet(named)?)))
        .collect();
    let mut troubles = Vec::new();
    let mut at = Duration::ZERO;
    while let Some((named, trouble)) = playable.choose(rng).filter(|_| at < lasts) {
        troubles.push(Scheduled {
            at,
            lasts: Duration::from_secs_f64(named.for_s.unwrap_or(DEFAULT_SECONDS)),
            trouble: *trouble,
        });
        at += TROUBLE_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
    }
    troubles
}

/// What befalls forwarders in every run.
fn draw_links(rng: &mut ChaCha8Rng, lasts: Duration) -> Vec<Scheduled> {
    let mut troubles = Vec::new();
    for turn in 0..lasts.as_secs() / 5 {
        let mut befall = |trouble, lasts| {
            let at = turn as f64 * 5.0 + rng.random_range(0.0..4.0);
            troubles.push(Scheduled {
                at: Duration::from_secs_f64(at),
                lasts: Duration::from_secs_f64(lasts),
                trouble,
            });
        };
        befall(Trouble::ServerLinksHeld(0.34), 2.0);
        befall(Trouble::ServerLinksReset(0.34), 0.2);
        befall(Trouble::BoxLinksReset(0.34), 0.2);
    }
    troubles
}

fn draw_processes(rng: &mut ChaCha8Rng, severity: Severity, lasts: Duration) -> Vec<Scheduled> {
    let secs = Duration::from_secs_f64;
    let whole = |trouble| Scheduled {
        at: Duration::ZERO,
        lasts,
        trouble,
    };
    let turns = lasts.as_secs() / 5;
    match severity {
        Severity::MostServersStill => {
            let still = (0..turns).map(|turn| Scheduled {
                at: secs(turn as f64 * 5.0),
                lasts: secs(4.5),
                trouble: Trouble::ServersStill(0.6),
            });
            still.chain([whole(Trouble::CallsLost(0.6))]).collect()
        }
        Severity::SilentCrashes => {
            let silence = Duration::from_secs(4);
            vec![whole(Trouble::CrashingRequest(silence, 1.0))]
        }
        Severity::LateDeclines => vec![
            whole(Trouble::ServersShed(0.4, Duration::from_millis(300), 3)),
            whole(leave(
                0.7,
                Duration::from_millis(100),
                Duration::from_millis(100),
            )),
        ],
        Severity::Departures => {
            let crashes = (0..turns).map(|turn| Scheduled {
                at: secs(turn as f64 * 5.0 + 2.0),
                lasts: secs(1.0),
                trouble: Trouble::ServersCrash(0.17),
            });
            let throughout = [
                whole(Trouble::ServersBusy(Duration::from_millis(700))),
                whole(Trouble::ServersSlow(0.5, 10.0)),
                whole(leave(0.6, secs(0.05), secs(2.0))),
                whole(Trouble::CrashingRequest(Duration::from_millis(300), 1.0)),
            ];
            crashes.chain(throughout).collect()
        }
        Severity::PartCrashes => vec![
            whole(Trouble::CrashingPart(Duration::from_millis(300), 3.0)),
            whole(leave(0.5, secs(0.05), secs(1.0))),
        ],
        Severity::StoreFaults => draw_store_faults(rng, turns)
            .chain([whole(Trouble::CallsLost(0.6))])
            .collect(),
        Severity::Churn => {
            let crashing = Trouble::CrashingBoth(CrashTiming::draw(rng), 2.0);
            let boxes = draw_churn(rng, turns);
            let throughout = [whole(crashing), whole(Trouble::CallsLost(0.1))];
            boxes.chain(throughout).collect()
        }
        Severity::Settings => draw_settings(rng, turns)
            .chain([whole(Trouble::CallsLost(0.4))])
            .collect(),
        Severity::Usual => (0..rng.random_range(8..16))
            .map(|_| Scheduled {
                at: lasts.mul_f64(rng.random_range(0.0..0.9)),
                lasts: secs(rng.random_range(2.0..6.5)),
                trouble: match rng.random_range(0..12) {
                    0..3 => Trouble::ServersStill(0.14),
                    3 => Trouble::ServersSlow(0.14, 7.5),
                    4 => Trouble::CallsLost(rng.random_range(0.02..0.4)),
                    5 => Trouble::ServersShed(0.14, Duration::ZERO, rng.random_range(1..4)),
                    6 => Trouble::ServersCrash(0.17),
                    7 => Trouble::BoxesStill(0.2),
                    8 => Trouble::BoxesKilled(rng.random_range(0.16..1.0)),
                    9 => Trouble::BoxesStopped,
                    10 => leave(0.2, secs(0.05), secs(2.0)),
                    _ if rng.random_bool(0.5) => Trouble::CrashingBoth(CrashTiming::draw(rng), 2.0),
                    _ => Trouble::CrashingRequest(secs(rng.random_range(0.0..3.0)), 1.0),
                },
            })
            .collect(),
    }
}

/// In each turn the store fails, and boxes are killed meanwhile.
fn draw_store_faults(rng: &mut ChaCha8Rng, turns: u64) -> impl Iterator<Item = Scheduled> {
    const MODES: [Mode; 5] = [
        Mode::ReadOnly,
        Mode::Busy,
        Mode::TooMany,
        Mode::Reset,
        Mode::Silent,
    ];
    (0..turns).flat_map(move |turn| {
        let turn_at = Duration::from_secs(turn * 5);
        let scheduled = |after: f64, lasts: f64, trouble| Scheduled {
            at: turn_at + Duration::from_secs_f64(after),
            lasts: Duration::from_secs_f64(lasts),
            trouble,
        };
        let mode = *MODES.choose(rng).expect("there are modes");
        let killed = rng.random_range(0.34..1.0);
        [
            scheduled(rng.random_range(0.0..1.0), 0.0, Trouble::StoreReadsOld),
            scheduled(rng.random_range(0.0..1.0), 3.5, Trouble::StoreFails(mode)),
            scheduled(
                rng.random_range(1.0..3.0),
                0.0,
                Trouble::BoxesKilled(killed),
            ),
        ]
    })
}

/// In each turn boxes are killed, replaced, stopped, frozen or added, several of it at a time.
fn draw_churn(rng: &mut ChaCha8Rng, turns: u64) -> impl Iterator<Item = Scheduled> {
    (0..turns).flat_map(move |turn| {
        let turn_at = Duration::from_secs(turn * 5);
        let mut scheduled = |lasts: f64, trouble| Scheduled {
            at: turn_at + Duration::from_secs_f64(rng.random_range(0.0..5.0)),
            lasts: Duration::from_secs_f64(lasts),
            trouble,
        };
        let mut troubles = vec![
            scheduled(0.0, Trouble::BoxesReplaced(0.16)),
            scheduled(0.0, Trouble::BoxesKilled(0.34)),
            scheduled(2.0, Trouble::BoxesDown(0.34)),
            scheduled(2.5, Trouble::BoxesStill(0.16)),
            scheduled(1.0, Trouble::BoxesStopped),
            scheduled(0.0, Trouble::ServersCrash(0.1)),
        ];
        if turn % 3 == 1 {
            troubles.push(scheduled(0.0, Trouble::BoxesKilled(1.0)));
            troubles.push(scheduled(0.0, Trouble::BoxesAdded(0.17)));
        }
        troubles
    })
}

/// In each turn the desired state changes in quick succession while boxes are killed and servers stand still.
fn draw_settings(rng: &mut ChaCha8Rng, turns: u64) -> impl Iterator<Item = Scheduled> {
    const CHANGES: u32 = 12;
    const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
    (0..turns).flat_map(move |turn| {
        let turn_at = Duration::from_secs(turn * 5);
        let mut scheduled = |lasts: f64, trouble| Scheduled {
            at: turn_at + Duration::from_secs_f64(rng.random_range(0.0..5.0)),
            lasts: Duration::from_secs_f64(lasts),
            trouble,
        };
        let others = vec![
            scheduled(0.0, Trouble::BoxesKilled(0.16)),
            scheduled(2.5, Trouble::BoxesStill(0.16)),
            scheduled(3.0, Trouble::ServersStill(0.2)),
            scheduled(0.0, Trouble::ServersCrash(0.1)),
        ];
        let changes = (0..CHANGES).map(move |index| Scheduled {
            at: turn_at + CHANGE_INTERVAL * index,
            lasts: Duration::ZERO,
            trouble: Trouble::SettingsChange,
        });
        changes.chain(others)
    })
}
