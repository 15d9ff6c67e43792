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

    /// What is still credible if the answer did not end as it should: that the member is not the primary.
    /// Whether its position is that of the member or of a commit, and whether its role is that of the time of
    /// the answer, is not certain then.
    pub fn denial(&self) -> SelfReport {
        let replica_only = |role: Option<Role>| role.filter(|role| *role == Role::Replica);
        let status = ReplyStatus { position: None, role: replica_only(self.status.role) };
        let report = Report { role: replica_only(self.report.role), ..Report::default() };
        SelfReport { status, report }
    }

    /// What a probe found out, as a report. A role in the answer itself is newer than one in a load report,
    /// and goes with the newer position. A role in a load report goes with the position there.
    pub fn to_report(&self) -> Report {
        match self.status.role {
            Some(role) => {
                let position = self.report.position.max(self.status.position);
                Report { position, role: Some(role), ..self.report }
            }
            None => Report { position: self.report.position.or(self.status.position), ..self.report },
        }
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
