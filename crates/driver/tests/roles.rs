//! A group between two primaries: the former one stands still and says so, replicas lag, and what the driver hears of roles is
//! late. No read may be answered from data that is too old.

mod common;

use std::thread;
use std::time::Duration;

use common::discovery::entry;
use common::{eventually, read, unix_ms, write, World};
use serde_json::Value;

/// Long enough for every limit on how long a statement is remembered or repeated.
const LONG: Duration = Duration::from_millis(1_500);

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
