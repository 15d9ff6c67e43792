//! What members report of themselves, with an answer or in a load report.
//!
//! Owns no state. It parses text and skips what is malformed; what a report means is decided elsewhere.

use beaconshore::interface::{Micros, ReplyStatus, Report, Role};
use beaconshore_settings::ReportField;

use crate::membership::{FOLLOWER, LEADER};
use crate::pg;

/// What a member reported of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct SelfReport {
    /// What came with an answer.
    pub status: ReplyStatus,
    /// What came in a load report.
    pub report: Report,
}

impl SelfReport {
    /// Takes a value that the member sent. Malformed values and unknown names are skipped.
    pub fn record_value(&mut self, name: &[u8], value: &[u8]) {
        let Ok(value) = std::str::from_utf8(value) else { return };
        match name {
            b"replay_position" => {
                self.status.position = value.parse::<Micros>().ok().and_then(|ms| ms.checked_mul(1000))
            }
            b"node_role" if value == LEADER => self.status.role = Some(Role::Primary),
            b"node_role" if value == FOLLOWER => self.status.role = Some(Role::Replica),
            b"server_load" => self.report = parse_load_report(value).unwrap_or_default(),
            _ => {}
        }
    }

    /// What a probe found out, as a report. A status that came with the answer counts as a report of the time
    /// of its position.
    pub fn to_report(&self) -> Report {
        let position = self.report.position.max(self.status.position);
        Report { position, role: self.status.role.or(self.report.role), ..self.report }
    }
}

/// Parses a load report of the form `name=value,...`. None if any part of it is malformed.
pub fn parse_load_report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for pair in text.split(',') {
        let (name, value) =
            pair.split_once('=').filter(|(name, value)| !name.is_empty() && !value.is_empty())?;
        let field = ReportField::from_name(name.trim());
        if field == ReportField::Other {
            continue;
        }
        let millionths = pg::parse_millionths(value.trim())?;
        match field {
            // The position is given in seconds of Unix time.
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
