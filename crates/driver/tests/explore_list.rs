//! What follows the list, stepped through every order of what calls of discovery may come to, against a model of an agent
//! whose list changes: whatever becomes of calls, what was told is in force in time, and nothing old comes back.

use std::time::{Duration, Instant};

use beaconshore_driver::discovery::call_timing::{CallTiming, RESYNC_INTERVAL, WATCH_TIMEOUT};
use beaconshore_driver::discovery::list_sync::{Action, FullListVerdict, ListSync};

/// What becomes of a call or a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// Answered at once.
    Good,
    /// Nothing until the call's time is over.
    Stalls,
    /// An error at once.
    Fails,
    /// Answered with what the agent had when the call began, at the end of the call's time.
    Late,
    /// A watch says that nothing has changed, whatever has.
    Lies,
    /// A watch falls silent.
    Hushes,
    /// A watch ends at once.
    Ends,
}

/// When the agent has its change; the list's version is 1 before that and 2 then.
const CHANGE: Duration = Duration::from_millis(3_130);

struct Agent {
    start: Instant,
}

impl Agent {
    fn version(&self, at: Instant) -> u64 {
        if at >= self.start + CHANGE {
            2
        } else {
            1
        }
    }
}

/// Plays with these fates of whole-list calls and of watches, one after the other, then all good; when the change was in
/// force, after the agent had it.
fn play(pace: CallTiming, wholes: &[Fate], watches: &[Fate]) -> Duration {
    let start = Instant::now();
    let agent = Agent { start };
    let mut follower = ListSync::new(pace, None, start);
    let (mut wholes, mut watches) = (wholes.iter(), watches.iter());
    // What is under way: when the whole call ends and with which version; when the watch ends or tells a version.
    let mut whole: Option<(Instant, Option<u64>)> = None;
    let mut watch: Option<(Fate, Instant, u64)> = None;
    let (mut now, mut in_force) = (start, 0);
    let end = start + Duration::from_secs(30);
    while now < end {
        while let Some(action) = follower.next_action(now) {
            match action {
                Action::FetchList => {
                    assert!(whole.is_none(), "one call of the whole list at a time");
                    let fate = wholes.next().copied().unwrap_or(Fate::Good);
                    whole = Some(match fate {
                        Fate::Stalls => (now + pace.timeout, None),
                        Fate::Fails => (now, None),
                        Fate::Late => (now + pace.timeout, Some(agent.version(now))),
                        _ => (now, Some(agent.version(now))),
                    });
                }
                Action::OpenWatch(from) => {
                    assert!(watch.is_none(), "one watch at a time");
                    assert_eq!(from, in_force, "from the version in force");
                    watch = Some((watches.next().copied().unwrap_or(Fate::Good), now, from));
                }
                Action::CloseWatch => watch = None,
            }
        }
        // What comes next, and when.
        let told = watch.and_then(|(fate, since, from)| match fate {
            Fate::Hushes | Fate::Stalls => Some((since + WATCH_TIMEOUT, None)),
            Fate::Ends | Fate::Fails => Some((since, None)),
            Fate::Lies => None,
            // Late ones tell a change a call's time after the agent has it.
            _ if from < 2 => {
                let late = if fate == Fate::Late { pace.timeout } else { Duration::ZERO };
                Some((since.max(start + CHANGE + late), Some(2)))
            }
            _ => None,
        });
        let due = follower.due().unwrap_or(end);
        let next = [whole.map_or(end, |w| w.0), told.map_or(end, |t| t.0), due].into_iter().min().unwrap();
        now = now.max(next);
        if let Some((_, version)) = whole.filter(|(at, _)| *at <= now) {
            whole = None;
            match version {
                None => follower.on_full_list_failure(now),
                Some(version) => {
                    if follower.on_full_list(version, version, now) == FullListVerdict::Apply {
                        assert!(version >= in_force, "nothing old comes back: {version} after {in_force}");
                        in_force = version;
                    }
                }
            }
        } else if let Some((_, version)) = told.filter(|(at, _)| *at <= now) {
            match version {
                Some(version) => {
                    follower.on_update(version);
                    in_force = version;
                    watch = watch.map(|(fate, since, _)| (fate, since, version));
                }
                None => {
                    watch = None;
                    follower.on_watch_end(now);
                }
            }
        }
        assert_eq!(follower.version().unwrap_or(0), in_force);
        if in_force == 2 {
            return now.saturating_duration_since(start + CHANGE);
        }
    }
    panic!("the change never came in force");
}

/// Five calls of the whole list and three watches, each with every fate: 4^5 x 5^3 orders, at the pace of three settings.
#[test]
fn whatever_becomes_of_calls_a_change_is_in_force_before_it_counts_as_told() {
    let whole_fates = [Fate::Good, Fate::Stalls, Fate::Fails, Fate::Late];
    let watch_fates = [Fate::Good, Fate::Late, Fate::Lies, Fate::Hushes, Fate::Ends];
    let (mut orders, mut slowest) = (0, Duration::ZERO);
    for grace_ms in [200, 500, 2_000] {
        let pace = CallTiming::for_drain_grace(grace_ms * 1_000);
        for number in 0..4_usize.pow(5) * 5_usize.pow(3) {
            let (w, v) = (number % 1_024, number / 1_024);
            let wholes: Vec<Fate> = (0..5).map(|place| whole_fates[w / 4_usize.pow(place) % 4]).collect();
            let watches: Vec<Fate> = (0..3).map(|place| watch_fates[v / 5_usize.pow(place) % 5]).collect();
            let took = play(pace, &wholes, &watches);
            // Of calls in a row that fail, four fit; the fifth would have to follow a good one.
            let failing = wholes.iter().filter(|f| matches!(f, Fate::Stalls | Fate::Fails)).count() as u32;
            assert!(took <= pace.max_apply_time(failing), "{wholes:?} {watches:?}: {took:?}");
            (orders, slowest) = (orders + 1, slowest.max(took));
        }
    }
    assert_eq!(orders, 3 * 128_000);
    assert!(slowest < Duration::from_secs(6), "{slowest:?}");
    println!("{orders} orders, the slowest {slowest:?}");
}

#[test]
fn four_calls_in_a_row_may_fail_within_the_time_that_counts_as_told() {
    for grace_ms in [200, 500, 1_000, 2_000, 60_000] {
        let pace = CallTiming::for_drain_grace(grace_ms * 1_000);
        assert!(pace.max_apply_time(4) <= Duration::from_secs(6), "{grace_ms}: {pace:?}");
    }
}

/// A whole list on its way while the watch tells news: the older one must not undo what is in force.
#[test]
fn a_list_that_was_overtaken_is_asked_for_again() {
    let (now, pace) = (Instant::now(), CallTiming::for_drain_grace(500_000));
    let mut follower = ListSync::new(pace, Some(4), now);
    assert_eq!(follower.next_action(now), Some(Action::OpenWatch(4)));
    let later = now + RESYNC_INTERVAL;
    assert_eq!(follower.next_action(later), Some(Action::FetchList));
    follower.on_update(6);
    assert_eq!(follower.on_full_list(5, 1, later), FullListVerdict::Outdated);
    assert_eq!((follower.version(), follower.next_action(later)), (Some(6), Some(Action::FetchList)));
    assert_eq!(follower.on_full_list(6, 2, later), FullListVerdict::Apply, "its text was not seen before");
    assert_eq!(follower.next_action(later), None, "the watch that told it goes on");
    assert_eq!(follower.next_action(later + RESYNC_INTERVAL), Some(Action::FetchList));
    assert_eq!(follower.on_full_list(6, 2, later), FullListVerdict::Unchanged);
    // A discovery that begins anew counts from a lower version: nothing came meanwhile, so it is no old list.
    assert_eq!(follower.next_action(later + RESYNC_INTERVAL), Some(Action::FetchList));
    assert_eq!(follower.on_full_list(2, 3, later), FullListVerdict::Apply);
    assert_eq!(follower.next_action(later), Some(Action::CloseWatch));
    assert_eq!(follower.next_action(later), Some(Action::OpenWatch(2)));
}
