//! The settings that a router is given at start, as its users word them, and their translation into the
//! decision module's terms. The driver finds them in its configuration, the bench's adapter in a start event.

use beaconshore::interface as api;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    discovery: String,
    extra: Extra,
    limits: Limits,
    #[serde(default = "alone")]
    n_instances: u32,
    load_report: LoadReport,
    request_classes: Vec<Class>,
    rules: Rules,
    step_us: u64,
    zone: u16,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Extra {
    consistency: Vec<String>,
    #[serde(default)]
    guards: Option<String>,
    #[serde(default)]
    session_marks: Option<String>,
    #[serde(default)]
    staleness_bound_us: Vec<u64>,
    zero_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    conn_idle_us: u64,
    #[serde(default)]
    connect_timeout_us: u64,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after_us: u64,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peer_messages: bool,
}

#[derive(Deserialize)]
struct LoadReport {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    aim_us: u64,
    deadline_us: u64,
    #[serde(default)]
    dedup_scope: Option<String>,
    idempotency: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    name: String,
    #[serde(default)]
    window_us: u64,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(default)]
    ask_within_us: u64,
    #[serde(default)]
    only_draining_binds: bool,
    #[serde(default)]
    drain_grace_us: u64,
    start_capacity: f64,
    warm_within_us: u64,
    tip_multiple: f64,
    fall_us: u64,
}

/// A value of a load report that the module has a use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// The position, in seconds after the zero time.
    Position,
    /// 1 from a primary.
    Role,
    /// Busy share of the cores.
    Utilization,
    /// Requests that wait.
    Backlog,
    /// One that nothing here reads.
    Other,
}

impl ReportField {
    /// The value that goes by this name in load reports.
    pub fn named(name: &str) -> Self {
        match name {
            "x0" => ReportField::Position,
            "x1" => ReportField::Role,
            "utilization" => ReportField::Utilization,
            "backlog" => ReportField::Backlog,
            _ => ReportField::Other,
        }
    }
}

/// All that the settings hold: what the module is given, and what its surroundings need to speak for it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "Facts")]
pub struct Site {
    /// The decision module's part.
    pub settings: api::Settings,
    /// The rest.
    pub dialect: Dialect,
}

/// What is kept of the settings to translate events and actions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Clock time from which positions are counted where they are not absolute.
    pub zero: api::Micros,
    /// Meaning of the values in a load report, in order.
    pub report: Vec<ReportField>,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// A connection that is not up after this never comes up.
    pub connect_timeout: api::Micros,
    /// An idle connection is closed by its other end after this at the latest.
    pub conn_idle: api::Micros,
    /// Within this of hearing that a member drains nothing new goes there any more; 0: not told.
    pub drain_grace: api::Micros,
}

impl Site {
    /// Reads the settings from their JSON text.
    pub fn parse(text: &[u8]) -> Result<Site, String> {
        serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))
    }
}

impl TryFrom<Facts> for Site {
    type Error = String;

    fn try_from(facts: Facts) -> Result<Site, String> {
        if facts.extra.consistency.len() != facts.request_classes.len() {
            return Err(format!(
                "{} entries in extra.consistency for {} classes",
                facts.extra.consistency.len(),
                facts.request_classes.len()
            ));
        }
        let mut classes = Vec::with_capacity(facts.request_classes.len());
        for (i, class) in facts.request_classes.iter().enumerate() {
            classes.push(class_of(&facts.extra, i, class)?);
        }
        let settings = api::Settings {
            zone: api::ZoneId(facts.zone),
            routers: facts.n_instances,
            step: facts.step_us,
            classes,
            discovery: match facts.discovery.as_str() {
                "pushed" => api::DiscoveryMode::Pushed,
                "on_request" => api::DiscoveryMode::OnRequest,
                other => return Err(unknown("discovery", other)),
            },
            session_tracking: match facts.extra.session_marks.as_deref() {
                Some("router") => api::SessionTracking::Router,
                Some("client") | None => api::SessionTracking::Client,
                Some(other) => return Err(unknown("extra.sessionMarks", other)),
            },
            lag_check: match facts.extra.guards.as_deref() {
                Some("reject" | "hold") => api::LagCheck::Member,
                Some("silent") | None => api::LagCheck::Router,
                Some(other) => return Err(unknown("extra.guards", other)),
            },
            limits: api::Limits {
                max_attempts: facts.limits.max_attempts,
                connect_timeout: facts.limits.connect_timeout_us,
                max_retry_after: facts.limits.max_retry_after_us,
                retry_after: facts.limits.retry_after,
                probes: facts.limits.probes,
                peer_messages: facts.limits.peer_messages,
            },
            rules: api::RuleParameters {
                resubscribe_within: facts.rules.ask_within_us,
                only_draining_binds: facts.rules.only_draining_binds,
                cold_share: facts.rules.start_capacity,
                warm_up_time: facts.rules.warm_within_us,
                overload_multiple: facts.rules.tip_multiple,
                overload_window: facts.rules.fall_us,
            },
        };
        let dialect = Dialect {
            zero: facts.extra.zero_us,
            report: facts.load_report.fields.iter().map(|name| ReportField::named(name)).collect(),
            classes: facts.request_classes.into_iter().map(|class| class.name).collect(),
            zones: facts.zones,
            connect_timeout: facts.limits.connect_timeout_us,
            conn_idle: facts.limits.conn_idle_us,
            drain_grace: facts.rules.drain_grace_us,
        };
        Ok(Site { settings, dialect })
    }
}

fn alone() -> u32 {
    1
}

fn unknown(key: &str, word: &str) -> String {
    format!("{key} is {word:?}, which is not known")
}

fn class_of(extra: &Extra, index: usize, class: &Class) -> Result<api::Class, String> {
    let consistency = match extra.consistency[index].as_str() {
        "update" => api::Consistency::Write,
        "latest" => api::Consistency::Fresh,
        "own_writes" => api::Consistency::Session,
        "recent" => api::Consistency::Bounded(*extra.staleness_bound_us.get(index).unwrap_or(&0)),
        "loose" => api::Consistency::Any,
        other => return Err(unknown("extra.consistency", other)),
    };
    let scope = match class.dedup_scope.as_deref() {
        Some("all") => api::DedupScope::All,
        Some("zone") => api::DedupScope::Zone,
        Some("cell") | None => api::DedupScope::Group,
        Some(other) => return Err(unknown("requestClasses.dedupScope", other)),
    };
    let effect = match class.idempotency.as_str() {
        "idempotent" => api::Effect::Safe,
        "deduplicated" => api::Effect::Keyed(scope, class.window_us),
        "at_most_once" => api::Effect::Unsafe,
        other => return Err(unknown("requestClasses.idempotency", other)),
    };
    Ok(api::Class {
        consistency,
        effect,
        latency_target: class.aim_us,
        deadline: class.deadline_us,
        value: class.worth,
        late_value_share: class.late_worth,
    })
}
