//! What comes from a client: bytes, messages, its departure, its wish to cancel.

use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use super::limits::{MAX_OPEN, MAX_USELESS};
use super::{CancelFlag, Connection, Due, End, Fault, Left, Look, Stage, Use};
use crate::budget::Share;
use crate::pg::{self, sqlstate, BadRequest, Frontend, Opening, Severity};

impl Connection {
    // ---- What comes from the client ----

    /// Notes that bytes came; `was_empty`: none were at hand before.
    pub fn read(&mut self, count: usize, was_empty: bool, now: Instant) {
        self.parting = None;
        match self.stage {
            Stage::Ending(_) | Stage::Draining => self.discarded += count,
            _ if was_empty && self.used == Use::Used => self.since = now,
            _ => {}
        }
    }

    /// Looks at the first message at hand.
    pub fn look<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        match self.stage {
            // What answers the opening is written before the next message is looked at.
            Stage::Opening if self.output.is_none() => self.look_at_opening(bytes, now),
            Stage::Serving if self.queue.len() < MAX_OPEN => self.look_at_message(bytes, now),
            // Nothing that comes after the end is decided is ever taken.
            Stage::Ending(_) | Stage::Draining if !bytes.is_empty() => Look::Passed(bytes.len()),
            _ => Look::Nothing,
        }
    }

    fn look_at_opening<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        match pg::opening(bytes) {
            Ok(None) => Look::Nothing,
            Ok(Some((Opening::Startup, length))) => {
                self.stage = Stage::Serving;
                let mut out = Vec::new();
                pg::put_welcome(&mut out, self.key);
                self.write(out, false, None, now);
                Look::Login(&bytes[..length])
            }
            Ok(Some((Opening::Encryption, length))) => {
                match self.note_useless(None) {
                    true => self.write(vec![pg::NO_ENCRYPTION], false, None, now),
                    false => self.stage = Stage::Ending(End::Quiet),
                }
                Look::Passed(length)
            }
            // Its connection carries nothing else, and no answer.
            Ok(Some((Opening::Cancel(key), length))) => {
                self.stage = Stage::Ending(End::Quiet);
                Look::Cancel(key, length)
            }
            Err(broken) => {
                self.end(Fault::Stream, broken.sqlstate(), broken.to_string());
                Look::Passed(bytes.len())
            }
        }
    }

    fn look_at_message<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        let (message, length) = match pg::frontend(bytes) {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Look::Nothing,
            Err(broken) => {
                self.end(Fault::Stream, broken.sqlstate(), broken.to_string());
                return Look::Passed(bytes.len());
            }
        };
        let mut out = Vec::new();
        match message {
            Frontend::Terminate => {
                self.stage = Stage::Ending(End::Quiet);
                return Look::Passed(length);
            }
            Frontend::Ignored => {}
            Frontend::Sync => {
                self.skipping = false;
                pg::put_ready(&mut out);
            }
            Frontend::Extended if self.skipping => {}
            Frontend::Extended => {
                self.skipping = true;
                let code = sqlstate::FEATURE_NOT_SUPPORTED;
                pg::put_error(&mut out, Severity::Error, code, "only simple queries are taken", None);
            }
            Frontend::Query(query) if query.trim_ascii().is_empty() => {
                pg::put_empty(&mut out);
                pg::put_ready(&mut out);
                self.owe(out);
                self.note_use(now);
                return Look::Passed(length);
            }
            Frontend::Query(query) => return Look::Request(query, length),
        }
        if !out.is_empty() {
            self.owe(out);
        }
        self.pass_useless(now);
        Look::Passed(length)
    }

    /// The request that was just looked at is taken.
    pub fn took(
        &mut self,
        id: RequestId,
        name: Rc<[u8]>,
        cancel_flag: CancelFlag,
        large: Option<Share>,
        now: Instant,
    ) {
        self.queue.push_back(Due::Open { id, name, cancel_flag, _large: large });
        self.note_use(now);
    }

    /// The request that was just looked at is none that can be taken.
    pub fn declined(&mut self, (code, text): BadRequest, now: Instant) {
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Error, code, text, None);
        pg::put_ready(&mut out);
        self.owe(out);
        self.pass_useless(now);
    }

    /// The client has closed, or its connection broke: what is open is left by it, and nothing is owed any more.
    pub fn gone(&mut self) -> Vec<Left> {
        self.stage = Stage::Over;
        self.output = None;
        let open = self.queue.drain(..).filter_map(|due| match due {
            Due::Open { id, name, cancel_flag, .. } => {
                cancel_flag.cancel();
                Some(Left { id, name })
            }
            Due::Ready { .. } => None,
        });
        open.collect()
    }

    /// The client cancelled what is under way: each open request is answered with that, and left.
    pub fn cancelled(&mut self) -> Vec<Left> {
        let mut left = Vec::new();
        self.cancelled = true;
        for due in &mut self.queue {
            if matches!(due, Due::Ready { .. }) {
                continue;
            }
            let mut bytes = Vec::new();
            let text = "cancelled as its client asked; the statement may have run";
            pg::put_error(&mut bytes, Severity::Error, sqlstate::QUERY_CANCELED, text, None);
            pg::put_ready(&mut bytes);
            if let Due::Open { id, name, cancel_flag, .. } =
                std::mem::replace(due, Due::Ready { bytes, _large: None })
            {
                cancel_flag.cancel();
                left.push(Left { id, name });
            }
        }
        left
    }

    /// Notes a request: what comes next begins now.
    fn note_use(&mut self, now: Instant) {
        (self.used, self.since, self.useless) = (Use::Used, now, 0);
    }

    /// Notes a message that was no request; false if there were too many.
    fn note_useless(&mut self, now: Option<Instant>) -> bool {
        self.useless += 1;
        if let (Use::Used, Some(now)) = (self.used, now) {
            self.since = now;
        }
        self.useless < MAX_USELESS
    }

    fn pass_useless(&mut self, now: Instant) {
        if !self.note_useless(Some(now)) {
            let text = "too many messages in a row were no requests";
            self.end(Fault::Stream, sqlstate::PROTOCOL_VIOLATION, text.into());
        }
    }
}
