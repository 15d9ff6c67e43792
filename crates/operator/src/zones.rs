//! Converts the `zones` message of the operator's file to a policy of zones.

use beaconshore::interface::ZoneId;
use beaconshore_zones::policy::{Policy, ZonePolicy};

use crate::proto;
use crate::textproto::{invalid_value, FileError};

/// Converts and validates the `zones` message of a file. Fields that are left out have their defaults. `names` are the
/// zones of the router's settings, by index; `file` and `text` are the name and the content of the file, for errors.
/// Returns the first problem.
pub fn zone_policy(
    file: &str,
    text: &str,
    zones: &proto::Zones,
    names: &[String],
) -> Result<Policy, FileError> {
    let invalid =
        |field: &str, reason: &str| Err(invalid_value(file, text, &format!("zones.{field}"), reason));
    let zone_id = |name: &str| names.iter().position(|n| n == name).map(|index| ZoneId(index as u16));
    let defaults = Policy::default();
    let mut configured = Vec::with_capacity(zones.zone.len());
    for (i, zone) in zones.zone.iter().enumerate() {
        let unknown = |name: &str| format!("no zone {name:?}; the settings name {}", names.join(", "));
        let Some(id) = zone_id(&zone.name) else {
            return invalid(&format!("zone[{i}].name"), &unknown(&zone.name));
        };
        let mut prefer = Vec::with_capacity(zone.prefer.len());
        for (n, name) in zone.prefer.iter().enumerate() {
            let Some(other) = zone_id(name) else {
                return invalid(&format!("zone[{i}].prefer[{n}]"), &unknown(name));
            };
            prefer.push(other);
        }
        configured.push(ZonePolicy {
            zone: id,
            name: zone.name.clone(),
            prefer,
            capacity: zone.capacity.unwrap_or(0.0),
            routers: zone.routers.unwrap_or(0),
        });
    }
    let micros = |ms: Option<u64>, default| ms.map_or(default, |ms| ms.saturating_mul(1000));
    let policy = Policy {
        router_number: None,
        zones: configured,
        spill_share: zones.spill_share.unwrap_or(defaults.spill_share),
        quorum: zones.quorum.unwrap_or(defaults.quorum),
        silence: micros(zones.silence_ms, defaults.silence),
        dwell: micros(zones.dwell_ms, defaults.dwell),
        min_answers: zones.proof.unwrap_or(defaults.min_answers),
        max_failure_share: zones.failures.unwrap_or(defaults.max_failure_share),
        max_slowdown: zones.slowdown.unwrap_or(defaults.max_slowdown),
        flap_memory: micros(zones.flap_memory_ms, defaults.flap_memory),
        max_doublings: zones.most_doublings.unwrap_or(defaults.max_doublings),
        hold: micros(zones.hold_ms, defaults.hold),
    };
    match policy.check() {
        Ok(()) => Ok(policy),
        Err(fault) => invalid(&fault.field.replace("zones[", "zone["), &fault.reason),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::parse;

    const NAMES: [&str; 2] = ["east", "west"];

    /// Parses and converts a file for a site with the zones `east` and `west`.
    fn parse_zones(text: &str) -> Result<Policy, String> {
        let names: Vec<String> = NAMES.map(String::from).into();
        let file = parse("op.textproto", text).map_err(|e| e.to_string())?;
        zone_policy("op.textproto", text, &file.zones.unwrap_or_default(), &names).map_err(|e| e.to_string())
    }

    /// Guards against a field that is lost in the conversion, and against a wrong default.
    #[test]
    fn fields_are_converted_and_omitted_fields_have_their_defaults() {
        let policy = parse_zones(
            "zones { zone { name: 'west' capacity: 12 prefer: ['west', 'east'] } dwell_ms: 800 }",
        );
        let policy = policy.unwrap();
        assert_eq!((policy.dwell, policy.hold), (800_000, Policy::default().hold));
        assert_eq!(policy.zone(ZoneId(1)).unwrap().prefer, [ZoneId(1), ZoneId(0)]);
    }

    /// Guards against an example file whose values differ from the defaults that it claims to show.
    #[test]
    fn the_shipped_example_states_the_defaults() {
        let text = include_str!("../../../deploy/operator.textproto");
        let names: Vec<String> = ["a", "b", "c"].map(String::from).into();
        let file = parse("operator.textproto", text).unwrap();
        let policy = zone_policy("operator.textproto", text, &file.zones.unwrap(), &names).unwrap();
        assert_eq!(policy.zones.len(), 3);
        assert_eq!(Policy { zones: Vec::new(), ..policy }, Policy::default());
    }

    /// Guards against accepting an invalid file, and against an error with a wrong place or reason.
    #[test]
    fn an_invalid_file_is_rejected_with_place_and_reason() {
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
            let message = parse_zones(text).unwrap_err();
            assert!(message.starts_with(expected), "{text:?}: {message}");
        }
    }
}
