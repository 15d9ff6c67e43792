//! Figures at a size, from fits: the value in common of all series, plus what each axis adds beyond its centre.

use crate::fit::Fit;
use crate::sample::{Axis, Cost, Mechanism};
use crate::size::Size;

/// A figure at a size.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// What.
    pub cost: Cost,
    /// How member state is spread.
    pub mechanism: Mechanism,
    /// How much, at least 0.
    pub value: f64,
    /// Standard error that the slopes' errors leave.
    pub error: f64,
    /// How many times farther than any place that was measured the farthest axis is reached; 1: within the range.
    pub beyond: f64,
    /// The axis of that.
    pub farthest: Option<Axis>,
}

/// A budget that a fleet outgrows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The budget's name.
    pub budget: &'static str,
    /// What is spent of it.
    pub costs: Vec<Cost>,
    /// How member state is spread.
    pub mechanism: Mechanism,
    /// The budget, in the unit of the costs.
    pub allowed: f64,
    /// Spent at full size.
    pub spent: f64,
    /// Part of the full size at which it is spent; none: not up to `LARGEST` times the size.
    pub breaks_at: Option<f64>,
}

/// Sizes are looked through up to this multiple of the full one...
const LARGEST: f64 = 64.0;
/// ...from this part on.
const SMALLEST: f64 = 1.0 / 256.0;
/// Steps for each doubling.
const STEPS: f64 = 16.0;

/// The figure of a cost at a part of a size; none if it was not measured.
pub fn figure(fits: &[Fit], size: &Size, cost: Cost, mechanism: Mechanism, part: f64) -> Option<Figure> {
    let fits: Vec<&Fit> = fits.iter().filter(|f| f.cost == cost && f.mechanism == mechanism).collect();
    if fits.is_empty() {
        return None;
    }
    let common = fits.iter().map(|f| f.at(f.center)).sum::<f64>() / fits.len() as f64;
    let (mut value, mut variance, mut beyond, mut farthest) = (common, 0.0, 1.0, None);
    for fit in fits {
        let mut place = size.on(fit.axis, part);
        if fit.axis == Axis::Rate {
            // Control is what traffic does not pay for: its cost saturates with the rate, it is not drawn out.
            place = place.min(fit.most);
        }
        value += fit.slope * (place - fit.center);
        variance += (fit.slope_error * (place - fit.center)).powi(2);
        if place / fit.most > beyond {
            (beyond, farthest) = (place / fit.most, Some(fit.axis));
        }
    }
    if let (Cost::PeerBytes, Mechanism::Gossip) = (cost, mechanism) {
        // The token bucket bounds what is sent; what all send, all receive.
        value = value.min(2.0 * f64::from(beaconshore_gossip::Policy::default().bytes_per_second));
    }
    Some(Figure { cost, mechanism, value: value.max(0.0), error: variance.sqrt(), beyond, farthest })
}

/// The budgets of a driver under a mechanism, by the smallest size at which each is spent.
pub fn limits(fits: &[Fit], size: &Size, mechanism: Mechanism) -> Vec<Limit> {
    let budget = &size.budget;
    let (bytes, time) = (budget.bytes_per_second, budget.cpu_percent * 1e4);
    let budgets: [(&'static str, &[Cost], f64); 6] = [
        ("bytes, messages between drivers alone", &[Cost::PeerBytes], bytes),
        ("bytes, membership list alone", &[Cost::ListBytes], bytes),
        ("processor time, messages between drivers alone", &[Cost::PeerTime], time),
        ("processor time, membership list alone", &[Cost::ListTime], time),
        ("processor time, all control", &[Cost::PeerTime, Cost::ListTime, Cost::TimerTime], time),
        ("memory", &[Cost::Memory], budget.memory_mb * 1024.0),
    ];
    let mut limits: Vec<Limit> = budgets
        .into_iter()
        .filter_map(|(budget, costs, allowed)| {
            let spent_at = |part| {
                let figures = costs.iter().map(|cost| figure(fits, size, *cost, mechanism, part));
                figures.map(|f| Some(f?.value)).sum::<Option<f64>>()
            };
            let spent = spent_at(1.0)?;
            let breaks = |part: &f64| spent_at(*part).is_some_and(|spent| spent > allowed);
            let breaks_at = parts().find(breaks);
            Some(Limit { budget, costs: costs.to_vec(), mechanism, allowed, spent, breaks_at })
        })
        .collect();
    let order = |l: &Limit| l.breaks_at.unwrap_or(f64::INFINITY);
    limits.sort_by(|a, b| order(a).total_cmp(&order(b)));
    limits
}

/// Parts of a size, growing.
fn parts() -> impl Iterator<Item = f64> {
    let steps = ((LARGEST / SMALLEST).log2() * STEPS) as u32;
    (0..=steps).map(|step| SMALLEST * 2f64.powf(f64::from(step) / STEPS))
}
