//! Measures the time to find the route of a request, admit the request and record its end, with 1, 20 and 200 routes.

#![allow(missing_docs)] // The macros of criterion generate items without documentation.

use beaconshore::interface::RequestId;
use beaconshore_routes::controller::{RequestEnd, RouteController};
use beaconshore_routes::expression::{Matcher, RequestAttributes};
use beaconshore_routes::policy::{Policy, Route};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

const CLASSES: [&str; 4] = ["view", "history", "record", "once"];

/// Routes by class and group, each with a retry budget. The last one takes all other requests.
fn policy(count: usize) -> Policy {
    let route = |i: usize| {
        let text = match i + 1 == count {
            true => "always".to_owned(),
            false => format!("class == {:?} and group in [{}..{}]", CLASSES[i % 4], 5 * i, 5 * i + 4),
        };
        let matcher = Matcher::parse(&text).expect("a valid match expression");
        Route { retry_budget: Some((0.1, 1.0)), ..Route::new(&format!("r{i}"), matcher) }
    };
    Policy { routes: (0..count).map(route).collect(), concurrency_limit: None }
}

fn measure_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for count in [1, 20, 200] {
        let mut controller = RouteController::new(policy(count), 7, 0);
        let mut next = 0_u64;
        group.bench_function(BenchmarkId::new("admit and end", count), |b| {
            b.iter(|| {
                next += 1;
                let class = CLASSES[next as usize % 4];
                let attributes = RequestAttributes {
                    class,
                    group: (next * 7 % 1000) as u32,
                    ..RequestAttributes::default()
                };
                let admission = controller.on_request(RequestId(next), &attributes, 1_000_000, next * 3_700);
                controller.on_request_ended(RequestId(next), RequestEnd::Served, next * 3_700 + 40_000);
                admission
            });
        });
    }
    group.finish();
}

criterion_group!(benches, measure_admission);
criterion_main!(benches);
