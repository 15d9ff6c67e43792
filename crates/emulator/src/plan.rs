//! A day as it is to be played: an experiment's file in the emulator's terms.

use beaconshore::interface::{Class, Micros, RuleParameters, Settings};
use beaconshore_zones::Policy;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// The day begins at this time on all clocks.
pub const DAWN: Micros = 1_000_000 * SECOND;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Its name.
    pub name: String,
    /// What routers are told of it.
    pub class: Class,
    /// Share of the requests, relative to the others'.
    pub share: f64,
    /// Mean work, in microseconds of a core.
    pub work: f64,
    /// Its coefficient of variation.
    pub spread: f64,
}

/// Groups and their logs.
#[derive(Clone, Debug)]
pub struct GroupPlan {
    /// Zones of each group's members; the first member is the primary at dawn.
    pub members: Vec<Vec<usize>>,
    /// Delay of the log to a replica.
    pub ship: Micros,
    /// Time to apply a write.
    pub apply: f64,
    /// A lost primary is given up after this.
    pub detect: f64,
    /// A replica takes over so long after that.
    pub elect: f64,
    /// The switch from a primary that drains.
    pub switch: f64,
}

/// Members.
#[derive(Clone, Debug)]
pub struct MemberPlan {
    /// Cores of each.
    pub cores: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Spread of speeds.
    pub speed_spread: f64,
    /// Connections that each takes.
    pub connections: usize,
    /// Idle connections are closed after this.
    pub idle: Micros,
    /// Work of a new connection.
    pub handshake: f64,
    /// Work of a probe.
    pub probe: f64,
    /// Whether cancelled requests that wait are dropped.
    pub drops_cancelled: bool,
    /// Reports are renewed this often.
    pub report: Micros,
}

/// Clients.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// First tries in a second.
    pub rate: f64,
    /// Repeats after a refusal or failure.
    pub retries: u32,
    /// Wait before a repeat.
    pub pause: Micros,
    /// Share of clients that heed a time to come back.
    pub heeds: f64,
    /// Zipf exponent of the choice of groups.
    pub skew: f64,
    /// Sessions over all.
    pub sessions: usize,
    /// Time to notice that a router is dead.
    pub notice: Micros,
    /// Connections that clients hold open to each router and send nothing on.
    pub resting: usize,
}

/// Routers.
#[derive(Clone, Debug)]
pub struct RouterPlan {
    /// In each zone.
    pub per_zone: usize,
    /// Whether they talk.
    pub peers: bool,
    /// Delay of messages between them.
    pub peer_delay: f64,
    /// Share of these that is lost.
    pub peer_loss: f64,
}

/// The list.
#[derive(Clone, Debug)]
pub struct DiscoveryPlan {
    /// Changes reach routers after this at the earliest.
    pub least: Micros,
    /// At the latest.
    pub most: Micros,
    /// A dead member is noticed after this.
    pub silent: Micros,
    /// Roles are so late on top.
    pub role: Micros,
}

/// Who is struck.
#[derive(Clone, Debug, PartialEq)]
pub struct Struck {
    /// Zones.
    pub zones: Vec<usize>,
    /// Share of what is there.
    pub share: f64,
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Members die.
    ZoneLoss {
        /// Which.
        struck: Struck,
        /// Primaries alone.
        primaries_only: bool,
        /// Routers too.
        routers: bool,
        /// They come back so far behind, on top of what they missed.
        behind: Micros,
        /// They fall silent rather than refusing connections.
        silent: bool,
    },
    /// Messages are lost from routers in some zones to members in others.
    Cut {
        /// Routers' zones.
        from: Vec<usize>,
        /// Members' zones.
        to: Vec<usize>,
        /// Only answers are lost.
        answers_only: bool,
    },
    /// Replicas apply the log more slowly.
    Lag(Struck, f64),
    /// Members run more slowly.
    Slow(Struck, f64),
    /// Members take requests and answer none.
    Hang(Struck),
    /// Members drain.
    Drain(Struck),
    /// More traffic.
    Burst(f64),
    /// Routers die, or go as planned: told first, with time to finish what they have.
    RouterLoss(Struck, Leave),
    /// Routers stand still.
    Standstill(Struck),
    /// The list tells nothing new.
    Silence,
    /// New connections are lost.
    Loss(f64),
    /// Answers are lost, and their connections reset.
    AnswerLoss(f64),
    /// Messages between routers are lost.
    PeerLoss(f64),
}

/// How a router goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// At once.
    Killed,
    /// It is told, and takes nothing new while it finishes what it has.
    Planned,
    /// It is told by signals in series, and its clients go on sending until it is killed.
    PlannedInUse,
}

/// A fault with its times, counted from dawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Strike {
    /// When.
    pub at: Micros,
    /// How long; none: to the end.
    pub lasts: Option<Micros>,
    /// Again after this.
    pub every: Option<Micros>,
    /// What.
    pub fault: Fault,
}

/// The whole day.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What it is to show.
    pub purpose: String,
    /// Its length.
    pub length: Micros,
    /// Requests before this are not counted.
    pub settle: Micros,
    /// Zones' names.
    pub zones: Vec<String>,
    /// Shares of clients by zone.
    pub clients_by_zone: Vec<f64>,
    /// One-way delays between zones, in microseconds.
    pub delays: Vec<Vec<f64>>,
    /// Spread of delays.
    pub jitter: f64,
    /// Groups.
    pub groups: GroupPlan,
    /// Members.
    pub members: MemberPlan,
    /// Classes.
    pub classes: Vec<ClassPlan>,
    /// Clients.
    pub clients: ClientPlan,
    /// Routers.
    pub routers: RouterPlan,
    /// Discovery.
    pub discovery: DiscoveryPlan,
    /// Grace after the news of a drain.
    pub drain: Micros,
    /// What routers are told; the zone is set for each.
    pub settings: Settings,
    /// What operators say of zones.
    pub policy: Option<Policy>,
    /// What operators say of routes.
    pub routes: Option<beaconshore_routes::Policy>,
    /// Faults.
    pub strikes: Vec<Strike>,
}

impl Plan {
    /// The same day after this time in which only what is not counted happens.
    pub fn after(mut self, lead: Micros) -> Plan {
        (self.length, self.settle) = (self.length + lead, self.settle + lead);
        self.strikes.iter_mut().for_each(|strike| strike.at += lead);
        self
    }

    /// The same day with so many routers in each zone.
    pub fn with_routers(mut self, per_zone: usize) -> Plan {
        self.routers.per_zone = per_zone;
        self.settings.routers = self.router_count() as u32;
        self
    }

    /// The figures of the rules.
    pub fn rules(&self) -> &RuleParameters {
        &self.settings.rules
    }

    /// Whole seconds of the day.
    pub fn seconds(&self) -> usize {
        (self.length / SECOND) as usize
    }

    /// Routers over all zones.
    pub fn router_count(&self) -> usize {
        self.routers.per_zone * self.zones.len()
    }

    /// Members over all groups.
    pub fn member_count(&self) -> usize {
        self.groups.members.iter().map(Vec::len).sum()
    }

    /// The limit on spill into a zone over all routers: work in any second, in microseconds; none if not stated.
    pub fn spill_limit(&self, zone: usize) -> Option<f64> {
        let policy = self.policy.as_ref()?;
        let stated = policy.zones.iter().find(|z| usize::from(z.zone.0) == zone)?;
        (stated.capacity > 0.0).then_some(policy.spill_share * stated.capacity * SECOND as f64)
    }
}
