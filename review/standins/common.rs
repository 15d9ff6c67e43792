//! Stand-ins for the cases of this review: members, discovery, clients, and the driver as a process of its own.
//! Standard library only. All sockets are on loopback addresses and every wait has an end.
#![allow(dead_code)]

use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    start: u64,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = fs::File::create(path).expect("the record can be written");
        Record { start: now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = (now() - self.start) as f64 / 1e6;
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }

    /// A line that is printed too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// Seconds since the start of the record.
    pub fn seconds(&self, at: u64) -> f64 {
        (at as f64 - self.start as f64) / 1e6
    }
}

// ---- Messages of the wire ----

pub fn put(out: &mut Vec<u8>, kind: u8, content: &[u8]) {
    out.push(kind);
    out.extend((content.len() as u32 + 4).to_be_bytes());
    out.extend(content);
}

fn put_row(out: &mut Vec<u8>, value: &[u8]) {
    let mut column = vec![0, 1];
    column.extend(b"payload\0");
    column.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    put(out, b'T', &column);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    put(out, b'D', &row);
    put(out, b'C', b"SELECT 1\0");
}

fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str) {
    put(out, b'E', format!("S{severity}\0V{severity}\0C{code}\0M{text}\0\0").as_bytes());
}

fn put_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn startup() -> Vec<u8> {
    let content = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(content.len() as u32 + 4).to_be_bytes()[..], content].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put(&mut out, b'Q', &[text.as_bytes(), &[0]].concat());
    out
}

/// Takes the first whole message off the front.
fn take(bytes: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    let length = u32::from_be_bytes(bytes.get(1..5)?.try_into().unwrap()) as usize;
    let message = bytes.get(5..1 + length)?.to_vec();
    let kind = bytes[0];
    bytes.drain(..1 + length);
    Some((kind, message))
}

/// A value of a statement's comment.
pub fn named<'s>(statement: &'s str, name: &str) -> Option<&'s str> {
    let comment = statement.strip_prefix("/*")?.split("*/").next()?;
    comment.trim().split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

fn error_field(content: &[u8], field: u8) -> Option<String> {
    let mut fields = content.split(|b| *b == 0).filter(|f| !f.is_empty());
    fields.find(|f| f[0] == field).map(|f| String::from_utf8_lossy(&f[1..]).into_owned())
}

// ---- Members ----

/// One request that reached a member whole.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub class: String,
    /// When its last byte had come from the driver.
    pub arrived_at: u64,
    /// When the member answered it; none if it never did.
    pub answered_at: Option<u64>,
    /// The position that the member had applied when it answered.
    pub position: u64,
    pub leader: bool,
    pub wrote: bool,
}

pub struct MemberState {
    pub leader: bool,
    /// How far the member is behind the present in applying the log, in microseconds, as a function of the time.
    pub lag: Box<dyn Fn(u64) -> u64 + Send>,
    /// Work on a request.
    pub work: Duration,
    /// What the network adds on the way to the member, and again on the way back.
    pub link_delay: Duration,
    /// One of so many messages over the link is lost; 0: none.
    pub link_loses_one_in: u64,
    pub link_messages: u64,
    /// The process is gone: connections are reset and new ones refused.
    pub dead: bool,
    /// The next answer to a write ends its connection right after CommandComplete.
    pub cuts_next_write: bool,
    /// Each answer tells the position and a load report; otherwise only a write's answer tells its commit.
    pub tells_position: bool,
    pub runs: Vec<Run>,
    /// When probes were answered, with the role that was told.
    pub probes: Vec<(u64, bool)>,
    streams: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<MemberState>>,
    pub record: Record,
}

impl Member {
    pub fn start(record: &Record, name: &str, zone: &str, leader: bool) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = MemberState {
            leader,
            lag: Box::new(|_| 10_000),
            work: ms(60),
            link_delay: Duration::ZERO,
            link_loses_one_in: 0,
            link_messages: 0,
            dead: false,
            cuts_next_write: false,
            tells_position: true,
            runs: Vec::new(),
            probes: Vec::new(),
            streams: Vec::new(),
        };
        let member = Member {
            name: name.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let serving = member.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.set(|s| s.dead) {
                    return;
                }
                let member = serving.clone();
                let copy = stream.try_clone().unwrap();
                member.set(|s| s.streams.push(copy));
                thread::spawn(move || drop(member.serve(stream)));
            }
        });
        member
    }

    pub fn set<T>(&self, change: impl FnOnce(&mut MemberState) -> T) -> T {
        change(&mut self.state.lock().unwrap())
    }

    /// The process dies: open connections end, new ones are refused.
    pub fn die(&self) {
        self.set(|s| {
            s.dead = true;
            s.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        });
        // Lets the accepting thread end, which closes the listener.
        let _ = TcpStream::connect(self.address);
        thread::sleep(ms(20));
    }

    /// The position that it has applied, in microseconds.
    pub fn position(&self) -> u64 {
        self.set(|s| position(s, now()))
    }

    pub fn entry(&self, role: &str) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"m","cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0,"role":"{}"}}"#,
            self.name, self.address, self.zone, role
        )
    }

    /// A message passes the link to or from this member. False if it is lost.
    fn pass_link(&self) -> bool {
        let (delay, lost) = self.set(|s| {
            s.link_messages += 1;
            (s.link_delay, s.link_loses_one_in > 0 && s.link_messages % s.link_loses_one_in == 0)
        });
        thread::sleep(delay);
        !lost
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        while bytes.len() < 4 || bytes.len() < u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize {
            if !more(&mut stream, &mut bytes)? {
                return Ok(());
            }
        }
        let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
        bytes.drain(..length);
        // The start of a connection is not subject to losses here: TCP repeats what is lost.
        thread::sleep(self.set(|s| s.link_delay) * 2);
        let mut out = Vec::new();
        put(&mut out, b'R', &[0; 4]);
        put(&mut out, b'Z', b"I");
        stream.write_all(&out)?;
        loop {
            let Some((kind, content)) = take(&mut bytes) else {
                if !more(&mut stream, &mut bytes)? {
                    return Ok(());
                }
                continue;
            };
            if kind != b'Q' {
                return Ok(());
            }
            let arrived_at = now();
            let text = String::from_utf8_lossy(&content[..content.len() - 1]).into_owned();
            if !self.query(&text, arrived_at, &mut stream)? {
                return Ok(());
            }
        }
    }

    /// Answers one query; false if the connection ends.
    fn query(&self, text: &str, arrived_at: u64, stream: &mut TcpStream) -> io::Result<bool> {
        if text.trim().is_empty() {
            let mut out = Vec::new();
            put(&mut out, b'I', b"");
            put(&mut out, b'Z', b"I");
            stream.write_all(&out)?;
            return Ok(true);
        }
        let is_probe = text.starts_with("SHOW ") || text == "SELECT 1";
        if !self.pass_link() {
            // The request is lost on the way; the connection stays open and quiet.
            self.record.line(&format!("{}: the link lost a request", self.name));
            return Ok(true);
        }
        let mut out = Vec::new();
        if is_probe {
            let (report, leader) = self.set(|s| (report(s), s.leader));
            put_row(&mut out, report.as_bytes());
            put(&mut out, b'Z', b"I");
            if self.pass_link() {
                stream.write_all(&out)?;
                let role = if leader { "leader" } else { "follower" };
                self.record.line(&format!("{}: answered a probe: {role}, {report}", self.name));
                self.set(|s| s.probes.push((now(), leader)));
            }
            return Ok(true);
        }
        let id = named(text, "id").unwrap_or("?").to_string();
        let class = named(text, "c").unwrap_or("?").to_string();
        let is_write = text.contains("INSERT");
        let wait = named(text, "d").unwrap_or("?").to_string();
        self.record.line(&format!("{}: request {id} of class {class} has come, d={wait}", self.name));
        let (index, work) = self.set(|s| {
            let (id, class, leader) = (id.clone(), class.clone(), s.leader);
            s.runs.push(Run { id, class, arrived_at, answered_at: None, position: 0, leader, wrote: false });
            (s.runs.len() - 1, s.work)
        });
        let refused = is_write && !self.set(|s| s.leader);
        if !refused {
            thread::sleep(work);
        }
        if self.set(|s| s.dead) {
            return Ok(false);
        }
        let (position, role, report, tells, cut) = self.set(|s| {
            let at = position(s, now());
            let cut = is_write && !refused && std::mem::take(&mut s.cuts_next_write);
            (at, if s.leader { "leader" } else { "follower" }, report(s), s.tells_position, cut)
        });
        if refused {
            put_error(&mut out, "ERROR", "25006", "this is no primary");
        } else {
            let key = text.split('\'').nth(1).unwrap_or_default();
            put_row(&mut out, key.as_bytes());
        }
        if !cut {
            put_status(&mut out, "node_role", role);
            if tells || (is_write && !refused) {
                // A commit is rounded up, a position down.
                let told = if is_write && !refused { position.div_ceil(1000) } else { position / 1000 };
                put_status(&mut out, "replay_position", &told.to_string());
            }
            if tells {
                put_status(&mut out, "server_load", &report);
            }
            put(&mut out, b'Z', b"I");
        }
        if !self.pass_link() {
            self.record.line(&format!("{}: the link lost the answer to {id}", self.name));
            self.set(|s| s.runs[index].wrote = is_write && !refused);
            return Ok(true);
        }
        stream.write_all(&out)?;
        let answered_at = now();
        self.set(|s| {
            let run = &mut s.runs[index];
            (run.answered_at, run.position, run.wrote) = (Some(answered_at), position, is_write && !refused);
        });
        let what = if refused { "25006" } else { "a row" };
        let age = answered_at.saturating_sub(position) / 1000;
        self.record.line(&format!("{}: answered {id} with {what} as {role}, position {age} ms old", self.name));
        Ok(!cut)
    }
}

fn position(state: &MemberState, at: u64) -> u64 {
    if state.leader { at } else { at - (state.lag)(at) }
}

fn report(state: &MemberState) -> String {
    let at = position(state, now()) / 1000;
    format!("x0={}.{:03},x1={},utilization=0.2", at / 1000, at % 1000, u8::from(state.leader))
}

fn more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 * 1024];
    let count = stream.read(&mut part)?;
    bytes.extend_from_slice(&part[..count]);
    Ok(count > 0)
}

// ---- Discovery ----

/// Answers with one list that never changes: whole, and as watches that say every 2 s that nothing is new.
pub fn discovery(entries: &[String]) -> (SocketAddr, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let list = format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, entries.join(","));
    let text = list.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let text = text.clone();
            thread::spawn(move || {
                let mut bytes = Vec::new();
                while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
                    if !more(&mut stream, &mut bytes).unwrap_or(false) {
                        return;
                    }
                }
                if !String::from_utf8_lossy(&bytes).contains("watch=1") {
                    let length = text.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}");
                    let _ = stream.write_all(head.as_bytes());
                    return;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
                let mut sent = stream.write_all(head.as_bytes());
                while sent.is_ok() {
                    thread::sleep(ms(2000));
                    sent = stream.write_all(b"1\r\n\n\r\n");
                }
            });
        }
    });
    (address, list)
}

// ---- The driver ----

/// The driver as a process, started by the command of the deploy file.
pub struct Driver {
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    log: PathBuf,
    run: String,
}

/// What a case sets in the driver's configuration.
pub struct Setup {
    pub discovery: SocketAddr,
    pub known: String,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The settings, as JSON.
    pub settings: String,
}

impl Driver {
    /// `run` is the command of the deploy file. The files go into the folder that `CASE_TMP` names.
    pub fn start(setup: &Setup) -> Driver {
        let run = std::env::var("DEPLOY_RUN").expect("DEPLOY_RUN names the command of the deploy file");
        let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a folder"));
        let free = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let Setup { discovery, known, memory_mb, sockets, settings } = setup;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        let path = folder.join("driver.json");
        fs::write(&path, config).unwrap();
        let log = folder.join("driver.log");
        let child = spawn(&run, &path, &log);
        let driver = Driver { address, child, config: path, log, run };
        driver.await_ready();
        driver
    }

    /// Waits until it answers an empty query.
    fn await_ready(&self) {
        let end = Instant::now() + ms(20_000);
        while Instant::now() < end {
            if let Ok(mut client) = Client::connect(self.address) {
                if client.send("").is_ok() && client.answer(ms(1000)).kinds == "IZ" {
                    return;
                }
            }
            thread::sleep(ms(10));
        }
        println!("the driver is not ready within 20 s");
        std::process::exit(2);
    }

    /// Kills it and starts it again under its address, with its last known list.
    pub fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.run, &self.config, &self.log);
        self.await_ready();
    }

    /// Asks it to end, and waits for that.
    pub fn terminate(&mut self) {
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        let end = Instant::now() + ms(8_000);
        while Instant::now() < end && !self.has_ended() {
            thread::sleep(ms(10));
        }
    }

    /// Stops (true) or continues (false) the process.
    pub fn pause(&self, stop: bool) {
        let signal = if stop { "-STOP" } else { "-CONT" };
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    /// Its process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Copies lines of its log that hold one of these texts into the record.
    pub fn copy_log(&self, record: &Record, texts: &[&str]) {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines().filter(|line| texts.iter().any(|text| line.contains(text))) {
            record.line(&format!("driver's log: {line}"));
        }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(run: &str, config: &PathBuf, log: &PathBuf) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    Command::new("/bin/sh")
        .args(["-c", run])
        .env("RELAY_CONFIG", config)
        .env("RUST_LOG", "info")
        .env("BEACONSHORE_ENDS_WITH_PARENT", "1")
        .env_remove("RELAY_NAME")
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_DISCOVERY")
        .env_remove("BEACONSHORE_OPERATOR")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the driver starts")
}

// ---- Clients ----

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id; the process makes it unlike those of other runs.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), IDS.fetch_add(1, Ordering::Relaxed))
}

pub fn read_text(id: &str, class: &str, wait_ms: u64, key: &str) -> String {
    format!("/* id={id},c={class},d={wait_ms},cluster=0 */ SELECT payload FROM entries WHERE ref = '{key}'")
}

/// A keyed write whose value has this many bytes.
pub fn write_text(id: &str, class: &str, wait_ms: u64, key: &str, value_bytes: usize) -> String {
    let value = "5a".repeat(value_bytes);
    format!(
        "/* id={id},c={class},d={wait_ms},k={id},cluster=0 */ INSERT INTO entries (ref, payload) VALUES ('{key}', '\\x{value}') RETURNING payload"
    )
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The kinds of its messages, in order. Empty: nothing came.
    pub kinds: String,
    pub code: Option<String>,
    pub at: u64,
    /// Whether the connection ended.
    pub ended: bool,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        self.kinds.contains("TDC")
    }

    /// Whether it is a final answer: served, refused or failed.
    pub fn is_final(&self) -> bool {
        self.is_served() || self.code.is_some()
    }

    pub fn describe(&self) -> String {
        match (&self.code, self.is_served()) {
            (Some(code), _) => format!("error {code}"),
            (None, true) => "served".into(),
            (None, false) if self.ended => "connection ended without an answer".into(),
            (None, false) => "nothing".into(),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Client {
    /// Connects and reads the welcome.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut client = Client::raw(address)?;
        client.stream.write_all(&startup())?;
        let answer = client.answer(ms(5000));
        if answer.kinds.ends_with('Z') { Ok(client) } else { Err(io::ErrorKind::ConnectionAborted.into()) }
    }

    pub fn raw(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(5000))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, bytes: Vec::new() })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query(text))
    }

    /// All up to ReadyForQuery, a fatal error, the end of the connection, or the end of the wait.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let end = Instant::now() + wait;
        let mut answer = Answer::default();
        loop {
            while let Some((kind, content)) = take(&mut self.bytes) {
                answer.kinds.push(kind as char);
                answer.at = now();
                match kind {
                    b'Z' => return answer,
                    b'E' => answer.code = error_field(&content, b'C'),
                    _ => {}
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return answer;
            }
            self.stream.set_read_timeout(Some(left.max(ms(1)))).unwrap();
            match more(&mut self.stream, &mut self.bytes) {
                Ok(true) => {}
                Ok(false) => {
                    answer.ended = true;
                    return answer;
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    answer.ended = true;
                    return answer;
                }
            }
        }
    }
}

/// Whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
