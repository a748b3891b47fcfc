//! A plot of what engines did by second, and of the prompts that waited.

use std::path::Path;

use anyhow::Context;
use badgerferry_lib::relay::engine_utilization::EngineReport;
use badgerferry_lib::relay::engine_utilization::EngineSecond;
use plotters::prelude::*;

/// Size of the plot, in points.
const SIZE: (u32, u32) = (960, 480);

/// A layer: its name, its colour, and how much of a second it takes.
type Layer = (&'static str, RGBColor, fn(&EngineSecond) -> f64);

const LAYERS: [Layer; 4] = [
    ("reads", RGBColor(31, 119, 180), |row| row.time.reads),
    ("held", RGBColor(255, 127, 14), |row| row.time.held),
    ("writes", RGBColor(140, 190, 140), |row| row.time.writes),
    ("unused", RGBColor(225, 225, 225), |row| row.time.unused),
];

/// Draws it.
///
/// # Errors
///
/// The file can't be written.
pub fn draw(path: &Path, report: &EngineReport) -> anyhow::Result<()> {
    let failed = || format!("failed to draw {}", path.display());
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    draw_on(&root, report)
        .map_err(|cause| anyhow::anyhow!("{cause}"))
        .with_context(failed)?;
    root.present().with_context(failed)
}

fn draw_on<'a>(
    root: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    report: &EngineReport,
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>> {
    root.fill(&WHITE)?;
    let seconds = report.seconds.len().max(1) as f64;
    let most = report.seconds.iter().map(|row| row.waiting);
    let most = most.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(root)
        .margin(12)
        .caption("Engines by second", ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(44)
        .right_y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)?
        .set_secondary_coord(0.0..seconds, 0.0..most * 1.1);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("second")
        .y_desc("share of the engines' time")
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("prompts waiting")
        .draw()?;
    for (at, (name, colour, _)) in LAYERS.iter().enumerate() {
        let below = |row: &EngineSecond| LAYERS[..at].iter().map(|layer| layer.2(row)).sum::<f64>();
        let bar = |row: &EngineSecond| {
            let (left, bottom) = (row.second as f64, below(row));
            let top = bottom + LAYERS[at].2(row);
            Rectangle::new([(left, bottom), (left + 1.0, top)], colour.filled())
        };
        let bars = chart.draw_series(report.seconds.iter().map(bar))?;
        let colour = *colour;
        bars.label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    let middle = |row: &EngineSecond| (row.second as f64 + 0.5, row.waiting);
    let waiting = LineSeries::new(report.seconds.iter().map(middle), BLACK.stroke_width(2));
    let line = chart.draw_secondary_series(waiting)?;
    line.label("prompts waiting")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 12, y)], BLACK.stroke_width(2)));
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}
