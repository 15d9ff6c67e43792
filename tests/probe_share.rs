//! Tests how a fleet divides its probes (`docs/design/probe-sharing.md`).

use beaconshore::interface::{Limits, Micros, Settings};
use beaconshore::policy::probe_share::{lagging_replica_pause, ProbeShare, PROBE_PERIOD};
use beaconshore::random::Random;

fn fleet(routers: u32, peer_messages: bool) -> ProbeShare {
    let limits = Limits { peer_messages, ..Limits::default() };
    ProbeShare::new(&Settings { routers, limits, ..Settings::default() })
}

#[test]
fn small_fleets_and_fleets_without_messages_send_all_their_probes() {
    let mut random = Random::new(7);
    for probe_share in [fleet(0, true), fleet(3, true), fleet(300, false), ProbeShare::default()] {
        assert_eq!(probe_share.assigned((0..100).collect(), Some(0), 1, &mut random).len(), 100);
        assert!((0..10).all(|due| probe_share.assigned_count(due) == due));
        assert_eq!(probe_share.fleet_pause(100, 1_000), 100);
    }
}

#[test]
fn a_fleet_of_any_size_probes_as_often_as_three_routers() {
    for routers in [30, 300, 1_000] {
        let mut probed = 0;
        for seed in 0..u64::from(routers) {
            let mut random = Random::new(seed);
            probed += fleet(routers, true).assigned((0..120).collect(), Some(1), 1, &mut random).len();
        }
        // 360 on average, plus or minus five standard deviations.
        assert!((265..455).contains(&probed), "{routers} routers sent {probed} probes");
    }
    assert_eq!(fleet(30, true).fleet_pause(100, 10_000), 1_000);
    assert_eq!(fleet(300, true).fleet_pause(100, 1_000), 1_000, "the pause never exceeds the longest one");
}

#[test]
fn the_probe_rate_of_a_member_does_not_depend_on_the_request_rate() {
    const SECOND: Micros = 1_000_000;
    for gap in [SECOND / 10, SECOND, 5 * SECOND] {
        let mut random = Random::new(7);
        let occasions = 300 * 100 * SECOND / gap;
        let select = |_| fleet(300, true).assigned(vec![()], Some(gap), SECOND, &mut random).len();
        // In 100 s, plus or minus five standard deviations.
        let probed: usize = (0..occasions).map(select).sum();
        assert!((213..=387).contains(&probed), "{probed} probes with a request every {gap} us");
    }
    let mut random = Random::new(7);
    assert_eq!(
        fleet(300, true).assigned(vec![1, 2], None, SECOND, &mut random),
        [1, 2],
        "a new router sends all its probes"
    );
    assert_eq!(
        fleet(3, true).assigned(vec![1, 2], Some(0), SECOND, &mut random),
        [1, 2],
        "each router of a small fleet sends all its probes"
    );
}

#[test]
fn a_replica_is_probed_more_rarely_the_further_it_lags_within_the_usual_period() {
    assert_eq!(
        [0, 400_000, 4_000_000, 60_000_000].map(lagging_replica_pause),
        [0, 100_000, PROBE_PERIOD, PROBE_PERIOD]
    );
}

#[test]
fn each_router_sends_at_least_one_probe_that_a_read_depends_on() {
    assert_eq!([0, 1, 2, 4].map(|due| fleet(300, true).assigned_count(due)), [0, 1, 1, 1]);
    assert_eq!(fleet(6, true).assigned_count(4), 2);
}
