//! Case 9: discovery is slow; a driver that starts meanwhile never gets a list, and goes on sending to a member that
//! drains.

#[path = "../standins-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Figures of recife-lojas, under the names of the settings.
const SETTINGS: &str = r#"{
    "discovery": "on_request", "nInstances": 1, "stepUs": 5000, "zone": 0, "zones": ["a", "b", "c"],
    "extra": {"consistency": ["recent", "loose", "update"], "stalenessBoundUs": [800000, 0, 0], "guards": "silent",
        "zeroUs": 0},
    "limits": {"connIdleUs": 15000000, "connectTimeoutUs": 250000, "maxAttempts": 6, "maxRetryAfterUs": 500000,
        "peerMessages": false, "probes": true, "retryAfter": true},
    "loadReport": {"fields": ["x0", "x1", "backlog"], "how": "pull"},
    "requestClasses": [
        {"name": "stock-check", "aimUs": 750000, "deadlineUs": 2500000, "idempotency": "idempotent", "worth": 1.0},
        {"name": "catalogue", "aimUs": 500000, "deadlineUs": 1500000, "idempotency": "idempotent", "worth": 1.0},
        {"name": "order-place", "aimUs": 1000000, "deadlineUs": 3000000, "idempotency": "deduplicated",
            "dedupScope": "cell", "windowUs": 2000000, "worth": 4.0, "lateWorth": 0.7}],
    "rules": {"askWithinUs": 10000000, "startCapacity": 0.18, "warmWithinUs": 18000000, "tipMultiple": 2.5,
        "fallUs": 1000000, "drainGraceUs": 2000000}}"#;
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

/// How long each call waits for its turn at discovery with the disruption. A call fails only after 2 s.
const CALL_DELAY_MS: u64 = 900;
/// A change counts as told at the latest this long after discovery had it and could be reached.
const TOLD_AFTER_MS: u64 = 6_000;
/// Nothing new later than this after that; 50 ms more on sockets.
const GRACE_MS: u64 = 2_000 + 50;
/// For how long the draining member stays up and is watched.
const WATCHED_MS: u64 = 16_000;
const CLIENTS: usize = 4;

/// A client that reads, one command at a time, as long as its connections come up.
fn read_on(record: Record, address: SocketAddr, number: usize) {
    let mut client = Client::connect(address);
    while let Ok(connected) = &mut client {
        let command = format!(
            "/* id={},c=stock-check,d=2000,cluster=1 */ SELECT payload FROM entries WHERE ref = '{number:08x}'",
            new_id()
        );
        let answer = connected.ask(&command, Duration::from_secs(3));
        record.note(format!("client {number}: {}", answer.word()));
        if matches!(answer, Answer::Closed | Answer::None) {
            client = Client::connect(address);
        }
        sleep_ms(100);
    }
}

fn main() {
    run_case(|record| {
        let members: Vec<Member> =
            (0..4).map(|n| Member::start(&format!("s-{n:08x}"), "a", 1, n == 0, 20)).collect();
        let discovery = Discovery::start(members.iter().map(Entry::of).collect(), record);
        if has_trouble() {
            discovery.with(|state| state.call_delay = Duration::from_millis(CALL_DELAY_MS));
            record.note(format!("discovery answers each call after {CALL_DELAY_MS} ms"));
        }
        let driver =
            Driver::start(record, discovery.address, &discovery.known(), LIMITS, SETTINGS, &HashMap::new())?;
        let address = driver.address;
        for number in 0..CLIENTS {
            let record = record.clone();
            thread::spawn(move || read_on(record, address, number));
        }
        sleep_ms(4_000);
        let draining = &members[1];
        if draining.arrivals().is_empty() {
            return Err("the member got no request before it drained".into());
        }
        let drained_at = Instant::now();
        discovery.change(vec![Entry { lifecycle: "draining", ..Entry::of(draining) }]);
        sleep_ms(WATCHED_MS);
        let last_allowed = drained_at + Duration::from_millis(TOLD_AFTER_MS + GRACE_MS);
        note_arrivals(record, &members);
        let sends = draining.arrivals();
        let late: Vec<&Arrival> = sends.iter().filter(|arrival| arrival.first_byte > last_allowed).collect();
        for arrival in sends.iter().filter(|arrival| arrival.first_byte > drained_at) {
            let after = (arrival.first_byte - drained_at).as_secs_f64();
            let verdict = if arrival.first_byte > last_allowed { ": BROKEN" } else { "" };
            record.note_at(
                arrival.first_byte,
                format!("sent {after:.3} s after the drain{verdict}: {}", arrival.text),
            );
        }
        let (calls, lists) = discovery.with(|state| (state.calls, state.full_lists_sent));
        record.say(format!(
            "{} requests reached the draining member later than 6 s and the grace; discovery was called {calls} times \
             and could answer {lists} calls for the list",
            late.len()
        ));
        Ok(late.len())
    })
}
