//! Groups between two primaries, over and over: a primary that was given up comes back as a replica before another takes over,
//! and all that routers hear of roles is late. The reads must not go where data is too old.

use beaconshore_emulator::{experiment, play, Brains, Plan};

const DAY: &str = include_str!("../../../examples/primary-changes.textproto");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=40;

/// The day with one of its lines changed.
fn plan(from: &str, to: &str) -> Plan {
    assert!(DAY.contains(from), "{from} is a part of the day");
    let text = DAY.replacen(from, to, 1);
    experiment::read("primary-changes", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn assert_rules_are_kept(plan: &Plan) {
    for seed in SEEDS {
        let day = play(plan, Brains::Plain, seed);
        assert_eq!(day.breaches, [], "seed {seed}");
    }
}

#[test]
fn no_stale_read_while_primaries_change() {
    assert_rules_are_kept(&plan("purpose", "purpose"));
}

#[test]
fn no_stale_read_while_primaries_change_and_routers_hear_nobody() {
    assert_rules_are_kept(&plan("peer_loss: 0.2", "peers: false"));
}

#[test]
fn no_stale_read_while_primaries_change_and_members_cannot_be_probed() {
    assert_rules_are_kept(&plan("peer_loss: 0.2", "probes: false"));
}

#[test]
fn no_stale_read_while_primaries_change_and_roles_are_listed_later_still() {
    assert_rules_are_kept(&plan("role_ms: 3000", "role_ms: 6000"));
}

#[test]
fn no_stale_read_while_primaries_drain_and_start_again() {
    let drain = "fault { at_s: 5 for_s: 3 every_s: 5 drain { share: 0.4 } }\nfault { at_s: 8";
    assert_rules_are_kept(&plan("fault { at_s: 8", drain));
}
