//! Case 6: a primary drains and hands over; meanwhile the driver takes its own clock for wrong, and serves reads from
//! data that is too old.

#[path = "../standins-2/common.rs"]
mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

/// Figures of cairo-readings, under the names of the settings.
const SETTINGS: &str = r#"{
    "discovery": "pushed", "nInstances": 3, "stepUs": 5000, "zone": 0,
    "zones": ["nasr-city", "sixth-october", "new-cairo"],
    "extra": {"consistency": ["recent", "update"], "stalenessBoundUs": [200000, 0], "guards": "silent",
        "sessionMarks": "client", "zeroUs": 0},
    "limits": {"connIdleUs": 30000000, "connectTimeoutUs": 250000, "maxAttempts": 8, "maxRetryAfterUs": 1000000,
        "peerMessages": true, "probes": true, "retryAfter": true},
    "loadReport": {"fields": ["x0", "x1", "utilization"], "how": "piggyback"},
    "requestClasses": [
        {"name": "reading-view", "aimUs": 250000, "deadlineUs": 1000000, "idempotency": "idempotent",
            "worth": 3.0, "lateWorth": 0.0, "windowUs": 0},
        {"name": "alarm-log", "aimUs": 600000, "deadlineUs": 5000000, "idempotency": "deduplicated",
            "dedupScope": "cell", "worth": 4.0, "lateWorth": 0.3, "windowUs": 3000000}],
    "rules": {"startCapacity": 0.18, "warmWithinUs": 16000000, "tipMultiple": 2.0, "fallUs": 1500000,
        "drainGraceUs": 500000}}"#;
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

/// How old data may be when a read is sent, and the slack on sockets.
const BOUND_MS: u64 = 200;
const SLACK_MS: u64 = 50;
/// How long a primary that drains takes to hand over.
const HAND_OVER_MS: u64 = 900;
/// How late the list tells of a drain.
const NOTICE_MS: u64 = 2_000;
const ZONES: [&str; 3] = ["nasr-city", "sixth-october", "new-cairo"];
/// Twelve members; a quarter of them, the primaries, drains at once.
const DRIVERS: usize = 3;
const GROUPS: usize = 3;
const GROUP_SIZE: usize = 4;
const ROUNDS: usize = 6;
const BETWEEN_ROUNDS_MS: u64 = 5_000;
/// Work of a request.
const WORK_MS: u64 = 60;
const READERS: usize = 12;
const WRITERS: usize = 4;

fn unless_closed(client: &mut std::io::Result<Client>, address: SocketAddr, command: &str) -> Answer {
    let Ok(connected) = client else { return Answer::Closed };
    let answer = connected.ask(command, Duration::from_secs(6));
    if matches!(answer, Answer::Closed | Answer::None) {
        *client = Client::connect(address);
    }
    answer
}

fn client(
    record: Record,
    address: SocketAddr,
    number: usize,
    writes: bool,
    answers: Arc<Mutex<HashMap<String, usize>>>,
) {
    let mut connection = Client::connect(address);
    let mut group = number;
    while connection.is_ok() {
        group = (group + 1) % GROUPS;
        let id = new_id();
        let command = if writes {
            format!(
                "/* id={id},c=alarm-log,d=2000,k={id},cluster={group} */ INSERT INTO entries (ref, payload) VALUES \
                 ('{number:08x}', '\\x9f03') RETURNING payload"
            )
        } else {
            format!("/* id={id},c=reading-view,d=600,cluster={group} */ SELECT payload FROM entries WHERE ref = '{number:08x}'")
        };
        let answer = unless_closed(&mut connection, address, &command);
        record.note(format!("client {number}: {} to request {id}", answer.word()));
        let kind = if writes { "writes" } else { "reads" };
        *answers.lock().unwrap().entry(format!("{kind} {}", answer.word())).or_default() += 1;
        sleep_ms(if writes { 120 } else { 100 });
    }
}

fn main() {
    run_case(|record| {
        let start = |n: usize, group: u32, leader: bool| {
            let member = Member::start(&format!("s-{n:08x}"), ZONES[n % ZONES.len()], group, leader, WORK_MS);
            member.with(|state| state.work_varies = true);
            member
        };
        let mut all = Vec::new();
        // The members of each group, the primary first.
        let mut groups: Vec<Vec<Member>> = Vec::new();
        for group in 0..GROUPS {
            let members: Vec<Member> =
                (0..GROUP_SIZE).map(|n| start(group * GROUP_SIZE + n, group as u32, n == 0)).collect();
            all.extend(members.iter().cloned());
            groups.push(members);
        }
        let discovery = Discovery::start(all.iter().map(Entry::of).collect(), record);
        let peers: Vec<String> = (0..DRIVERS).map(|_| format!("\"{}\"", free_address())).collect();
        let mut drivers = Vec::new();
        for peer in &peers {
            let keys = format!(r#""peer_listen":{peer},"peers":[{}],"#, peers.join(","));
            let (known, none) = (discovery.known(), HashMap::new());
            drivers.push(Driver::start_with(
                record,
                discovery.address,
                &known,
                LIMITS,
                SETTINGS,
                &none,
                &keys,
            )?);
        }
        let answers = Arc::new(Mutex::new(HashMap::new()));
        for number in 0..DRIVERS * (READERS + WRITERS) {
            let (answers, address) = (answers.clone(), drivers[number % DRIVERS].address);
            let record = record.clone();
            thread::spawn(move || client(record, address, number, number < DRIVERS * WRITERS, answers));
        }
        sleep_ms(3_000);
        for round in 0..ROUNDS {
            if !has_trouble() {
                sleep_ms(NOTICE_MS + 1_000 + BETWEEN_ROUNDS_MS);
                continue;
            }
            let old: Vec<Member> = groups.iter_mut().map(|group| group.remove(0)).collect();
            // They drain: until each has handed over, its group takes no writes, and all positions stand still.
            let now = unix_ms();
            for (old, group) in old.iter().zip(&groups) {
                record.note(format!("round {round}: {} drains and hands over", old.name));
                old.with(|state| (state.hands_over, state.stands_at_ms) = (true, Some(now)));
                group.iter().for_each(|m| m.with(|state| state.stands_at_ms = Some(now - state.lag_ms)));
            }
            sleep_ms(HAND_OVER_MS);
            for (old, group) in old.iter().zip(&groups) {
                group[0].with(|state| (state.leader, state.was_primary, state.lag_ms) = (true, true, 0));
                old.with(|state| (state.leader, state.hands_over, state.lag_ms) = (false, false, 5));
                old.with(|state| state.stands_at_ms = None);
                group.iter().for_each(|m| m.with(|state| state.stands_at_ms = None));
                record.note(format!("round {round}: {} is the primary", group[0].name));
            }
            sleep_ms(NOTICE_MS - HAND_OVER_MS);
            discovery.change(old.iter().map(|m| Entry { lifecycle: "draining", ..Entry::of(m) }).collect());
            sleep_ms(1_000);
            // Their successors join, and the list names the primaries.
            let mut changed: Vec<Entry> =
                old.iter().map(|m| Entry { lifecycle: "gone", ..Entry::of(m) }).collect();
            for (number, group) in groups.iter_mut().enumerate() {
                let successor = start(all.len(), number as u32, false);
                changed.push(Entry { started_at_ms: unix_ms(), ..Entry::of(&successor) });
                changed.push(Entry::of(&group[0]));
                all.push(successor.clone());
                group.push(successor);
            }
            discovery.change(changed);
            sleep_ms(BETWEEN_ROUNDS_MS);
        }
        note_arrivals(record, &all);
        let mut stale = 0;
        for member in &all {
            // What is sent to a member that has been primary may be excused.
            for arrival in member.arrivals().into_iter().filter(|arrival| !arrival.was_primary) {
                let Some(data_ms) = arrival.data_ms else { continue };
                let age = arrival.whole_ms.saturating_sub(data_ms);
                if age > BOUND_MS + SLACK_MS {
                    stale += 1;
                    record.note_at(
                        arrival.whole,
                        format!(
                            "{} served a read from data {age} ms old when it was sent: BROKEN: {}",
                            member.name, arrival.text
                        ),
                    );
                }
            }
        }
        record.note(format!("answers: {:?}", answers.lock().unwrap()));
        record.say(format!(
            "{stale} reads were served from data older than {BOUND_MS} ms and {SLACK_MS} ms of slack"
        ));
        Ok(stale)
    })
}
