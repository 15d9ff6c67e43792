//! A group between two primaries: the former one stands still and says so, replicas lag, and what the driver hears of roles is
//! late. No read may be answered from data that is too old.

mod common;

use std::thread;
use std::time::Duration;

use beaconshore::interface::Role;
use beaconshore_driver::member::SelfReport;
use common::client::query;
use common::discovery::entry;
use common::driver::{config, Driver};
use common::proxy::Proxy;
use common::{eventually, read, unix_ms, write, Behaviour, Discovery, Member, World};
use serde_json::Value;

/// Long enough for every limit on how long a statement is remembered or repeated.
const LONG: Duration = Duration::from_millis(1_500);

/// Longer than the bound on the age of data.
const SHORT: Duration = Duration::from_millis(300);

/// Positions stand still from now on, and nobody is the primary any more.
fn depose(world: &World) {
    let now = unix_ms();
    for member in world.members() {
        member.set(|s| (s.leader, s.stands_at) = (false, Some(now)));
    }
}

/// Asks a read now and then until the leader has answered it as a follower.
fn tell_the_driver(world: &World) {
    let mut client = world.client();
    eventually("the driver is told that there is no primary", || {
        client.ask(&read(500));
        world.driver.logged("s-leader is not the primary any more")
    });
}

/// Asks reads for this long; none is served.
fn assert_no_read_is_served(world: &World, time: Duration) {
    let mut client = world.client();
    let end = std::time::Instant::now() + time;
    while std::time::Instant::now() < end {
        let answer = client.ask(&read(100));
        assert!(!answer.is_served(), "served from data that is too old: {answer:?}");
    }
}

/// What the list says of the leader, with this role.
fn listed_as(world: &World, role: &str) -> Value {
    let mut listed = entry(&world.leader, "ready");
    listed["role"] = role.into();
    listed
}

#[test]
fn a_list_that_names_a_former_primary_late_gets_it_no_read() {
    let world = World::start();
    // The list has another member's name for the primary, and comes to this one only after its time.
    world.discovery.tell(listed_as(&world, "follower"));
    eventually("writes are served", || world.client().ask(&write(2_000)).is_served());
    depose(&world);
    tell_the_driver(&world);
    thread::sleep(LONG);
    world.discovery.tell(listed_as(&world, "leader"));
    assert_no_read_is_served(&world, LONG);
}

#[test]
fn a_probe_that_denies_the_role_gets_a_former_primary_no_read() {
    let world = World::start();
    world.follower.set(|s| s.lag = Duration::from_secs(5));
    // Its position is as old as the way of its answers is long.
    world.leader.set(|s| s.lag = Duration::from_millis(50));
    let mut client = world.client();
    eventually("the leader serves reads", || {
        client.ask(&read(500));
        world.driver.last_line("sent to").contains("s-leader")
    });
    depose(&world);
    // Requests break off, so that only a probe tells of its role.
    world.leader.behave(Behaviour::CloseUnlessProbed);
    let probes = world.leader.set(|s| s.probes);
    eventually("the leader is probed", || {
        client.ask(&read(100));
        world.leader.set(|s| s.probes) > probes
    });
    thread::sleep(SHORT);
    world.leader.behave(Behaviour::Serve);
    assert_no_read_is_served(&world, LONG);
}

#[test]
fn an_answer_that_arrives_late_does_not_bring_back_a_former_primary() {
    let (leader, follower) = (Member::start("s-leader", true), Member::start("s-follower", false));
    follower.set(|s| s.lag = Duration::from_secs(5));
    let proxy = Proxy::before(leader.address);
    let discovery = Discovery::start(&[leader.clone(), follower.clone()]);
    let mut listed = entry(&leader, "ready");
    listed["hostPort"] = proxy.address.to_string().into();
    discovery.tell(listed);
    let driver = Driver::start(config(&discovery));
    let world = World { leader, follower, discovery, driver };
    let mut client = world.client();
    eventually("the leader serves reads", || client.ask(&read(2_000)).is_served());
    // Two reads at once have two connections kept open.
    let mut early = world.client();
    proxy.hold_next_answer();
    early.send(&query(&read(4_000)));
    eventually("its answer is held back", || proxy.is_holding());
    thread::sleep(Duration::from_millis(10));
    depose(&world);
    tell_the_driver(&world);
    thread::sleep(SHORT);
    proxy.release();
    let answer = early.answer().expect("an answer");
    assert!(answer.is_served(), "it was sent before the driver was told: {answer:?}");
    assert_no_read_is_served(&world, LONG);
}

/// Guards against: the role in an answer to a probe waits, with its position, until the clocks are compared.
#[test]
fn a_probe_that_denies_the_role_right_after_the_start_gets_a_former_primary_no_read() {
    for _ in 0..3 {
        let (former, follower) = (Member::start("s-leader", true), Member::start("s-follower", false));
        // The list goes on to name the member that was the primary.
        let discovery = Discovery::start(&[former.clone(), follower.clone()]);
        let stands_at = unix_ms() - 5_000;
        for member in [&former, &follower] {
            member.set(|s| (s.leader, s.stands_at) = (false, Some(stands_at)));
        }
        let driver = Driver::start(config(&discovery));
        let world = World { leader: former, follower, discovery, driver };
        eventually("the former primary is probed", || world.leader.set(|s| s.probes) > 0);
        // What an answer tells is known 100 ms after it was written.
        thread::sleep(Duration::from_millis(150));
        assert_no_read_is_served(&world, LONG);
        assert_eq!(world.queries(), 0, "no read is sent");
    }
}

#[test]
fn half_an_answer_tells_only_that_a_member_is_no_primary() {
    let report = |role: &[u8], flag: &str| {
        let mut report = SelfReport::default();
        report.record_value(b"node_role", role);
        report.record_value(b"replay_position", b"1767225600123");
        report.record_value(b"server_load", format!("x0=1767225600.123,x1={flag}").as_bytes());
        report.denial()
    };
    let denied = report(b"follower", "0");
    assert_eq!((denied.status.role, denied.report.role), (Some(Role::Replica), Some(Role::Replica)));
    let claimed = report(b"leader", "1");
    assert_eq!((claimed.status.role, claimed.report.role), (None, None));
    for credible in [denied, claimed] {
        assert_eq!((credible.status.position, credible.report.position), (None, None));
    }
}

#[test]
fn a_role_in_a_load_report_goes_with_the_position_there() {
    let mut probed = SelfReport::default();
    probed.record_value(b"replay_position", b"1767225609000");
    probed.record_value(b"server_load", b"x0=1767225600,x1=1");
    let report = probed.to_report();
    assert_eq!((report.role, report.position), (Some(Role::Primary), Some(1_767_225_600_000_000)));
    probed.record_value(b"node_role", b"follower");
    let report = probed.to_report();
    assert_eq!((report.role, report.position), (Some(Role::Replica), Some(1_767_225_609_000_000)));
}

#[test]
fn a_replica_that_answers_before_the_primary_is_used_right_after_the_start() {
    let prepare = |member: &Member| {
        member.set(|s| s.welcome_pause = Duration::from_millis(if s.leader { 30 } else { 0 }));
    };
    for _ in 0..5 {
        let world = World::prepared(prepare, |_| {});
        let mut client = world.client();
        assert!((0..3).all(|_| client.ask(&read(2_000)).is_served()));
        assert!(world.follower.queries().len() >= 3, "all reads but the first few go to the follower");
    }
}
