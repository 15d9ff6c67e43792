//! Zones, planned for as an operator's file says: three stand-in zones under open load, of which the driver's own
//! is lost and restored. And what becomes of files that can't be used.

mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::discovery::entry;
use common::driver::{config, spawn_for, Driver};
use common::{eventually, read, Behaviour, Client, Discovery, Member};
use serde_json::json;

const OPERATOR: &str = "zones {
    zone { name: 'a' capacity: 4 routers: 1 } zone { name: 'b' capacity: 4 } zone { name: 'c' capacity: 4 }
    silence_ms: 300 dwell_ms: 200 hold_ms: 500 proof: 4
}";

/// Two groups, each with its leader in zone b and followers in a and c.
struct Zones {
    a: Vec<Member>,
    b: Vec<Member>,
    c: Vec<Member>,
    driver: Driver,
    _discovery: Discovery,
}

impl Zones {
    fn start(operator: Option<&str>) -> Zones {
        let zone = |name: &str| -> Vec<Member> {
            (0..2).map(|cell| Member::start(&format!("s-{name}{cell}"), name == "b")).collect()
        };
        let (a, b, c) = (zone("a"), zone("b"), zone("c"));
        let all: Vec<Member> = [&a[..], &b, &c].concat();
        let discovery = Discovery::start(&all);
        for (name, members) in [("a", &a), ("b", &b), ("c", &c)] {
            for (cell, member) in members.iter().enumerate() {
                let mut entry = entry(member, "ready");
                (entry["zone"], entry["cell"]) = (json!(name), json!(cell));
                discovery.tell(entry);
            }
        }
        let mut config = config(&discovery);
        config["settings"]["zones"] = json!(["a", "b", "c"]);
        // Who was dropped counts as cold for this long.
        config["settings"]["rules"]["warmWithinUs"] = json!(3_000_000);
        let driver = Driver::operated(config, operator);
        let zones = Zones { a, b, c, driver, _discovery: discovery };
        let mut client = Client::connect(zones.driver.address);
        for cell in 0..2 {
            eventually("reads are served", || client.ask(&read_of(cell)).is_served());
        }
        zones
    }

    fn queries(members: &[Member]) -> usize {
        members.iter().map(|m| m.queries().len()).sum()
    }

    fn behave(members: &[Member], behaviour: Behaviour) {
        members.iter().for_each(|m| m.behave(behaviour));
    }
}

fn read_of(cell: usize) -> String {
    read(1000).replace("cluster=0", &format!("cluster={cell}"))
}

/// Open load: each of ten clients asks every 100 ms by the clock, however long an answer takes. Yields when each
/// request was due, and whether it was served.
fn load(driver: &Driver, lasts: Duration) -> Vec<(Duration, bool)> {
    let (start, found) = (Instant::now(), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..10)
        .map(|i| {
            let (address, found) = (driver.address, found.clone());
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let mut due = Duration::from_millis(10 * i);
                while due < lasts {
                    thread::sleep(due.saturating_sub(start.elapsed()));
                    let served = client.ask(&read_of(i as usize % 2)).is_served();
                    found.lock().unwrap().push((due, served));
                    due += Duration::from_millis(100);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
    let mut found = found.lock().unwrap().clone();
    found.sort();
    found
}

/// The share that was served of what was due within these seconds.
fn served(found: &[(Duration, bool)], from: f64, to: f64) -> f64 {
    let within = found.iter().filter(|(due, _)| (from..to).contains(&due.as_secs_f64()));
    let all: Vec<bool> = within.map(|(_, served)| *served).collect();
    all.iter().filter(|served| **served).count() as f64 / all.len().max(1) as f64
}

#[test]
fn a_zone_that_is_lost_is_passed_over_and_led_back_in_steps() {
    let zones = Zones::start(Some(OPERATOR));
    thread::scope(|scope| {
        let loaded = scope.spawn(|| load(&zones.driver, Duration::from_secs(20)));
        thread::sleep(Duration::from_secs(2));
        let usual = Zones::queries(&zones.a);
        assert!(usual > 100, "{usual} reads in its own zone");
        Zones::behave(&zones.a, Behaviour::Silent);
        eventually("the zone is lost", || zones.driver.logged("zone a lost: 2 of 2 members fail"));
        thread::sleep(Duration::from_millis(500));
        let lost = Zones::queries(&zones.a);
        thread::sleep(Duration::from_secs(2));
        let tests = Zones::queries(&zones.a) - lost;
        assert!(tests <= 10, "{tests} reads to the zone that is lost");
        Zones::behave(&zones.a, Behaviour::Serve);
        eventually("the way back begins", || zones.driver.logged("zone a answers again"));
        let returned = Zones::queries(&zones.a);
        thread::sleep(Duration::from_millis(300));
        let first = Zones::queries(&zones.a) - returned;
        assert!(first <= 15, "{first} of some 30 reads in its first 0.3 s");
        eventually("the zone is back", || zones.driver.logged("zone a is back"));
        thread::sleep(Duration::from_secs(3));
        let back = Zones::queries(&zones.a);
        thread::sleep(Duration::from_secs(1));
        let after = Zones::queries(&zones.a) - back;
        assert!(after > 50, "{after} reads in a second once it is back and warm");
        let found = loaded.join().unwrap();
        assert!(found.len() > 1_900, "{} requests", found.len());
        assert_eq!(served(&found, 0.0, 1.9), 1.0, "before the loss");
        let since = served(&found, 4.5, 20.0);
        assert!(since > 0.98, "{since} served from 2.5 s after the loss on");
    });
    // No one was asked for what it does not have: writes' members got reads only while no follower was there.
    assert!(Zones::queries(&zones.c) > Zones::queries(&zones.b));
    assert!(!zones.driver.counts().contains("breaches"), "{}", zones.driver.counts());
}

#[test]
fn without_an_operators_file_nothing_is_planned() {
    let zones = Zones::start(None);
    Zones::behave(&zones.a, Behaviour::Silent);
    let found = load(&zones.driver, Duration::from_secs(3));
    assert!(!found.is_empty());
    assert!(!zones.driver.logged("zone a"), "no word of zones");
}

#[test]
fn an_operators_file_that_cannot_be_meant_ends_it_with_its_place() {
    let discovery = Discovery::start(&[Member::start("s-1", true)]);
    let text = config(&discovery).to_string();
    let path = std::env::temp_dir().join(format!("beaconshore-bad-{}.textproto", std::process::id()));
    for (operator, expected) in [
        (
            "zones {\n  zone { name: 'q' }\n}",
            ":2:10: zones.zone[0].name: no zone \"q\"; the settings name a, b",
        ),
        ("zones { spill_share: 2 }", ":1:9: zones.spill_share: is 2, must be from 0 to 1"),
        ("zoness { }", ":1:1: "),
    ] {
        use std::io::Read;
        std::fs::write(&path, operator).unwrap();
        let (mut child, file) = spawn_for(&text, None, Some(&path));
        let mut said = String::new();
        child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
        assert_eq!(child.wait().unwrap().code(), Some(2), "{operator}");
        assert!(said.contains(&format!("{}{expected}", path.display())), "{said}");
        let _ = std::fs::remove_file(file);
    }
    std::fs::remove_file(path).unwrap();
}
