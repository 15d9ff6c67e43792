//! What a long service must not leave behind: members, connections, ids, reloads.

mod common;

use std::time::Duration;

use common::discovery::entry;
use common::{eventually, read, Client, Discovery, Member, World};

/// A figure of the line that says what the driver held at its end.
fn held(world: &World, name: &str) -> usize {
    let line = world.driver.last_line("holds:");
    let figure = line.split(' ').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
    figure.and_then(|f| f.parse().ok()).unwrap_or_else(|| panic!("no {name} in {line:?}"))
}

#[test]
fn members_that_leave_for_good_leave_nothing_behind() {
    let mut world = World::start();
    let mut client = world.client();
    let before = world.driver.descriptors();
    for round in 0..40 {
        let next = Member::start(&format!("s-{round}"), false);
        world.discovery.tell(entry(&next, "ready"));
        eventually("the new one is used", || {
            assert!(client.ask(&read(2000)).is_served());
            !next.queries().is_empty()
        });
        world.discovery.tell(entry(&next, "draining"));
        world.discovery.tell(entry(&next, "gone"));
        eventually("its connections are closed", || next.set(|s| s.open) == 0);
    }
    eventually("descriptors are given back", || world.driver.descriptors() <= before + 2);
    assert!(client.ask(&read(2000)).is_served());
    world.driver.signal("TERM");
    assert!(world.driver.ended().success());
    eventually("what it held is logged", || world.driver.logged("holds:"));
    assert_eq!((held(&world, "members"), held(&world, "groups")), (2, 1));
}

/// An id that comes back is a member like any other.
#[test]
fn a_member_that_left_and_comes_back_is_used_again() {
    let world = World::start();
    let mut client = world.client();
    world.discovery.tell(entry(&world.follower, "gone"));
    eventually("its connections are closed", || world.follower.set(|s| s.open) == 0);
    let before = world.follower.queries().len();
    world.discovery.tell(entry(&world.follower, "ready"));
    eventually("it is used again", || {
        client.ask(&read(2000)).is_served() && world.follower.queries().len() > before
    });
}

#[test]
fn clients_and_what_they_asked_for_leave_nothing_behind() {
    let mut world = World::start();
    let before = world.driver.descriptors();
    for _ in 0..300 {
        assert!(world.client().ask(&read(2000)).is_served());
    }
    let mut client = world.client();
    for group in 100..150 {
        client.ask(&read(20).replace("cluster=0", &format!("cluster={group}")));
    }
    drop(client);
    eventually("descriptors are given back", || world.driver.descriptors() <= before + 2);
    // Ids are kept a while beyond their requests, and dropped with a later one.
    std::thread::sleep(Duration::from_millis(2100));
    let mut client = world.client();
    assert!(client.ask(&read(2000)).is_served());
    assert!(client.ask(&read(2000)).is_served());
    world.driver.signal("TERM");
    assert!(world.driver.ended().success());
    eventually("what it held is logged", || world.driver.logged("holds:"));
    assert!(held(&world, "ids") <= 2, "{}", held(&world, "ids"));
    assert_eq!((held(&world, "requests"), held(&world, "clients"), held(&world, "groups")), (0, 0, 1));
}

#[test]
fn reloads_leave_nothing_behind() {
    let world = World::start();
    let members = [world.leader.clone(), world.follower.clone()];
    let others = [Discovery::start(&members), Discovery::start(&members)];
    let moves = |to: &Discovery| {
        let watches = || to.set(|s| s.asked.iter().filter(|a| a.contains("watch")).count());
        let before = watches();
        world.driver.reload(&world.driver.moved_to(to).to_string());
        eventually("the new address is watched", || watches() > before);
    };
    moves(&others[0]);
    let before = world.driver.descriptors();
    for round in 1..10 {
        moves(&others[round % 2]);
    }
    eventually("old watches are closed", || world.driver.descriptors() <= before + 1);
    let mut client = Client::connect(world.driver.address);
    assert!(client.ask(&read(2000)).is_served());
}
