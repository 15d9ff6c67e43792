//! The way to the primary gets slow, and replicas fall behind: what is served, and from data how old?

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::driver::{config, Driver};
use common::proxy::Proxy;
use common::{eventually, read, write, Discovery, Member, World};

/// What the slow way adds in each direction, in milliseconds.
const LINK_DELAY_MS: u64 = 500;
/// The bound on the age of data of the class `view`, with the slack of sockets, in milliseconds.
const BOUND_MS: u64 = 250;
/// How far an old replica is behind, in milliseconds: it would be fresh if the slow way were a clock that is ahead.
const OLD_MS: u64 = LINK_DELAY_MS + BOUND_MS / 2;
/// How long reads wait, in milliseconds: all alike, so that none counts as a client's repeat.
const READ_WAIT_MS: u32 = 100;

/// A world with a proxy before its leader, whose members have clocks that are so far behind this machine's.
fn world_behind_a_proxy(clock_behind_ms: i64) -> (World, Proxy) {
    let (leader, follower) = (Member::start("s-leader", true), Member::start("s-follower", false));
    for member in [&leader, &follower] {
        member.set(|s| s.clock_behind_ms = clock_behind_ms);
    }
    let proxy = Proxy::before(leader.address);
    let mut reached_through_the_proxy = leader.clone();
    reached_through_the_proxy.address = proxy.address;
    let discovery = Discovery::start(&[reached_through_the_proxy, follower.clone()]);
    let mut settings = config(&discovery);
    // A connection over the slow way still comes up.
    settings["settings"]["limits"]["connectTimeoutUs"] = 2_000_000.into();
    let driver = Driver::start(settings);
    (World { leader, follower, discovery, driver }, proxy)
}

/// Asks writes one after the other.
fn write_some(world: &World, count: usize) {
    let mut client = world.client();
    for _ in 0..count {
        client.ask(&write(4_000));
    }
}

/// Reads that reach the follower while it is so far behind.
fn reads_at_the_follower(world: &World, lag_ms: u64, time: Duration) -> usize {
    world.follower.set(|s| s.lag = Duration::from_millis(lag_ms));
    // What it stated before counts until it is over its bound.
    thread::sleep(Duration::from_millis(BOUND_MS));
    let before = world.follower.queries().len();
    let (mut client, end) = (world.client(), Instant::now() + time);
    while Instant::now() < end {
        client.ask(&read(READ_WAIT_MS));
    }
    world.follower.queries().len() - before
}

/// Guards against: the time that a primary's answers take is held for a clock that is ahead, so that reads are served by
/// replicas that are too far behind.
#[test]
fn a_slow_way_to_the_primary_lets_no_old_replica_in() {
    let (world, proxy) = world_behind_a_proxy(0);
    proxy.delay(LINK_DELAY_MS);
    write_some(&world, 5);
    let stale = reads_at_the_follower(&world, OLD_MS, Duration::from_secs(2));
    assert_eq!(stale, 0, "reads were served from data that was too old");
    assert!(!world.driver.logged("this machine's clock is"));
    // As soon as it has caught up, it is used again.
    world.follower.set(|s| s.lag = Duration::ZERO);
    let before = world.follower.queries().len();
    eventually("reads go to the follower", || {
        world.client().ask(&read(READ_WAIT_MS));
        world.follower.queries().len() > before + 4
    });
}

/// Guards against: the slow way is added to the difference of a clock that is really wrong.
#[test]
fn a_slow_way_adds_nothing_to_a_wrong_clock() {
    for clock_behind_ms in [20_000, -20_000] {
        let (world, proxy) = world_behind_a_proxy(clock_behind_ms);
        proxy.delay(LINK_DELAY_MS);
        eventually("the difference is known", || {
            write_some(&world, 1);
            world.driver.logged("this machine's clock is")
        });
        let stale = reads_at_the_follower(&world, OLD_MS, Duration::from_secs(2));
        assert_eq!(stale, 0, "reads were served from data that was too old, {clock_behind_ms}");
    }
}

/// Guards against: after the members' clocks were set, either way, old replicas are let in, or fresh ones are left out for good.
#[test]
fn clocks_that_are_set_let_no_old_replica_in_and_leave_no_fresh_one_out() {
    for clock_behind_ms in [3_600_000, 20_000, -20_000, -3_600_000] {
        let world = World::start();
        write_some(&world, 5);
        for member in world.members() {
            member.set(|s| s.clock_behind_ms = clock_behind_ms);
        }
        // A primary has told the time since.
        write_some(&world, 1);
        let stale = reads_at_the_follower(&world, 2 * BOUND_MS, Duration::from_secs(2));
        assert_eq!(stale, 0, "reads were served from data that was too old, {clock_behind_ms}");
        world.follower.set(|s| s.lag = Duration::ZERO);
        let before = world.follower.queries().len();
        eventually("reads go to the follower", || {
            let mut client = world.client();
            (0..5).for_each(|_| drop(client.ask(&read(READ_WAIT_MS))));
            world.follower.queries().len() > before + 20
        });
    }
}
