//! The tables of the capacity page, as markdown, and their places in it.

use std::fmt::{self, Write};

use serde::{Deserialize, Serialize};

use crate::fit::Fit;
use crate::model::{figure, limits, Figure, Limit};
use crate::sample::{Cost, Mechanism};
use crate::size::Size;

/// Both mechanisms, in the order of columns.
const MECHANISMS: [Mechanism; 2] = [Mechanism::AllToAll, Mechanism::Gossip];
/// A day in seconds.
const DAY: f64 = 86_400.0;

/// What a scale run measured at one size, a second and driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleRun {
    /// How member state was spread.
    pub mechanism: Mechanism,
    /// Drivers.
    pub drivers: u32,
    /// Databases.
    pub databases: u32,
    /// Bytes of messages between drivers.
    pub peer_bytes: f64,
    /// Messages between drivers.
    pub peer_messages: f64,
    /// Bytes of the list.
    pub list_bytes: f64,
    /// Control time in microseconds.
    pub control_us: f64,
    /// Share of what was asked for that was earned.
    pub earned: f64,
    /// Health checks.
    pub probes: f64,
    /// How late the rig was for its own day, in milliseconds.
    pub late_ms: u64,
}

/// What an event did in a scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventRun {
    /// How member state was spread.
    pub mechanism: Mechanism,
    /// Drivers.
    pub drivers: u32,
    /// Databases.
    pub databases: u32,
    /// The event.
    pub event: String,
    /// How long it lasted, in seconds.
    pub lasts: u32,
    /// Bytes of control a second and driver, ordinary and in the worst second.
    pub bytes_before: f64,
    /// In the worst second.
    pub bytes_worst: f64,
    /// Messages a second and driver.
    pub messages_before: f64,
    /// In the worst second.
    pub messages_worst: f64,
    /// Control time in microseconds a second and driver.
    pub control_us_before: f64,
    /// In the worst second.
    pub control_us_worst: f64,
    /// Least share that was earned in any second.
    pub earned_worst: f64,
    /// Seconds from its end until all is as before; none: not before the next event.
    pub settled_after: Option<u32>,
}

/// All that the tables are worked out from.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// The size.
    pub size: Size,
    /// Slopes.
    pub fits: Vec<Fit>,
    /// Scale runs.
    pub runs: Vec<ScaleRun>,
    /// Events in scale runs.
    pub events: Vec<EventRun>,
}

/// A table and the name of its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// The name between its marks.
    pub name: &'static str,
    /// Markdown.
    pub text: String,
}

/// Why a table could not be put in its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Misplaced(pub &'static str);

impl fmt::Display for Misplaced {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.0;
        write!(
            f,
            "the page has no place for the table {name}: write <!-- begin {name} --> and <!-- end {name} -->"
        )
    }
}

impl std::error::Error for Misplaced {}

/// All tables.
pub fn tables(inputs: &Inputs) -> Vec<Table> {
    vec![
        Table { name: "size", text: size(&inputs.size) },
        Table { name: "driver", text: driver(inputs) },
        Table { name: "roles", text: roles(inputs) },
        Table { name: "missing", text: missing(inputs) },
        Table { name: "events", text: events(inputs) },
        Table { name: "runs", text: runs(inputs) },
        Table { name: "slopes", text: slopes(inputs) },
    ]
}

/// The page with all tables in their places.
pub fn fill(page: &str, tables: &[Table]) -> Result<String, Misplaced> {
    let mut page = page.to_string();
    for Table { name, text } in tables {
        let (begin, end) = (format!("<!-- begin {name} -->\n"), format!("<!-- end {name} -->"));
        let from = page.find(&begin).ok_or(Misplaced(name))? + begin.len();
        let to = from + page[from..].find(&end).ok_or(Misplaced(name))?;
        page.replace_range(from..to, text);
    }
    Ok(page)
}

fn table(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut text = format!("| {} |\n|{}\n", head.join(" | "), " --- |".repeat(head.len()));
    for row in rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// A number with as many digits as it is worth.
fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 100.0 => grouped(value.round() as i64),
        size if size >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

/// An integer with its thousands apart.
fn grouped(value: i64) -> String {
    let digits = value.unsigned_abs().to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0 {
        text.insert(0, '-');
    }
    text
}

fn size(size: &Size) -> String {
    let c = &size.capacity;
    let drivers = f64::from(c.drivers);
    let row = |what: &str, whole: f64, each: Option<f64>| {
        vec![what.to_string(), number(whole), each.map_or(String::new(), number)]
    };
    let rows = [
        row("drivers", drivers, None),
        row("databases", f64::from(c.databases), Some(f64::from(c.databases) / drivers)),
        row("groups", f64::from(c.databases / c.group_members), None),
        row("zones", f64::from(c.zones), None),
        row("regions", f64::from(c.regions), None),
        row("client connections", c.client_connections as f64, Some(c.client_connections as f64 / drivers)),
        row(
            "statements a second",
            c.statements_per_second as f64,
            Some(c.statements_per_second as f64 / drivers),
        ),
        row("changes of primary a day", c.primary_changes_per_day, None),
        row("changes of configuration a day", c.configuration_changes_per_day, None),
        row("machines that fail on an ordinary day", c.machine_failures_per_day, None),
        row("restarts and replacements a day", c.restarts_per_day, None),
        row("budget: % of a core", drivers * size.budget.cpu_percent, Some(size.budget.cpu_percent)),
        row("budget: MB", drivers * size.budget.memory_mb, Some(size.budget.memory_mb)),
        row(
            "budget: bytes a second",
            drivers * size.budget.bytes_per_second,
            Some(size.budget.bytes_per_second),
        ),
    ];
    table(&["what", "fleet", "each driver"], rows)
}

/// The budget that a cost counts against, in its unit.
fn allowed(size: &Size, cost: Cost) -> Option<f64> {
    match cost {
        Cost::PeerBytes | Cost::ListBytes => Some(size.budget.bytes_per_second),
        Cost::PeerTime | Cost::ListTime | Cost::TimerTime => Some(size.budget.cpu_percent * 1e4),
        Cost::Memory => Some(size.budget.memory_mb * 1024.0),
        Cost::PeerMessages | Cost::ListCalls | Cost::Probes | Cost::DecisionTime => None,
    }
}

/// The mechanism that carries a cost, and where it stands.
fn carried_by(cost: Cost, mechanism: Mechanism) -> &'static str {
    match (cost, mechanism) {
        (Cost::PeerBytes | Cost::PeerMessages | Cost::PeerTime, Mechanism::AllToAll) => {
            "all-to-all broadcast (`crates/driver/src/peers`)"
        }
        (Cost::PeerBytes | Cost::PeerMessages | Cost::PeerTime, Mechanism::Gossip) => {
            "gossip within a byte budget (`crates/gossip`)"
        }
        (Cost::ListBytes | Cost::ListCalls | Cost::ListTime, _) => {
            "watch, and a whole list every 2 s (`crates/driver/src/discovery`); deltas with digests are missing"
        }
        (Cost::Probes, _) => "probes on demand, divided over the fleet (`src/policy/probe_share.rs`)",
        (Cost::TimerTime, _) => "a walk over busy groups every 10 ms (`Router::pump_busy`); an index of due work is missing",
        (Cost::Memory, _) => "tables by member and peer (`src/records.rs`, `crates/driver`)",
        (Cost::DecisionTime, _) => "members of the request's group (`Router::choose`), and the timer's walk",
    }
}

fn driver(inputs: &Inputs) -> String {
    let Inputs { size, fits, .. } = inputs;
    let costs = [
        Cost::PeerBytes,
        Cost::PeerMessages,
        Cost::PeerTime,
        Cost::ListBytes,
        Cost::ListCalls,
        Cost::ListTime,
        Cost::TimerTime,
        Cost::Probes,
        Cost::Memory,
        Cost::DecisionTime,
    ];
    let row = |cost: Cost, mechanism: Mechanism| {
        let Figure { value, error, beyond, farthest, .. } = figure(fits, size, cost, mechanism, 1.0)?;
        let allowed = allowed(size, cost);
        Some(vec![
            cost.to_string(),
            mechanism.to_string(),
            format!("{} ± {} {}", number(value), number(error), cost.unit()),
            allowed.map_or("-".into(), number),
            allowed.map_or("-".into(), |allowed| format!("{:.0} %", 100.0 * value / allowed)),
            farthest.map_or("within".into(), |axis| format!("{beyond:.1} x {axis}")),
            carried_by(cost, mechanism).into(),
        ])
    };
    let rows =
        costs.iter().flat_map(|cost| MECHANISMS.iter().filter_map(move |mechanism| row(*cost, *mechanism)));
    let head = [
        "cost of a driver",
        "spread by",
        "at full size",
        "budget",
        "share",
        "beyond what was measured",
        "carried by",
    ];
    table(&head, rows)
}

fn roles(inputs: &Inputs) -> String {
    let Inputs { size, fits, .. } = inputs;
    let c = &size.capacity;
    let (drivers, databases) = (f64::from(c.drivers), f64::from(c.databases));
    let of = |cost| figure(fits, size, cost, Mechanism::AllToAll, 1.0).map_or(0.0, |f| f.value);
    let gossip = |cost| figure(fits, size, cost, Mechanism::Gossip, 1.0).map_or(0.0, |f| f.value);
    let row = |cells: [String; 6]| cells.to_vec();
    let text = String::from;
    let statements = c.statements_per_second as f64;
    let changes = c.configuration_changes_per_day;
    let rows = [
        row([
            text("client"),
            text("one connection"),
            format!("{} statements a second", number(statements / c.client_connections as f64)),
            text("none for control"),
            text("-"),
            text("the client's own pool; it finds a driver by means of its operator"),
        ]),
        row([
            text("driver"),
            format!("{} kB", number(of(Cost::Memory))),
            format!(
                "{} a second all to all, {} by gossip; {} calls of discovery",
                number(of(Cost::PeerMessages)),
                number(gossip(Cost::PeerMessages)),
                number(of(Cost::ListCalls))
            ),
            format!(
                "{} a second all to all, {} by gossip; {} for the list",
                number(of(Cost::PeerBytes)),
                number(gossip(Cost::PeerBytes)),
                number(of(Cost::ListBytes))
            ),
            format!(
                "{} us a second all to all, {} by gossip",
                number(of(Cost::PeerTime) + of(Cost::ListTime) + of(Cost::TimerTime)),
                number(gossip(Cost::PeerTime) + gossip(Cost::ListTime) + gossip(Cost::TimerTime))
            ),
            text("as the table above says"),
        ]),
        row([
            text("database"),
            format!("a connection of each of {} drivers at least", number(drivers)),
            format!("{} health checks a second", number(of(Cost::Probes) * drivers / databases)),
            text("those of the checks"),
            text("not measured: the emulator's databases answer checks for nothing"),
            text("connection pools (`crates/driver/src/member`)"),
        ]),
        row([
            text("discovery agent, one beside each driver"),
            format!("{} entries", number(databases)),
            format!("{} calls a second", number(of(Cost::ListCalls))),
            format!("{} a second", number(of(Cost::ListBytes))),
            text("not measured: it belongs to the platform"),
            text("the platform's; between drivers and agents: watch and whole lists"),
        ]),
        row([
            text("control machines"),
            text("nothing"),
            text("none"),
            text("0"),
            text("0"),
            text("missing: versioned distribution of list and configuration"),
        ]),
        row([
            text("operator"),
            text("the operator's file, one copy for each driver"),
            format!(
                "{} reloads a day: {} changes at each of {} drivers, one every {} s",
                number(changes * drivers),
                number(changes),
                number(drivers),
                number(DAY / changes / drivers)
            ),
            text("not measured"),
            text("-"),
            text("file and SIGHUP (`crates/driver/src/signals.rs`); missing: the same"),
        ]),
    ];
    table(&["role", "state", "messages", "bytes", "processor time", "mechanism"], rows)
}

fn missing(inputs: &Inputs) -> String {
    let row = |limit: Limit| {
        let c = &inputs.size.capacity;
        let at = limit.breaks_at.map_or("not up to 64 times the size".to_string(), |part| {
            format!(
                "{} drivers, {} databases",
                number((f64::from(c.drivers) * part).round()),
                number((f64::from(c.databases) * part).round())
            )
        });
        vec![
            limit.budget.to_string(),
            limit.mechanism.to_string(),
            at,
            number(limit.spent),
            number(limit.allowed),
            format!("{:.1}", limit.spent / limit.allowed),
        ]
    };
    let limits = MECHANISMS.iter().flat_map(|mechanism| limits(&inputs.fits, &inputs.size, *mechanism));
    let head = ["budget", "spread by", "spent at (both shrunk alike)", "at full size", "allowed", "times"];
    table(&head, limits.map(row))
}

fn events(inputs: &Inputs) -> String {
    let row = |event: &EventRun| {
        let pair = |a: f64, b: f64| format!("{} to {}", number(a), number(b));
        vec![
            format!("{}, {} s", event.event, event.lasts),
            event.mechanism.to_string(),
            format!("{} x {}", event.drivers, event.databases),
            pair(event.bytes_before, event.bytes_worst),
            pair(event.messages_before, event.messages_worst),
            pair(event.control_us_before, event.control_us_worst),
            format!("{:.3}", event.earned_worst),
            event.settled_after.map_or("not before the next event".into(), |s| format!("{s} s")),
        ]
    };
    let head = [
        "event",
        "spread by",
        "drivers x databases",
        "bytes a second and driver, worst second",
        "messages",
        "control us",
        "earned, worst second",
        "settled after its end",
    ];
    table(&head, inputs.events.iter().map(row))
}

fn runs(inputs: &Inputs) -> String {
    let row = |run: &ScaleRun| {
        vec![
            format!("{} x {}", run.drivers, run.databases),
            run.mechanism.to_string(),
            number(run.peer_bytes),
            number(run.peer_messages),
            number(run.list_bytes),
            number(run.control_us),
            number(run.probes),
            format!("{:.3}", run.earned),
            format!("{} ms", run.late_ms),
        ]
    };
    let head = [
        "drivers x databases",
        "spread by",
        "bytes of messages",
        "messages",
        "bytes of the list",
        "control us",
        "health checks",
        "earned",
        "rig late by",
    ];
    table(&head, inputs.runs.iter().map(row))
}

fn slopes(inputs: &Inputs) -> String {
    let row = |fit: &Fit| {
        vec![
            fit.cost.to_string(),
            fit.mechanism.to_string(),
            fit.axis.to_string(),
            format!("{} {}", number(fit.intercept), fit.unit),
            format!("{} ± {}", number(fit.slope), number(fit.slope_error)),
            format!("{:.2}", fit.r_squared),
            format!("{} to {}", number(fit.least), number(fit.most)),
            fit.samples.to_string(),
        ]
    };
    let head = ["cost", "spread by", "along", "intercept", "slope", "R²", "measured", "samples"];
    table(&head, inputs.fits.iter().map(row))
}
