//! Decodes the settings that a router is given at start: from their JSON form into the types of the decision module, and the
//! values that the program around the module needs. The driver finds the settings in its configuration file, the adapter to
//! a simulator (`beaconshore-benchlink`) in the event that starts a router.

use beaconshore::interface as api;
use serde::Deserialize;

/// The settings in their JSON form.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawSettings {
    discovery: String,
    extra: Extra,
    limits: Limits,
    #[serde(default = "one_instance")]
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

/// Meaning of one value in a member's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Position: the time up to which the member has applied all commits, in seconds after the zero time.
    Position,
    /// Role of the member: 1 for a primary, any other value for a replica.
    Role,
    /// Share of the processor cores that is busy.
    Utilization,
    /// Number of waiting requests.
    Backlog,
    /// A value that is not used.
    Other,
}

impl ReportField {
    /// The meaning of the value with this name in load reports.
    pub fn from_name(name: &str) -> Self {
        match name {
            "x0" => ReportField::Position,
            "x1" => ReportField::Role,
            "utilization" => ReportField::Utilization,
            "backlog" => ReportField::Backlog,
            _ => ReportField::Other,
        }
    }
}

/// The decoded settings: one part for the decision module, one for the program that runs it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "RawSettings")]
pub struct RouterSettings {
    /// The settings of the decision module.
    pub module: api::Settings,
    /// The values that the program around the module needs.
    pub protocol: ProtocolSettings,
}

/// Values that the program around the decision module needs to translate between its protocol and the module's events and
/// actions, and to limit its connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolSettings {
    /// Unix time in microseconds from which positions are counted in protocols with relative positions.
    pub zero_time: api::Micros,
    /// Meaning of the values in a load report, in their order.
    pub report_fields: Vec<ReportField>,
    /// Names of the request classes, by index.
    pub class_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Time after which an attempt to open a connection to a member is given up; such a connection would never be
    /// established.
    pub connect_timeout: api::Micros,
    /// Time after which a member closes an idle connection at the latest.
    pub idle_timeout: api::Micros,
    /// Time after learning that a member drains, from which on no new request may be sent to it; 0 if not stated.
    pub drain_grace: api::Micros,
}

impl RouterSettings {
    /// Decodes the settings from their JSON text.
    pub fn parse(text: &[u8]) -> Result<RouterSettings, String> {
        serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))
    }
}

impl TryFrom<RawSettings> for RouterSettings {
    type Error = String;

    fn try_from(raw: RawSettings) -> Result<RouterSettings, String> {
        if raw.extra.consistency.len() != raw.request_classes.len() {
            return Err(format!(
                "{} entries in extra.consistency for {} request classes",
                raw.extra.consistency.len(),
                raw.request_classes.len()
            ));
        }
        let mut classes = Vec::with_capacity(raw.request_classes.len());
        for (i, class) in raw.request_classes.iter().enumerate() {
            classes.push(decode_class(&raw.extra, i, class)?);
        }
        let module = api::Settings {
            zone: api::ZoneId(raw.zone),
            routers: raw.n_instances,
            step: raw.step_us,
            classes,
            discovery: match raw.discovery.as_str() {
                "pushed" => api::DiscoveryMode::Pushed,
                "on_request" => api::DiscoveryMode::OnRequest,
                other => return Err(unknown_value("discovery", other)),
            },
            session_tracking: match raw.extra.session_marks.as_deref() {
                Some("router") => api::SessionTracking::Router,
                Some("client") | None => api::SessionTracking::Client,
                Some(other) => return Err(unknown_value("extra.sessionMarks", other)),
            },
            lag_check: match raw.extra.guards.as_deref() {
                Some("reject" | "hold") => api::LagCheck::Member,
                Some("silent") | None => api::LagCheck::Router,
                Some(other) => return Err(unknown_value("extra.guards", other)),
            },
            limits: api::Limits {
                max_attempts: raw.limits.max_attempts,
                connect_timeout: raw.limits.connect_timeout_us,
                max_retry_after: raw.limits.max_retry_after_us,
                retry_after: raw.limits.retry_after,
                probes: raw.limits.probes,
                peer_messages: raw.limits.peer_messages,
            },
            rules: api::RuleParameters {
                resubscribe_within: raw.rules.ask_within_us,
                only_draining_binds: raw.rules.only_draining_binds,
                cold_share: raw.rules.start_capacity,
                warm_up_time: raw.rules.warm_within_us,
                overload_multiple: raw.rules.tip_multiple,
                overload_window: raw.rules.fall_us,
            },
        };
        let protocol = ProtocolSettings {
            zero_time: raw.extra.zero_us,
            report_fields: raw.load_report.fields.iter().map(|name| ReportField::from_name(name)).collect(),
            class_names: raw.request_classes.into_iter().map(|class| class.name).collect(),
            zone_names: raw.zones,
            connect_timeout: raw.limits.connect_timeout_us,
            idle_timeout: raw.limits.conn_idle_us,
            drain_grace: raw.rules.drain_grace_us,
        };
        Ok(RouterSettings { module, protocol })
    }
}

/// Number of routers if the settings do not state it.
fn one_instance() -> u32 {
    1
}

/// The error for a key with an unknown value.
fn unknown_value(key: &str, value: &str) -> String {
    format!("{key} is {value:?}, which is not a known value")
}

/// Decodes the request class at `index`.
fn decode_class(extra: &Extra, index: usize, class: &Class) -> Result<api::Class, String> {
    let consistency = match extra.consistency[index].as_str() {
        "update" => api::Consistency::Write,
        "latest" => api::Consistency::Fresh,
        "own_writes" => api::Consistency::Session,
        "recent" => api::Consistency::Bounded(*extra.staleness_bound_us.get(index).unwrap_or(&0)),
        "loose" => api::Consistency::Any,
        other => return Err(unknown_value("extra.consistency", other)),
    };
    let scope = match class.dedup_scope.as_deref() {
        Some("all") => api::DedupScope::All,
        Some("zone") => api::DedupScope::Zone,
        Some("cell") | None => api::DedupScope::Group,
        Some(other) => return Err(unknown_value("requestClasses.dedupScope", other)),
    };
    let effect = match class.idempotency.as_str() {
        "idempotent" => api::Effect::Safe,
        "deduplicated" => api::Effect::Keyed(scope, class.window_us),
        "at_most_once" => api::Effect::Unsafe,
        other => return Err(unknown_value("requestClasses.idempotency", other)),
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
