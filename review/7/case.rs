//! Case 7: some clients send many commands at once; the reads of other clients are answered seconds after their time.

#[path = "../standins-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Figures of cairo-readings, under the names of the settings.
const SETTINGS: &str = r#"{
    "discovery": "pushed", "nInstances": 1, "stepUs": 5000, "zone": 0, "zones": ["a", "b", "c"],
    "extra": {"consistency": ["recent", "update"], "stalenessBoundUs": [200000, 0], "guards": "silent",
        "sessionMarks": "client", "zeroUs": 0},
    "limits": {"connIdleUs": 30000000, "connectTimeoutUs": 250000, "maxAttempts": 8, "maxOpen": 20000,
        "maxRetryAfterUs": 1000000, "peerMessages": false, "probes": true, "retryAfter": true},
    "loadReport": {"fields": ["x0", "x1", "utilization"], "how": "piggyback"},
    "requestClasses": [
        {"name": "reading-view", "aimUs": 250000, "deadlineUs": 1000000, "idempotency": "idempotent",
            "worth": 3.0, "lateWorth": 0.0, "windowUs": 0},
        {"name": "alarm-log", "aimUs": 600000, "deadlineUs": 5000000, "idempotency": "deduplicated",
            "dedupScope": "cell", "worth": 4.0, "lateWorth": 0.3, "windowUs": 3000000}],
    "rules": {"startCapacity": 0.18, "warmWithinUs": 16000000, "tipMultiple": 2.0, "fallUs": 1500000,
        "drainGraceUs": 500000}}"#;
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

/// Clients that write alarm records, and how many commands each sends at once with the disruption.
const WRITERS: usize = 150;
const COMMANDS_AT_ONCE: usize = 64;
/// How long a writer waits for each answer.
const WRITE_WAIT_MS: u64 = 5_000;
/// Clients that read, one command at a time, on connections of their own.
const READERS: usize = 20;
/// How long a reader waits: 40% of what the class gives.
const READ_WAIT_MS: u64 = 400;
/// After this, beyond the time of the request, it is lost; 50 ms more on sockets.
const LOST_AFTER_MS: u64 = 550;

fn write_command(writer: usize, number: usize) -> String {
    format!(
        "/* id={},c=alarm-log,d={WRITE_WAIT_MS},k={writer:04x}{number:04x},cluster=1 */ INSERT INTO entries (ref, \
         payload) VALUES ('{writer:08x}{number:08x}', '\\x9f03') RETURNING payload",
        new_id()
    )
}

/// A client that writes: all its commands at once, then it reads the answers.
fn write(record: Record, address: SocketAddr, writer: usize, start: Arc<Barrier>) {
    let count = if has_trouble() { COMMANDS_AT_ONCE } else { 1 };
    let batch: Vec<u8> =
        (0..count).flat_map(|number| query_message(&write_command(writer, number))).collect();
    let client = Client::connect(address);
    start.wait();
    let Ok(mut client) = client else { return record.note(format!("writer {writer}: no connection")) };
    let sent_at = Instant::now();
    if client.stream.write_all(&batch).is_err() {
        return record.note(format!("writer {writer}: the connection broke"));
    }
    record.note_at(sent_at, format!("writer {writer}: {count} commands sent"));
    let mut ends: HashMap<String, usize> = HashMap::new();
    for _ in 0..count {
        let answer = client.answer(sent_at + Duration::from_secs(40));
        *ends.entry(answer.word()).or_default() += 1;
        if matches!(answer, Answer::Closed | Answer::None) {
            break;
        }
    }
    record.note(format!("writer {writer}: {ends:?}"));
}

/// A client that reads once before the writers begin and once after. True if the second answer came after its
/// time and half a second, or never.
fn read(record: Record, address: SocketAddr, reader: usize, start: Arc<Barrier>) -> Result<bool, String> {
    let client = Client::connect(address);
    let command = |id: &str| {
        format!(
            "/* id={id},c=reading-view,d={READ_WAIT_MS},cluster=1 */ SELECT payload FROM entries WHERE ref = '{reader:08x}'"
        )
    };
    let mut client = match client {
        Ok(client) => client,
        Err(e) => {
            start.wait();
            return Err(e.to_string());
        }
    };
    let first = client.ask(&command(&new_id()), Duration::from_secs(10));
    start.wait();
    if !matches!(first, Answer::Served(_)) {
        return Err(format!("reader {reader} was not served before: {first:?}"));
    }
    sleep_ms(50 + 50 * reader as u64);
    let mut sent_at = Instant::now();
    let mut answer = client.ask(&command(&new_id()), Duration::from_secs(40));
    if answer == Answer::Closed {
        // It crossed the end of the connection: sent one more time on a new one.
        client = Client::connect(address).map_err(|e| e.to_string())?;
        sent_at = Instant::now();
        answer = client.ask(&command(&new_id()), Duration::from_secs(40));
    }
    let took = sent_at.elapsed();
    let lost = took > Duration::from_millis(READ_WAIT_MS + LOST_AFTER_MS)
        || matches!(answer, Answer::Closed | Answer::None);
    record.note_at(
        sent_at,
        format!(
            "reader {reader}: one command sent, {} after {:.3} s{}",
            answer.word(),
            took.as_secs_f64(),
            if lost { ": LOST" } else { "" }
        ),
    );
    Ok(lost)
}

fn main() {
    run_case(|record| {
        let members: Vec<Member> =
            (0..4).map(|n| Member::start(&format!("s-{n:08x}"), "a", 1, n == 0, 60)).collect();
        let discovery = Discovery::start(members.iter().map(Entry::of).collect(), record);
        let driver =
            Driver::start(record, discovery.address, &discovery.known(), LIMITS, SETTINGS, &HashMap::new())?;
        sleep_ms(1_000);
        let address = driver.address;
        let start = Arc::new(Barrier::new(WRITERS + READERS));
        let writers: Vec<_> = (0..WRITERS)
            .map(|n| {
                let (record, start) = (record.clone(), start.clone());
                thread::spawn(move || write(record, address, n, start))
            })
            .collect();
        let readers: Vec<_> = (0..READERS)
            .map(|n| {
                let (record, start) = (record.clone(), start.clone());
                thread::spawn(move || read(record, address, n, start))
            })
            .collect();
        let mut lost = 0;
        for reader in readers {
            lost += usize::from(reader.join().map_err(|_| "a reader failed")??);
        }
        writers.into_iter().for_each(|writer| drop(writer.join()));
        note_arrivals(record, &members);
        record.say(format!(
            "{lost} of {READERS} single reads were answered after their time and half a second"
        ));
        Ok(lost)
    })
}
