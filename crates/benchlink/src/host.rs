//! Runs the instances of the decision module: decodes batches of events, and encodes the resulting actions as replies.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use beaconshore::interface::{
    Action, AttemptResult, Event, GroupId, ListEntry, ListKind, ListedState, MemberId, MemberUpdate, Outcome,
    ReplyStatus, Report, Request, RequestId, Role, SessionId, ZoneId,
};
use beaconshore::Router;
use beaconshore_settings::{ProtocolSettings, ReportField, RouterSettings};

use crate::frame::{Header, Reader, Reply};

/// Codes of the records in batches (below 64) and in replies.
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

/// Bit of a request's flags that is set if its client has sent the request before.
const REPEAT_FLAG: u8 = 2;
/// Number of member tables that a process can hold; tables are numbered from 0.
const TABLE_COUNT: u8 = 16;

/// Number of member updates, of 8 bytes each, in a message between routers, which is limited to 256 bytes.
const MAX_UPDATES_PER_MESSAGE: usize = 32;
/// Destination of a message to all other instances.
const ALL_PEERS: u16 = u16::MAX;

/// One simulated driver: its decision module, and the settings to translate events and actions.
struct Instance {
    router: Router,
    protocol: ProtocolSettings,
}

/// All instances of this process, and the member tables that they share, as the protocol defines.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u8, Vec<ListEntry>>,
}

impl Host {
    /// Handles the records of one batch in order, and returns the encoded reply. `body` holds the bytes after the header.
    pub fn batch(&mut self, header: Header, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut reply = Reply::new(header.batch);
        let mut records = Reader::new(body);
        let mut number = 0;
        while records.left() > 0 {
            number += 1;
            let locate = |e: String| format!("batch {}, record {number}: {e}", header.batch);
            let code = records.u8().map_err(locate)?;
            let length = records.u32().map_err(locate)? as usize;
            let mut fields = Reader::new(records.take(length).map_err(locate)?);
            self.handle_record(header.clock, code, &mut fields, &mut reply)
                .and_then(|()| fields.finish())
                .map_err(|e| locate(format!("code {code}: {e}")))?;
        }
        Ok(reply.finish())
    }

    /// Handles one record. A panic of the decision module ends up as a record in the reply.
    fn handle_record(
        &mut self,
        now: u64,
        code: u8,
        input: &mut Reader,
        reply: &mut Reply,
    ) -> Result<(), String> {
        if code == code::CATALOG {
            let (table, entries) = decode_table(input)?;
            self.tables.insert(table, entries);
            return Ok(());
        }
        let driver = input.u32()?;
        match code {
            code::SPAWN => {
                let seed = input.u64()?;
                let length = input.u32()? as usize;
                let RouterSettings { module, protocol } = RouterSettings::parse(input.take(length)?)?;
                self.instances.insert(driver, Instance { router: Router::new(module, seed, now), protocol });
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
        let Some(event) = decode_event(code, input, &self.tables, &instance.protocol)? else { return Ok(()) };
        let result = catch_unwind(AssertUnwindSafe(|| {
            let mut actions = Vec::new();
            instance.router.handle(now, &event, &mut actions);
            actions
        }));
        match result {
            Ok(actions) => {
                actions.iter().for_each(|action| encode_action(driver, action, &instance.protocol, reply))
            }
            Err(panic) => {
                let text = panic_text(panic.as_ref());
                text_record(reply, code::DIE, driver, &text);
            }
        }
        Ok(())
    }
}

/// The message of a panic.
fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "the module failed".to_string())
}

/// Decodes a member table with its number.
fn decode_table(reader: &mut Reader) -> Result<(u8, Vec<ListEntry>), String> {
    let table = reader.u8()?;
    if table >= TABLE_COUNT {
        return Err(format!("table {table} exceeds the greatest number {}", TABLE_COUNT - 1));
    }
    let count = reader.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(decode_entry(reader)?);
    }
    Ok((table, entries))
}

/// Decodes one entry of a member table.
fn decode_entry(reader: &mut Reader) -> Result<ListEntry, String> {
    let listed = match reader.u8()? {
        0 => ListedState::Gone,
        1 => ListedState::Ready,
        2 => ListedState::Draining,
        other => return Err(format!("list entry: unknown health {other}")),
    };
    let zone = ZoneId(reader.u16()?);
    let group = GroupId(u32::from(reader.u16()?));
    let started = Some(reader.u64()?).filter(|&t| t > 0);
    let _kind = reader.u16()?;
    let primary = reader.f32()? == 1.0;
    let member = MemberId(reader.u32()?);
    let _capacity_hint = reader.f32()?;
    Ok(ListEntry { member, group, zone, listed, started_at: started, primary })
}

/// Decodes the fields of an event; `None` for an event that the decision module has no use for.
fn decode_event<'t>(
    code: u8,
    reader: &mut Reader,
    tables: &'t BTreeMap<u8, Vec<ListEntry>>,
    protocol: &ProtocolSettings,
) -> Result<Option<Event<'t>>, String> {
    Ok(Some(match code {
        code::MEMBERSHIP => {
            let form = reader.u8()?;
            let _version = reader.u64()?;
            let table = reader.u8()?;
            let kind = match form {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => return Ok(Some(Event::List(ListKind::Failed, &[]))),
                other => return Err(format!("unknown list form {other}")),
            };
            let entries = tables.get(&table).ok_or_else(|| format!("table {table} was never declared"))?;
            Event::List(kind, entries)
        }
        code::ASK => Event::Request(decode_request(reader)?),
        code::HEAD_RECEIVED => {
            reader.take(8 + 2 + 4 + 4)?;
            return Ok(None);
        }
        code::ATTEMPT_END => {
            let request = RequestId(reader.u64()?);
            let _attempt = reader.u16()?;
            let outcome = decode_outcome(reader.u16()?)?;
            let member = MemberId(reader.u32()?);
            let note = decode_note(reader.u32()?, protocol);
            let took = u64::from(reader.u32()?);
            let finished = reader.u8()? != 0;
            let report = decode_report(reader, protocol)?;
            Event::AttemptEnded(AttemptResult {
                request,
                member,
                outcome,
                status: note,
                duration: took,
                request_finished: finished,
                report,
            })
        }
        code::HANGUP => Event::ClientDisconnected(RequestId(reader.u64()?)),
        code::REMINDER => {
            let _name = reader.u32()?;
            Event::Timer
        }
        code::PROBE_RESULT => {
            let member = MemberId(reader.u32()?);
            let outcome = decode_outcome(reader.u16()?)?;
            let _took = reader.u32()?;
            Event::ProbeEnded { member, outcome, report: decode_report(reader, protocol)? }
        }
        code::DATAGRAM => {
            let _from = reader.u32()?;
            let length = reader.u16()? as usize;
            Event::PeerUpdates(decode_updates(reader.take(length)?, protocol))
        }
        _ => return Err("no such event: the code is unknown".to_string()),
    }))
}

/// Decodes a request.
fn decode_request(reader: &mut Reader) -> Result<Request, String> {
    let id = RequestId(reader.u64()?);
    let _hint = reader.u32()?;
    let session = Some(SessionId(reader.u64()?)).filter(|s| s.0 != 0);
    let class = usize::from(reader.u16()?);
    let repeat = reader.u8()? & REPEAT_FLAG != 0;
    let _tenant = reader.u32()?;
    let budget = u64::from(reader.u32()?);
    let last_write_ms = reader.f32()?;
    let group = reader.f32()?;
    // The value is a 32-bit float in milliseconds, which may have been rounded. The next lower value is used: it stands for
    // a later commit, and so for the stricter requirement.
    let last_write_ago =
        (last_write_ms > 0.0).then(|| (f64::from(last_write_ms.next_down()) * 1000.0) as u64);
    Ok(Request {
        id,
        class,
        group: GroupId(group as u32),
        session,
        budget,
        is_repeat: repeat,
        last_write_ago,
    })
}

/// Decodes the outcome of an attempt or a probe.
fn decode_outcome(code: u16) -> Result<Outcome, String> {
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
        other => return Err(format!("unknown outcome {other}")),
    })
}

/// Decodes a message between routers: for each member its id and a note in the encoding of answers. Incomplete bytes at the
/// end are ignored.
fn decode_updates(bytes: &[u8], protocol: &ProtocolSettings) -> Vec<MemberUpdate> {
    let mut reader = Reader::new(bytes);
    let mut updates = Vec::new();
    while let (Ok(member), Ok(raw)) = (reader.u32(), reader.u32()) {
        let note = decode_note(raw, protocol);
        updates.extend(note.position.map(|position| MemberUpdate {
            member: MemberId(member),
            position,
            role: note.role,
        }));
    }
    updates
}

/// Encodes a member update as a note, with the position rounded down to milliseconds.
fn encode_note(update: &MemberUpdate, protocol: &ProtocolSettings) -> u32 {
    let ms = update.position.saturating_sub(protocol.zero_time) / 1000;
    let role = match update.role {
        Some(Role::Primary) => 1,
        Some(Role::Replica) => 2,
        None => 0,
    };
    u32::try_from(ms << 2 | role).unwrap_or(0)
}

/// Decodes a note: the position in milliseconds after the zero time, times 4, plus the code of the role.
fn decode_note(raw: u32, protocol: &ProtocolSettings) -> ReplyStatus {
    let role = match raw & 3 {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let ms = u64::from(raw >> 2);
    ReplyStatus { position: (ms > 0).then(|| protocol.zero_time.saturating_add(ms * 1000)), role }
}

/// Decodes a load report. Values that are not finite or negative are ignored.
fn decode_report(reader: &mut Reader, protocol: &ProtocolSettings) -> Result<Report, String> {
    let count = reader.u8()?;
    let mut report = Report::default();
    for index in 0..usize::from(count) {
        let value = reader.f32()?;
        if !value.is_finite() || value < 0.0 {
            continue;
        }
        let value_f64 = f64::from(value);
        match protocol.report_fields.get(index).copied().unwrap_or(ReportField::Other) {
            // The float may have been rounded up; the member has certainly reached the next lower value.
            ReportField::Position if value > 0.0 => {
                let after_zero_us = (f64::from(value.next_down()) * 1e6) as u64;
                report.position = Some(protocol.zero_time.saturating_add(after_zero_us));
            }
            ReportField::Role => report.role = Some(if value == 1.0 { Role::Primary } else { Role::Replica }),
            ReportField::Utilization => report.utilization = Some(value_f64),
            ReportField::Backlog => report.backlog = Some(value_f64),
            ReportField::Position | ReportField::Other => {}
        }
    }
    Ok(report)
}

/// Encodes an action as records of the reply.
fn encode_action(driver: u32, action: &Action, protocol: &ProtocolSettings, reply: &mut Reply) {
    let driver_bytes = driver.to_le_bytes();
    let micros = |us: u64| u32::try_from(us).unwrap_or(u32::MAX).to_le_bytes();
    match action {
        Action::Send { request, member, timeout: wait } => reply.record(
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
        Action::SendPeerUpdates(updates) => updates.chunks(MAX_UPDATES_PER_MESSAGE).for_each(|chunk| {
            let data: Vec<u8> = chunk
                .iter()
                .flat_map(|update| {
                    [update.member.0.to_le_bytes(), encode_note(update, protocol).to_le_bytes()].concat()
                })
                .collect();
            let length = (data.len() as u16).to_le_bytes();
            reply.record(code::POST, &[&driver_bytes, &ALL_PEERS.to_le_bytes(), &length, &data]);
        }),
        Action::Probe(member) => reply.record(code::TEST, &[&driver_bytes, &member.0.to_le_bytes()]),
        Action::SetTimer(after) => {
            reply.record(code::SCHEDULE, &[&driver_bytes, &micros(*after), &0u32.to_le_bytes()]);
        }
        // In this protocol members stay known, and no zone planner runs.
        Action::Forget(_) | Action::SpillLoans(_) | Action::ReportPrimary(_) => {}
        Action::Subscribe => reply.record(code::FOLLOW, &[&driver_bytes, &[1]]),
        Action::Log(text) => text_record(reply, code::PRINT, driver, text),
    }
}

/// Appends a record with a text, cut to the greatest length that its field can hold.
fn text_record(reply: &mut Reply, code: u8, driver: u32, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    reply.record(code, &[&driver.to_le_bytes(), &(bytes.len() as u16).to_le_bytes(), bytes]);
}

#[cfg(test)]
mod tests;
