//! An experiment's file, decoded, checked and turned into a plan. Every error says where, why, and what would do.

use beaconshore::interface::{
    Class, Consistency, DedupScope, DiscoveryMode, Effect, LagCheck, Limits, Micros, RuleParameters,
    SessionTracking, Settings, ZoneId,
};
use beaconshore_operator::textproto::{self, invalid_value, FileError};

use crate::plan::{
    ClassPlan, ClientPlan, DiscoveryPlan, Fault, GroupPlan, Leave, MemberPlan, Plan, RouterPlan, Strike,
    Struck, SECOND,
};
use crate::proto;

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/experiment.bin"));
/// What one machine can play.
const MOST_MEMBERS: usize = 5_000;
const MOST_ROUTERS: usize = 1_000;
const MOST_SECONDS: u32 = 3_600;
const MOST_REQUESTS: f64 = 20e6;

/// Reads an experiment; `file` is what errors call it.
pub fn read(file: &str, text: &str) -> Result<Plan, FileError> {
    let experiment: proto::Experiment =
        textproto::decode(DESCRIPTORS, "beaconshore.experiment.Experiment", file, text)?;
    Reader { file, text, e: &experiment }.plan()
}

/// A size that prevails over a file's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size {
    /// Zones: as many of the file's as this, or further ones like them; none as the file says.
    pub zones: Option<usize>,
    /// Routers over all zones, a multiple of these.
    pub routers: Option<usize>,
    /// Members over all groups, a multiple of a group's.
    pub members: Option<usize>,
    /// Requests a second for each router; none: as many as the file gives each.
    pub rate: Option<f64>,
    /// Length in seconds.
    pub seconds: Option<u32>,
}

/// Reads an experiment at another size.
pub fn read_sized(file: &str, text: &str, size: &Size) -> Result<Plan, FileError> {
    let mut experiment: proto::Experiment =
        textproto::decode(DESCRIPTORS, "beaconshore.experiment.Experiment", file, text)?;
    size.apply(&mut experiment).map_err(|reason| FileError { file: file.into(), location: None, reason })?;
    Reader { file, text, e: &experiment }.plan()
}

impl Size {
    fn apply(&self, experiment: &mut proto::Experiment) -> Result<(), String> {
        let before =
            experiment.routers.as_ref().map_or(0, |r| r.per_zone as usize * experiment.zone.len()) as f64;
        if let Some(zones) = self.zones {
            experiment.zone.truncate(zones);
            for number in experiment.zone.len()..zones {
                experiment.zone.push(proto::Zone { name: format!("zone-{number}"), clients: None });
            }
        }
        let zones = experiment.zone.len();
        if let (Some(count), Some(routers)) = (self.routers, experiment.routers.as_mut()) {
            if zones == 0 || count == 0 || count % zones != 0 {
                return Err(format!("{count} routers: a multiple of the {zones} zones is needed"));
            }
            routers.per_zone = (count / zones) as u32;
        }
        if let (Some(count), Some(groups)) = (self.members, experiment.groups.as_mut()) {
            let each = groups.members.max(1) as usize;
            if count == 0 || count % each != 0 {
                return Err(format!("{count} members: a multiple of the {each} of a group is needed"));
            }
            groups.count = (count / each) as u32;
        }
        // A router has as many requests as before, whatever else is changed.
        let now = experiment.routers.as_ref().map_or(0, |r| r.per_zone as usize * zones) as f64;
        if let Some(clients) = experiment.clients.as_mut() {
            clients.rate = match self.rate {
                Some(rate) => rate * now,
                None if before > 0.0 => clients.rate / before * now,
                None => clients.rate,
            };
        }
        experiment.seconds = self.seconds.unwrap_or(experiment.seconds);
        Ok(())
    }
}

struct Reader<'r> {
    file: &'r str,
    text: &'r str,
    e: &'r proto::Experiment,
}

fn micros(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

impl Reader<'_> {
    fn wrong(&self, field: &str, reason: impl AsRef<str>) -> FileError {
        invalid_value(self.file, self.text, field, reason.as_ref())
    }

    /// A number that must lie within bounds.
    fn within(&self, field: &str, value: f64, least: f64, most: f64) -> Result<f64, FileError> {
        if value >= least && value <= most {
            return Ok(value);
        }
        Err(self.wrong(field, format!("is {value}, must be from {least} to {most}")))
    }

    fn zone(&self, field: &str, name: &str) -> Result<usize, FileError> {
        let names = || self.e.zone.iter().map(|z| z.name.as_str()).collect::<Vec<_>>().join(", ");
        let found = self.e.zone.iter().position(|z| z.name == name);
        found.ok_or_else(|| self.wrong(field, format!("no zone {name:?}; there are {}", names())))
    }

    fn zones(&self, field: &str, names: &[String]) -> Result<Vec<usize>, FileError> {
        names.iter().enumerate().map(|(i, name)| self.zone(&format!("{field}[{i}]"), name)).collect()
    }

    /// Named zones, or all.
    fn zones_or_all(&self, field: &str, names: &[String]) -> Result<Vec<usize>, FileError> {
        match names.is_empty() {
            true => Ok((0..self.e.zone.len()).collect()),
            false => self.zones(field, names),
        }
    }

    fn plan(&self) -> Result<Plan, FileError> {
        let e = self.e;
        if e.zone.is_empty() || e.zone.len() > 64 {
            return Err(self.wrong("zone", "1 to 64 zones are needed"));
        }
        for (i, zone) in e.zone.iter().enumerate() {
            if zone.name.is_empty() || e.zone[..i].iter().any(|z| z.name == zone.name) {
                return Err(self.wrong(&format!("zone[{i}].name"), "a name of its own is needed"));
            }
        }
        if e.seconds == 0 || e.seconds > MOST_SECONDS {
            return Err(self.wrong("seconds", format!("must be from 1 to {MOST_SECONDS}")));
        }
        let settle = e.settle_s.unwrap_or(5.min(e.seconds / 4));
        if settle >= e.seconds {
            return Err(self.wrong("settle_s", "must be less than seconds"));
        }
        let clients_by_zone: Vec<f64> = e.zone.iter().map(|z| z.clients.unwrap_or(1.0)).collect();
        for (i, share) in clients_by_zone.iter().enumerate() {
            self.within(&format!("zone[{i}].clients"), *share, 0.0, 1e6)?;
        }
        if clients_by_zone.iter().sum::<f64>() <= 0.0 {
            return Err(self.wrong("zone", "no zone has clients"));
        }
        let (groups, classes, clients) = (self.groups()?, self.classes()?, self.clients()?);
        let routers = self.routers()?;
        let rules = self.rules()?;
        if clients.rate * f64::from(e.seconds) > MOST_REQUESTS {
            return Err(
                self.wrong("clients.rate", format!("over {MOST_REQUESTS} requests; lower it, or seconds"))
            );
        }
        let names: Vec<String> = e.zone.iter().map(|z| z.name.clone()).collect();
        let policy = match &e.zones {
            Some(zones) => Some(beaconshore_operator::zone_policy(self.file, self.text, zones, &names)?),
            None => None,
        };
        let settings = Settings {
            zone: ZoneId(0),
            routers: (routers.per_zone * e.zone.len()) as u32,
            step: 5_000,
            classes: classes.iter().map(|c| c.class.clone()).collect(),
            discovery: DiscoveryMode::Pushed,
            session_tracking: SessionTracking::Client,
            lag_check: LagCheck::Router,
            limits: Limits {
                max_attempts: 8,
                connect_timeout: 0,
                max_retry_after: SECOND,
                retry_after: true,
                probes: e.routers.as_ref().and_then(|r| r.probes).unwrap_or(true),
                peer_messages: routers.peers,
            },
            rules: rules.0,
        };
        let routes = self.read_routes(&settings, &classes)?;
        Ok(Plan {
            name: e.name.clone(),
            purpose: e.purpose.clone(),
            length: Micros::from(e.seconds) * SECOND,
            settle: Micros::from(settle) * SECOND,
            zones: names,
            clients_by_zone,
            delays: self.delays()?,
            jitter: self.within("jitter", e.jitter.unwrap_or(0.15), 0.0, 1.0)?,
            groups,
            members: self.members()?,
            classes,
            clients,
            routers,
            routes,
            discovery: self.discovery()?,
            drain: rules.1,
            settings,
            policy,
            strikes: e.fault.iter().enumerate().map(|(i, f)| self.strike(i, f)).collect::<Result<_, _>>()?,
        })
    }

    fn read_routes(
        &self,
        settings: &Settings,
        classes: &[ClassPlan],
    ) -> Result<Option<beaconshore_routes::Policy>, FileError> {
        let Some(routes) = &self.e.routes else { return Ok(None) };
        let classes: Vec<String> = classes.iter().map(|c| c.name.clone()).collect();
        let zones: Vec<String> = self.e.zone.iter().map(|z| z.name.clone()).collect();
        let read =
            beaconshore_operator::route_policy(self.file, self.text, routes, settings, (&classes, &zones));
        read.map(Some).map_err(|mut problems| problems.remove(0))
    }

    fn delays(&self) -> Result<Vec<Vec<f64>>, FileError> {
        let e = self.e;
        let usual = self.within("round_trip_ms", e.round_trip_ms.unwrap_or(2.0), 0.01, 1_000.0)?;
        let near = self.within("near_ms", e.near_ms.unwrap_or(0.3), 0.01, 1_000.0)?;
        let count = e.zone.len();
        let one_way = |a: usize, b: usize| if a == b { near * 500.0 } else { usual * 500.0 };
        let mut delays: Vec<Vec<f64>> =
            (0..count).map(|a| (0..count).map(|b| one_way(a, b)).collect()).collect();
        for (i, link) in e.link.iter().enumerate() {
            let from = self.zone(&format!("link[{i}].from"), &link.from)?;
            let to = self.zone(&format!("link[{i}].to"), &link.to)?;
            let field = format!("link[{i}].round_trip_ms");
            let delay = self.within(&field, link.round_trip_ms, 0.01, 1_000.0)? * 500.0;
            (delays[from][to], delays[to][from]) = (delay, delay);
        }
        Ok(delays)
    }

    fn groups(&self) -> Result<GroupPlan, FileError> {
        let missing = || self.wrong("groups", "is needed: count and members");
        let g = self.e.groups.as_ref().ok_or_else(missing)?;
        let all = f64::from(g.count) * f64::from(g.members);
        self.within("groups.count", f64::from(g.count), 1.0, MOST_MEMBERS as f64)?;
        self.within("groups.members", f64::from(g.members), 1.0, 64.0)?;
        if all > MOST_MEMBERS as f64 {
            return Err(self.wrong("groups.count", format!("{all} members, {MOST_MEMBERS} at most")));
        }
        let zones = self.e.zone.len();
        // Primaries are spread over the zones, and so are each group's members.
        let placed = |g: usize, m: usize| (g + m) % zones;
        let members = g.members as usize;
        let mut plan: Vec<Vec<usize>> =
            (0..g.count as usize).map(|g| (0..members).map(|m| placed(g, m)).collect()).collect();
        for (i, only) in g.only.iter().enumerate() {
            let zone = self.zone(&format!("groups.only[{i}].zone"), &only.zone)?;
            let group = plan.get_mut(only.group as usize);
            let none = || self.wrong(&format!("groups.only[{i}].group"), "no such group; they count from 0");
            group.ok_or_else(none)?.fill(zone);
        }
        let time = |name: &str, value: Option<f64>, default: f64| {
            self.within(&format!("groups.{name}"), value.unwrap_or(default), 0.0, 600_000.0)
                .map(|ms| ms * 1e3)
        };
        Ok(GroupPlan {
            members: plan,
            ship: time("ship_ms", g.ship_ms, 5.0)? as Micros,
            apply: time("apply_ms", g.apply_ms, 20.0)?,
            detect: time("detect_ms", g.detect_ms, 2_000.0)?,
            elect: time("elect_ms", g.elect_ms, 2_000.0)?,
            switch: time("switch_ms", g.switch_ms, 700.0)?,
        })
    }

    fn members(&self) -> Result<MemberPlan, FileError> {
        let m = self.e.members.unwrap_or_default();
        let within = |name: &str, value: f64, least: f64, most: f64| {
            self.within(&format!("members.{name}"), value, least, most)
        };
        Ok(MemberPlan {
            cores: within("cores", f64::from(m.cores.unwrap_or(3)), 1.0, 256.0)? as usize,
            queue: within("queue", f64::from(m.queue.unwrap_or(60)), 0.0, 100_000.0)? as usize,
            speed_spread: within("speed_spread", m.speed_spread.unwrap_or(0.1), 0.0, 0.5)?,
            connections: within("connections", f64::from(m.connections.unwrap_or(400)), 1.0, 1e6)? as usize,
            idle: micros(within("idle_ms", m.idle_ms.unwrap_or(30_000) as f64, 10.0, 1e7)?),
            handshake: within("handshake_ms", m.handshake_ms.unwrap_or(3.0), 0.0, 1_000.0)? * 1e3,
            probe: within("probe_ms", m.probe_ms.unwrap_or(0.2), 0.0, 1_000.0)? * 1e3,
            drops_cancelled: m.drops_cancelled.unwrap_or(true),
            report: micros(within("report_ms", m.report_ms.unwrap_or(100.0), 1.0, 60_000.0)?),
        })
    }

    fn classes(&self) -> Result<Vec<ClassPlan>, FileError> {
        if self.e.class.is_empty() || self.e.class.len() > 64 {
            return Err(self.wrong("class", "1 to 64 classes are needed"));
        }
        self.e.class.iter().enumerate().map(|(i, c)| self.class(i, c)).collect()
    }

    fn class(&self, i: usize, c: &proto::Class) -> Result<ClassPlan, FileError> {
        use proto::class::{Effect as E, Read};
        let within = |name: &str, value: f64, least: f64, most: f64| {
            self.within(&format!("class[{i}].{name}"), value, least, most)
        };
        let consistency = match c.read() {
            Read::Write => Consistency::Write,
            Read::Fresh => Consistency::Fresh,
            Read::Session => Consistency::Session,
            Read::Any => Consistency::Any,
            Read::Bounded => {
                Consistency::Bounded(micros(within("bound_ms", c.bound_ms.unwrap_or(0) as f64, 1.0, 1e7)?))
            }
        };
        let effect = match c.effect() {
            E::Safe if c.read() == Read::Write => {
                return Err(self.wrong(&format!("class[{i}].effect"), "a write is KEYED or UNSAFE"));
            }
            E::Safe => Effect::Safe,
            E::Unsafe => Effect::Unsafe,
            E::Keyed => {
                let window = within("window_ms", c.window_ms.unwrap_or(0) as f64, 1.0, 1e7)?;
                Effect::Keyed(DedupScope::Group, micros(window))
            }
        };
        let deadline = within("deadline_ms", c.deadline_ms as f64, 10.0, 600_000.0)?;
        let class = Class {
            consistency,
            effect,
            latency_target: micros(within("aim_ms", c.aim_ms as f64, 1.0, deadline)?),
            deadline: micros(deadline),
            value: within("worth", c.worth, 0.0, 1e6)?,
            late_value_share: within("late_worth", c.late_worth.unwrap_or(0.0), 0.0, 1.0)?,
        };
        Ok(ClassPlan {
            name: c.name.clone(),
            class,
            share: within("share", c.share, 0.0, 1e6)?,
            work: within("work_ms", c.work_ms, 0.01, 60_000.0)? * 1e3,
            spread: within("spread", c.spread.unwrap_or(0.8), 0.0, 5.0)?,
        })
    }

    fn clients(&self) -> Result<ClientPlan, FileError> {
        let c = self.e.clients.ok_or_else(|| self.wrong("clients", "is needed: rate"))?;
        let within = |name: &str, value: f64, least: f64, most: f64| {
            self.within(&format!("clients.{name}"), value, least, most)
        };
        Ok(ClientPlan {
            rate: within("rate", c.rate, 0.1, 1e6)?,
            retries: within("retries", f64::from(c.retries.unwrap_or(1)), 0.0, 10.0)? as u32,
            pause: micros(within("pause_ms", c.pause_ms.unwrap_or(50.0), 0.0, 60_000.0)?),
            heeds: within("heeds", c.heeds.unwrap_or(0.7), 0.0, 1.0)?,
            skew: within("skew", c.skew.unwrap_or(0.0), 0.0, 3.0)?,
            sessions: within("sessions", f64::from(c.sessions.unwrap_or(1000)), 1.0, 1e6)? as usize,
            resting: c.resting.unwrap_or(0) as usize,
            notice: micros(within("notice_ms", c.notice_ms.unwrap_or(1_500.0), 0.0, 60_000.0)?),
        })
    }

    fn routers(&self) -> Result<RouterPlan, FileError> {
        let r = self.e.routers.ok_or_else(|| self.wrong("routers", "is needed: per_zone"))?;
        let most = (MOST_ROUTERS / self.e.zone.len()) as f64;
        Ok(RouterPlan {
            per_zone: self.within("routers.per_zone", f64::from(r.per_zone), 1.0, most)? as usize,
            peers: r.peers.unwrap_or(true),
            peer_delay: self.within("routers.peer_ms", r.peer_ms.unwrap_or(10.0), 0.01, 10_000.0)? * 1e3,
            peer_loss: self.within("routers.peer_loss", r.peer_loss.unwrap_or(0.02), 0.0, 1.0)?,
        })
    }

    fn discovery(&self) -> Result<DiscoveryPlan, FileError> {
        let d = self.e.discovery.unwrap_or_default();
        let time = |name: &str, value: Option<f64>, default: f64| {
            self.within(&format!("discovery.{name}"), value.unwrap_or(default), 0.0, 600_000.0).map(micros)
        };
        let plan = DiscoveryPlan {
            least: time("least_ms", d.least_ms, 700.0)?,
            most: time("most_ms", d.most_ms, 4_000.0)?,
            silent: time("silent_ms", d.silent_ms, 4_500.0)?,
            role: time("role_ms", d.role_ms, 2_500.0)?,
        };
        if plan.most < plan.least {
            return Err(self.wrong("discovery.most_ms", "is under least_ms"));
        }
        Ok(plan)
    }

    fn rules(&self) -> Result<(RuleParameters, Micros), FileError> {
        let r = self.e.rules.unwrap_or_default();
        let figures = RuleParameters {
            resubscribe_within: 10 * SECOND,
            only_draining_binds: false,
            cold_share: self.within("rules.cold_share", r.cold_share.unwrap_or(0.2), 0.01, 1.0)?,
            warm_up_time: r.warm_ms.unwrap_or(12_000).saturating_mul(1000),
            overload_multiple: self.within(
                "rules.fall_multiple",
                r.fall_multiple.unwrap_or(2.0),
                1.0,
                100.0,
            )?,
            overload_window: r.fall_ms.unwrap_or(1_500).saturating_mul(1000),
        };
        Ok((figures, r.drain_ms.unwrap_or(500).saturating_mul(1000)))
    }

    fn struck(&self, field: &str, zones: &[String], share: Option<f64>) -> Result<Struck, FileError> {
        Ok(Struck {
            zones: self.zones_or_all(&format!("{field}.zone"), zones)?,
            share: self.within(&format!("{field}.share"), share.unwrap_or(1.0), 0.0, 1.0)?,
        })
    }

    fn strike(&self, i: usize, f: &proto::Fault) -> Result<Strike, FileError> {
        use proto::fault::What;
        let field = |name: &str| format!("fault[{i}].{name}");
        let time = |name: &str, s: Option<f64>| {
            let s = self.within(&field(name), s.unwrap_or(0.0), 0.0, f64::from(MOST_SECONDS))?;
            Ok(Some((s * 1e6) as Micros).filter(|t| *t > 0))
        };
        let (lasts, every) = (time("for_s", f.for_s)?, time("every_s", f.every_s)?);
        if every.is_some() && lasts.is_none_or(|lasts| Some(lasts) >= every) {
            return Err(self.wrong(&field("every_s"), "needs a for_s that is shorter"));
        }
        let what = f
            .what
            .as_ref()
            .ok_or_else(|| self.wrong(&format!("fault[{i}]"), "says nothing of what fails"))?;
        let times = |name: &str, times: f64| self.within(&field(name), times, 0.01, 1_000.0);
        let fault = match what {
            What::ZoneLoss(z) => Fault::ZoneLoss {
                struck: self.struck(&field("zone_loss"), &z.zone, z.share)?,
                primaries_only: z.primaries_only.unwrap_or(false),
                routers: z.routers.unwrap_or(false),
                behind: (self.within(&field("zone_loss.behind_s"), z.behind_s.unwrap_or(0.0), 0.0, 600.0)?
                    * 1e6) as Micros,
                silent: z.silent.unwrap_or(false),
            },
            What::Cut(c) => Fault::Cut {
                from: self.zones_or_all(&field("cut.from"), &c.from)?,
                to: self.zones_or_all(&field("cut.to"), &c.to)?,
                answers_only: c.answers_only.unwrap_or(false),
            },
            What::Lag(l) => {
                Fault::Lag(self.struck(&field("lag"), &l.zone, l.share)?, times("lag.times", l.times)?)
            }
            What::Slow(s) => {
                Fault::Slow(self.struck(&field("slow"), &s.zone, s.share)?, times("slow.times", s.times)?)
            }
            What::Hang(h) => Fault::Hang(self.struck(&field("hang"), &h.zone, h.share)?),
            What::Drain(d) => Fault::Drain(self.struck(&field("drain"), &d.zone, d.share)?),
            What::Burst(b) => Fault::Burst(times("burst.times", b.times)?),
            What::RouterLoss(r) => Fault::RouterLoss(
                self.struck(&field("router_loss"), &r.zone, r.share)?,
                match (r.planned.unwrap_or(false), r.in_use.unwrap_or(false)) {
                    (false, _) => Leave::Killed,
                    (true, false) => Leave::Planned,
                    (true, true) => Leave::PlannedInUse,
                },
            ),
            What::Standstill(s) => Fault::Standstill(self.struck(&field("standstill"), &s.zone, s.share)?),
            What::Silence(_) => Fault::Silence,
            What::Loss(l) => Fault::Loss(self.within(&field("loss.share"), l.share, 0.0, 1.0)?),
            What::AnswerLoss(l) => {
                Fault::AnswerLoss(self.within(&field("answer_loss.share"), l.share, 0.0, 1.0)?)
            }
            What::PeerLoss(l) => {
                Fault::PeerLoss(self.within(&field("peer_loss.share"), l.share, 0.0, 1.0)?)
            }
        };
        let at = self.within(&field("at_s"), f.at_s, 0.0, f64::from(MOST_SECONDS))?;
        Ok(Strike { at: (at * 1e6) as Micros, lasts, every, fault })
    }
}
