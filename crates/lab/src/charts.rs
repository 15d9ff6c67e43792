//! Charts, as SVG files.

use std::error::Error;
use std::path::Path;

use beaconshore_emulator::{Brains, Plan};
use plotters::prelude::*;

use crate::measures::{by_second, spread, times};
use crate::plays::Plays;
use crate::scale::{Run, SecondCosts};

const SIZE: (u32, u32) = (960, 480);
const GRID: RGBColor = RGBColor(225, 225, 225);

/// Seconds, each with a value.
type Line = Vec<(f64, f64)>;
/// Seconds, each with the least and the most.
type Band = Vec<(f64, f64, f64)>;
type Drawn = Result<(), Box<dyn Error>>;

fn colour(brains: Brains) -> RGBColor {
    match brains {
        Brains::Planned => RGBColor(20, 90, 180),
        Brains::Plain => RGBColor(215, 110, 20),
        Brains::Primaries => RGBColor(130, 130, 130),
        Brains::Random => RGBColor(150, 70, 160),
        Brains::Oracle => RGBColor(40, 140, 70),
    }
}

/// A colour for the zone or class of this number.
fn hue(index: usize) -> RGBColor {
    const HUES: [(u8, u8, u8); 6] =
        [(20, 90, 180), (215, 110, 20), (40, 140, 70), (170, 40, 90), (110, 80, 190), (90, 110, 110)];
    let (r, g, b) = HUES[index % HUES.len()];
    RGBColor(r, g, b)
}

/// Draws all charts into a folder.
pub fn draw(plan: &Plan, plays: &Plays, folder: &Path) -> Drawn {
    score(plan, plays, &folder.join("score.svg"))?;
    spill(plan, plays, &folder.join("spill.svg"))?;
    outcomes(plan, plays, &folder.join("outcomes.svg"))?;
    latency(plan, plays, &folder.join("latency.svg"))?;
    for brains in plays.brains() {
        load(plan, plays, brains, &folder.join(format!("load-{}.svg", brains.name())))?;
    }
    Ok(())
}

/// One or more lines over the seconds of the day.
struct Lines<'a> {
    title: String,
    unit: &'a str,
    most: f64,
    lines: Vec<(String, RGBColor, Line)>,
    /// Ranges behind the lines: seconds, least, most.
    bands: Vec<(RGBColor, Band)>,
    /// Level lines.
    levels: Vec<(String, f64)>,
}

impl Lines<'_> {
    fn draw(&self, plan: &Plan, path: &Path) -> Drawn {
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..plan.seconds() as f64, 0.0..self.most.max(1e-9))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .bold_line_style(GRID)
            .x_desc("seconds of the day")
            .y_desc(self.unit)
            .draw()?;
        for (colour, band) in &self.bands {
            let upper = band.iter().map(|(x, _, most)| (*x, *most));
            let lower = band.iter().rev().map(|(x, least, _)| (*x, *least));
            let outline: Vec<(f64, f64)> = upper.chain(lower).collect();
            chart.draw_series([Polygon::new(outline, colour.mix(0.15))])?;
        }
        for (name, colour, points) in &self.lines {
            let style = colour.stroke_width(2);
            chart
                .draw_series(LineSeries::new(points.iter().copied(), style))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        for (name, level) in &self.levels {
            let style = BLACK.mix(0.6).stroke_width(1);
            let ends = [(0.0, *level), (plan.seconds() as f64, *level)];
            chart
                .draw_series(LineSeries::new(ends, style))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(GRID)
            .draw()?;
        root.present()?;
        Ok(())
    }
}

fn seeds(plays: &Plays) -> String {
    format!("{} seeds", plays.seeds().len())
}

fn score(plan: &Plan, plays: &Plays, path: &Path) -> Drawn {
    let (mut lines, mut bands) = (Vec::new(), Vec::new());
    for brains in plays.brains() {
        let seconds: Vec<_> = by_second(plan, plays, brains)
            .into_iter()
            .enumerate()
            .filter_map(|(at, s)| s.map(|s| (at as f64, s)))
            .collect();
        if matches!(brains, Brains::Planned | Brains::Plain) {
            bands.push((colour(brains), seconds.iter().map(|(at, s)| (*at, s.least, s.most)).collect()));
        }
        let points = seconds.iter().map(|(at, s)| (*at, s.mean)).collect();
        lines.push((brains.name().to_owned(), colour(brains), points));
    }
    let title =
        format!("{}: service score by second (emulated, mean and range of {})", plan.name, seeds(plays));
    Lines { title, unit: "worth earned / asked", most: 1.05, lines, bands, levels: Vec::new() }
        .draw(plan, path)
}

fn spill(plan: &Plan, plays: &Plays, path: &Path) -> Drawn {
    let tested = plays.brains().into_iter().find(|b| matches!(b, Brains::Planned | Brains::Plain));
    let Some(brains) = tested else { return Ok(()) };
    let (mut lines, mut bands, mut most) = (Vec::new(), Vec::new(), 0.0_f64);
    let mut levels: Vec<(String, f64)> = Vec::new();
    for (zone, name) in plan.zones.iter().enumerate() {
        let work =
            |second: usize| spread(plays.of(brains).map(|day| day.seconds[second].spilled[zone] / 1e6));
        let seconds: Vec<_> = (0..plan.seconds()).filter_map(|s| work(s).map(|w| (s as f64, w))).collect();
        most = seconds.iter().fold(most, |most, (_, w)| most.max(w.most));
        bands.push((hue(zone), seconds.iter().map(|(at, w)| (*at, w.least, w.most)).collect()));
        lines.push((
            format!("into {name}"),
            hue(zone),
            seconds.iter().map(|(at, w)| (*at, w.mean)).collect(),
        ));
        if let Some(limit) = plan.spill_limit(zone).map(|l| l / 1e6) {
            if !levels.iter().any(|(_, level)| *level == limit) {
                most = most.max(limit);
                levels.push(("limit".into(), limit));
            }
        }
    }
    let title = format!(
        "{}: work of reads spilled by zone, {} (emulated, {})",
        plan.name,
        brains.name(),
        seeds(plays)
    );
    Lines { title, unit: "seconds of work in a second", most: most * 1.1, lines, bands, levels }
        .draw(plan, path)
}

fn outcomes(plan: &Plan, plays: &Plays, path: &Path) -> Drawn {
    let mut lines = Vec::new();
    let mut most = 1.0_f64;
    for brains in
        plays.brains().into_iter().filter(|b| matches!(b, Brains::Planned | Brains::Plain | Brains::Oracle))
    {
        let share = |second: usize| {
            let shares = plays.of(brains).map(|day| {
                let s = &day.seconds[second];
                100.0 * f64::from(s.lost) / f64::from(s.stories.max(1))
            });
            spread(shares).map(|s| s.mean)
        };
        let points: Vec<(f64, f64)> =
            (0..plan.seconds()).filter_map(|s| Some((s as f64, share(s)?))).collect();
        most = points.iter().fold(most, |most, (_, y)| most.max(*y));
        lines.push((brains.name().to_owned(), colour(brains), points));
    }
    let title = format!("{}: requests never served (emulated, mean of {})", plan.name, seeds(plays));
    Lines { title, unit: "percent", most: most * 1.1, lines, bands: Vec::new(), levels: Vec::new() }
        .draw(plan, path)
}

fn latency(plan: &Plan, plays: &Plays, path: &Path) -> Drawn {
    let (mut lines, mut most) = (Vec::new(), 1.0_f64);
    for brains in plays.brains().into_iter().filter(|b| matches!(b, Brains::Planned | Brains::Plain)) {
        let at = |second: usize| {
            let times = times(plays.of(brains), None, Some(second));
            (!times.is_empty()).then(|| times.value_at_quantile(0.99) as f64 / 1e3)
        };
        let points: Vec<(f64, f64)> = (0..plan.seconds()).filter_map(|s| Some((s as f64, at(s)?))).collect();
        most = points.iter().fold(most, |most, (_, y)| most.max(*y));
        lines.push((format!("{} p99", brains.name()), colour(brains), points));
    }
    let title = format!(
        "{}: time of served requests, by when they were asked (emulated, {})",
        plan.name,
        seeds(plays)
    );
    Lines { title, unit: "ms", most: most * 1.1, lines, bands: Vec::new(), levels: Vec::new() }
        .draw(plan, path)
}

/// Busy cores of each member, darker where busier.
fn load(plan: &Plan, plays: &Plays, brains: Brains, path: &Path) -> Drawn {
    let zones: Vec<usize> = plan.groups.members.iter().flatten().copied().collect();
    let mut order: Vec<usize> = (0..zones.len()).collect();
    order.sort_by_key(|m| (zones[*m], *m));
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let title =
        format!("{}: load by member, {} (emulated, mean of {})", plan.name, brains.name(), seeds(plays));
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(110)
        .build_cartesian_2d(0.0..plan.seconds() as f64, 0.0..order.len() as f64)?;
    let label = |y: &f64| {
        let row = order.get(*y as usize);
        row.map_or(String::new(), |m| format!("{} {m}", plan.zones[zones[*m]]))
    };
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds of the day")
        .y_labels(order.len().min(24))
        .y_label_formatter(&label)
        .draw()?;
    for (row, member) in order.iter().enumerate() {
        for second in 0..plan.seconds() {
            let busy = |day: &beaconshore_emulator::Day| {
                day.seconds[second].load.get(*member).map(|l| f64::from(*l))
            };
            let Some(busy) = spread(plays.of(brains).filter_map(busy)) else { continue };
            let shade = 255 - (busy.mean.clamp(0.0, 1.0) * 215.0) as u8;
            let (x, y) = (second as f64, row as f64);
            let cell = [(x, y + 0.04), (x + 1.0, y + 0.96)];
            chart.draw_series([Rectangle::new(
                cell,
                RGBColor(255, shade, shade.saturating_sub(20)).filled(),
            )])?;
        }
    }
    root.present()?;
    Ok(())
}

/// Draws what control cost by second.
pub fn scale(run: &Run, folder: &Path) -> Drawn {
    let plan = &run.outcome.plan;
    let line = |of: &dyn Fn(&SecondCosts) -> f64| -> Line {
        run.hollow.iter().enumerate().map(|(at, costs)| (at as f64, of(costs))).collect()
    };
    let size = format!("{} drivers, {} databases", plan.router_count(), plan.member_count());
    let draw = |file: &str, title: String, unit, lines: Vec<(String, RGBColor, Line)>, levels| {
        let points = lines.iter().flat_map(|(_, _, line)| line.iter().map(|(_, value)| *value));
        let most = 1.1 * points.fold(0.0_f64, f64::max);
        Lines { title, unit, most, lines, bands: Vec::new(), levels }.draw(plan, &folder.join(file))
    };
    draw(
        "bytes.svg",
        format!("{}: bytes of control a second and hollow driver, {size}", plan.name),
        "bytes",
        vec![
            ("messages between drivers".into(), hue(0), line(&|s| s.mean.peer_bytes())),
            ("the list".into(), hue(1), line(&|s| s.mean.list_bytes())),
        ],
        vec![("2 KB".into(), 2048.0)],
    )?;
    draw(
        "time.svg",
        format!("{}: processor time of control a second and hollow driver, {size}", plan.name),
        "microseconds",
        vec![
            ("messages between drivers".into(), hue(0), line(&|s| s.mean.peer_time / 1e3)),
            ("the list".into(), hue(1), line(&|s| s.mean.list_time / 1e3)),
            ("the module's timer".into(), hue(2), line(&|s| s.mean.timer_time / 1e3)),
        ],
        vec![("2 % of a core".into(), 20_000.0)],
    )
}
