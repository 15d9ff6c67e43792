//! The link to the primary's zone gets slow before a driver has sent its first write there: are reads still answered from
//! data within their bound?

#[path = "../standins/common.rs"]
mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// What the slow link adds in each direction (310 to 670 ms).
const LINK_DELAY: u64 = 500_000;
/// One of so many messages over the link is lost: 6.25% (6.2 to 27%).
const LINK_LOSES_ONE_IN: u64 = 16;
/// When the link gets slow, after the driver's start, in microseconds. It stays so to the end, for 22 s (18 to 39 s).
const LINK_FROM: u64 = 3_000_000;
const RUN: Duration = Duration::from_secs(25);
/// When the replicas begin to apply the log more slowly, in microseconds.
const LAG_FROM: u64 = 4_000_000;
/// For how long they do (10 to 21 s), in microseconds.
const LAG_FOR: u64 = 14_000_000;
/// How much they fall behind in a second meanwhile, in microseconds: less than one that applies the log 20 times more
/// slowly, and was busy for 35% of the time, falls behind.
const LAG_GROWTH: u64 = 350_000;
/// How much they make good in a second afterwards, in microseconds.
const LAG_SHRINKING: u64 = 1_000_000;
/// The lag of a replica that keeps up, in microseconds.
const USUAL_LAG: u64 = 10_000;
/// Bound on the age of data of the class `view`, in microseconds: 3 s, and the 50 ms of sockets.
const BOUND: u64 = 3_050_000;

const SETTINGS: &str = r#"{
    "discovery": "on_request", "nInstances": 1, "stepUs": 5000, "zone": 0, "zones": ["a", "b", "c"],
    "extra": {"consistency": ["recent", "update"], "stalenessBoundUs": [3000000, 0], "guards": "silent",
        "sessionMarks": "client", "zeroUs": 0, "listRole": "initial", "tellsPosition": false, "commitWaits": true},
    "limits": {"connIdleUs": 30000000, "connectTimeoutUs": 250000, "maxAttempts": 8, "maxRetryAfterUs": 500000,
        "peerMessages": false, "probes": true, "retryAfter": true},
    "loadReport": {"fields": ["x0", "x1", "outstanding"], "how": "pull"},
    "requestClasses": [
        {"name": "view", "aimUs": 1000000, "deadlineUs": 2500000, "idempotency": "idempotent", "worth": 3.0,
            "lateWorth": 0.0, "windowUs": 0},
        {"name": "order", "aimUs": 1500000, "deadlineUs": 2000000, "idempotency": "deduplicated",
            "dedupScope": "cell", "worth": 4.0, "lateWorth": 0.7, "windowUs": 1200000}],
    "rules": {"startCapacity": 0.3, "warmWithinUs": 12000000, "tipMultiple": 2.5, "fallUs": 2000000,
        "drainGraceUs": 500000, "askWithinUs": 10000000}}"#;

/// The lag of the replicas at a time after the driver's start. They get the log over the same link.
fn lag(since_start: u64, link_is_slow: bool) -> u64 {
    let growing = since_start.saturating_sub(LAG_FROM).min(LAG_FOR);
    let shrinking = since_start.saturating_sub(LAG_FROM + LAG_FOR);
    let behind = (growing * LAG_GROWTH / 1_000_000).saturating_sub(shrinking * LAG_SHRINKING / 1_000_000);
    let on_the_way = if link_is_slow { since_start.saturating_sub(LINK_FROM).min(LINK_DELAY) } else { 0 };
    USUAL_LAG + on_the_way + behind
}

/// Asks in turn until the end; notes the ids that were served.
fn client(address: SocketAddr, writes: bool, end: Instant, served: Arc<Mutex<HashSet<String>>>, record: Record) {
    let mut connection = None;
    while Instant::now() < end {
        let Some(open) = connection.as_mut() else {
            connection = Client::connect(address).ok();
            continue;
        };
        let id = new_id();
        let text = if writes { write_text(&id, "order", 2_000, &id, 16) } else { read_text(&id, "view", 2_500, &id) };
        let sent = open.send(&text);
        let sent_at = now();
        let answer = open.answer(ms(if writes { 2_600 } else { 3_100 }));
        let (what, took) = (if writes { "write" } else { "read" }, (now() - sent_at) / 1000);
        record.line(&format!("client: sent {what} {id} {took} ms ago, and got: {}", answer.describe()));
        if sent.is_err() || answer.ended || answer.kinds.is_empty() {
            connection = None;
        }
        if answer.is_served() {
            served.lock().unwrap().insert(id);
        }
        thread::sleep(if writes { ms(400) } else { ms(50) });
    }
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the record's path"));
    let primary = Member::start(&record, "s-primary", "b", true);
    let replicas = [
        Member::start(&record, "s-replica-1", "a", false),
        Member::start(&record, "s-replica-2", "a", false),
        Member::start(&record, "s-replica-3", "c", false),
    ];
    let mut entries = vec![primary.entry("leader")];
    entries.extend(replicas.iter().map(|r| r.entry("follower")));
    let (address, known) = discovery(&entries);
    let (start, link_is_slow) = (now(), has_trouble());
    for member in replicas.iter().chain([&primary]) {
        member.set(|s| {
            s.lag = Box::new(move |at| lag(at.saturating_sub(start), link_is_slow));
            (s.work, s.tells_position) = (ms(130), false);
        });
    }
    let setup = Setup { discovery: address, known, memory_mb: 192, sockets: 1024, settings: SETTINGS.into() };
    let mut driver = Driver::start(&setup);

    let (end, served) = (Instant::now() + RUN, Arc::new(Mutex::new(HashSet::new())));
    let ask = |writes: bool| {
        let (address, served, record) = (driver.address, served.clone(), record.clone());
        thread::spawn(move || client(address, writes, end, served, record))
    };
    // Reads come from the start; a write only after the link has become slow: drivers carry little traffic.
    let mut clients: Vec<_> = (0..4).map(|_| ask(false)).collect();
    thread::sleep(Duration::from_micros(LINK_FROM));
    if link_is_slow {
        primary.set(|s| {
            (s.link_delay, s.link_loses_one_in) = (Duration::from_micros(LINK_DELAY), LINK_LOSES_ONE_IN);
            s.link_messages = 0;
        });
        record.line("the link between the zones a (driver) and b (primary) is slow from now on");
    }
    thread::sleep(ms(500));
    clients.push(ask(true));
    clients.into_iter().for_each(|client| client.join().unwrap());

    // The rule, as written: no read is answered from data that was older than its bound when it was sent.
    // The position counts as of the answer, which is the newest that the data can have been.
    let served = served.lock().unwrap();
    let (mut reads, mut stale, mut oldest) = (0, 0, 0);
    for replica in &replicas {
        for run in replica.set(|s| s.runs.clone()) {
            if run.answered_at.is_none() || !served.contains(&run.id) {
                continue;
            }
            reads += 1;
            let age = run.arrived_at.saturating_sub(run.position);
            if age > BOUND {
                (stale, oldest) = (stale + 1, oldest.max(age));
                record.line(&format!("STALE: read {} was served by {} from data {} ms old", run.id, replica.name, age / 1000));
            }
        }
    }
    let by_primary = primary.set(|s| s.runs.iter().filter(|run| run.class == "view").count());
    driver.copy_log(&record, &["clock", "primary", "broken"]);
    if driver.has_ended() {
        record.say("the driver has ended by itself");
        exit(1);
    }
    record.say(&format!(
        "{reads} reads were served by replicas ({by_primary} were sent to the primary); {stale} from data over {} ms old, the oldest {} ms",
        BOUND / 1000,
        oldest / 1000
    ));
    drop(driver);
    if reads < 50 {
        exit(2);
    }
    exit(i32::from(stale > 0));
}
