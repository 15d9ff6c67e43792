//! Clients that stop in the middle of a large request and stay: do others' large requests get their final answer?

#[path = "../standins/common.rs"]
mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Clients that stop in the middle of a request.
const STOPPING_CLIENTS: usize = 60;
/// Clients whose request comes whole.
const GOOD_CLIENTS: usize = 10;
/// Bytes of the values that are written; the protocol allows 65,536.
const VALUE_BYTES: usize = 40_000;
/// How long the good clients wait, in milliseconds: half of their class's 2 s.
const WAIT_MS: u64 = 1_000;
/// After its time a request may be answered for so long without being lost, in milliseconds (500, and 50 on sockets).
const ANSWER_SLACK_MS: u64 = 550;

const SETTINGS: &str = r#"{
    "discovery": "pushed", "nInstances": 1, "stepUs": 5000, "zone": 0, "zones": ["a", "b", "c"],
    "extra": {"consistency": ["recent", "update"], "stalenessBoundUs": [300000, 0], "guards": "silent",
        "sessionMarks": "client", "zeroUs": 0},
    "limits": {"connIdleUs": 30000000, "connectTimeoutUs": 250000, "maxAttempts": 8, "maxRetryAfterUs": 1000000,
        "peerMessages": false, "probes": true, "retryAfter": true},
    "loadReport": {"fields": ["x0", "x1", "utilization"], "how": "piggyback"},
    "requestClasses": [
        {"name": "feed", "aimUs": 250000, "deadlineUs": 600000, "idempotency": "idempotent", "worth": 2.0,
            "lateWorth": 0.2, "windowUs": 0},
        {"name": "post", "aimUs": 1200000, "deadlineUs": 2000000, "idempotency": "deduplicated",
            "dedupScope": "cell", "worth": 6.0, "lateWorth": 0.7, "windowUs": 2000000}],
    "rules": {"startCapacity": 0.2, "warmWithinUs": 17000000, "tipMultiple": 4.0, "fallUs": 2000000,
        "drainGraceUs": 250000}}"#;

/// What became of a good client's write.
struct Outcome {
    id: String,
    sent_at: u64,
    answer: Answer,
}

/// A good client: sends one large write whole, and waits for its answer, here far beyond its time.
fn good_write(address: SocketAddr, record: &Record) -> Option<Outcome> {
    let id = new_id();
    let mut client = Client::connect(address).ok()?;
    client.send(&write_text(&id, "post", WAIT_MS, &id, VALUE_BYTES)).ok()?;
    let sent_at = now();
    record.line(&format!("good client: sent the last byte of write {id}, d={WAIT_MS}"));
    let answer = client.answer(ms(4_000));
    let at = (now() - sent_at) / 1000;
    record.line(&format!("good client: {id}: {} after {at} ms", answer.describe()));
    Some(Outcome { id, sent_at, answer })
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the record's path"));
    let leader = Member::start(&record, "s-leader", "a", true);
    let follower = Member::start(&record, "s-follower", "a", false);
    let (address, known) = discovery(&[leader.entry("leader"), follower.entry("follower")]);
    let setup = Setup { discovery: address, known, memory_mb: 64, sockets: 1024, settings: SETTINGS.into() };
    let mut driver = Driver::start(&setup);

    // Before the disruption large writes are served.
    for _ in 0..3 {
        match good_write(driver.address, &record) {
            Some(outcome) if outcome.answer.is_served() => {}
            _ => {
                record.say("large writes are not served before the disruption: the case can't run");
                exit(2);
            }
        }
    }

    // The disruption: clients that stop in the middle of a request, and stay.
    let closed = Arc::new(Mutex::new(Vec::new()));
    let mut stopping = Vec::new();
    if has_trouble() {
        for _ in 0..STOPPING_CLIENTS {
            let mut client = Client::connect(driver.address).expect("a connection");
            let message = query(&write_text(&new_id(), "post", 2_000, "bad", VALUE_BYTES));
            client.stream.write_all(&message[..4_000]).expect("half a request is written");
            let since = now();
            let closed = closed.clone();
            stopping.push(thread::spawn(move || {
                let answer = client.answer(ms(6_000));
                closed.lock().unwrap().push((now() - since, answer.describe()));
            }));
        }
        record.line(&format!("{STOPPING_CLIENTS} clients have stopped in the middle of a request, and stay"));
    }
    thread::sleep(ms(200));

    // Good clients with large writes, and small reads beside them.
    let mut good = Vec::new();
    for _ in 0..GOOD_CLIENTS {
        let (address, record) = (driver.address, record.clone());
        good.push(thread::spawn(move || good_write(address, &record)));
        thread::sleep(ms(10));
    }
    let mut reader = Client::connect(driver.address).expect("a connection");
    let mut reads_served = 0;
    for _ in 0..10 {
        let id = new_id();
        reader.send(&read_text(&id, "feed", 600, &id)).expect("a read is written");
        reads_served += usize::from(reader.answer(ms(2_000)).is_served());
    }
    record.line(&format!("{reads_served} of 10 small reads were served meanwhile"));
    let outcomes: Vec<Outcome> = good.into_iter().filter_map(|g| g.join().unwrap()).collect();
    thread::sleep(ms(1_500));
    stopping.into_iter().for_each(|s| drop(s.join()));
    for (after, what) in closed.lock().unwrap().iter() {
        record.line(&format!("stopped client: {what} after {} ms", after / 1000));
    }

    // The rule, as written.
    let mut lost = GOOD_CLIENTS - outcomes.len();
    for Outcome { id, sent_at, answer } in &outcomes {
        let took = answer.at.saturating_sub(*sent_at);
        if !answer.is_final() || took > (WAIT_MS + ANSWER_SLACK_MS) * 1000 {
            lost += 1;
            record.say(&format!(
                "LOST: write {id} (d={WAIT_MS}) had no final answer within {} ms: {} after {} ms",
                WAIT_MS + ANSWER_SLACK_MS,
                answer.describe(),
                took / 1000
            ));
        }
    }
    driver.copy_log(&record, &["broken"]);
    if driver.has_ended() {
        record.say("the driver has ended by itself");
        exit(1);
    }
    record.say(&format!("{lost} of {GOOD_CLIENTS} large writes of good clients had no final answer in time"));
    drop(driver);
    exit(i32::from(lost > 0));
}
