//! What a router tells the others, and when (`docs/design/probe-sharing.md`).

use beaconshore::interface::{Limits, MemberId, MemberUpdate, Micros, Settings};
use beaconshore::policy::broadcast::Broadcast;

const MS: Micros = 1_000;
const START: Micros = 1_000_000 * MS;
const BOUND: Micros = 200 * MS;

fn broadcast() -> Broadcast {
    let limits = Limits { peer_messages: true, ..Limits::default() };
    Broadcast::new(&Settings { limits, ..Settings::default() }, BOUND, START)
}

fn word() -> MemberUpdate {
    MemberUpdate { member: MemberId(1), position: START, role: None }
}

/// How often something is told in this time, with news every 10 ms and others heard as often as this.
fn told(broadcast: &mut Broadcast, lasts: Micros, heard_every: Option<Micros>) -> usize {
    let times = (0..lasts / (10 * MS)).map(|i| START + i * 10 * MS);
    let tell = |now: Micros| {
        broadcast.add(word());
        if heard_every.is_some_and(|every| (now - START).is_multiple_of(every)) {
            broadcast.on_peer_message(now);
        }
        usize::from(broadcast.take_due(now).is_some())
    };
    times.map(tell).sum()
}

#[test]
fn who_hears_others_tells_at_once_and_who_hears_nobody_gathers() {
    assert_eq!(told(&mut broadcast(), 4_000 * MS, Some(900 * MS)), 400);
    // The first second at once, then twice a second.
    let deaf = told(&mut broadcast(), 4_000 * MS, None);
    assert!((101..=108).contains(&deaf), "{deaf}");
}

#[test]
fn the_first_that_is_heard_ends_the_gathering_and_no_word_is_lost() {
    let mut broadcast = broadcast();
    let now = START + 2_000 * MS;
    broadcast.add(word());
    assert_eq!(broadcast.take_due(now).map(|w| w.len()), Some(1));
    broadcast.add(word());
    broadcast.add(word());
    assert_eq!(broadcast.take_due(now + 10 * MS), None);
    broadcast.on_peer_message(now + 20 * MS);
    assert_eq!(broadcast.take_due(now + 20 * MS).map(|w| w.len()), Some(2));
    assert_eq!(broadcast.take_due(now + 30 * MS), None, "nothing is told twice");
}

#[test]
fn a_word_is_news_as_soon_as_others_would_ask_again() {
    let (broadcast, now) = (broadcast(), START);
    let news = |age: Micros, known: bool, shared: Micros| {
        broadcast.is_news(now - age * MS, known, now - shared * MS, now)
    };
    assert_eq!([99, 101].map(|shared| news(5, false, shared)), [false, true]);
    assert_eq!([499, 501].map(|shared| news(5, true, shared)), [false, true]);
    // 2 s behind: half a second; far behind: a second.
    assert_eq!([499, 501].map(|shared| news(2_000, false, shared)), [false, true]);
    assert_eq!([999, 1_001].map(|shared| news(60_000, false, shared)), [false, true]);
    // What has just gone stale is told as before.
    assert_eq!([99, 101].map(|shared| news(201, false, shared)), [false, true]);
    let silent = Broadcast::new(&Settings::default(), BOUND, START);
    assert!(!silent.is_news(now, false, 0, now), "where the site permits no messages nothing is told");
}
