//! What a driver is told at start: a few environment variables, a JSON file that holds the rest, and, where one is
//! named, an operator's file.

use std::net::SocketAddr;
use std::{env, fs};

use beaconshore_gossip::Policy as GossipPolicy;
use beaconshore_operator::parse;
use beaconshore_operator::text::Problem;
use beaconshore_settings::Site;
use beaconshore_steering::Plans;
use beaconshore_zones::Policy;
use serde::Deserialize;

use crate::listing::Listing;

/// With fewer descriptors no request can be served.
const LEAST_SOCKETS: usize = 48;

/// The driver's configuration.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed for random numbers, in hexadecimal digits; new with each start.
    #[serde(deserialize_with = "seed")]
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// Where other drivers' datagrams come in.
    #[serde(default)]
    pub peer_listen: Option<SocketAddr>,
    /// The drivers of the tier, this one included.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all drivers of the tier.
    #[serde(default)]
    pub peers_all: Option<SocketAddr>,
    /// The list of members as this driver last had it.
    pub known: Listing,
    /// The settings of the decision module, and what belongs to them.
    pub settings: Site,
    /// What the operator's file says; without one nothing is planned.
    #[serde(skip)]
    pub plans: Plans,
    /// Whether processor time is measured by kind of work, as the operator's file says.
    #[serde(skip)]
    pub accounting: bool,
    /// How this driver spreads what it learns of members, as the operator's file says; none: to all others at once.
    #[serde(skip)]
    pub gossip: Option<GossipPolicy>,
    /// Why the operator's file can't be used, if so: the rest of the configuration holds all the same.
    #[serde(skip)]
    pub refused: Option<String>,
}

/// What an operator's file says to one driver.
#[derive(Debug)]
pub struct Operated {
    /// Zones and routes.
    pub plans: Plans,
    /// Whether processor time is measured by kind of work.
    pub accounting: bool,
    /// How what is learnt of members is spread.
    pub gossip: Option<GossipPolicy>,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// File descriptors that the driver may hold.
    pub sockets: usize,
    /// Megabytes of memory that it may take.
    #[serde(default = "ample")]
    pub memory_mb: usize,
}

/// Memory of a machine that names no limit.
fn ample() -> usize {
    256
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` prevail over
    /// what it says of the same.
    pub fn from_env() -> Result<Config, String> {
        let mut config = Config::reread()?;
        if let Some(reason) = config.refused {
            return Err(reason);
        }
        config.discovery = address("RELAY_DISCOVERY")?.unwrap_or(config.discovery);
        Ok(config)
    }

    /// Reads that file again while the driver runs: now its `discovery` prevails, for the variable still holds what
    /// was so at the start.
    pub fn reread() -> Result<Config, String> {
        let mut config = Config::named()?;
        config.name = variable("RELAY_NAME").unwrap_or(config.name);
        config.listen = address("RELAY_LISTEN")?.unwrap_or(config.listen);
        if let Some(path) = variable("BEACONSHORE_OPERATOR") {
            match config.operated(&path) {
                Ok(operated) => {
                    config.plans = operated.plans;
                    (config.accounting, config.gossip) = (operated.accounting, operated.gossip);
                }
                Err(reason) => config.refused = Some(format!("operator's file {reason}")),
            }
        }
        Ok(config)
    }

    /// Reads the file that `RELAY_CONFIG` names, and no more.
    pub fn named() -> Result<Config, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG names no configuration file")?;
        let text = fs::read(&path).map_err(|e| format!("configuration {path}: {e}"))?;
        Config::parse(&text).map_err(|e| format!("configuration {path}: {e}"))
    }

    fn operated(&self, path: &str) -> Result<Operated, String> {
        let text = fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let lines =
            |found: Vec<Problem>| found.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
        self.operator(path, &text).map_err(lines)
    }

    /// What an operator's file says, for this driver; else everything that is wrong with it.
    pub fn operator(&self, file: &str, text: &str) -> Result<Operated, Vec<Problem>> {
        let operator = parse(file, text).map_err(|e| vec![e])?;
        let (settings, dialect) = (&self.settings.settings, &self.settings.dialect);
        let mut plans = Plans { classes: dialect.classes.clone(), ..Plans::default() };
        let mut problems = Vec::new();
        if let Some(zones) = &operator.zones {
            // Drivers are numbered as in the list of peers; one that is not in it, or may not loan, lends nothing.
            let number = self.peers.iter().position(|peer| Some(*peer) == self.peer_listen);
            let number = number.filter(|_| settings.limits.peer_messages).map(|n| n as u32);
            match beaconshore_operator::zones(file, text, zones, &dialect.zones) {
                Ok(policy) => plans.zones = Some(Policy { number, ..policy }),
                Err(problem) => problems.push(problem),
            }
        }
        if let Some(routes) = &operator.routes {
            match beaconshore_operator::routes(
                file,
                text,
                routes,
                settings,
                (&dialect.classes, &dialect.zones),
            ) {
                Ok(policy) => plans.routes = Some(policy),
                Err(found) => problems.extend(found),
            }
        }
        let gossip = operator.gossip.as_ref().map(|gossip| beaconshore_operator::gossip(file, text, gossip));
        let gossip = gossip.transpose().unwrap_or_else(|problem| {
            problems.push(problem);
            None
        });
        if problems.is_empty() {
            Ok(Operated { plans, accounting: operator.accounting.unwrap_or(false), gossip })
        } else {
            Err(problems)
        }
    }

    /// What another configuration changes that only a new start brings about.
    pub fn needs_restart(&self, other: &Config) -> Vec<&'static str> {
        let peers = |c: &Config| (c.peer_listen, c.peers.clone(), c.peers_all);
        let changes = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits", self.limits != other.limits),
            ("peers", peers(self) != peers(other)),
            ("settings", self.settings != other.settings),
            ("the operator's gossip", other.refused.is_none() && self.gossip != other.gossip),
            ("the operator's accounting", other.refused.is_none() && self.accounting != other.accounting),
            ("the operator's zones", other.refused.is_none() && self.plans.zones != other.plans.zones),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(name, _)| name).collect()
    }

    /// Reads a configuration from its JSON text.
    pub fn parse(text: &[u8]) -> Result<Config, String> {
        let config: Config = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let dialect = &config.settings.dialect;
        if dialect.connect_timeout == 0 || dialect.conn_idle == 0 {
            return Err("settings.limits.connectTimeoutUs and connIdleUs are needed".into());
        }
        if config.limits.sockets < LEAST_SOCKETS {
            return Err(format!("limits.sockets is {}, under {LEAST_SOCKETS}", config.limits.sockets));
        }
        Ok(config)
    }
}

/// An environment variable that is set to something.
fn variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// An address that an environment variable holds.
fn address(name: &str) -> Result<Option<SocketAddr>, String> {
    let parse = |value: String| value.parse().map_err(|e| format!("{name} is {value:?}: {e}"));
    variable(name).map(parse).transpose()
}

fn seed<'de, D: serde::Deserializer<'de>>(text: D) -> Result<u64, D::Error> {
    let digits = String::deserialize(text)?;
    u64::from_str_radix(&digits, 16).map_err(serde::de::Error::custom)
}
