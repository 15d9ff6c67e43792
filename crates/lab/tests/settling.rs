//! When a fleet counts as settled after an event.

use beaconshore_lab::settling::{settle, Figures};

/// Ordinary seconds, with the whole list in every other one.
fn ordinary(second: usize) -> Figures {
    let bytes = if second.is_multiple_of(2) { 8_000.0 } else { 500.0 };
    Figures { bytes, messages: 12.0, control_us: 900.0, earned: 0.99 }
}

fn day(seconds: usize, change: impl Fn(usize, &mut Figures)) -> Vec<Figures> {
    let second = |at| {
        let mut figures = ordinary(at);
        change(at, &mut figures);
        figures
    };
    (0..seconds).map(second).collect()
}

#[test]
fn what_never_changed_is_settled_at_once_though_lists_come_in_waves() {
    let settled = settle("none", &day(40, |_, _| {}), 20, 3, 40);
    assert_eq!(settled.settled_after, Some(0));
    assert!((settled.bytes_before - 4_250.0).abs() < 1.0, "{}", settled.bytes_before);
}

#[test]
fn a_surge_is_settled_once_it_is_over() {
    let figures = day(60, |at, f| f.messages = if (20..30).contains(&at) { 100.0 } else { f.messages });
    let settled = settle("surge", &figures, 20, 4, 60);
    assert_eq!(settled.settled_after, Some(6));
    assert_eq!((settled.messages_before, settled.messages_worst), (12.0, 100.0));
}

#[test]
fn what_is_earned_no_more_and_what_has_too_little_time_never_settles() {
    let poor = day(60, |at, f| f.earned = if at >= 20 { 0.8 } else { f.earned });
    let settled = settle("poor", &poor, 20, 4, 60);
    assert_eq!((settled.settled_after, settled.earned_worst), (None, 0.8));
    assert_eq!(settle("short", &day(60, |_, _| {}), 20, 4, 26).settled_after, None);
}
