//! Forty-five minutes of trouble in virtual time: what routers keep has its bounds, and is given back.

use beaconshore_emulator::{experiment, play, Brains, Day};

const MINUTES: usize = 45;
/// Sessions in a minute, the time for which a router remembers what one has written.
const SESSIONS: usize = 60 * 60;

fn soak() -> Day {
    let text = "name: 'soak' seconds: 2700 settle_s: 5
        zone { name: 'a' } zone { name: 'b' } zone { name: 'c' }
        groups { count: 4 members: 3 ship_ms: 5 apply_ms: 15 detect_ms: 1500 elect_ms: 1500 }
        class { name: 'view' read: BOUNDED bound_ms: 200 share: 0.8 work_ms: 30 spread: 0.9 aim_ms: 250
                deadline_ms: 1000 worth: 3 }
        class { name: 'record' read: WRITE effect: KEYED window_ms: 3000 share: 0.2 work_ms: 40 spread: 0.9
                aim_ms: 600 deadline_ms: 5000 worth: 4 late_worth: 0.3 }
        clients { rate: 60 retries: 2 sessions: 100000 } routers { per_zone: 1 }
        fault { at_s: 40 for_s: 8 every_s: 150 zone_loss { zone: 'b' share: 0.7 } }
        fault { at_s: 70 for_s: 6 every_s: 110 cut { to: 'c' } }
        fault { at_s: 90 for_s: 20 every_s: 130 lag { times: 30 share: 0.5 } }
        fault { at_s: 100 for_s: 4 every_s: 170 hang { share: 0.2 } }
        fault { at_s: 120 for_s: 5 every_s: 190 drain { share: 0.3 } }
        fault { at_s: 130 for_s: 3 every_s: 210 burst { times: 8 } }
        fault { at_s: 140 for_s: 10 every_s: 230 answer_loss { share: 0.1 } }
        fault { at_s: 150 for_s: 5 every_s: 250 peer_loss { share: 1 } }";
    let plan = experiment::read("soak", text).unwrap_or_else(|e| panic!("{e}"));
    play(&plan, Brains::Plain, 11)
}

#[test]
fn what_routers_keep_is_bounded_and_given_back_over_forty_five_minutes() {
    let day = soak();
    assert_eq!(day.breaches, [], "no rule is broken");
    let kept: Vec<_> = day.seconds[..MINUTES * 60 - 1].iter().map(|s| s.kept).collect();
    // Never more than are listed; those that are gone are forgotten, and known again once they are back.
    let of = |k: &beaconshore::sizes::TableSizes| (k.members, k.groups);
    assert!(kept.iter().all(|k| k.members <= 12 && k.groups <= 4), "{:?}", kept.iter().map(of).max());
    assert!(kept.iter().any(|k| k.members < 12), "some were forgotten");
    assert!(kept[..30].iter().all(|k| of(k) == (12, 4)), "before the first trouble all are known");
    // A request is kept for its deadline at the longest: 12 writes and 48 reads a second over the three routers, their
    // repeats, and eight times as many in a burst.
    let most = kept.iter().map(|k| k.requests).max().unwrap_or(0);
    assert!((1..=8 * (12 * 5 + 48) * 3).contains(&most), "{most}");
    assert!(kept.iter().all(|k| k.sessions <= SESSIONS));
    // Given back: the last ten minutes are no fuller than the first.
    let mean = |part: &[beaconshore::sizes::TableSizes]| {
        part.iter().map(|k| k.requests).sum::<usize>() as f64 / part.len() as f64
    };
    let (first, last) = (mean(&kept[..600]), mean(&kept[kept.len() - 600..]));
    assert!(last < 1.5 * first + 5.0, "{first} requests at first, {last} at last");
    let idle = kept[kept.len() - 600..].iter().filter(|k| k.requests <= 10).count();
    assert!(idle > 300, "between troubles next to nothing is held: {idle} of 600 s");
}
