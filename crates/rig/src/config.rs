//! What a process is told at its start, as the platform tells it: the day's settings in the users' words.

use std::net::SocketAddr;

use beaconshore::interface::{Class, Consistency, Effect, ListEntry, ListedState, Micros};
use beaconshore_emulator::Plan;
use serde_json::{json, Value};

/// Where the ways of one process lead.
#[derive(Clone, Debug)]
pub struct Ways {
    /// Where clients find it.
    pub listen: SocketAddr,
    /// Where its datagrams come in.
    pub peer_listen: SocketAddr,
    /// Its agent of discovery.
    pub agent: SocketAddr,
    /// Members, as it reaches them.
    pub members: Vec<SocketAddr>,
    /// Others, by number, with itself in its own place.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all of them, if there is one.
    pub peers_all: Option<SocketAddr>,
}

/// An entry of the list in discovery's form; times are Unix times.
pub fn entry(plan: &Plan, ways: &Ways, entry: &ListEntry, unix: impl Fn(Micros) -> Micros) -> Value {
    let number = entry.member.0 as usize;
    json!({
        "instanceId": format!("s-{number:04}"),
        "hostPort": ways.members[number].to_string(),
        "zone": plan.zones[usize::from(entry.zone.0)],
        "machineType": "m",
        "cell": entry.group.0,
        "lifecycle": match entry.listed {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        },
        "weight": 1.0,
        "startedAtMs": entry.started_at.map_or(0, |at| unix(at) / 1000),
        "role": if entry.primary { "leader" } else { "follower" },
    })
}

fn class(name: &str, class: &Class) -> Value {
    let (idempotency, window) = match class.effect {
        Effect::Safe => ("idempotent", 0),
        Effect::Keyed(_, window) => ("deduplicated", window),
        Effect::Unsafe => ("unsafe", 0),
    };
    let mut value = json!({
        "name": name, "aimUs": class.latency_target, "deadlineUs": class.deadline, "worth": class.value,
        "lateWorth": class.late_value_share, "idempotency": idempotency, "windowUs": window,
    });
    if matches!(class.effect, Effect::Keyed(..)) {
        value["dedupScope"] = "cell".into();
    }
    value
}

/// The configuration of a process.
pub fn config(plan: &Plan, number: usize, zone: usize, ways: &Ways, known: Value, seed: u64) -> Value {
    let (settings, rules) = (&plan.settings, plan.rules());
    let bound = |c: &Class| if let Consistency::Bounded(bound) = c.consistency { bound } else { 0 };
    let word = |c: &Class| match c.consistency {
        Consistency::Write => "update",
        Consistency::Fresh => "latest",
        Consistency::Session => "own_writes",
        Consistency::Bounded(_) => "recent",
        Consistency::Any => "loose",
    };
    json!({
        "name": format!("n{number}"), "listen": ways.listen.to_string(), "discovery": ways.agent.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": ways.peer_listen.to_string(),
        "peers": ways.peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "peers_all": ways.peers_all.map(|address| address.to_string()),
        "known": known,
        "settings": {
            "discovery": "pushed", "nInstances": settings.routers, "stepUs": settings.step, "zone": zone,
            "zones": plan.zones,
            "extra": {
                "consistency": plan.classes.iter().map(|c| word(&c.class)).collect::<Vec<_>>(),
                "stalenessBoundUs": plan.classes.iter().map(|c| bound(&c.class)).collect::<Vec<_>>(),
                "guards": "silent", "sessionMarks": "client", "zeroUs": 0,
            },
            "limits": {
                "connIdleUs": plan.members.idle, "connectTimeoutUs": 250_000,
                "maxAttempts": settings.limits.max_attempts,
                "maxRetryAfterUs": settings.limits.max_retry_after,
                "peerMessages": settings.limits.peer_messages, "probes": settings.limits.probes,
                "retryAfter": settings.limits.retry_after,
            },
            "loadReport": {"fields": ["x0", "x1", "utilization"], "how": "piggyback"},
            "requestClasses": plan.classes.iter().map(|c| class(&c.name, &c.class)).collect::<Vec<_>>(),
            "rules": {
                "askWithinUs": rules.resubscribe_within, "onlyDrainingBinds": rules.only_draining_binds,
                "startCapacity": rules.cold_share, "warmWithinUs": rules.warm_up_time,
                "tipMultiple": rules.overload_multiple, "fallUs": rules.overload_window,
            },
        },
    })
}
