//! Hollow drivers beside processes of the program: that they cost and send the same, and what gossip does to a growing
//! fleet. Counts and shapes are checked, never wall time.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};
use std::{env, fs, process};

use beaconshore_emulator::experiment;
use beaconshore_emulator::plan::SECOND;
use beaconshore_gossip::Policy;
use beaconshore_rig::{run_fleet, Fleet, Outcome, Program};
use beaconshore_scale::{process_sample, Costs, HollowHost, Sample};

/// Days are played one after the other: side by side they would make each other late on a small machine.
static ONE_DAY: Mutex<()> = Mutex::new(());
const ZONES: usize = 3;
/// Threads for hollow drivers.
const THREADS: usize = 2;
/// Descriptors that the test runner itself may take meanwhile.
const SPARE: usize = 8;

/// A day to play.
struct Day<'d> {
    name: &'d str,
    seconds: u32,
    drivers: usize,
    /// Processes among them.
    processes: usize,
    databases: usize,
    /// Requests a second and driver.
    rate: usize,
    gossip: Option<Policy>,
    faults: &'d str,
}

/// What a day came to.
struct Played {
    outcome: Outcome,
    samples: Vec<Sample>,
    folder: PathBuf,
}

impl Day<'_> {
    fn text(&self) -> String {
        let (groups, per_zone) = (self.databases / 5, self.drivers / ZONES);
        let rate = self.rate * self.drivers;
        format!(
            "name: '{}' seconds: {} settle_s: 2 zone {{ name: 'a' }} zone {{ name: 'b' }} zone {{ name: 'c' }}
            groups {{ count: {groups} members: 5 ship_ms: 5 apply_ms: 5 detect_ms: 500 elect_ms: 500 }}
            members {{ cores: 8 connections: 2000 }}
            class {{ name: 'view' read: BOUNDED bound_ms: 200 share: 0.85 work_ms: 2 aim_ms: 250 deadline_ms: 1000 worth: 3 }}
            class {{ name: 'record' read: WRITE effect: KEYED window_ms: 3000 share: 0.15 work_ms: 3 aim_ms: 600
                    deadline_ms: 3000 worth: 4 late_worth: 0.3 }}
            clients {{ rate: {rate} }} routers {{ per_zone: {per_zone} }}
            discovery {{ least_ms: 50 most_ms: 400 silent_ms: 800 role_ms: 300 }} rules {{ warm_ms: 3000 }} {}",
            self.name, self.seconds, self.faults
        )
    }

    fn play(&self) -> Played {
        let _alone = ONE_DAY.lock().unwrap_or_else(PoisonError::into_inner);
        let plan = experiment::read(self.name, &self.text()).unwrap_or_else(|e| panic!("{e}"));
        let before = descriptors();
        let folder = env::temp_dir().join(format!("beaconshore-scale-{}-{}", process::id(), self.name));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let operator = folder.join("operator.textproto");
        let gossip = if self.gossip.is_some() { "gossip {}" } else { "" };
        fs::write(&operator, format!("accounting: true {gossip}")).unwrap();
        let path = PathBuf::from(env!("CARGO_BIN_EXE_beaconshore"));
        let program = Program { path, operator: Some(operator), logs: Some(folder.clone()) };
        let (sender, events) = async_channel::unbounded();
        let host = HollowHost::new(THREADS, self.gossip, &sender);
        let fleet = Fleet {
            program: &program,
            processes_per_zone: self.processes / ZONES,
            embedded: Some((&host, events)),
            broadcast: false,
            progress: &|_| {},
        };
        let outcome = run_fleet(&plan, 7, fleet, &AtomicBool::new(false)).expect("the day is played");
        let samples = host.finish();
        let after = descriptors();
        assert!(after <= before + SPARE, "{before} descriptors before the day, {after} after it");
        Played { outcome, samples, folder }
    }
}

/// Descriptors that this process holds.
fn descriptors() -> usize {
    fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}

impl Played {
    /// Costs a second and hollow driver, over the seconds after the fleet has started.
    fn mean(&self) -> Costs {
        let plan = &self.outcome.plan;
        let from = (plan.settle / SECOND) as f64 + 3.0;
        let counts = |s: &&Sample| {
            let at = s.at.checked_duration_since(self.outcome.began).map_or(0.0, |d| d.as_secs_f64());
            at >= from && at <= plan.seconds() as f64
        };
        let samples: Vec<&Sample> = self.samples.iter().filter(counts).collect();
        assert!(!samples.is_empty(), "hollow drivers ran");
        let sum = samples.iter().fold(Costs::default(), |sum, s| sum.combine(&s.costs, |a, b| a + b));
        sum.combine(&sum, |a, _| a / samples.len() as f64)
    }

    /// The same of each process, as its log tells.
    fn processes(&self) -> Vec<Costs> {
        let is_log = |path: &PathBuf| path.extension().is_some_and(|end| end == "log");
        let logs = fs::read_dir(&self.folder).unwrap().map(|entry| entry.unwrap().path()).filter(is_log);
        logs.map(|log: PathBuf| read_log(&log)).collect()
    }

    #[track_caller]
    fn assert_kept(&self) {
        let breaches: Vec<String> = self.outcome.day.breaches.iter().map(ToString::to_string).collect();
        assert!(breaches.is_empty(), "{breaches:?}; the rig was late by {:?}", self.outcome.behind);
    }
}

impl Drop for Played {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn read_log(log: &Path) -> Costs {
    process_sample(log).unwrap_or_else(|e| panic!("{e}"))
}

const QUIET: Day = Day {
    name: "",
    seconds: 8,
    drivers: 30,
    processes: 0,
    databases: 25,
    rate: 20,
    gossip: None,
    faults: "",
};

#[test]
fn a_hollow_driver_sends_and_receives_what_a_process_does() {
    let day = Day { name: "alike", seconds: 30, drivers: 12, processes: 6, ..QUIET };
    let played = day.play();
    played.assert_kept();
    assert!(played.outcome.day.score() > 0.95, "{}", played.outcome.day.score());
    let (hollow, processes) = (played.mean(), played.processes());
    assert_eq!(processes.len(), 6);
    let process = |of: fn(&Costs) -> f64| processes.iter().map(of).sum::<f64>() / processes.len() as f64;
    type Figure = fn(&Costs) -> f64;
    let figures: [(&str, Figure); 6] = [
        ("datagrams received", |c| c.datagrams_received),
        ("bytes of messages", Costs::peer_bytes),
        ("bytes sent to the agent", |c| c.list_bytes_sent),
        ("bytes of the list", |c| c.list_bytes_received),
        ("calls of the agent", |c| c.list_calls),
        ("requests", |c| c.requests),
    ];
    for (name, of) in figures {
        let (hollow, process) = (of(&hollow), process(of));
        assert!(process > 0.0, "{name}");
        assert!(
            (hollow / process - 1.0).abs() < 0.1,
            "{name}: {hollow:.2} hollow, {process:.2} in processes"
        );
    }
}

#[test]
fn bytes_of_messages_stay_flat_from_30_to_60_drivers_by_gossip() {
    let bytes = |name, drivers, gossip| {
        let played = Day { name, drivers, gossip, ..QUIET }.play();
        played.assert_kept();
        assert!(played.outcome.day.score() > 0.95, "{name}: {}", played.outcome.day.score());
        played.mean().peer_bytes()
    };
    let gossip = Some(Policy::default());
    let (small, large) = (bytes("gossip-30", 30, gossip), bytes("gossip-60", 60, gossip));
    assert!((large / small - 1.0).abs() < 0.15, "{small:.0} bytes with 30 drivers, {large:.0} with 60");
    assert!(small <= 2_048.0 && large <= 2_048.0, "{small:.0}, {large:.0}");
    let all_to_all = bytes("all-to-all-30", 30, None);
    assert!(all_to_all > 2.0 * small, "{all_to_all:.0} bytes all to all, {small:.0} by gossip");
}

#[test]
fn processes_that_gossip_keep_every_rule_while_links_drop_and_zones_fall() {
    let faults = "fault { at_s: 4 for_s: 2 zone_loss { zone: 'b' routers: true } }
        fault { at_s: 8 for_s: 3 peer_loss { share: 0.3 } }
        fault { at_s: 9 for_s: 2 cut { from: 'a' to: 'b' to: 'c' } }
        fault { at_s: 9 for_s: 2 cut { from: 'b' from: 'c' to: 'a' } }
        fault { at_s: 14 for_s: 2 standstill { share: 0.3 } }
        fault { at_s: 17 for_s: 1.5 router_loss { share: 0.4 } }";
    let gossip = Some(Policy::default());
    let day = Day {
        name: "faults",
        seconds: 24,
        drivers: 12,
        processes: 12,
        databases: 15,
        gossip,
        faults,
        ..QUIET
    };
    let played = day.play();
    played.assert_kept();
    let second = |from, to| {
        let lead = (played.outcome.plan.settle / SECOND) as usize - 2;
        played.outcome.day.score_between(lead + from, lead + to)
    };
    assert!(second(2, 4) > 0.97, "before: {}", second(2, 4));
    assert!(second(21, 24) > 0.95, "once all is over: {}", second(21, 24));
    assert!(played.outcome.passed > 0 && played.outcome.lost > 0, "some were lost, some arrived");
}

#[test]
fn hollow_drivers_that_are_killed_stand_still_or_leave_come_back() {
    let faults = "fault { at_s: 3 for_s: 1.5 router_loss { share: 0.5 } }
        fault { at_s: 8 for_s: 2 standstill { share: 0.3 } }
        fault { at_s: 12 for_s: 2 router_loss { share: 0.3 planned: true } }";
    let played = Day { name: "back", seconds: 20, faults, ..QUIET }.play();
    played.assert_kept();
    let last = played.samples.iter().map(|s| s.at).max().expect("samples");
    let at_the_end = |s: &&Sample| last.duration_since(s.at).as_secs_f64() < 0.9;
    let mut routers: Vec<usize> = played.samples.iter().filter(at_the_end).map(|s| s.router).collect();
    routers.sort_unstable();
    routers.dedup();
    assert_eq!(routers.len(), 30, "all of them run at the end");
    let lead = (played.outcome.plan.settle / SECOND) as usize - 2;
    let score = played.outcome.day.score_between(lead + 17, lead + 20);
    assert!(score > 0.95, "{score}");
}
