//! Hosts the module's instances: batches of events in, replies with their actions out.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use beaconshore::interface::{
    Action, AttemptResult, Event, GroupId, ListEntry, ListKind, ListedState, MemberId, MemberUpdate, Outcome,
    ReplyStatus, Report, Request, RequestId, Role, SessionId, ZoneId,
};
use beaconshore::Router;
use beaconshore_settings::{Dialect, ReportField, Site};

use crate::frame::{Header, Reader, Reply};

mod code {
    pub const SPAWN: u8 = 1;
    pub const MEMBERSHIP: u8 = 2;
    pub const ASK: u8 = 3;
    pub const HEAD_RECEIVED: u8 = 4;
    pub const ATTEMPT_END: u8 = 5;
    pub const HANGUP: u8 = 6;
    pub const REMINDER: u8 = 7;
    pub const PROBE_RESULT: u8 = 8;
    pub const DATAGRAM: u8 = 9;
    pub const HALT: u8 = 10;
    pub const CATALOG: u8 = 11;
    pub const DISPATCH: u8 = 65;
    pub const BUSY: u8 = 66;
    pub const LOSE: u8 = 67;
    pub const SCHEDULE: u8 = 69;
    pub const TEST: u8 = 70;
    pub const DROP_CONNS: u8 = 71;
    pub const POST: u8 = 72;
    pub const PRINT: u8 = 73;
    pub const DIE: u8 = 74;
    pub const FOLLOW: u8 = 75;
}

/// Flag of a request that its client has sent before.
const CLIENT_REPEAT: u8 = 2;
/// Numbers of the member tables that a process can hold.
const TABLES: u8 = 16;

/// Words of 8 bytes that a message of 256 holds.
const MESSAGE_WORDS: usize = 32;
/// The address of all other instances.
const ALL_PEERS: u16 = u16::MAX;

struct Instance {
    router: Router,
    dialect: Dialect,
}

/// All instances of this process, and the member tables that they share by the wire's rules.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u8, Vec<ListEntry>>,
}

impl Host {
    /// Handles one batch (its bytes after the header) and writes the reply.
    pub fn batch(&mut self, header: Header, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut reply = Reply::new(header.batch);
        let mut records = Reader::new(body);
        let mut number = 0;
        while records.left() > 0 {
            number += 1;
            let at = |e: String| format!("batch {}, record {number}: {e}", header.batch);
            let code = records.u8().map_err(at)?;
            let length = records.u32().map_err(at)? as usize;
            let mut fields = Reader::new(records.take(length).map_err(at)?);
            self.record(header.clock, code, &mut fields, &mut reply)
                .and_then(|()| fields.finish())
                .map_err(|e| at(format!("code {code}: {e}")))?;
        }
        Ok(reply.finish())
    }

    fn record(&mut self, now: u64, code: u8, r: &mut Reader, reply: &mut Reply) -> Result<(), String> {
        if code == code::CATALOG {
            let (table, entries) = catalog(r)?;
            self.tables.insert(table, entries);
            return Ok(());
        }
        let driver = r.u32()?;
        match code {
            code::SPAWN => {
                let seed = r.u64()?;
                let length = r.u32()? as usize;
                let Site { settings, dialect } = Site::parse(r.take(length)?)?;
                self.instances.insert(driver, Instance { router: Router::new(settings, seed, now), dialect });
                return Ok(());
            }
            code::HALT => {
                self.instances.remove(&driver);
                return Ok(());
            }
            _ => {}
        }
        let instance =
            self.instances.get_mut(&driver).ok_or_else(|| format!("instance {driver} is not running"))?;
        let Some(event) = event(code, r, &self.tables, &instance.dialect)? else { return Ok(()) };
        let handled = catch_unwind(AssertUnwindSafe(|| {
            let mut actions = Vec::new();
            instance.router.handle(now, &event, &mut actions);
            actions
        }));
        match handled {
            Ok(actions) => actions.iter().for_each(|action| write(driver, action, &instance.dialect, reply)),
            Err(cause) => {
                let text = panic_text(cause.as_ref());
                text_record(reply, code::DIE, driver, &text);
            }
        }
        Ok(())
    }
}

fn panic_text(cause: &(dyn std::any::Any + Send)) -> String {
    let text = cause.downcast_ref::<&str>().map(|s| s.to_string());
    text.or_else(|| cause.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "the module failed".to_string())
}

fn catalog(r: &mut Reader) -> Result<(u8, Vec<ListEntry>), String> {
    let table = r.u8()?;
    if table >= TABLES {
        return Err(format!("table {table} is over {}", TABLES - 1));
    }
    let count = r.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(entry(r)?);
    }
    Ok((table, entries))
}

fn entry(r: &mut Reader) -> Result<ListEntry, String> {
    let listed = match r.u8()? {
        0 => ListedState::Gone,
        1 => ListedState::Ready,
        2 => ListedState::Draining,
        other => return Err(format!("list entry: health {other} is not known")),
    };
    let zone = ZoneId(r.u16()?);
    let group = GroupId(u32::from(r.u16()?));
    let started = Some(r.u64()?).filter(|&t| t > 0);
    let _kind = r.u16()?;
    let primary = r.f32()? == 1.0;
    let member = MemberId(r.u32()?);
    let _capacity_hint = r.f32()?;
    Ok(ListEntry { member, group, zone, listed, started, primary })
}

fn event<'t>(
    code: u8,
    r: &mut Reader,
    tables: &'t BTreeMap<u8, Vec<ListEntry>>,
    dialect: &Dialect,
) -> Result<Option<Event<'t>>, String> {
    Ok(Some(match code {
        code::MEMBERSHIP => {
            let form = r.u8()?;
            let _version = r.u64()?;
            let table = r.u8()?;
            let kind = match form {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => return Ok(Some(Event::List(ListKind::Failed, &[]))),
                other => return Err(format!("list form {other} is not known")),
            };
            let entries = tables.get(&table).ok_or_else(|| format!("table {table} was never declared"))?;
            Event::List(kind, entries)
        }
        code::ASK => Event::Request(request(r)?),
        code::HEAD_RECEIVED => {
            r.take(8 + 2 + 4 + 4)?;
            return Ok(None);
        }
        code::ATTEMPT_END => {
            let request = RequestId(r.u64()?);
            let _attempt = r.u16()?;
            let outcome = outcome(r.u16()?)?;
            let member = MemberId(r.u32()?);
            let note = note(r.u32()?, dialect);
            let took = u64::from(r.u32()?);
            let finished = r.u8()? != 0;
            let report = report(r, dialect)?;
            Event::AttemptEnded(AttemptResult { request, member, outcome, note, took, finished, report })
        }
        code::HANGUP => Event::ClientDisconnected(RequestId(r.u64()?)),
        code::REMINDER => {
            let _name = r.u32()?;
            Event::Timer
        }
        code::PROBE_RESULT => {
            let member = MemberId(r.u32()?);
            let outcome = outcome(r.u16()?)?;
            let _took = r.u32()?;
            Event::ProbeEnded { member, outcome, report: report(r, dialect)? }
        }
        code::DATAGRAM => {
            let _from = r.u32()?;
            let length = r.u16()? as usize;
            Event::PeerUpdates(words(r.take(length)?, dialect))
        }
        _ => return Err("no such event".to_string()),
    }))
}

fn request(r: &mut Reader) -> Result<Request, String> {
    let id = RequestId(r.u64()?);
    let _hint = r.u32()?;
    let session = Some(SessionId(r.u64()?)).filter(|s| s.0 != 0);
    let class = usize::from(r.u16()?);
    let repeat = r.u8()? & CLIENT_REPEAT != 0;
    let _tenant = r.u32()?;
    let budget = u64::from(r.u32()?);
    let ago_ms = r.f32()?;
    let shard = r.f32()?;
    // Milliseconds as a 32-bit float: rounded towards the later commit, the stricter one.
    let last_write_ago = (ago_ms > 0.0).then(|| (f64::from(ago_ms.next_down()) * 1000.0) as u64);
    Ok(Request { id, class, group: GroupId(shard as u32), session, budget, repeat, last_write_ago })
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Served,
        404 => Outcome::Misdirected,
        410 => Outcome::NeverSent,
        499 => Outcome::Cancelled,
        500 => Outcome::Error,
        502 => Outcome::Unreachable,
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        598 => Outcome::Reset,
        other => return Err(format!("outcome {other} is not known")),
    })
}

/// A message between routers: for each member its id and a note, as answers carry it. What is left over at
/// the end of one is passed over.
fn words(bytes: &[u8], dialect: &Dialect) -> Vec<MemberUpdate> {
    let mut r = Reader::new(bytes);
    let mut words = Vec::new();
    while let (Ok(member), Ok(raw)) = (r.u32(), r.u32()) {
        let note = note(raw, dialect);
        words.extend(note.position.map(|position| MemberUpdate {
            member: MemberId(member),
            position,
            role: note.role,
        }));
    }
    words
}

/// The note that says this of a member, rounded down to milliseconds.
fn note_of(word: &MemberUpdate, dialect: &Dialect) -> u32 {
    let ms = word.position.saturating_sub(dialect.zero) / 1000;
    let role = match word.role {
        Some(Role::Primary) => 1,
        Some(Role::Replica) => 2,
        None => 0,
    };
    u32::try_from(ms << 2 | role).unwrap_or(0)
}

fn note(raw: u32, dialect: &Dialect) -> ReplyStatus {
    let role = match raw & 3 {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let ms = u64::from(raw >> 2);
    ReplyStatus { position: (ms > 0).then(|| dialect.zero.saturating_add(ms * 1000)), role }
}

fn report(r: &mut Reader, dialect: &Dialect) -> Result<Report, String> {
    let count = r.u8()?;
    let mut report = Report::default();
    for i in 0..usize::from(count) {
        let value = r.f32()?;
        if !value.is_finite() || value < 0.0 {
            continue;
        }
        let wide = f64::from(value);
        match dialect.report.get(i).copied().unwrap_or(ReportField::Other) {
            // The float may have been rounded up: the next one down is certainly reached.
            ReportField::Position if value > 0.0 => {
                let reached = (f64::from(value.next_down()) * 1e6) as u64;
                report.position = Some(dialect.zero.saturating_add(reached));
            }
            ReportField::Role => report.role = Some(if value == 1.0 { Role::Primary } else { Role::Replica }),
            ReportField::Utilization => report.utilization = Some(wide),
            ReportField::Backlog => report.backlog = Some(wide),
            ReportField::Position | ReportField::Other => {}
        }
    }
    Ok(report)
}

fn write(driver: u32, action: &Action, dialect: &Dialect, reply: &mut Reply) {
    let driver_bytes = driver.to_le_bytes();
    let micros = |us: u64| u32::try_from(us).unwrap_or(u32::MAX).to_le_bytes();
    match action {
        Action::Send { request, member, wait } => reply.record(
            code::DISPATCH,
            &[&driver_bytes, &request.0.to_le_bytes(), &member.0.to_le_bytes(), &micros(*wait)],
        ),
        Action::Refuse { request, retry_after } => {
            reply.record(code::BUSY, &[&driver_bytes, &request.0.to_le_bytes(), &micros(*retry_after)]);
        }
        Action::Fail(request) => reply.record(code::LOSE, &[&driver_bytes, &request.0.to_le_bytes()]),
        Action::CloseIdle(member) => {
            reply.record(code::DROP_CONNS, &[&driver_bytes, &member.0.to_le_bytes()]);
        }
        Action::SendPeerUpdates(words) => words.chunks(MESSAGE_WORDS).for_each(|chunk| {
            let data: Vec<u8> = chunk
                .iter()
                .flat_map(|w| [w.member.0.to_le_bytes(), note_of(w, dialect).to_le_bytes()].concat())
                .collect();
            let length = (data.len() as u16).to_le_bytes();
            reply.record(code::POST, &[&driver_bytes, &ALL_PEERS.to_le_bytes(), &length, &data]);
        }),
        Action::Probe(member) => reply.record(code::TEST, &[&driver_bytes, &member.0.to_le_bytes()]),
        Action::SetTimer(after) => {
            reply.record(code::SCHEDULE, &[&driver_bytes, &micros(*after), &0u32.to_le_bytes()]);
        }
        // There, members stay known, and no planner runs.
        Action::Forget(_) | Action::SpillLoans(_) => {}
        Action::Subscribe => reply.record(code::FOLLOW, &[&driver_bytes, &[1]]),
        Action::Log(text) => text_record(reply, code::PRINT, driver, text),
    }
}

fn text_record(reply: &mut Reply, code: u8, driver: u32, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    reply.record(code, &[&driver.to_le_bytes(), &(bytes.len() as u16).to_le_bytes(), bytes]);
}

#[cfg(test)]
mod tests;
