//! Twelve processes of the program over one group of members, with faults between them. What is checked is what members
//! and clients saw, never what drivers say of themselves.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::client::{query, startup};
use common::discovery::entry;
use common::driver::{config, Driver};
use common::links::Links;
use common::{eventually, read, write, Behaviour, Client, Discovery, Member};

const DRIVERS: usize = 12;
/// A bounded read's bound in `config`, and what a member's and a driver's clocks and the way may add.
const BOUND: Duration = Duration::from_millis(200);
const SLACK: Duration = Duration::from_millis(150);

struct Fleet {
    leader: Member,
    followers: Vec<Member>,
    /// Each driver's own agent.
    agents: Vec<Discovery>,
    links: Links,
    configs: Vec<serde_json::Value>,
    drivers: Vec<Driver>,
}

impl Fleet {
    /// All drivers start at the same time from the same list.
    fn start() -> Fleet {
        let leader = Member::start("s-leader", true);
        let followers: Vec<Member> = (0..3).map(|n| Member::start(&format!("s-{n}"), false)).collect();
        let members = [vec![leader.clone()], followers.clone()].concat();
        let agents: Vec<Discovery> = (0..DRIVERS).map(|_| Discovery::start(&members)).collect();
        let mut configs: Vec<_> = agents.iter().map(config).collect();
        let listens: Vec<SocketAddr> =
            configs.iter().map(|c| c["peer_listen"].as_str().unwrap().parse().unwrap()).collect();
        let links = Links::between(&listens);
        for (number, config) in configs.iter_mut().enumerate() {
            config["name"] = format!("n{number}").into();
            config["seed"] = format!("{:016x}", 0x9e37_79b9 * (number as u64 + 1)).into();
            config["settings"]["nInstances"] = DRIVERS.into();
            config["peers"] =
                links.peers[number].iter().map(ToString::to_string).collect::<Vec<String>>().into();
        }
        let drivers = start_all(&configs);
        Fleet { leader, followers, agents, links, configs, drivers }
    }

    fn members(&self) -> Vec<Member> {
        [vec![self.leader.clone()], self.followers.clone()].concat()
    }

    fn probes(&self) -> usize {
        self.members().iter().map(|m| m.set(|s| s.probes)).sum()
    }

    /// Load on these drivers for as long as `fault` takes: a client each, a request every 20 ms, one in eight a write.
    fn under_load(&self, on: &[usize], fault: impl FnOnce()) -> Seen {
        let over = AtomicBool::new(false);
        thread::scope(|scope| {
            let ask = |driver: usize| {
                let (over, address) = (&over, self.drivers[driver].address);
                scope.spawn(move || load(address, over))
            };
            let clients: Vec<_> = on.iter().map(|driver| ask(*driver)).collect();
            // The load ends with the fault, also where a check within it fails.
            let end = EndOf(&over);
            fault();
            drop(end);
            clients.into_iter().map(|c| c.join().unwrap()).fold(Seen::default(), Seen::and)
        })
    }

    /// No effect twice: each write ran at one member, once.
    fn assert_no_effect_twice(&self) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for text in self.members().iter().flat_map(Member::queries).filter(|q| q.contains("INSERT")) {
            let key = text.split("k=").nth(1).unwrap()[..16].to_string();
            *runs.entry(key).or_default() += 1;
        }
        assert!(!runs.is_empty());
        let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "ran more than once: {twice:?}");
    }
}

fn start_all(configs: &[serde_json::Value]) -> Vec<Driver> {
    thread::scope(|scope| {
        let starts: Vec<_> = configs.iter().map(|c| scope.spawn(|| Driver::start(c.clone()))).collect();
        starts.into_iter().map(|s| s.join().unwrap()).collect()
    })
}

/// Ends a load when it is dropped.
struct EndOf<'a>(&'a AtomicBool);

impl Drop for EndOf<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// What clients saw.
#[derive(Debug, Default)]
struct Seen {
    served: usize,
    refused: usize,
    failed: usize,
    /// Connections that ended under a request, without an answer.
    lost: usize,
    /// Answers that came later than their request's time and half a second.
    late: usize,
}

impl Seen {
    fn and(self, other: Seen) -> Seen {
        Seen {
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            lost: self.lost + other.lost,
            late: self.late + other.late,
        }
    }

    /// Every request had its answer in time, and none failed.
    #[track_caller]
    fn assert_answered(&self) {
        assert_eq!((self.lost, self.failed, self.late), (0, 0, 0), "{self:?}");
    }

    /// At least this part of a hundred was served.
    #[track_caller]
    fn assert_served(&self, part: usize) {
        let asked = self.served + self.refused + self.failed + self.lost;
        assert!(self.served * 100 >= asked * part, "{self:?}");
    }
}

fn load(address: SocketAddr, over: &AtomicBool) -> Seen {
    let mut seen = Seen::default();
    let mut client = Client::connect(address);
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let wait_ms = 2000;
        let text = if number % 8 == 0 { write(wait_ms) } else { read(wait_ms) };
        let asked = Instant::now();
        client.send(&query(&text));
        match client.answer() {
            Ok(answer) if answer.is_served() => seen.served += 1,
            Ok(answer) if answer.code.as_deref().is_some_and(|c| ["53300", "57P03"].contains(&c)) => {
                seen.refused += 1
            }
            Ok(_) => seen.failed += 1,
            Err(_) => {
                seen.lost += 1;
                return seen;
            }
        }
        seen.late += usize::from(
            asked.elapsed() > Duration::from_millis(u64::from(wait_ms)) + Duration::from_millis(500),
        );
        thread::sleep(Duration::from_millis(20));
    }
    seen
}

fn everyone() -> Vec<usize> {
    (0..DRIVERS).collect()
}

#[test]
fn drivers_that_start_together_probe_for_each_other() {
    let fleet = Fleet::start();
    // Each for itself they would send 48; shared, 12 on average, with a standard deviation of 3.
    let at_start = fleet.probes();
    assert!(at_start <= 30, "{at_start}");
    let seen = fleet.under_load(&everyone(), || thread::sleep(Duration::from_millis(1500)));
    seen.assert_answered();
    seen.assert_served(99);
    assert!(fleet.links.passed() > 0);
    let idle: Vec<_> = fleet.followers.iter().filter(|m| m.queries().is_empty()).map(|m| &m.name).collect();
    assert!(idle.is_empty(), "no member is left idle: {idle:?}");
    fleet.assert_no_effect_twice();
}

#[test]
fn eight_of_twelve_killed_come_back_with_the_last_list_while_the_others_serve() {
    let mut fleet = Fleet::start();
    let stay: Vec<usize> = (0..4).collect();
    fleet.under_load(&everyone(), || thread::sleep(Duration::from_millis(500)));
    let mut killed = fleet.drivers.split_off(4);
    let seen = fleet.under_load(&stay, || {
        killed.iter().for_each(|d| d.signal("KILL"));
        thread::sleep(Duration::from_millis(500));
    });
    seen.assert_answered();
    killed.iter_mut().for_each(|d| assert!(!d.ended().success()));
    drop(killed);
    let before = fleet.probes();
    let back = start_all(&fleet.configs[4..]);
    // 8 on average, and a few for reads that found nothing fresh; 32 if each for itself.
    let probes = fleet.probes() - before;
    assert!(probes <= 24, "{probes}");
    fleet.drivers.extend(back);
    let seen = fleet.under_load(&everyone(), || thread::sleep(Duration::from_millis(800)));
    seen.assert_answered();
    seen.assert_served(99);
    fleet.assert_no_effect_twice();
}

/// Divided probes are a bargain only as long as the others are heard: without them each finds out for itself.
#[test]
fn drivers_that_do_not_hear_each_other_still_serve_and_send_no_stale_read() {
    let fleet = Fleet::start();
    let (one, other): (Vec<usize>, Vec<usize>) = everyone().into_iter().partition(|n| n % 2 == 0);
    let lagging = &fleet.followers[0];
    let (mut stale, mut used) = (0, 0);
    let seen = fleet.under_load(&everyone(), || {
        thread::sleep(Duration::from_millis(300));
        fleet.links.cut(&one, &other);
        thread::sleep(Duration::from_millis(300));
        fleet.links.cut(&everyone(), &everyone());
        lagging.set(|s| s.lag = Duration::from_secs(60));
        thread::sleep(BOUND + SLACK);
        let before = lagging.queries().len();
        thread::sleep(Duration::from_millis(700));
        stale = lagging.queries().len() - before;
        fleet.links.heal();
        fleet.links.lose_one_of(3);
        lagging.set(|s| s.lag = Duration::ZERO);
        let before = lagging.queries().len();
        thread::sleep(Duration::from_millis(2_500));
        used = lagging.queries().len() - before;
    });
    assert_eq!(stale, 0, "reads sent to a member that is a minute behind");
    assert!(used > 0, "once it has caught up it is used again");
    seen.assert_answered();
    seen.assert_served(98);
    fleet.assert_no_effect_twice();
}

#[test]
fn a_driver_that_was_stopped_does_not_act_on_the_words_it_finds_waiting() {
    let fleet = Fleet::start();
    let others: Vec<usize> = (1..DRIVERS).collect();
    let lagging = &fleet.followers[1];
    let mut stale = 0;
    let seen = fleet.under_load(&others, || {
        thread::sleep(Duration::from_millis(300));
        fleet.drivers[0].signal("STOP");
        let mut client = Client::raw(fleet.drivers[0].address);
        client.send(&startup());
        thread::sleep(Duration::from_millis(700));
        // What the others tell of it until now is in the stopped driver's socket.
        lagging.set(|s| s.lag = Duration::from_secs(60));
        thread::sleep(BOUND + SLACK);
        let before = lagging.queries().len();
        fleet.drivers[0].signal("CONT");
        assert!(client.answer().expect("a welcome").kinds.ends_with('Z'));
        for _ in 0..20 {
            // It may refuse what it can't know the age of, right after a standstill; it may not fail it.
            let answer = client.ask(&read(2000));
            assert!(answer.is_served() || answer.code.as_deref() == Some("53300"), "{answer:?}");
        }
        stale = lagging.queries().len() - before;
    });
    assert_eq!(stale, 0, "reads sent to a member that is a minute behind");
    seen.assert_answered();
}

#[test]
fn a_member_that_all_are_told_of_at_once_is_asked_by_few_and_used_by_the_fleet() {
    let fleet = Fleet::start();
    let joined = Member::start("s-new", false);
    let seen = fleet.under_load(&everyone(), || {
        thread::sleep(Duration::from_millis(300));
        fleet.agents.iter().for_each(|agent| agent.tell(entry(&joined, "ready")));
        eventually("the new one gets reads", || joined.queries().len() > 50);
    });
    seen.assert_answered();
    let probes = joined.set(|s| s.probes);
    assert!(probes <= 2 * DRIVERS, "{probes}");
}

#[test]
fn a_rolling_restart_while_members_are_replaced_loses_nothing_and_keeps_drains() {
    let mut fleet = Fleet::start();
    let mut late_at_drained = 0;
    for step in 0..3 {
        let old = fleet.followers.remove(0);
        let new = Member::start(&format!("s-new-{step}"), false);
        for agent in &fleet.agents {
            agent.tell(entry(&new, "ready"));
            agent.tell(entry(&old, "draining"));
        }
        fleet.followers.push(new);
        let roll: Vec<usize> = (0..4).map(|n| step * 4 + n).collect();
        let stay: Vec<usize> = everyone().into_iter().filter(|n| !roll.contains(n)).collect();
        let seen = fleet.under_load(&stay, || {
            roll.iter().for_each(|n| fleet.drivers[*n].signal("TERM"));
            thread::sleep(Duration::from_millis(500));
            let before = old.queries().len();
            thread::sleep(Duration::from_millis(300));
            late_at_drained += old.queries().len() - before;
        });
        seen.assert_answered();
        for number in roll {
            assert!(fleet.drivers[number].ended().success());
            fleet.configs[number]["known"] = fleet.agents[number].known();
            fleet.drivers[number] = Driver::start(fleet.configs[number].clone());
        }
    }
    assert_eq!(late_at_drained, 0, "sends to a member that has been draining for half a second");
    let seen = fleet.under_load(&everyone(), || thread::sleep(Duration::from_millis(500)));
    seen.assert_served(99);
    assert!(fleet.followers.iter().all(|m| !m.queries().is_empty()), "the new ones carry the reads");
    fleet.assert_no_effect_twice();
}

/// Members cut connections under requests while the drivers are told to end: what was taken is still answered.
#[test]
fn connections_cut_under_requests_at_sigterm_leave_no_request_without_an_answer() {
    let mut fleet = Fleet::start();
    let seen = fleet.under_load(&everyone(), || {
        thread::sleep(Duration::from_millis(200));
        for _ in 0..5 {
            fleet.followers.iter().for_each(|m| m.behave(Behaviour::Close));
            thread::sleep(Duration::from_millis(60));
            fleet.followers.iter().for_each(|m| m.behave(Behaviour::Serve));
            thread::sleep(Duration::from_millis(60));
        }
    });
    assert_eq!((seen.lost, seen.late), (0, 0), "{seen:?}");
    let mut clients: Vec<Client> = fleet.drivers.iter().map(|d| Client::connect(d.address)).collect();
    fleet.followers.iter().for_each(|m| m.behave(Behaviour::Close));
    for (client, driver) in clients.iter_mut().zip(&fleet.drivers) {
        client.send(&query(&read(1000)));
        driver.signal("TERM");
    }
    for client in &mut clients {
        let answer = client.answer().unwrap_or_else(|partial| partial);
        assert!(answer.is_served() || answer.code.is_some(), "{answer:?}");
    }
    for driver in &mut fleet.drivers {
        assert!(driver.ended().success());
    }
}
