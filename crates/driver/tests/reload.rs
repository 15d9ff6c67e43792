//! New configurations while the program runs (SIGHUP).

mod common;

use std::time::{Duration, Instant};

use common::discovery::entry;
use common::{eventually, read, Client, Discovery, Member, World};

/// Whether the follower gets no reads, over a few of them.
fn is_avoided(world: &World, client: &mut Client) -> bool {
    let before = world.follower.queries().len();
    (0..5).all(|_| client.ask(&read(2000)).is_served()) && world.follower.queries().len() == before
}

#[test]
fn the_list_moves_to_the_address_that_the_file_names() {
    let mut world = World::start();
    // Its first calls fail, and its versions are lower than those of the old address.
    let next = Discovery::start(&[world.leader.clone(), world.follower.clone()]);
    next.set(|s| s.failing = 2);
    world.discovery.tell(entry(&world.follower, "ready"));
    let mut client = world.client();
    world.driver.reload(&world.driver.moved_to(&next).to_string());
    let asked = Instant::now();
    eventually("the new address is watched", || next.set(|s| s.asked.iter().any(|a| a.contains("watch"))));
    assert!(asked.elapsed() < Duration::from_secs(4));
    assert!(next.set(|s| s.asked.contains(&"/v1/endpoints?watch=1&from=1".to_string())));
    // Only the new address counts from now on.
    next.tell(entry(&world.follower, "draining"));
    eventually("reads go to the leader", || is_avoided(&world, &mut client));
    world.discovery.tell(entry(&world.follower, "ready"));
    std::thread::sleep(Duration::from_millis(200));
    assert!(is_avoided(&world, &mut client));
    assert!(world.driver.is_running());
}

#[test]
fn until_the_new_address_answers_the_old_one_is_heeded() {
    let world = World::start();
    let next = Discovery::start(&[world.leader.clone(), world.follower.clone()]);
    next.set(|s| s.silent = true);
    world.driver.reload(&world.driver.moved_to(&next).to_string());
    eventually("the new address is asked", || next.set(|s| !s.asked.is_empty()));
    world.discovery.tell(entry(&world.follower, "draining"));
    let mut client = world.client();
    eventually("reads go to the leader", || is_avoided(&world, &mut client));
    next.set(|s| s.silent = false);
    eventually("the new list is followed", || !is_avoided(&world, &mut client));
}

#[test]
fn a_member_that_only_the_new_address_lists_is_used() {
    let world = World::start();
    let third = Member::start("s-third", false);
    let members = [world.leader.clone(), third.clone()];
    let next = Discovery::at_version(7, &members);
    world.driver.reload(&world.driver.moved_to(&next).to_string());
    let mut client = world.client();
    eventually("it is used", || client.ask(&read(2000)).is_served() && !third.queries().is_empty());
}

#[test]
fn a_file_that_cannot_be_used_changes_nothing() {
    let mut world = World::start();
    let whole = world.driver.config.to_string();
    for text in ["", "{}", "no json", &whole[..whole.len() / 2]] {
        world.driver.reload(text);
    }
    eventually("it is told", || world.driver.logged("the configuration stays as it was"));
    let mut client = world.client();
    assert!(client.ask(&read(2000)).is_served());
    let mut config = world.driver.config.clone();
    config["limits"]["sockets"] = 512.into();
    config["seed"] = "1".into();
    for _ in 0..5 {
        world.driver.reload(&config.to_string());
    }
    eventually("what needs a new start is named", || world.driver.logged("only a new start changes: limits"));
    assert!(client.ask(&read(2000)).is_served());
    world.driver.signal("TERM");
    eventually("the signal is seen", || world.driver.logged("stopping"));
    world.driver.reload(&config.to_string());
    assert!(world.driver.ended().success());
}
