//! Tests which updates a router sends to the others, and when (`docs/design/probe-sharing.md`).

use beaconshore::interface::{Limits, MemberId, MemberUpdate, Micros, Settings};
use beaconshore::policy::broadcast::Broadcast;

const MS: Micros = 1_000;
const START: Micros = 1_000_000 * MS;
const BOUND: Micros = 200 * MS;

fn broadcast() -> Broadcast {
    let limits = Limits { peer_messages: true, ..Limits::default() };
    Broadcast::new(&Settings { limits, ..Settings::default() }, BOUND, START)
}

fn update() -> MemberUpdate {
    MemberUpdate { member: MemberId(1), position: START, role: None }
}

/// Returns the number of messages sent within `duration`, with an update every 10 ms and messages from peers
/// at the given interval.
fn messages_sent(broadcast: &mut Broadcast, duration: Micros, peer_message_every: Option<Micros>) -> usize {
    let times = (0..duration / (10 * MS)).map(|i| START + i * 10 * MS);
    let send_due = |now: Micros| {
        broadcast.add(update());
        if peer_message_every.is_some_and(|every| (now - START).is_multiple_of(every)) {
            broadcast.on_peer_message(now);
        }
        usize::from(broadcast.take_due(now).is_some())
    };
    times.map(send_due).sum()
}

#[test]
fn a_connected_router_sends_at_once_and_an_isolated_one_collects() {
    assert_eq!(messages_sent(&mut broadcast(), 4_000 * MS, Some(900 * MS)), 400);
    // At once during the first second, then twice a second.
    let isolated = messages_sent(&mut broadcast(), 4_000 * MS, None);
    assert!((101..=108).contains(&isolated), "{isolated}");
}

#[test]
fn the_first_peer_message_ends_collecting_and_no_update_is_lost() {
    let mut broadcast = broadcast();
    let now = START + 2_000 * MS;
    broadcast.add(update());
    assert_eq!(broadcast.take_due(now).map(|w| w.len()), Some(1));
    broadcast.add(update());
    broadcast.add(update());
    assert_eq!(broadcast.take_due(now + 10 * MS), None);
    broadcast.on_peer_message(now + 20 * MS);
    assert_eq!(broadcast.take_due(now + 20 * MS).map(|w| w.len()), Some(2));
    assert_eq!(broadcast.take_due(now + 30 * MS), None, "no update is sent twice");
}

#[test]
fn a_position_is_news_as_soon_as_others_would_probe_again() {
    let (broadcast, now) = (broadcast(), START);
    let is_news_after = |age: Micros, known: bool, shared: Micros| {
        broadcast.is_news(now - age * MS, known, now - shared * MS, now)
    };
    assert_eq!([99, 101].map(|shared| is_news_after(5, false, shared)), [false, true]);
    assert_eq!([499, 501].map(|shared| is_news_after(5, true, shared)), [false, true]);
    // 2 s behind: after half a second; far behind: after a second.
    assert_eq!([499, 501].map(|shared| is_news_after(2_000, false, shared)), [false, true]);
    assert_eq!([999, 1_001].map(|shared| is_news_after(60_000, false, shared)), [false, true]);
    // A position just past the bound is sent as often as before.
    assert_eq!([99, 101].map(|shared| is_news_after(201, false, shared)), [false, true]);
    let without_messages = Broadcast::new(&Settings::default(), BOUND, START);
    assert!(
        !without_messages.is_news(now, false, 0, now),
        "nothing is sent where the site permits no messages"
    );
}
