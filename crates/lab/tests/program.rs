//! The program as its users start it: what it writes, and how it ends.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::{env, fs, process};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_beaconshore-lab")).args(arguments).output().expect("the program starts")
}

fn folder(name: &str) -> PathBuf {
    env::temp_dir().join(format!("beaconshore-lab-{}-{name}", process::id()))
}

const DAY: &str = "name: 'short' seconds: 12 settle_s: 2
    zone { name: 'a' } zone { name: 'b' }
    groups { count: 2 members: 2 apply_ms: 10 }
    class { name: 'view' read: BOUNDED bound_ms: 200 share: 1 work_ms: 20 aim_ms: 250 deadline_ms: 1000 worth: 1 }
    clients { rate: 60 } routers { per_zone: 1 }
    fault { at_s: 5 for_s: 3 zone_loss { zone: 'b' } }";

fn rows(path: &Path) -> Vec<csv::StringRecord> {
    csv::Reader::from_path(path).unwrap().records().map(Result::unwrap).collect()
}

#[test]
fn a_run_writes_the_same_tables_each_time_and_charts() {
    let (file, one, two) = (folder("day.textproto"), folder("one"), folder("two"));
    fs::write(&file, DAY).unwrap();
    let play = |output: &Path, jobs: &str| {
        let out = output.to_str().unwrap();
        let brains = "planned,plain,oracle";
        let done = lab(&["run", file.to_str().unwrap(), "-s", "1..3", "-b", brains, "-j", jobs, "-o", out]);
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
        assert!(String::from_utf8_lossy(&done.stdout).contains("tables and charts: "));
    };
    play(&one, "1");
    play(&two, "4");
    for table in ["days", "seconds", "spill", "load", "latencies", "breaches"] {
        let name = format!("{table}.csv");
        assert_eq!(fs::read(one.join(&name)).unwrap(), fs::read(two.join(&name)).unwrap(), "{name}");
    }
    let days = rows(&one.join("days.csv"));
    assert_eq!(days.len(), 9);
    for day in days.iter().filter(|day| &day[0] == "oracle") {
        assert_eq!(&day[4], "1.0000");
    }
    assert!(days.iter().all(|day| day[2].parse::<f64>().unwrap() > 0.5));
    assert_eq!(rows(&one.join("seconds.csv")).len(), 3 * 12);
    assert_eq!(rows(&one.join("load.csv")).len(), 3 * 12 * 4);
    for chart in ["score", "spill", "outcomes", "latency", "load-planned", "load-plain", "load-oracle"] {
        let text = fs::read_to_string(one.join(format!("{chart}.svg"))).unwrap();
        assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"), "{chart}");
        assert!(text.contains("seconds of the day"), "{chart}");
    }
    for folder in [&one, &two] {
        fs::remove_dir_all(folder).unwrap();
    }
    fs::remove_file(file).unwrap();
}

#[test]
fn input_that_cannot_be_used_ends_with_2_and_says_where() {
    let file = folder("bad.textproto");
    fs::write(&file, DAY.replace("rate: 60", "rate: -1")).unwrap();
    let path = file.to_str().unwrap();
    let done = lab(&["check", path]);
    assert_eq!(done.status.code(), Some(2));
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(
        said.contains(&format!("{path}:5:15: clients.rate: is -1, must be from 0.1 to 1000000")),
        "{said}"
    );
    for wrong in
        [&["run", path, "-o", "x", "-s", "5..2"][..], &["run", "/nowhere", "-o", "x"], &["walk"], &[]]
    {
        assert_eq!(lab(wrong).status.code(), Some(2), "{wrong:?}");
    }
    fs::remove_file(file).unwrap();
}

#[test]
fn a_broken_rule_ends_with_1_and_is_named() {
    // A budget for cold members so small that a single request is over it.
    let file = folder("cold.textproto");
    let output = folder("cold");
    let day = DAY.replace("for_s: 3", "for_s: 1").replace("rate: 60", "rate: 300");
    let rules = " rules { cold_share: 0.01 fall_multiple: 1 fall_ms: 50 warm_ms: 60000 }";
    fs::write(&file, format!("{day}{rules}")).unwrap();
    let done =
        lab(&["run", file.to_str().unwrap(), "-s", "1", "-b", "plain", "-o", output.to_str().unwrap()]);
    assert_eq!(done.status.code(), Some(1), "{}", String::from_utf8_lossy(&done.stdout));
    assert!(String::from_utf8_lossy(&done.stdout).contains("rule Cold: pushed over while cold"));
    assert!(!rows(&output.join("breaches.csv")).is_empty());
    fs::remove_dir_all(output).unwrap();
    fs::remove_file(file).unwrap();
}
