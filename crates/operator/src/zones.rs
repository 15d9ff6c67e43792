//! What the file says of zones, as their planner's policy.

use beaconshore::interface::ZoneId;
use beaconshore_zones::policy::{Policy, ZonePolicy};

use crate::proto;
use crate::text::{impossible, Problem};

/// The policy that a file's `zones` describe, with defaults for what they leave out. `names` are the zones as the
/// router's settings number them; `file` and `text` are for errors.
pub fn zones(file: &str, text: &str, zones: &proto::Zones, names: &[String]) -> Result<Policy, Problem> {
    let wrong = |field: &str, reason: &str| Err(impossible(file, text, &format!("zones.{field}"), reason));
    let number = |name: &str| names.iter().position(|n| n == name).map(|index| ZoneId(index as u16));
    let defaults = Policy::default();
    let mut stated = Vec::with_capacity(zones.zone.len());
    for (i, zone) in zones.zone.iter().enumerate() {
        let unknown = |name: &str| format!("no zone {name:?}; the settings name {}", names.join(", "));
        let Some(id) = number(&zone.name) else {
            return wrong(&format!("zone[{i}].name"), &unknown(&zone.name));
        };
        let mut prefer = Vec::with_capacity(zone.prefer.len());
        for (n, name) in zone.prefer.iter().enumerate() {
            let Some(other) = number(name) else {
                return wrong(&format!("zone[{i}].prefer[{n}]"), &unknown(name));
            };
            prefer.push(other);
        }
        stated.push(ZonePolicy {
            zone: id,
            name: zone.name.clone(),
            prefer,
            capacity: zone.capacity.unwrap_or(0.0),
            routers: zone.routers.unwrap_or(0),
        });
    }
    let micros = |ms: Option<u64>, default| ms.map_or(default, |ms| ms.saturating_mul(1000));
    let policy = Policy {
        number: None,
        zones: stated,
        spill_share: zones.spill_share.unwrap_or(defaults.spill_share),
        quorum: zones.quorum.unwrap_or(defaults.quorum),
        silence: micros(zones.silence_ms, defaults.silence),
        dwell: micros(zones.dwell_ms, defaults.dwell),
        proof: zones.proof.unwrap_or(defaults.proof),
        failures: zones.failures.unwrap_or(defaults.failures),
        slowdown: zones.slowdown.unwrap_or(defaults.slowdown),
        flap_memory: micros(zones.flap_memory_ms, defaults.flap_memory),
        most_doublings: zones.most_doublings.unwrap_or(defaults.most_doublings),
        hold: micros(zones.hold_ms, defaults.hold),
    };
    match policy.check() {
        Ok(()) => Ok(policy),
        Err(fault) => wrong(&fault.field.replace("zones[", "zone["), &fault.reason),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::parse;

    const NAMES: [&str; 2] = ["east", "west"];

    fn read(text: &str) -> Result<Policy, String> {
        let names: Vec<String> = NAMES.map(String::from).into();
        let file = parse("op.textproto", text).map_err(|e| e.to_string())?;
        zones("op.textproto", text, &file.zones.unwrap_or_default(), &names).map_err(|e| e.to_string())
    }

    #[test]
    fn what_is_left_out_has_its_default() {
        let policy =
            read("zones { zone { name: 'west' capacity: 12 prefer: ['west', 'east'] } dwell_ms: 800 }");
        let policy = policy.unwrap();
        assert_eq!((policy.dwell, policy.hold), (800_000, Policy::default().hold));
        assert_eq!(policy.of(ZoneId(1)).unwrap().prefer, [ZoneId(1), ZoneId(0)]);
    }

    #[test]
    fn the_shipped_example_holds_the_defaults() {
        let text = include_str!("../../../deploy/operator.textproto");
        let names: Vec<String> = ["a", "b", "c"].map(String::from).into();
        let file = parse("operator.textproto", text).unwrap();
        let policy = zones("operator.textproto", text, &file.zones.unwrap(), &names).unwrap();
        assert_eq!(policy.zones.len(), 3);
        assert_eq!(Policy { zones: Vec::new(), ..policy }, Policy::default());
    }

    #[test]
    fn what_cannot_be_meant_is_refused_with_place_and_reason() {
        let cases = [
            (
                "zones {\n  zone { name: 'north' } }",
                "op.textproto:2:10: zones.zone[0].name: no zone \"north\"",
            ),
            (
                "zones { zone { name: 'west' prefer: 'east' } }",
                "op.textproto:1:29: zones.zone[0].prefer: the zone",
            ),
            (
                "zones {\n\n spill_share: 1.5 }",
                "op.textproto:3:2: zones.spill_share: is 1.5, must be from 0 to 1",
            ),
            ("zones { hold_ms: 1 }", "op.textproto:1:9: zones.hold_ms: is 1 ms, must be from 10 to 600000"),
            ("zones {\n  spil_share: 1 }", "op.textproto:2:3: "),
            ("zones {\n  quorum: 'x' }", "op.textproto:2:11: "),
            (
                "zones { zone { name: 'west' } zone { name: 'west' } }",
                "op.textproto:1:31: zones.zone[1]: the zone",
            ),
        ];
        for (text, expected) in cases {
            let said = read(text).unwrap_err();
            assert!(said.starts_with(expected), "{text:?}: {said}");
        }
    }
}
