//! The program's commands on operator's files, as their users start them; and routes that are read again.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};
use std::{env, fs, process};

use common::driver::{config, Driver};
use common::{eventually, read, write, Client, Discovery, Member};

fn shipped(name: &str) -> String {
    format!("{}/../../deploy/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn beaconshore(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_beaconshore"))
        .args(arguments)
        .env("RELAY_CONFIG", shipped("driver.json"))
        .output()
        .expect("the program starts")
}

fn said(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("beaconshore-cli-{}-{name}.textproto", process::id()));
    fs::write(&path, text).unwrap();
    path
}

const ROUTES: &str = r#"routes {
  route { name: "alarms" match: "has key" attempts: 3 attempt_ms: 900 pause { least_ms: 20 most_ms: 100 } }
  route { name: "repeats" match: "class == \"view\" and has repeat" rate { per_second: 20 } }
  route { name: "views" match: "class == \"view\"" budget_ms: 800 attempt_ms: 300 staleness_ms: 100 }
}"#;

#[test]
fn the_shipped_files_pass_and_findings_are_told_with_their_places() {
    let good = beaconshore(&["check", &shipped("operator.textproto")]);
    assert_eq!((good.status.code(), said(&good).as_str()), (Some(0), ""));
    let bad =
        file("bad", "zones { quorum: 2 }\nroutes {\n  route { name: 'x' match: 'class == \"veiw\"' }\n}");
    let path = bad.display().to_string();
    let found = beaconshore(&["check", &path]);
    assert_eq!(found.status.code(), Some(1));
    let text = said(&found);
    assert!(text.contains(&format!("{path}:1:9: zones.quorum: is 2, must be from 0.5 to 1")), "{text}");
    assert!(text.contains(&format!("{path}:3:21: routes.route[0].match: no class \"veiw\"")), "{text}");
    let json = beaconshore(&["check", "--format", "json", &path]);
    let found: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(found.as_array().unwrap().len(), 2);
    assert_eq!((&found[1]["place"]["line"], &found[1]["place"]["column"]), (&3.into(), &21.into()));
    assert_eq!(beaconshore(&["check", "/nowhere"]).status.code(), Some(2));
    assert_eq!(beaconshore(&["chekc"]).status.code(), Some(2));
    fs::remove_file(bad).unwrap();
}

#[test]
fn explain_names_the_route_what_failed_before_and_the_worst_case() {
    let path = file("explain", ROUTES);
    let file = path.display().to_string();
    let text = said(&beaconshore(&["explain", &file, "--class", "view"]));
    let expected =
        "not \"alarms\": has key\nnot \"repeats\": has repeat\ntakes \"views\": class in [\"view\"]\n  \
        attempt 1: begins at 0 ms at the latest, ends at 300 ms\n  \
        attempt 2: begins at 300 ms at the latest, ends at 600 ms\n  \
        attempt 3: begins at 600 ms at the latest, ends at 800 ms\n  answered by 800 ms\n";
    assert_eq!(text, expected);
    let text = said(&beaconshore(&["explain", &file, "--class", "record", "--key"]));
    assert!(text.starts_with("takes \"alarms\": has key\n"), "{text}");
    assert!(
        text.contains("attempt 3: begins at 2000 ms at the latest, ends at 2900 ms\n  answered by 5000 ms"),
        "{text}"
    );
    let wrong = beaconshore(&["explain", &file, "--class", "veiw"]);
    assert_eq!(wrong.status.code(), Some(2));
    let defaults = said(&beaconshore(&["explain", "--defaults"]));
    assert!(defaults.contains("optional double spill_share = 2;") && defaults.contains("Default 0.5."));
    fs::remove_file(path).unwrap();
}

#[test]
fn diff_says_what_a_reload_would_change() {
    let old = file("old", ROUTES);
    let changed = ROUTES.replace("budget_ms: 800", "budget_ms: 700").replace("\"repeats\"", "\"again\"");
    let new = file("new", &changed);
    let (a, b) = (old.display().to_string(), new.display().to_string());
    let text = said(&beaconshore(&["diff", &a, &b]));
    let expected = "- \"repeats\": gone; its open requests keep what they were told\n\
        + \"again\": (class in [\"view\"] and has repeat)\n~ \"views\": budget\n";
    assert_eq!(text, expected);
    assert_eq!(said(&beaconshore(&["diff", &a, &a])), "nothing changes\n");
    [old, new].into_iter().for_each(|path| fs::remove_file(path).unwrap());
}

#[test]
fn help_version_and_completions_are_there() {
    assert!(said(&beaconshore(&["--version"])).starts_with("beaconshore 0."));
    assert!(said(&beaconshore(&["--help"])).contains("Says which route a request would take"));
    assert!(said(&beaconshore(&["completions", "bash"])).contains("_beaconshore()"));
}

#[test]
fn routes_are_read_again_whole_or_not_at_all_while_requests_are_open() {
    let member = Member::start("s-1", true);
    let discovery = Discovery::start(std::slice::from_ref(&member));
    let operator = file("reload", "routes { route { name: 'all' match: 'always' } }");
    let driver = Driver::kept(config(&discovery), &operator);
    let mut client = Client::connect(driver.address);
    eventually("reads are served", || client.ask(&read(1000)).is_served());
    // 64 requests are open when the file changes to one that admits a single request in a second.
    member.set(|s| s.pause = std::time::Duration::from_millis(300));
    let mut busy: Vec<Client> = (0..64).map(|_| Client::connect(driver.address)).collect();
    let before = member.queries().len();
    busy.iter_mut().for_each(|c| c.send(&common::client::query(&write(4000))));
    eventually("requests are open", || member.queries().len() > before);
    fs::write(&operator, "routes { route { name: 'all' match: 'always' rate { per_second: 1 burst: 1 } } }")
        .unwrap();
    driver.signal("HUP");
    eventually("the routes are read again", || driver.logged("routes read again: 1 of them"));
    let answers: Vec<_> = busy.iter_mut().map(|c| c.answer().unwrap()).collect();
    assert_eq!(answers.len(), 64, "each has its answer");
    member.set(|s| s.pause = std::time::Duration::ZERO);
    let refused = (0..20).filter(|_| client.ask(&read(1000)).code.as_deref() == Some("53300")).count();
    assert!(refused >= 17, "{refused} of 20 turned away by the new rate");
    // A file that can't be meant changes nothing, and is told.
    fs::write(&operator, "routes { route { name: 'all' match: 'awlays' } }").unwrap();
    driver.signal("HUP");
    eventually("the refusal is told", || driver.logged("the one in force stays"));
    assert!(driver.logged("routes.route[0].match: expected a test"));
    let refused = (0..20).filter(|_| client.ask(&read(1000)).code.as_deref() == Some("53300")).count();
    assert!(refused >= 17, "{refused} of 20: the rate is still in force");
    fs::write(&operator, "").unwrap();
    driver.signal("HUP");
    eventually("no route is left", || driver.logged("routes read again: 0 of them"));
    eventually("all are served", || (0..10).all(|_| client.ask(&read(1000)).is_served()));
    assert!(!driver.counts().contains("breaches"));
    fs::remove_file(operator).unwrap();
}

#[test]
fn routes_go_by_user_address_and_statement() {
    let member = Member::start("s-1", true);
    let discovery = Discovery::start(std::slice::from_ref(&member));
    let once = |matches: &str| format!("match: {matches:?} rate {{ per_second: 1 burst: 1 }}");
    for matches in [
        "user == \"web\" and database == \"orders\"",
        "client in 127.0.0.0/8 and statement starts \"select payload\"",
    ] {
        let operator = file("facts", &format!("routes {{ route {{ name: 'r' {} }} }}", once(matches)));
        let driver = Driver::kept(config(&discovery), &operator);
        let mut client = Client::connect(driver.address);
        let refused = (0..20).filter(|_| client.ask(&read(1000)).code.as_deref() == Some("53300")).count();
        assert!(refused >= 17, "{matches}: {refused} of 20 turned away");
        fs::remove_file(operator).unwrap();
    }
    let operator =
        file("others", &format!("routes {{ route {{ name: 'r' {} }} }}", once("user == \"batch\"")));
    let driver = Driver::kept(config(&discovery), &operator);
    let mut client = Client::connect(driver.address);
    eventually("others are served", || (0..10).all(|_| client.ask(&read(1000)).is_served()));
    fs::remove_file(operator).unwrap();
}
