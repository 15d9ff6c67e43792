//! What members say of themselves, with an answer or in a load report.
//!
//! Owns nothing; reads text, and passes over what can't be read. Never decides what it means.

use beaconshore::interface::{Micros, ReplyStatus, Report, Role};
use beaconshore_settings::ReportField;

use crate::listing::{FOLLOWER, LEADER};
use crate::pg;

/// What a member said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// With the answer.
    pub note: ReplyStatus,
    /// In a load report.
    pub report: Report,
}

impl Told {
    /// Takes a value that the member told; junk and other names are passed over.
    pub fn take(&mut self, name: &[u8], value: &[u8]) {
        let Ok(value) = std::str::from_utf8(value) else { return };
        match name {
            b"replay_position" => {
                self.note.position = value.parse::<Micros>().ok().and_then(|ms| ms.checked_mul(1000))
            }
            b"node_role" if value == LEADER => self.note.role = Some(Role::Primary),
            b"node_role" if value == FOLLOWER => self.note.role = Some(Role::Replica),
            b"server_load" => self.report = report(value).unwrap_or_default(),
            _ => {}
        }
    }

    /// What a probe learnt: a note counts as a report, which speaks of the time of its position.
    pub fn as_report(&self) -> Report {
        let position = self.report.position.max(self.note.position);
        Report { position, role: self.note.role.or(self.report.role), ..self.report }
    }
}

/// A load report, as `name=value,...`; none if any of it can't be read.
pub fn report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for pair in text.split(',') {
        let (name, value) =
            pair.split_once('=').filter(|(name, value)| !name.is_empty() && !value.is_empty())?;
        let field = ReportField::named(name.trim());
        if field == ReportField::Other {
            continue;
        }
        let millionths = pg::micro_units(value.trim())?;
        match field {
            // Seconds of Unix time.
            ReportField::Position => report.position = Some(millionths).filter(|&p| p > 0),
            ReportField::Role if millionths == 1_000_000 => report.role = Some(Role::Primary),
            ReportField::Role => report.role = Some(Role::Replica),
            ReportField::Utilization => report.utilization = Some(millionths as f64 / 1e6),
            ReportField::Backlog => report.backlog = Some(millionths as f64 / 1e6),
            ReportField::Other => {}
        }
    }
    Some(report)
}
