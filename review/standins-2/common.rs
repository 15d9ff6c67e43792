//! Small stand-ins for the cases of `review/6` to `review/10`: members, discovery, clients, and the driver as a
//! process. They use the standard library only and listen on free ports of 127.0.0.1.
//!
//! A member speaks version 3 of PostgreSQL's protocol as the protocol page gives it. Discovery serves the whole
//! list and a watch over HTTP/1.1.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- The record ----

/// Writes what happened to `record.txt`, each line with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record { file: Arc::new(Mutex::new(File::create(path).unwrap())), start: Instant::now() }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.4} {}", text.as_ref());
    }

    /// Writes the line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}

// ---- Messages ----

pub fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

/// Takes a whole message from the front of the bytes.
pub fn take(bytes: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    let length = u32::from_be_bytes(bytes.get(1..5)?.try_into().unwrap()) as usize;
    if bytes.len() < 1 + length {
        return None;
    }
    let body = bytes[5..1 + length].to_vec();
    let kind = bytes[0];
    bytes.drain(..1 + length);
    Some((kind, body))
}

pub fn query_message(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', &[text.as_bytes(), &[0]].concat());
    out
}

fn put_startup(out: &mut Vec<u8>) {
    let body = b"\x00\x03\x00\x00user\0web\0database\0orders\0\0";
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn put_row(out: &mut Vec<u8>, value: &[u8]) {
    let mut description = vec![0, 1];
    description.extend(b"payload\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    put(out, b'T', &description);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend_from_slice(value);
    put(out, b'D', &row);
    put(out, b'C', b"SELECT 1\0");
}

fn put_error(out: &mut Vec<u8>, code: &str) {
    put(out, b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes());
}

fn put_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

/// A value of the comment of a request.
pub fn comment_value<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let comment = text.trim_start().strip_prefix("/*")?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}

// ---- Members ----

/// A request that reached a member.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the read that brought its first byte returned.
    pub first_byte: Instant,
    /// When its last byte had come.
    pub whole: Instant,
    /// The same in Unix milliseconds.
    pub whole_ms: u64,
    pub text: String,
    /// The position of the data from which it was served, in Unix milliseconds, if it was served.
    pub data_ms: Option<u64>,
    /// Whether its member had been a primary by then.
    pub was_primary: bool,
}

pub struct MemberState {
    pub leader: bool,
    /// How long it works on a request.
    pub work: Duration,
    /// Whether that is the mean of a spread from a quarter to the double.
    pub work_varies: bool,
    /// Takes requests and answers none, probes included.
    pub hangs: bool,
    /// How far its data is behind the clock.
    pub lag_ms: u64,
    /// The position at which its data stands still, if it does, in Unix milliseconds.
    pub stands_at_ms: Option<u64>,
    /// Whether it has been a primary.
    pub was_primary: bool,
    /// Turns writes away untouched, since it hands over.
    pub hands_over: bool,
    /// The value with which it answers: the id of the request, or this many bytes.
    pub answer_bytes: usize,
    pub arrivals: Vec<Arrival>,
    pub probes: usize,
}

impl MemberState {
    /// Up to this time it has applied all commits, in Unix milliseconds.
    pub fn position_ms(&self) -> u64 {
        self.stands_at_ms.unwrap_or_else(|| unix_ms() - self.lag_ms)
    }
}

#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub group: u32,
    pub address: SocketAddr,
    pub state: Arc<Mutex<MemberState>>,
}

impl Member {
    pub fn start(name: &str, zone: &str, group: u32, leader: bool, work_ms: u64) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = MemberState {
            leader,
            work: Duration::from_millis(work_ms),
            work_varies: false,
            hangs: false,
            lag_ms: if leader { 0 } else { 5 },
            stands_at_ms: None,
            was_primary: leader,
            hands_over: false,
            answer_bytes: 0,
            arrivals: Vec::new(),
            probes: 0,
        };
        let member = Member {
            name: name.into(),
            zone: zone.into(),
            group,
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
        };
        let serving = member.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = serving.clone();
                thread::spawn(move || drop(member.serve(stream)));
            }
        });
        member
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut MemberState) -> T) -> T {
        act(&mut self.state.lock().unwrap())
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.with(|state| state.arrivals.clone())
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        while bytes.len() < 4 || bytes.len() < u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize {
            read_more(&mut stream, &mut bytes)?;
        }
        let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
        bytes.drain(..length);
        while self.with(|state| state.hangs) {
            sleep_ms(20);
        }
        let mut out = Vec::new();
        put(&mut out, b'R', &[0; 4]);
        put(&mut out, b'Z', b"I");
        stream.write_all(&out)?;
        let mut first_byte = Instant::now();
        loop {
            let Some((kind, body)) = take(&mut bytes) else {
                let was_empty = bytes.is_empty();
                read_more(&mut stream, &mut bytes)?;
                if was_empty {
                    first_byte = Instant::now();
                }
                continue;
            };
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
            self.answer(&mut stream, text, first_byte)?;
        }
    }

    fn answer(&self, stream: &mut TcpStream, text: String, first_byte: Instant) -> io::Result<()> {
        let is_probe = text.starts_with("SHOW ") || text == "SELECT 1";
        let (work, answer_bytes, index) = self.with(|state| {
            // Factors with a mean of 1, in turn.
            const FACTORS: [f64; 8] = [1.0, 0.4, 1.6, 0.25, 0.7, 2.0, 0.55, 1.5];
            let turn = state.arrivals.len() % FACTORS.len();
            let work = if state.work_varies { state.work.mul_f64(FACTORS[turn]) } else { state.work };
            if is_probe {
                state.probes += 1;
            } else {
                let (whole, whole_ms) = (Instant::now(), unix_ms());
                state.arrivals.push(Arrival {
                    first_byte,
                    whole,
                    whole_ms,
                    text: text.clone(),
                    data_ms: None,
                    was_primary: state.was_primary,
                });
            }
            (work, state.answer_bytes, state.arrivals.len().saturating_sub(1))
        });
        while self.with(|state| state.hangs) {
            // It notices that the connection was closed, and drops the request.
            stream.set_read_timeout(Some(Duration::from_millis(20)))?;
            match stream.peek(&mut [0]) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => sleep_ms(20),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
            stream.set_read_timeout(None)?;
        }
        let mut out = Vec::new();
        if is_probe {
            put_row(&mut out, self.report().as_bytes());
            put(&mut out, b'Z', b"I");
            return stream.write_all(&out);
        }
        let is_write = text.contains("INSERT");
        let is_turned_away = is_write && self.with(|state| state.hands_over || !state.leader);
        thread::sleep(if is_turned_away { Duration::ZERO } else { work });
        let (leader, position, hands_over) = self.with(|state| {
            let position = state.position_ms();
            if !is_write {
                let was_primary = state.was_primary;
                let arrival = &mut state.arrivals[index];
                (arrival.data_ms, arrival.was_primary) = (Some(position), was_primary);
            }
            (state.leader, position, state.hands_over)
        });
        if is_write && hands_over {
            put_error(&mut out, "53300");
        } else if is_write && !leader {
            put_error(&mut out, "25006");
        } else {
            let id = comment_value(&text, "id").unwrap_or("").as_bytes().to_vec();
            let value = if answer_bytes == 0 { id } else { vec![b'v'; answer_bytes] };
            put_row(&mut out, &value);
        }
        put_status(&mut out, "node_role", if leader { "leader" } else { "follower" });
        put_status(&mut out, "replay_position", &position.to_string());
        put_status(&mut out, "server_load", &self.report());
        put(&mut out, b'Z', b"I");
        stream.write_all(&out)
    }

    fn report(&self) -> String {
        let (leader, position) = self.with(|state| (state.leader, state.position_ms()));
        format!(
            "x0={}.{:03},x1={},utilization=0.2,backlog=0",
            position / 1000,
            position % 1000,
            u8::from(leader)
        )
    }
}

/// Writes down every request that came whole at the members.
pub fn note_arrivals(record: &Record, members: &[Member]) {
    for member in members {
        for arrival in member.arrivals() {
            let data = arrival.data_ms.map(|at| arrival.whole_ms.saturating_sub(at));
            let data = data.map_or(String::new(), |age| format!(", served from data {age} ms old"));
            record.note_at(arrival.whole, format!("{} got{data}: {}", member.name, arrival.text));
        }
    }
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    let mut part = [0; 16 * 1024];
    match stream.read(&mut part)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            bytes.extend_from_slice(&part[..count]);
            Ok(())
        }
    }
}

// ---- Discovery ----

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub member: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    pub lifecycle: &'static str,
    pub role: &'static str,
    pub started_at_ms: u64,
}

impl Entry {
    pub fn of(member: &Member) -> Entry {
        Entry {
            member: member.name.clone(),
            address: member.address,
            zone: member.zone.clone(),
            group: member.group,
            lifecycle: "ready",
            role: if member.with(|state| state.leader) { "leader" } else { "follower" },
            started_at_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"std","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{},"role":"{}"}}"#,
            self.member, self.address, self.zone, self.group, self.lifecycle, self.started_at_ms, self.role
        )
    }
}

/// A list or a change of it, as JSON on one line.
pub fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let instances: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, instances.join(","))
}

/// The same list, indented and on several lines.
pub fn indented(json: &str) -> String {
    let (mut out, mut depth, mut in_text) = (String::new(), 0_usize, false);
    for c in json.chars() {
        in_text ^= c == '"';
        match c {
            '{' | '[' if !in_text => {
                depth += 1;
                out.push(c);
                out.push_str(&format!("\n{}", "    ".repeat(depth)));
            }
            '}' | ']' if !in_text => {
                depth -= 1;
                out.push_str(&format!("\n{}{c}", "    ".repeat(depth)));
            }
            ',' if !in_text => out.push_str(&format!(",\n{}", "    ".repeat(depth))),
            ':' if !in_text => out.push_str(": "),
            c => out.push(c),
        }
    }
    out
}

pub struct DiscoveryState {
    /// Whether lists come indented.
    pub indents: bool,
    pub generation: u64,
    pub entries: Vec<Entry>,
    /// The changes so far: each with the version that it leads to.
    changes: Vec<(u64, Vec<Entry>)>,
    /// How long each call waits for its turn before it is answered.
    pub call_delay: Duration,
    pub full_lists_sent: usize,
    pub calls: usize,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = DiscoveryState {
            indents: false,
            generation: 41,
            entries,
            changes: Vec::new(),
            call_delay: Duration::ZERO,
            full_lists_sent: 0,
            calls: 0,
        };
        let address = listener.local_addr().unwrap();
        let discovery = Discovery {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = serving.clone();
                thread::spawn(move || drop(discovery.serve(stream)));
            }
        });
        discovery
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut DiscoveryState) -> T) -> T {
        act(&mut self.state.0.lock().unwrap())
    }

    /// The whole list as of now.
    pub fn known(&self) -> String {
        self.with(|state| list_json(state.generation, true, &state.entries))
    }

    /// Replaces or adds entries, and tells the watches.
    pub fn change(&self, changed: Vec<Entry>) {
        let names: Vec<String> = changed.iter().map(|e| format!("{} {}", e.member, e.lifecycle)).collect();
        self.with(|state| {
            state.generation += 1;
            for entry in &changed {
                state.entries.retain(|known| known.member != entry.member);
                if entry.lifecycle != "gone" {
                    state.entries.push(entry.clone());
                }
            }
            state.changes.push((state.generation, changed));
        });
        self.state.1.notify_all();
        self.record.note(format!("discovery has: {}", names.join(", ")));
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
            read_more(&mut stream, &mut bytes)?;
        }
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let target = head.split(' ').nth(1).unwrap_or("").to_string();
        let delay = self.with(|state| {
            state.calls += 1;
            state.call_delay
        });
        self.record.note(format!("discovery is asked: {target}"));
        thread::sleep(delay);
        if !target.contains("watch=1") {
            let indents = self.with(|state| state.indents);
            let body = if indents { indented(&self.known()) } else { self.known() };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(format!("{head}{body}").as_bytes())?;
            self.with(|state| state.full_lists_sent += 1);
            return Ok(());
        }
        let mut from: u64 =
            target.split("from=").nth(1).and_then(|v| v.split('&').next()?.parse().ok()).unwrap_or(0);
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        loop {
            let mut state = self.state.0.lock().unwrap();
            if state.generation == from {
                state = self.state.1.wait_timeout(state, Duration::from_secs(2)).unwrap().0;
            }
            let mut lines: Vec<String> = state
                .changes
                .iter()
                .filter(|(version, _)| *version > from)
                .map(|(version, changed)| list_json(*version, false, changed))
                .map(|line| if state.indents { indented(&line) } else { line })
                .collect();
            from = state.generation;
            drop(state);
            if lines.is_empty() {
                lines.push(String::new());
            }
            for line in lines {
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                stream.write_all(chunk.as_bytes())?;
            }
        }
    }
}

// ---- Clients ----

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
    /// The connection ended without an answer.
    Closed,
    /// Nothing came in the time that the client looked for it.
    None,
}

impl Answer {
    pub fn word(&self) -> String {
        match self {
            Answer::Served(_) => "served".into(),
            Answer::Refused => "refused".into(),
            Answer::Failed(code) => format!("failed {code}"),
            Answer::Closed => "closed".into(),
            Answer::None => "no answer".into(),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let mut out = Vec::new();
        put_startup(&mut out);
        stream.write_all(&out)?;
        let mut client = Client { stream, bytes: Vec::new() };
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            match client.message(until)? {
                Some((b'Z', _)) => return Ok(client),
                Some(_) => {}
                None => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// The next message; none if it does not come until then.
    fn message(&mut self, until: Instant) -> io::Result<Option<(u8, Vec<u8>)>> {
        loop {
            if let Some(message) = take(&mut self.bytes) {
                return Ok(Some(message));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            match read_more(&mut self.stream, &mut self.bytes) {
                Ok(()) => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query_message(text))
    }

    /// Reads the answer to the next command.
    pub fn answer(&mut self, until: Instant) -> Answer {
        let (mut value, mut end) = (None, Answer::Closed);
        loop {
            match self.message(until) {
                Ok(Some((b'D', body))) => value = Some(body.get(6..).unwrap_or_default().to_vec()),
                Ok(Some((b'C', _))) => end = Answer::Served(value.take().unwrap_or_default()),
                Ok(Some((b'I', _))) => end = Answer::Served(Vec::new()),
                Ok(Some((b'E', body))) => {
                    let code = error_code(&body);
                    end = match code.as_str() {
                        "53300" | "57P03" => Answer::Refused,
                        _ => Answer::Failed(code),
                    };
                }
                Ok(Some((b'Z', _))) => return end,
                Ok(Some(_)) => {}
                Ok(None) => return Answer::None,
                Err(_) => return end,
            }
        }
    }

    pub fn ask(&mut self, text: &str, within: Duration) -> Answer {
        match self.send(text) {
            Ok(()) => self.answer(Instant::now() + within),
            Err(_) => Answer::Closed,
        }
    }
}

fn error_code(body: &[u8]) -> String {
    let field = body.split(|b| *b == 0).find(|field| field.first() == Some(&b'C'));
    field.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
}

static REQUESTS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

/// A new id.
pub fn new_id() -> String {
    let number = REQUESTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

// ---- The driver ----

/// The driver, started with the command of the deploy file.
pub struct Driver {
    pub address: SocketAddr,
    child: Child,
    pub folder: PathBuf,
    record: Record,
    config: String,
    discovery: SocketAddr,
}

/// A free port of 127.0.0.1.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Driver {
    /// Starts it with these settings and limits, and waits until it answers an empty query. The variables are
    /// set in its environment.
    pub fn start(
        record: &Record,
        discovery: SocketAddr,
        known: &str,
        limits: &str,
        settings: &str,
        variables: &HashMap<&str, String>,
    ) -> Result<Driver, String> {
        Driver::start_with(record, discovery, known, limits, settings, variables, "")
    }

    /// The same with more keys of the configuration, each followed by a comma.
    pub fn start_with(
        record: &Record,
        discovery: SocketAddr,
        known: &str,
        limits: &str,
        settings: &str,
        variables: &HashMap<&str, String>,
        more_keys: &str,
    ) -> Result<Driver, String> {
        let address = free_address();
        let temporary = std::env::var("CASE_TMP").map_err(|_| "CASE_TMP is not set")?;
        let folder = PathBuf::from(temporary).join(format!("driver-{}", address.port()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"{:016x}","limits":{limits},{more_keys}"known":{known},"settings":{settings}}}"#,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let path = folder.join("config.json");
        fs::write(&path, &config).map_err(|e| e.to_string())?;
        record.note(format!("configuration: {config}"));
        let deploy = fs::read_to_string("deploy/balancer.toml").map_err(|e| e.to_string())?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(String::from))
            .ok_or("the deploy file names no run command")?;
        let log = File::create(folder.join("log.txt")).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).env("RELAY_CONFIG", &path).env("TMPDIR", &folder);
        for name in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "BEACONSHORE_OPERATOR"] {
            command.env_remove(name);
        }
        command.env("BEACONSHORE_ENDS_WITH_PARENT", "1").envs(variables);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().map_err(|e| e.to_string())?;
        let driver = Driver { address, child, folder, record: record.clone(), config, discovery };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(address) {
                if client.ask("", Duration::from_secs(1)) == Answer::Served(Vec::new()) {
                    record.note(format!("the driver is ready, process {}", driver.pid()));
                    return Ok(driver);
                }
            }
            sleep_ms(20);
        }
        Err("the driver did not become ready".into())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.pid())).status();
        self.record.note(format!("signal {name} to the driver"));
    }

    /// Gives it a new configuration that names this discovery, with SIGHUP.
    pub fn move_discovery(&mut self, to: SocketAddr) {
        self.config = self
            .config
            .replace(&format!(r#""discovery":"{}""#, self.discovery), &format!(r#""discovery":"{to}""#));
        self.discovery = to;
        let (path, new) = (self.folder.join("config.json"), self.folder.join("config.json.new"));
        fs::write(&new, &self.config)
            .and_then(|()| fs::rename(&new, &path))
            .expect("the configuration is written");
        self.record.note(format!("a new configuration names discovery at {to}"));
        self.signal("HUP");
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_ascii_whitespace().nth(1)?.parse().ok()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        for line in lines.iter().take(40).chain(lines.iter().skip(40.max(lines.len().saturating_sub(20)))) {
            self.record.note(format!("driver's log: {line}"));
        }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- The end of a case ----

/// Runs the case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn run_case(case: impl FnOnce(&Record) -> Result<usize, String>) -> ! {
    let path = std::env::var("CASE_RECORD").unwrap_or_else(|_| {
        eprintln!("CASE_RECORD is not set; start the case with its run.sh");
        std::process::exit(2)
    });
    let record = Record::create(&path);
    record.say(if has_trouble() { "with the disruption" } else { "without the disruption" });
    let code = match case(&record) {
        Ok(0) => {
            record.say("the rule held");
            0
        }
        Ok(breaks) => {
            record.say(format!("the rule was broken {breaks} times"));
            1
        }
        Err(reason) => {
            record.say(format!("the case could not run: {reason}"));
            2
        }
    };
    std::process::exit(code)
}
