//! Case 8: clients send many commands at once, each a little smaller than what counts as large; the driver goes over its
//! memory limit and is killed.

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
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":64,"sockets":1024}"#;
/// The memory limit. Only memory of the process's own is counted, no pages of files.
const MEMORY_KB: u64 = 64 * 1024;

const GROUPS: usize = 5;
const GROUP_SIZE: usize = 4;
/// Clients that write, and how many commands each sends at once with the disruption.
const WRITERS: usize = 250;
const COMMANDS_AT_ONCE: usize = 64;
const WAIT_MS: u64 = 5_000;
/// Bytes of a value, written as twice as many digits.
const VALUE_BYTES: usize = 5_850;

fn write_command(writer: usize, number: usize) -> String {
    let id = new_id();
    format!(
        "/* id={id},c=alarm-log,d={WAIT_MS},k={id},cluster={} */ INSERT INTO entries (ref, payload) VALUES \
         ('{writer:08x}{number:08x}', '\\x{}') RETURNING payload",
        writer % GROUPS,
        "9f".repeat(VALUE_BYTES)
    )
}

/// A client that writes: all its commands at once, then it reads the answers. How many of them ended how.
fn write(address: SocketAddr, writer: usize, start: &Barrier) -> HashMap<String, usize> {
    let count = if has_trouble() { COMMANDS_AT_ONCE } else { 1 };
    let batch: Vec<u8> =
        (0..count).flat_map(|number| query_message(&write_command(writer, number))).collect();
    let client = Client::connect(address);
    start.wait();
    let Ok(mut client) = client else { return HashMap::from([("no connection".into(), count)]) };
    let sent_at = Instant::now();
    // What the system has no room for is written while the answers are read.
    let Ok(mut socket) = client.stream.try_clone() else { return HashMap::new() };
    thread::spawn(move || drop(socket.write_all(&batch)));
    let mut ends: HashMap<String, usize> = HashMap::new();
    for answered in 0..count {
        let answer = client.answer(sent_at + Duration::from_secs(40));
        if matches!(answer, Answer::Closed | Answer::None) {
            ends.insert("without an answer".into(), count - answered);
            break;
        }
        *ends.entry(answer.word()).or_default() += 1;
    }
    ends
}

fn main() {
    run_case(|record| {
        let members: Vec<Member> = (0..GROUPS * GROUP_SIZE)
            .map(|n| {
                Member::start(&format!("s-{n:08x}"), "a", (n / GROUP_SIZE) as u32, n % GROUP_SIZE == 0, 90)
            })
            .collect();
        let discovery = Discovery::start(members.iter().map(Entry::of).collect(), record);
        let mut driver =
            Driver::start(record, discovery.address, &discovery.known(), LIMITS, SETTINGS, &HashMap::new())?;
        sleep_ms(1_000);
        let address = driver.address;
        let start = Arc::new(Barrier::new(WRITERS + 1));
        let writers: Vec<_> = (0..WRITERS)
            .map(|n| {
                let start = start.clone();
                thread::spawn(move || write(address, n, &start))
            })
            .collect();
        start.wait();
        record.note("the commands are sent");
        let (mut peak_kb, mut noted_kb, mut killed) = (0, 0, false);
        while writers.iter().any(|writer| !writer.is_finished()) {
            let memory_kb = driver.memory_kb("RssAnon").unwrap_or(0);
            peak_kb = peak_kb.max(memory_kb);
            if memory_kb >= noted_kb + 4_096 {
                noted_kb = memory_kb;
                record.note(format!("the driver holds {memory_kb} kB"));
            }
            if memory_kb > MEMORY_KB && !killed {
                // As the platform does.
                record.say(format!(
                    "the driver holds {memory_kb} kB, over its limit of {MEMORY_KB} kB: it is killed"
                ));
                driver.kill();
                killed = true;
            }
            sleep_ms(5);
        }
        let mut ends: HashMap<String, usize> = HashMap::new();
        for (number, writer) in writers.into_iter().enumerate() {
            let of_writer = writer.join().map_err(|_| "a writer failed")?;
            record.note(format!("writer {number}: {of_writer:?}"));
            of_writer.into_iter().for_each(|(end, count)| *ends.entry(end).or_default() += count);
        }
        for member in &members {
            record.note(format!("{}: {} requests came whole", member.name, member.arrivals().len()));
        }
        record.say(format!("the driver held {peak_kb} kB at most; commands: {ends:?}"));
        Ok(usize::from(killed))
    })
}
