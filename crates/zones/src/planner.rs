//! The planner: takes the events and actions of one router, keeps every zone's state, and says what changes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use beaconshore::interface::{
    Action, Advice, Consistency, Event, GroupId, ListEntry, ListKind, ListedState, MemberId, Micros, Outcome,
    RequestId, Role, Settings, SpillLimit, SpillLoan, ZoneAdvice, ZoneId,
};

use crate::evidence::{Assessment, Evidence, Record, Verdict};
use crate::policy::Policy;
use crate::ramp::STEPS;
use crate::spill::{allot, Account, Demand, Wish, ROUND};
use crate::state::{Change, Phase, State};
use crate::tiers::Tiers;
use crate::window::WINDOW;

/// A group is at home where it had members within this time: a lost zone's members leave the list.
const HOME_MEMORY: Micros = 600_000_000;
/// A member of a zone that is lost or on its way back is probed this often at most, in microseconds.
const PROBE_PAUSE: Micros = 500_000;
/// That pause is for this many routers; more of them ask more rarely, so that members are not busy with answers.
const PROBING: u32 = 16;
/// So many such probes go out in a round at most, whatever the size of the zone.
const PROBES: usize = 4;
/// The router's figure for a request's work is the least that its mean has been; the mean is about this much more.
const MEAN: f64 = 1.15;
/// Other routers are asked for parts of their limits this often at most, in microseconds.
const ASK_PAUSE: Micros = 250_000;
/// Times what wants to spill: limits are to have room for what comes unevenly.
const ASK_AHEAD: f64 = 1.4;
/// More routers than this lend each other nothing: messages grow with the square of their number.
const MOST_LENDERS: u32 = 32;
/// Talks that may wait to be sent; others ask again.
const MOST_TALKS: usize = 64;
/// Windows are fitted to what requests take this often.
const FIT_PAUSE: Micros = 1_000_000;
/// Requests that are followed at once; of further ones it is not known what they wanted to spill.
const MOST_REQUESTS: usize = 65_536;

/// One zone as it stands, for whoever asks.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneStatus {
    /// Which zone, and what operators call it.
    pub zone: ZoneId,
    /// Its name.
    pub name: String,
    /// Place in this router's order of preference.
    pub tier: u16,
    /// Where it stands, in a word.
    pub phase: &'static str,
    /// Since when, on the caller's clock.
    pub since: Micros,
    /// Step of the way back, if it is on that.
    pub step: Option<usize>,
    /// Share of reads that may go there.
    pub share: f64,
    /// Work of other zones' reads that this router sent there within the last second, in microseconds.
    pub spilled: f64,
    /// Its limit; none if nothing is stated.
    pub spill_limit: Option<f64>,
    /// How often this router turned away from it or back to it.
    pub turned: u64,
}

impl fmt::Display for ZoneStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "zone={} tier={} phase={} share={:.2}", self.name, self.tier, self.phase, self.share)?;
        if let Some(step) = self.step {
            write!(f, " step={}/{}", step + 1, STEPS.len())?;
        }
        if let Some(limit) = self.spill_limit {
            write!(f, " spilled_ms={:.0} limit_ms={:.0}", self.spilled / 1e3, limit / 1e3)?;
        }
        write!(f, " turned={}", self.turned)
    }
}

struct Zone {
    state: State,
    account: Option<Account>,
    seen: Assessment,
}

/// Plans for one router.
pub struct Planner {
    policy: Policy,
    settings: Settings,
    bound: Micros,
    evidence: Evidence,
    tiers: Tiers,
    zones: BTreeMap<ZoneId, Zone>,
    /// Where groups have members, and until when that counts.
    homes: BTreeMap<GroupId, BTreeMap<MemberId, (ZoneId, Micros)>>,
    /// The members that last said to be primaries: reads have their home with replicas, which offload these.
    primaries: BTreeMap<GroupId, MemberId>,
    told_homes: BTreeMap<GroupId, u16>,
    told: BTreeMap<ZoneId, ZoneAdvice>,
    requests: BTreeMap<RequestId, (usize, GroupId)>,
    demand: Demand,
    probed: BTreeMap<MemberId, Micros>,
    round_at: Micros,
    asked: Micros,
    fitted: Micros,
    talks: Vec<SpillLoan>,
    changes: Vec<(ZoneId, Change)>,
}

impl Planner {
    /// A planner that knows nothing but its policy, which was checked, and its router's settings.
    pub fn new(policy: Policy, settings: &Settings, now: Micros) -> Self {
        let bound = |c: &beaconshore::interface::Class| match c.consistency {
            Consistency::Bounded(bound) => Some(bound),
            _ => None,
        };
        Planner {
            policy: Policy { number: policy.number.filter(|_| settings.routers <= MOST_LENDERS), ..policy },
            bound: settings.classes.iter().filter_map(bound).min().unwrap_or(1_000_000),
            settings: settings.clone(),
            evidence: Evidence::default(),
            tiers: Tiers::default(),
            zones: BTreeMap::new(),
            homes: BTreeMap::new(),
            primaries: BTreeMap::new(),
            told_homes: BTreeMap::new(),
            told: BTreeMap::new(),
            requests: BTreeMap::new(),
            demand: Demand::default(),
            probed: BTreeMap::new(),
            round_at: now,
            asked: 0,
            fitted: 0,
            talks: Vec::new(),
            changes: Vec::new(),
        }
    }

    // ---- What its router is told ----

    /// Takes an event before the router does.
    pub fn on_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::List(kind, entries) => self.on_list(*kind, entries, now),
            Event::Request(request) | Event::RequestWithLimits(request, _)
                if self.requests.len() < MOST_REQUESTS =>
            {
                self.requests.insert(request.id, (request.class, request.group));
            }
            Event::AttemptEnded(ended) => {
                let zone = self.evidence.record(ended.member).map(|r| r.zone);
                let state = zone.and_then(|z| self.zones.get_mut(&z)).map(|z| &mut z.state);
                let ramp = state.and_then(State::ramp);
                let learn = ramp.is_none();
                match (ramp, ended.outcome) {
                    (Some(ramp), Outcome::Served) => ramp.on_end(true, ended.took),
                    (Some(ramp), Outcome::TimedOut | Outcome::Reset | Outcome::Unreachable) => {
                        ramp.on_end(false, ended.took);
                    }
                    _ => {}
                }
                let how = (ended.outcome, ended.took);
                self.evidence.on_end(ended.request, ended.member, how, learn, now);
                let utilization = ended.report.utilization;
                self.evidence.on_said(ended.member, ended.report.position, utilization, now);
                let commit = ended.outcome == Outcome::Served && self.is_write(ended.request);
                let position = ended.note.position.filter(|_| !commit);
                self.on_role(ended.member, ended.note.role);
                self.evidence.on_said(ended.member, position, None, now);
                if ended.finished {
                    self.requests.remove(&ended.request);
                }
            }
            Event::ProbeEnded { member, outcome, report } => {
                if let Some((zone, took)) = self.evidence.on_probed(*member, *outcome, now) {
                    self.tiers.sample(zone, took);
                }
                if *outcome == Outcome::Served {
                    let zone = self.evidence.record(*member).and_then(|r| self.zones.get_mut(&r.zone));
                    zone.and_then(|z| z.state.ramp()).into_iter().for_each(|ramp| ramp.on_probe());
                    self.on_role(*member, report.role);
                    self.evidence.on_said(*member, report.position, report.utilization, now);
                }
            }
            Event::PeerUpdates(words) => {
                words.iter().for_each(|w| self.evidence.on_word(w.member, w.position, now));
            }
            Event::ClientDisconnected(request) => drop(self.requests.remove(request)),
            Event::SpillLoans(from, talks) => self.on_talk(*from, talks, now),
            Event::Request(_)
            | Event::RequestWithLimits(..)
            | Event::RetryNotBefore(..)
            | Event::Advice(_)
            | Event::Timer => {}
        }
    }

    fn on_role(&mut self, member: MemberId, role: Option<Role>) {
        if let Some(record) = self.evidence.record(member).filter(|_| role == Some(Role::Primary)) {
            self.primaries.insert(record.group, member);
        }
    }

    /// Another router asks for a part of a limit, or lends one.
    fn on_talk(&mut self, from: u32, talks: &[SpillLoan], now: Micros) {
        let Some(number) = self.policy.number.filter(|number| *number != from) else { return };
        for talk in talks {
            let account = self.zones.get_mut(&talk.zone).and_then(|z| z.account.as_mut());
            let Some(account) = account else { continue };
            match talk.to {
                Some(to) if to == number => account.borrow(from, talk.work, talk.until, now),
                Some(_) => {}
                None => {
                    let lent = account.lend(from, talk.work, now);
                    let talk = |(work, until)| SpillLoan { zone: talk.zone, to: Some(from), work, until };
                    self.talks.extend(lent.map(talk));
                }
            }
        }
        self.talks.truncate(MOST_TALKS);
    }

    /// Asks the others for a part of their limits, where more wants to spill than this router's own allow.
    fn ask(&mut self, now: Micros) {
        if self.policy.number.is_none() || now < self.asked + ASK_PAUSE {
            return;
        }
        self.asked = now;
        let wanted = ASK_AHEAD * self.demand.sum();
        let open = |z: &Zone| !z.state.is_doubted() && z.account.is_some();
        let limits = self.zones.values().filter(|z| open(z)).filter_map(|z| z.account.as_ref());
        // Without what is borrowed: that is renewed for as long as it is needed.
        let (count, own) = limits.fold((0.0, 0.0), |(n, sum), a| (n + 1.0, sum + a.own(now)));
        if count == 0.0 || wanted <= own {
            return;
        }
        let work = (wanted - own) / count;
        let needs = self.zones.iter().filter(|(_, z)| open(z));
        let talk = |zone: ZoneId| SpillLoan { zone, to: None, work, until: now };
        self.talks.extend(needs.map(|(zone, _)| talk(*zone)));
    }

    fn is_write(&self, request: RequestId) -> bool {
        let class = self.requests.get(&request).and_then(|(class, _)| self.settings.classes.get(*class));
        class.is_some_and(|c| c.consistency == Consistency::Write)
    }

    fn on_list(&mut self, kind: ListKind, entries: &[ListEntry], now: Micros) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            let listed: BTreeSet<MemberId> = entries.iter().map(|e| e.member).collect();
            self.evidence.on_missing(&|id| listed.contains(&id));
        }
        for entry in entries {
            self.evidence.on_entry(entry);
            if entry.listed != ListedState::Gone {
                let place = (entry.zone, now + HOME_MEMORY);
                self.homes.entry(entry.group).or_default().insert(entry.member, place);
            }
            if entry.primary {
                self.primaries.entry(entry.group).or_insert(entry.member);
            }
            // A router that has forgotten a group needs to be told of it again.
            self.told_homes.remove(&entry.group);
            if !self.zones.contains_key(&entry.zone) {
                let account = self.limit_of(entry.zone).map(Account::new);
                let zone = Zone { state: State::new(now), account, seen: Assessment::default() };
                self.zones.insert(entry.zone, zone);
            }
        }
        self.round_at = now;
    }

    /// This router's part of what may spill into a zone in any second, in microseconds of work.
    fn limit_of(&self, zone: ZoneId) -> Option<f64> {
        let stated = self.policy.of(zone).filter(|z| z.capacity > 0.0 && zone != self.settings.zone)?;
        let outside = self.settings.routers.saturating_sub(stated.routers).max(1);
        Some(self.policy.spill_share * stated.capacity * WINDOW as f64 / f64::from(outside))
    }

    // ---- What its router does ----

    /// Takes what the router answered; `work` is what a request of a class takes.
    pub fn on_actions(&mut self, now: Micros, actions: &[Action], work: impl Fn(usize) -> f64) {
        self.fit(now, &work);
        for action in actions {
            match action {
                Action::Send { request, member, .. } => self.on_send(*request, *member, now, &work),
                Action::Refuse { request, .. } | Action::Fail(request) => {
                    let Some((class, group)) = self.requests.remove(request) else { continue };
                    // What is turned away while its home is not whole would have spilled.
                    if self.is_read(class) && !self.is_home_well(group) {
                        self.demand.note(class, MEAN * work(class));
                    }
                }
                Action::Probe(member) => self.evidence.on_probe(*member, now),
                Action::Forget(member) => {
                    self.evidence.forget(*member);
                    self.probed.remove(member);
                }
                _ => {}
            }
        }
    }

    /// Windows are long enough for a few requests of the class that takes most.
    fn fit(&mut self, now: Micros, work: &impl Fn(usize) -> f64) {
        if now < self.fitted + FIT_PAUSE {
            return;
        }
        self.fitted = now;
        let reads = (0..self.settings.classes.len()).filter(|class| self.is_read(*class));
        let most = reads.map(work).fold(0.0, f64::max);
        let accounts = self.zones.values_mut().filter_map(|z| z.account.as_mut());
        accounts.for_each(|account| account.fit(now, MEAN * most));
    }

    fn on_send(&mut self, request: RequestId, member: MemberId, now: Micros, work: &impl Fn(usize) -> f64) {
        self.evidence.on_send(request, member, now);
        let Some((class, group)) = self.requests.get(&request).copied() else { return };
        let Some(to) = self.evidence.record(member).map(|r| r.zone) else { return };
        let home = self.told_homes.get(&group).copied();
        let tier = self.told.get(&to).map(|w| w.tier);
        if !self.is_read(class) || home.zip(tier).is_none_or(|(home, tier)| tier <= home) {
            return;
        }
        self.demand.note(class, MEAN * work(class));
        if let Some(account) = self.zones.get_mut(&to).and_then(|z| z.account.as_mut()) {
            account.spend(now, MEAN * work(class));
        }
    }

    /// A read that has a choice of members.
    fn is_read(&self, class: usize) -> bool {
        let consistency = self.settings.classes.get(class).map(|c| c.consistency);
        !matches!(consistency, None | Some(Consistency::Write | Consistency::Fresh))
    }

    fn is_home_well(&self, group: GroupId) -> bool {
        let Some(home) = self.told_homes.get(&group) else { return true };
        let zones = self.told.values().filter(|w| w.tier == *home);
        zones.into_iter().all(|w| self.zones.get(&w.zone).is_none_or(|z| *z.state.phase() == Phase::Well))
    }

    // ---- What it says ----

    /// What is new for the router, and what else is due (probes, talk with other routers): a round every 50 ms, and what is left of the limits
    /// whenever it is asked.
    pub fn advise(&mut self, now: Micros) -> (Option<Advice>, Vec<Action>) {
        let mut due = Vec::new();
        if now >= self.round_at {
            self.round_at = now + ROUND;
            self.look(now);
            self.ask(now);
            due = self.due_probes(now);
        }
        if !self.talks.is_empty() {
            due.push(Action::SpillLoans(std::mem::take(&mut self.talks)));
        }
        let order: Vec<ZoneId> =
            self.tiers.order(self.settings.zone, self.zones.keys().copied(), &self.policy).to_vec();
        let mut advice = Advice { zones: self.words(&order, now), homes: Vec::new() };
        advice.zones.retain(|word| self.told.get(&word.zone) != Some(word));
        self.told.extend(advice.zones.iter().map(|w| (w.zone, w.clone())));
        self.homes.retain(|_, members| {
            members.retain(|_, (_, until)| *until > now);
            !members.is_empty()
        });
        self.primaries.retain(|group, _| self.homes.contains_key(group));
        for (group, members) in &self.homes {
            let tier = |zone: &ZoneId| order.iter().position(|z| z == zone).map(|tier| tier as u16);
            let best = |all: bool| {
                let primary = self.primaries.get(group).filter(|_| !all);
                let places = members.iter().filter(|(member, _)| primary != Some(*member));
                places.filter_map(|(_, (zone, _))| tier(zone)).min()
            };
            let home = best(false).or_else(|| best(true));
            if let Some(home) = home.filter(|home| self.told_homes.get(group) != Some(home)) {
                advice.homes.push((*group, home));
            }
        }
        self.told_homes.extend(advice.homes.iter().copied());
        self.told_homes.retain(|group, _| self.homes.contains_key(group));
        let empty = advice.zones.is_empty() && advice.homes.is_empty();
        ((!empty).then_some(advice), due)
    }

    fn look(&mut self, now: Micros) {
        self.demand.turn();
        let seen = self.evidence.assess(self.policy.silence, self.bound, now);
        let verdict = |a: &Assessment| a.verdict(self.policy.quorum, self.policy.silence, now);
        // Where all zones fail at once it is this router that is cut off: none is worse than another.
        let judged = || seen.values().filter(|a| a.known > 0);
        let isolated = judged().count() > 1 && judged().all(|a| verdict(a) != Verdict::Stands);
        for (id, zone) in &mut self.zones {
            zone.seen = seen.get(id).copied().unwrap_or_default();
            let verdict = if isolated { Verdict::Stands } else { verdict(&zone.seen) };
            let usual = self.evidence.usual(*id);
            let change = zone.state.look(&zone.seen, verdict, &self.policy, usual, now);
            self.changes.extend(change.map(|change| (*id, change)));
        }
    }

    /// A zone that is lost is asked by a few of its members at a time, one on its way back by those that it
    /// needs: what the decision module dropped it asks for rarely.
    fn due_probes(&mut self, now: Micros) -> Vec<Action> {
        if !self.settings.limits.probes {
            return Vec::new();
        }
        let rare = PROBE_PAUSE * Micros::from((self.settings.routers / PROBING).max(1));
        let mut due = Vec::new();
        for (id, zone) in &mut self.zones {
            if *zone.state.phase() == Phase::Well {
                continue;
            }
            let (since, doubted) = (zone.state.since(), zone.state.is_doubted());
            let unproven = zone.state.ramp().is_some_and(|ramp| ramp.is_unproven());
            let last = |m: &MemberId| self.probed.get(m).copied().unwrap_or(0);
            let wanted = |m: &MemberId, r: &Record| {
                let asked = r.zone == *id
                    && r.listed == ListedState::Ready
                    && (doubted || unproven || r.answered < since);
                // Where a peer heard from it since, it is worth a look at once.
                asked && now >= last(m) + if r.told > since { PROBE_PAUSE } else { rare }
            };
            let mut members: Vec<MemberId> =
                self.evidence.records().filter(|(m, r)| wanted(m, r)).map(|(m, _)| m).collect();
            members.sort_by_key(last);
            due.extend(members.into_iter().take(PROBES));
        }
        self.probed.extend(due.iter().map(|m| (*m, now)));
        due.iter().for_each(|m| self.evidence.on_probe(*m, now));
        due.into_iter().map(Action::Probe).collect()
    }

    /// The words on all zones, in order of preference: demand that one has no room for goes to the next.
    fn words(&mut self, order: &[ZoneId], now: Micros) -> Vec<ZoneAdvice> {
        let classes = &self.settings.classes;
        let mut wishes: Vec<Wish> = (0..classes.len())
            .map(|i| Wish {
                work: self.demand.of(i),
                density: classes[i].value / classes[i].latency_target.max(1) as f64,
            })
            .collect();
        let mut words = Vec::with_capacity(order.len());
        for (tier, id) in order.iter().enumerate() {
            let Some(zone) = self.zones.get_mut(id) else { continue };
            let doubted = zone.state.is_doubted();
            let rules = &self.settings.rules;
            let share = zone.state.ramp().map_or(1.0, |ramp| ramp.share(&zone.seen, rules, now));
            let spill = zone.account.as_mut().map(|account| {
                let credit = account.credit(now) / MEAN;
                if doubted {
                    return SpillLimit { credit, shares: vec![1.0; wishes.len()] };
                }
                // A little more than the mean demand allows: the window is what binds, shares only sort.
                let (shares, _) = allot(account.limit(now), &wishes);
                wishes.iter_mut().zip(&shares).for_each(|(wish, share)| wish.work *= 1.0 - share);
                // In steps, so that the router is told of changes only.
                let shares = shares.into_iter().map(|s| (s * 50.0).ceil() / 50.0).collect();
                SpillLimit { credit, shares }
            });
            words.push(ZoneAdvice {
                zone: *id,
                tier: tier as u16,
                suspected: doubted,
                read_share: share,
                spill,
            });
        }
        words
    }

    // ---- What others may see ----

    /// Changes since the last call, for the log.
    pub fn changes(&mut self) -> Vec<String> {
        let changes = std::mem::take(&mut self.changes);
        changes.into_iter().map(|(zone, change)| self.line(zone, change)).collect()
    }

    fn line(&self, zone: ZoneId, change: Change) -> String {
        let seen = self.zones.get(&zone).map(|z| z.seen).unwrap_or_default();
        let (name, failing, known) = (self.name(zone), seen.failing, seen.known);
        match change {
            Change::Lost => format!("zone {name} lost: {failing} of {known} members fail, none answered"),
            Change::CutOff => {
                let heard = seen.heard_elsewhere;
                format!(
                    "zone {name} cut off from here: {failing} of {known} members fail, peers heard {heard}"
                )
            }
            Change::Returning(losses) => {
                format!("zone {name} answers again: way back begins, {losses} earlier losses remembered")
            }
            Change::Up(step) => format!("zone {name} takes share {:.2}", STEPS[step]),
            Change::Down(step, reason) => {
                format!("zone {name} falls back to share {:.2}: {reason:?}", STEPS[step])
            }
            Change::Well => format!("zone {name} is back"),
        }
    }

    fn name(&self, zone: ZoneId) -> String {
        let stated = self.policy.of(zone).map(|z| z.name.clone()).filter(|name| !name.is_empty());
        stated.unwrap_or_else(|| zone.0.to_string())
    }

    /// All zones as they stand, by preference.
    pub fn status(&mut self, now: Micros) -> Vec<ZoneStatus> {
        let names: BTreeMap<ZoneId, String> = self.zones.keys().map(|z| (*z, self.name(*z))).collect();
        let mut all: Vec<ZoneStatus> = Vec::new();
        for (id, zone) in &mut self.zones {
            let told = self.told.get(id);
            let phase = match zone.state.phase() {
                Phase::Well => "well",
                Phase::Lost => "lost",
                Phase::CutOff => "cut-off",
                Phase::Returning(_) => "returning",
            };
            all.push(ZoneStatus {
                zone: *id,
                name: names[id].clone(),
                tier: told.map_or(u16::MAX, |w| w.tier),
                phase,
                since: zone.state.since(),
                step: zone.state.ramp().map(|ramp| ramp.step()),
                share: told.map_or(1.0, |w| w.read_share),
                spilled: zone.account.as_mut().map_or(0.0, |a| a.used(now)),
                spill_limit: zone.account.as_ref().map(|a| a.limit(now)),
                turned: zone.state.turned(),
            });
        }
        all.sort_by_key(|z| z.tier);
        all
    }

    /// Entries of its tables, for checks of their bounds: members, groups, requests.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.evidence.records().count(), self.homes.len(), self.requests.len())
    }
}
