//! The configuration of a driver: a JSON file, a few environment variables that override it, and optionally an operator's
//! file.

use std::net::SocketAddr;
use std::{env, fs};

use beaconshore_gossip::Policy as GossipPolicy;
use beaconshore_operator::parse;
use beaconshore_operator::textproto::FileError;
use beaconshore_settings::RouterSettings;
use beaconshore_steering::PlannerPolicies;
use beaconshore_zones::Policy;
use serde::Deserialize;

use crate::membership::MembershipUpdate;

/// Least number of descriptors with which a driver can serve requests.
const MIN_SOCKETS: usize = 48;

/// The driver's configuration.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// Name of the driver, the same across restarts.
    pub name: String,
    /// Address at which it listens for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed for random numbers, as hexadecimal digits. It should be a new one for each start.
    #[serde(deserialize_with = "parse_seed")]
    pub seed: u64,
    /// Limits on the driver's use of the machine.
    pub limits: Limits,
    /// Address at which it receives datagrams of other drivers.
    #[serde(default)]
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all drivers of the same store, including this one.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// One address that reaches all drivers of the same store, if there is one.
    #[serde(default)]
    pub peers_all: Option<SocketAddr>,
    /// The membership list last known to this driver, used until discovery delivers one.
    pub known: MembershipUpdate,
    /// The settings of the router.
    pub settings: RouterSettings,
    /// Zones and routes from the operator's file; empty without one.
    #[serde(skip)]
    pub plans: PlannerPolicies,
    /// Whether processor time is measured by kind of work, from the operator's file.
    #[serde(skip)]
    pub accounting: bool,
    /// How this driver spreads states of members, from the operator's file. `None`: each is sent to all other drivers at
    /// once.
    #[serde(skip)]
    pub gossip: Option<GossipPolicy>,
    /// The error of the operator's file, if it cannot be used. The rest of the configuration is valid all the same.
    #[serde(skip)]
    pub operator_error: Option<String>,
}

/// The contents of an operator's file as they apply to one driver.
#[derive(Debug)]
pub struct OperatorConfig {
    /// The policies for zones and routes.
    pub plans: PlannerPolicies,
    /// Whether processor time is measured by kind of work.
    pub accounting: bool,
    /// The policy for spreading states of members.
    pub gossip: Option<GossipPolicy>,
}

/// Limits on the driver's use of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Number of file descriptors that the driver may have open.
    pub sockets: usize,
    /// Memory that it may take, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

/// Memory limit, in megabytes, of a configuration that states none.
fn default_memory_mb() -> usize {
    256
}

impl Config {
    /// Loads the configuration at start: the file that `RELAY_CONFIG` names, overridden by `RELAY_NAME`, `RELAY_LISTEN` and
    /// `RELAY_DISCOVERY`, and the operator's file that `BEACONSHORE_OPERATOR` names.
    pub fn from_env() -> Result<Config, String> {
        let mut config = Config::reload()?;
        if let Some(reason) = config.operator_error {
            return Err(reason);
        }
        config.discovery = address("RELAY_DISCOVERY")?.unwrap_or(config.discovery);
        Ok(config)
    }

    /// Loads the configuration again while the driver runs. The file's `discovery` now takes precedence over
    /// `RELAY_DISCOVERY`, because the variable still holds the value from the start. An operator's file that cannot be used
    /// is recorded in `operator_error`.
    pub fn reload() -> Result<Config, String> {
        let mut config = Config::load()?;
        config.name = variable("RELAY_NAME").unwrap_or(config.name);
        config.listen = address("RELAY_LISTEN")?.unwrap_or(config.listen);
        if let Some(path) = variable("BEACONSHORE_OPERATOR") {
            match config.load_operator_file(&path) {
                Ok(loaded) => {
                    config.plans = loaded.plans;
                    (config.accounting, config.gossip) = (loaded.accounting, loaded.gossip);
                }
                Err(reason) => config.operator_error = Some(format!("operator's file {reason}")),
            }
        }
        Ok(config)
    }

    /// Loads the file that `RELAY_CONFIG` names, without the other variables.
    pub fn load() -> Result<Config, String> {
        let path =
            variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set; it must name the configuration file")?;
        let text = fs::read(&path).map_err(|e| format!("configuration {path}: {e}"))?;
        Config::parse(&text).map_err(|e| format!("configuration {path}: {e}"))
    }

    /// Loads an operator's file. The error lists all its problems in one line.
    fn load_operator_file(&self, path: &str) -> Result<OperatorConfig, String> {
        let text = fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        let join_problems = |problems: Vec<FileError>| {
            problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
        };
        self.parse_operator_file(path, &text).map_err(join_problems)
    }

    /// Parses an operator's file for this driver; the error holds all problems found. `file` names it in the problems.
    pub fn parse_operator_file(&self, file: &str, text: &str) -> Result<OperatorConfig, Vec<FileError>> {
        let operator = parse(file, text).map_err(|e| vec![e])?;
        let (settings, protocol) = (&self.settings.module, &self.settings.protocol);
        let mut plans =
            PlannerPolicies { classes: protocol.class_names.clone(), ..PlannerPolicies::default() };
        let mut problems = Vec::new();
        if let Some(zones) = &operator.zones {
            // Drivers are numbered by their position in the list of peers. One that is not in the list, or may not exchange
            // messages with peers, has no number and lends nothing.
            let number = self.peers.iter().position(|peer| Some(*peer) == self.peer_listen);
            let number = number.filter(|_| settings.limits.peer_messages).map(|n| n as u32);
            match beaconshore_operator::zone_policy(file, text, zones, &protocol.zone_names) {
                Ok(policy) => plans.zones = Some(Policy { router_number: number, ..policy }),
                Err(problem) => problems.push(problem),
            }
        }
        if let Some(routes) = &operator.routes {
            match beaconshore_operator::route_policy(
                file,
                text,
                routes,
                settings,
                (&protocol.class_names, &protocol.zone_names),
            ) {
                Ok(policy) => plans.routes = Some(policy),
                Err(found) => problems.extend(found),
            }
        }
        let gossip =
            operator.gossip.as_ref().map(|gossip| beaconshore_operator::gossip_policy(file, text, gossip));
        let gossip = gossip.transpose().unwrap_or_else(|problem| {
            problems.push(problem);
            None
        });
        if problems.is_empty() {
            Ok(OperatorConfig { plans, accounting: operator.accounting.unwrap_or(false), gossip })
        } else {
            Err(problems)
        }
    }

    /// Names the parts in which another configuration differs and that only a restart can change.
    pub fn needs_restart(&self, other: &Config) -> Vec<&'static str> {
        let peers = |c: &Config| (c.peer_listen, c.peers.clone(), c.peers_all);
        let changes = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits", self.limits != other.limits),
            ("peers", peers(self) != peers(other)),
            ("settings", self.settings != other.settings),
            ("the operator's gossip", other.operator_error.is_none() && self.gossip != other.gossip),
            (
                "the operator's accounting",
                other.operator_error.is_none() && self.accounting != other.accounting,
            ),
            ("the operator's zones", other.operator_error.is_none() && self.plans.zones != other.plans.zones),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(name, _)| name).collect()
    }

    /// Parses and checks a configuration file.
    pub fn parse(text: &[u8]) -> Result<Config, String> {
        let config: Config = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let protocol = &config.settings.protocol;
        if protocol.connect_timeout == 0 || protocol.idle_timeout == 0 {
            return Err(
                "settings.limits.connectTimeoutUs and connIdleUs must be set and greater than 0".into()
            );
        }
        if config.limits.sockets < MIN_SOCKETS {
            return Err(format!(
                "limits.sockets is {}, must be at least {MIN_SOCKETS}",
                config.limits.sockets
            ));
        }
        Ok(config)
    }
}

/// The value of an environment variable; `None` if it is unset or empty.
fn variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// The address in an environment variable, if it is set.
fn address(name: &str) -> Result<Option<SocketAddr>, String> {
    let parse = |value: String| value.parse().map_err(|e| format!("{name} is {value:?}: {e}"));
    variable(name).map(parse).transpose()
}

/// Deserializes the seed from hexadecimal digits.
fn parse_seed<'de, D: serde::Deserializer<'de>>(text: D) -> Result<u64, D::Error> {
    let digits = String::deserialize(text)?;
    u64::from_str_radix(&digits, 16).map_err(serde::de::Error::custom)
}
