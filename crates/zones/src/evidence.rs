//! What members and peers told, dated, by member; and what that says of a zone as a whole.

use std::collections::BTreeMap;

use beaconshore::interface::{GroupId, ListEntry, ListedState, MemberId, Micros, Outcome, RequestId, ZoneId};

/// An attempt is overdue after this many times what answers of its zone usually take...
const OVERDUE: f64 = 4.0;
/// ...but not before this, in microseconds.
const LEAST_OVERDUE: Micros = 200_000;
/// Weight of a new sample in running means.
const GAIN: f64 = 0.05;
/// Peers' words on this share of the members that fail here tell a cut way from a lost zone.
const TOLD_SHARE: f64 = 0.5;

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// What the list says of it.
    pub listed: ListedState,
    /// Its last start, if that is not long ago.
    pub started: Option<Micros>,
    /// When it last answered this router, in whatever way.
    pub answered: Micros,
    /// When it first failed since then.
    pub failing: Option<Micros>,
    /// The highest position that it told.
    pub position: Micros,
    /// When it told that.
    pub heard: Micros,
    /// When it last was known to be alive from elsewhere.
    pub told: Micros,
    /// Busy share of its cores, where it reports that.
    pub utilization: Option<f64>,
    /// Attempts that are out, with when they were sent.
    out: Vec<(RequestId, Micros)>,
    probed: Option<Micros>,
}

impl Record {
    fn new(entry: &ListEntry) -> Self {
        Record {
            zone: entry.zone,
            group: entry.group,
            listed: entry.listed,
            started: entry.started,
            answered: 0,
            failing: None,
            position: 0,
            heard: 0,
            told: 0,
            utilization: None,
            out: Vec::new(),
            probed: None,
        }
    }

    /// Since when it fails: by attempts that ended so, or by one that is overdue.
    fn fails_since(&self, overdue: Micros, now: Micros) -> Option<Micros> {
        let late = self.out.iter().map(|(_, sent)| *sent).min();
        let late = late.filter(|sent| now > sent + overdue && self.answered < *sent);
        match (self.failing, late) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

/// What a zone's members show, counted by member: each is a way of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Assessment {
    /// Members that are listed, or were until lately, and have answered before.
    pub known: usize,
    /// Of these, those that fail.
    pub failing: usize,
    /// Of these, those that answered within the time of silence and do not fail.
    pub answering: usize,
    /// Of the failing, those that peers heard from since.
    pub heard_elsewhere: usize,
    /// When any of them last answered.
    pub last_answer: Micros,
    /// The share of its answering replicas whose position is within the bound.
    pub fresh: f64,
    /// Mean distance of the known positions from now, in microseconds.
    pub lag: f64,
    /// The busiest reported utilization among those that answer.
    pub utilization: f64,
    /// The latest start among those that answer.
    pub youngest: Option<Micros>,
}

/// What a failure of a whole zone looks like from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its members answer, or fail each for itself.
    Stands,
    /// They fail together, and nobody heard of them since.
    Lost,
    /// They fail together, but peers heard from them: the way there is cut.
    CutOff,
}

impl Assessment {
    /// Whether its members fail together. One member alone is no zone: the decision module judges it by itself.
    pub fn verdict(&self, quorum: f64, silence: Micros, now: Micros) -> Verdict {
        let judged = self.failing + self.answering;
        let enough = self.failing >= 2 && self.failing as f64 >= quorum * judged as f64;
        if !enough || now <= self.last_answer + silence {
            return Verdict::Stands;
        }
        match self.heard_elsewhere as f64 >= TOLD_SHARE * self.failing as f64 {
            true => Verdict::CutOff,
            false => Verdict::Lost,
        }
    }
}

/// All members' records, and what answers of each zone usually take.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    records: BTreeMap<MemberId, Record>,
    usual: BTreeMap<ZoneId, f64>,
}

impl Evidence {
    /// A list's entry.
    pub fn on_entry(&mut self, entry: &ListEntry) {
        let record = self.records.entry(entry.member).or_insert_with(|| Record::new(entry));
        record.listed = entry.listed;
        (record.zone, record.group) = (entry.zone, entry.group);
        record.started = record.started.max(entry.started);
    }

    /// Members that a whole list does not hold are gone.
    pub fn on_missing(&mut self, listed: &dyn Fn(MemberId) -> bool) {
        let missing = self.records.iter_mut().filter(|(id, _)| !listed(**id));
        missing.for_each(|(_, record)| record.listed = ListedState::Gone);
    }

    /// The decision module forgot it, so does this.
    pub fn forget(&mut self, member: MemberId) {
        self.records.remove(&member);
    }

    /// An attempt goes out.
    pub fn on_send(&mut self, request: RequestId, member: MemberId, now: Micros) {
        if let Some(record) = self.records.get_mut(&member) {
            record.out.push((request, now));
        }
    }

    /// An attempt ended. Whatever a member says, it lives; a cancelled or unsent attempt tells nothing.
    /// What answers usually take is learnt only while `learn` says that the zone is as usual.
    pub fn on_end(
        &mut self,
        request: RequestId,
        member: MemberId,
        (outcome, took): (Outcome, Micros),
        learn: bool,
        now: Micros,
    ) {
        let Some(record) = self.records.get_mut(&member) else { return };
        record.out.retain(|(r, _)| *r != request);
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Rejected | Outcome::Misdirected => {
                (record.answered, record.failing) = (now, None);
            }
            // One that answered others since this was sent has lost a connection, not its life.
            Outcome::TimedOut | Outcome::Reset | Outcome::Unreachable => {
                if record.answered + took <= now {
                    record.failing = record.failing.or(Some(now.saturating_sub(took)));
                }
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
        if outcome == Outcome::Served && learn {
            let usual = self.usual.entry(record.zone).or_insert(took as f64);
            *usual += GAIN * (took as f64 - *usual);
        }
    }

    /// A probe goes out.
    pub fn on_probe(&mut self, member: MemberId, now: Micros) {
        if let Some(record) = self.records.get_mut(&member) {
            record.probed = Some(now);
        }
    }

    /// A probe ended; how long it took, if it was answered.
    pub fn on_probed(&mut self, member: MemberId, outcome: Outcome, now: Micros) -> Option<(ZoneId, Micros)> {
        let record = self.records.get_mut(&member)?;
        let sent = record.probed.take();
        if outcome == Outcome::Served {
            (record.answered, record.failing) = (now, None);
            return sent.map(|sent| (record.zone, now.saturating_sub(sent)));
        }
        record.failing = record.failing.or(sent).or(Some(now));
        None
    }

    /// What a member said of itself.
    pub fn on_said(
        &mut self,
        member: MemberId,
        position: Option<Micros>,
        utilization: Option<f64>,
        now: Micros,
    ) {
        let Some(record) = self.records.get_mut(&member) else { return };
        if let Some(p) = position.filter(|p| *p >= record.position && *p <= now) {
            (record.position, record.heard) = (p, now);
        }
        record.utilization = utilization.or(record.utilization);
    }

    /// A peer heard that a member had reached a position: it lived then.
    pub fn on_word(&mut self, member: MemberId, position: Micros, now: Micros) {
        if let Some(record) = self.records.get_mut(&member).filter(|_| position <= now) {
            record.told = record.told.max(position);
        }
    }

    /// What answers of a zone usually take, in microseconds; 0 without any.
    pub fn usual(&self, zone: ZoneId) -> f64 {
        self.usual.get(&zone).copied().unwrap_or(0.0)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = (MemberId, &Record)> {
        self.records.iter().map(|(id, record)| (*id, record))
    }

    /// A member's record.
    pub fn record(&self, member: MemberId) -> Option<&Record> {
        self.records.get(&member)
    }

    /// What all zones show now, in one pass over the members.
    pub fn assess(&self, silence: Micros, bound: Micros, now: Micros) -> BTreeMap<ZoneId, Assessment> {
        let mut zones: BTreeMap<ZoneId, (Assessment, usize, usize)> = BTreeMap::new();
        for record in self.records.values() {
            let (zone, placed, fresh) = zones.entry(record.zone).or_default();
            if record.answered == 0 {
                continue;
            }
            zone.known += 1;
            zone.last_answer = zone.last_answer.max(record.answered);
            let overdue = LEAST_OVERDUE.max((OVERDUE * self.usual(record.zone)) as Micros);
            if let Some(since) = record.fails_since(overdue, now) {
                zone.failing += 1;
                // What was on its way when the failure began proves nothing.
                zone.heard_elsewhere += usize::from(record.told > since + silence);
            } else if now <= record.answered + silence.max(overdue) {
                zone.answering += 1;
                zone.youngest = zone.youngest.max(record.started);
                zone.utilization = zone.utilization.max(record.utilization.unwrap_or(0.0));
                if record.heard > 0 {
                    let behind = record.heard.saturating_sub(record.position);
                    *placed += 1;
                    *fresh += usize::from(behind <= bound);
                    zone.lag += behind as f64;
                }
            }
        }
        let settle = |(zone, (mut a, placed, fresh)): (ZoneId, (Assessment, usize, usize))| {
            a.fresh = if placed == 0 { 1.0 } else { fresh as f64 / placed as f64 };
            a.lag /= placed.max(1) as f64;
            (zone, a)
        };
        zones.into_iter().map(settle).collect()
    }
}
