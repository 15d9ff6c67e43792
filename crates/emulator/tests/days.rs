//! Whole days: the same seed gives the same day, calm days keep every rule, and files that can't be meant are
//! refused where they stand.

use beaconshore_emulator::{experiment, play, Brains, Plan};

const BASE: &str = r#"
name: "base" purpose: "test" seconds: 20 settle_s: 3
zone { name: "a" } zone { name: "b" } zone { name: "c" }
groups { count: 3 members: 3 apply_ms: 10 }
class { name: "view" read: BOUNDED bound_ms: 200 share: 0.8 work_ms: 30 aim_ms: 250 deadline_ms: 1000 worth: 3 }
class {
  name: "log" read: WRITE effect: KEYED window_ms: 3000
  share: 0.2 work_ms: 30 aim_ms: 600 deadline_ms: 5000 worth: 4 late_worth: 0.3
}
clients { rate: 150 }
routers { per_zone: 1 }
zones { zone { name: "a" capacity: 9 routers: 1 } zone { name: "b" capacity: 9 routers: 1 } }
"#;

fn plan(more: &str) -> Plan {
    experiment::read("test.textproto", &format!("{BASE}{more}")).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let plan = plan("fault { at_s: 6 for_s: 5 zone_loss { zone: 'c' silent: true } }");
    for brains in Brains::ALL {
        let day = play(&plan, brains, 7);
        assert_eq!(day, play(&plan, brains, 7), "{}", brains.name());
        assert_ne!(day, play(&plan, brains, 8), "{}", brains.name());
    }
}

#[test]
fn arrivals_do_not_depend_on_who_decides() {
    let plan = plan("fault { at_s: 6 for_s: 5 zone_loss { zone: 'c' } }");
    let asked = |brains| {
        let day = play(&plan, brains, 3);
        // Of what came last, some has no answer when the day ends.
        day.seconds[..14].iter().map(|s| s.stories).collect::<Vec<_>>()
    };
    let expected = asked(Brains::Oracle);
    assert!(expected.iter().sum::<u32>() > 1_000);
    for brains in Brains::ALL {
        assert_eq!(asked(brains), expected, "{}", brains.name());
    }
}

#[test]
fn a_calm_day_is_served_whole_by_router_and_oracle() {
    let plan = plan("");
    for brains in [Brains::Planned, Brains::Plain, Brains::Oracle] {
        for seed in 1..=3 {
            let day = play(&plan, brains, seed);
            assert_eq!(day.breaches, [], "{}", brains.name());
            assert!(day.score() > 0.97, "{} {}", brains.name(), day.score());
            assert_eq!(day.turns, 0, "no zone is turned away from on a calm day");
        }
    }
}

#[test]
fn all_to_primaries_is_far_worse_once_they_are_full() {
    let plan = plan("fault { at_s: 5 burst { times: 2.5 } }");
    let (primaries, oracle) = (play(&plan, Brains::Primaries, 1), play(&plan, Brains::Oracle, 1));
    assert!(primaries.score() < 0.6 && oracle.score() > 0.9, "{} {}", primaries.score(), oracle.score());
}

#[test]
fn every_kind_of_fault_is_played_and_keeps_the_rules() {
    let faults = [
        "zone_loss { zone: 'b' primaries_only: true }",
        "zone_loss { zone: 'b' share: 0.5 behind_s: 5 routers: true }",
        "cut { from: 'a' to: 'b' }",
        "cut { from: 'a' to: 'b' answers_only: true }",
        "lag { times: 12 }",
        "slow { zone: 'c' times: 4 }",
        "hang { zone: 'a' share: 0.5 }",
        "drain { zone: 'a' }",
        "burst { times: 2 }",
        "router_loss { zone: 'b' }",
        "standstill { zone: 'b' }",
        "silence { }",
        "loss { share: 0.3 }",
    ];
    let calm = play(&plan(""), Brains::Planned, 5);
    for fault in faults {
        let plan = plan(&format!("fault {{ at_s: 6 for_s: 6 {fault} }}"));
        let day = play(&plan, Brains::Planned, 5);
        assert_eq!(day.breaches, [], "{fault}");
        assert!(day.score() > 0.5, "{fault}: {}", day.score());
        let silent_list = fault.starts_with("silence");
        assert!(silent_list || day != calm, "{fault} changes the day");
    }
}

#[test]
fn what_cannot_be_played_is_refused_with_line_and_column() {
    let cases = [
        ("sconds: 3", "test.textproto:13:1: "),
        ("jitter: 3", "test.textproto:13:1: jitter: is 3, must be from 0 to 1"),
        (
            "fault { at_s: 1 slow { zone: 'x' times: 2 } }",
            "test.textproto:13:24: fault[0].slow.zone[0]: no zone",
        ),
        ("fault { at_s: 1 for_s: 3 every_s: 2 silence {} }", "test.textproto:13:26: fault[0].every_s: needs"),
        (
            "class { name: 'w' read: WRITE share: 1 work_ms: 1 aim_ms: 1 deadline_ms: 20 }",
            "test.textproto:13:1: class[2].effect: a write",
        ),
        ("discovery { least_ms: 9 most_ms: 3 }", "test.textproto:13:25: discovery.most_ms: is under"),
        ("link { from: 'a' to: 'q' round_trip_ms: 3 }", "test.textproto:13:18: link[0].to: no zone \"q\""),
    ];
    for (more, expected) in cases {
        let said = experiment::read("test.textproto", &format!("{BASE}{more}")).unwrap_err().to_string();
        assert!(said.starts_with(expected), "{more}\n  {said}\n  {expected}");
    }
}

#[test]
fn the_examples_can_be_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let mut read = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        experiment::read(&path.display().to_string(), &text).unwrap_or_else(|e| panic!("{e}"));
        read += 1;
    }
    assert!(read > 0);
}
