//! The page says what the slopes say, and the arithmetic between them.

use std::path::{Path, PathBuf};

use beaconshore_capacity::fit::{fit_all, Fit};
use beaconshore_capacity::model::{figure, limits};
use beaconshore_capacity::page::{self, Inputs};
use beaconshore_capacity::sample::{Axis, Cost, Mechanism, Sample};
use beaconshore_capacity::size::{self, Size};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn text(path: &str) -> String {
    let path = root().join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn rows<T: serde::de::DeserializeOwned>(path: &str) -> Vec<T> {
    csv::Reader::from_path(root().join(path)).unwrap().deserialize().map(Result::unwrap).collect()
}

fn full_size() -> Size {
    size::read("capacity.textproto", &text("deploy/capacity.textproto")).unwrap()
}

#[test]
fn the_page_holds_the_tables_that_follow_from_its_slopes() {
    let folder = "docs/measurements/capacity";
    let inputs = Inputs {
        size: full_size(),
        fits: rows(&format!("{folder}/slopes.csv")),
        runs: rows(&format!("{folder}/runs.csv")),
        events: rows(&format!("{folder}/events.csv")),
    };
    assert!(inputs.fits.len() > 20, "{} slopes", inputs.fits.len());
    let page = text("docs/CAPACITY.md");
    let filled = page::fill(&page, &page::tables(&inputs)).unwrap();
    for (number, (is, must)) in page.lines().zip(filled.lines()).enumerate() {
        assert_eq!(is, must, "line {}: run `beaconshore-lab capacity page`", number + 1);
    }
    assert_eq!(page, filled);
}

#[test]
fn the_slopes_follow_from_the_samples() {
    let samples: Vec<Sample> = rows("docs/measurements/capacity/samples.csv");
    let written: Vec<Fit> = rows("docs/measurements/capacity/slopes.csv");
    let center = |axis| written.iter().find(|fit| fit.axis == axis).map_or(0.0, |fit| fit.center);
    let fits = fit_all(&samples, center);
    assert_eq!(fits.len(), written.len());
    for (fit, written) in fits.iter().zip(&written) {
        assert_eq!((fit.cost, fit.axis, fit.samples), (written.cost, written.axis, written.samples));
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-6 * (1.0 + a.abs());
        assert!(close(fit.slope, written.slope) && close(fit.intercept, written.intercept), "{fit:?}");
    }
}

fn sample(axis: Axis, at: f64, value: f64) -> Sample {
    Sample { axis, mechanism: Mechanism::AllToAll, seed: 1, at, cost: Cost::ListBytes, value }
}

fn center(axis: Axis) -> f64 {
    match axis {
        Axis::Drivers => 24.0,
        Axis::Databases => 50.0,
        Axis::Rate => 40.0,
        Axis::Zones | Axis::IdleClients => 3.0,
    }
}

#[test]
fn a_line_is_found_with_its_error() {
    let places = [10.0, 20.0, 40.0];
    let exact: Vec<Sample> = places.iter().map(|x| sample(Axis::Databases, *x, 7.0 + 3.0 * x)).collect();
    let fit = &fit_all(&exact, center)[0];
    assert!((fit.slope - 3.0).abs() < 1e-9 && (fit.intercept - 7.0).abs() < 1e-9 && fit.slope_error < 1e-9);
    assert_eq!((fit.least, fit.most, fit.samples), (10.0, 40.0, 3));
    let noise = [2.0, -4.0, 2.0];
    let noisy: Vec<Sample> =
        exact.iter().zip(noise).map(|(s, noise)| Sample { value: s.value + noise, ..s.clone() }).collect();
    assert!(fit_all(&noisy, center)[0].slope_error > 0.05);
    let one_place: Vec<Sample> = (0..5).map(|_| sample(Axis::Databases, 10.0, 1.0)).collect();
    assert_eq!(fit_all(&one_place, center), [], "one place has no slope");
}

#[test]
fn figures_add_the_axes_and_say_how_far_they_reach() {
    let along = |axis, slope: f64| {
        let middle: f64 = center(axis);
        [0.5, 1.0, 2.0].map(|times| sample(axis, middle * times, 1_000.0 + slope * middle * (times - 1.0)))
    };
    let samples = [along(Axis::Databases, 10.0), along(Axis::Drivers, 2.0)].concat();
    let fits = fit_all(&samples, center);
    let size = full_size();
    let full = figure(&fits, &size, Cost::ListBytes, Mechanism::AllToAll, 1.0).unwrap();
    let expected = 1_000.0 + 10.0 * (770.0 - 50.0) + 2.0 * (420.0 - 24.0);
    assert!((full.value - expected).abs() < 1e-6, "{} for {expected}", full.value);
    assert!((full.beyond - 420.0 / 48.0).abs() < 1e-9);
    assert_eq!(full.farthest, Some(Axis::Drivers));
    assert_eq!(figure(&fits, &size, Cost::ListBytes, Mechanism::Gossip, 1.0), None, "not measured");
    // Over 2,048 bytes where 10 x databases + 2 x drivers have grown by 1,048 + 548.
    let limit = &limits(&fits, &size, Mechanism::AllToAll)[0];
    let part = limit.breaks_at.unwrap();
    assert!((0.18..0.2).contains(&part), "{part}");
}

#[test]
fn the_rate_is_not_drawn_out_beyond_what_was_measured() {
    let samples = [20.0, 40.0, 80.0].map(|x| sample(Axis::Rate, x, 100.0 + x));
    let fits = fit_all(&samples, center);
    let full = figure(&fits, &full_size(), Cost::ListBytes, Mechanism::AllToAll, 1.0).unwrap();
    assert!((full.value - 180.0).abs() < 1e-6, "{}", full.value);
}

#[test]
fn gossip_is_bounded_by_its_bucket_and_a_broadcast_by_nothing() {
    let along = |mechanism| {
        [25.0, 50.0, 100.0].map(|x| Sample {
            mechanism,
            cost: Cost::PeerBytes,
            ..sample(Axis::Databases, x, 100.0 * x)
        })
    };
    let fits = fit_all(&[along(Mechanism::Gossip), along(Mechanism::AllToAll)].concat(), center);
    let at = |mechanism| figure(&fits, &full_size(), Cost::PeerBytes, mechanism, 1.0).unwrap().value;
    assert!((at(Mechanism::Gossip) - 1_920.0).abs() < 1e-6);
    assert!((at(Mechanism::AllToAll) - 77_000.0).abs() < 1e-6);
}

#[test]
fn a_size_that_cannot_be_meant_is_refused_with_its_place() {
    let text = text("deploy/capacity.textproto").replace("drivers: 420", "drivers: 0");
    let problem = size::read("size", &text).unwrap_err().to_string();
    assert!(problem.contains("drivers") && problem.contains("over 0"), "{problem}");
    let no_budget = size::read(
        "size",
        "drivers: 1 databases: 1 group_members: 1 zones: 1 client_connections: 1 statements_per_second: 1",
    );
    assert!(no_budget.unwrap_err().to_string().contains("budget"));
}
