//! Plot of engine utilization and waiting prompts per second.

use std::path::Path;

use anyhow::Context;
use badgerferry_lib::relay::engine_utilization::EngineReport;
use badgerferry_lib::relay::engine_utilization::EngineSecond;
use plotters::prelude::*;

/// Width and height of the plot, in SVG user units.
const PLOT_SIZE: (u32, u32) = (960, 480);

/// A stacked layer: its label, its colour, and its share of the engines' time in a second.
type Layer = (&'static str, RGBColor, fn(&EngineSecond) -> f64);

const LAYERS: [Layer; 4] = [
    ("reads", RGBColor(31, 119, 180), |row| row.time.reads),
    ("held", RGBColor(255, 127, 14), |row| row.time.held),
    ("writes", RGBColor(140, 190, 140), |row| row.time.writes),
    ("unused", RGBColor(225, 225, 225), |row| row.time.unused),
];

/// Writes the plot to `path` as SVG.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(path: &Path, report: &EngineReport) -> anyhow::Result<()> {
    let error_context = || format!("failed to draw {}", path.display());
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    draw_on(&root, report)
        .map_err(|cause| anyhow::anyhow!("{cause}"))
        .with_context(error_context)?;
    root.present().with_context(error_context)
}

fn draw_on<'a>(
    root: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    report: &EngineReport,
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>> {
    root.fill(&WHITE)?;
    let seconds = report.seconds.len().max(1) as f64;
    let max_waiting = report.seconds.iter().map(|row| row.waiting);
    let max_waiting = max_waiting.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(root)
        .margin(12)
        .caption("Engines by second", ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(44)
        .right_y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)?
        .set_secondary_coord(0.0..seconds, 0.0..max_waiting * 1.1);
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
    for (index, (name, colour, _)) in LAYERS.iter().enumerate() {
        let stack_height = |row: &EngineSecond| {
            LAYERS[..index]
                .iter()
                .map(|layer| layer.2(row))
                .sum::<f64>()
        };
        let bar = |row: &EngineSecond| {
            let (left, bottom) = (row.second as f64, stack_height(row));
            let top = bottom + LAYERS[index].2(row);
            Rectangle::new([(left, bottom), (left + 1.0, top)], colour.filled())
        };
        let bars = chart.draw_series(report.seconds.iter().map(bar))?;
        let colour = *colour;
        bars.label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    let line_point = |row: &EngineSecond| (row.second as f64 + 0.5, row.waiting);
    let waiting = LineSeries::new(report.seconds.iter().map(line_point), BLACK.stroke_width(2));
    let line = chart.draw_secondary_series(waiting)?;
    line.label("prompts waiting")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 12, y)], BLACK.stroke_width(2)));
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}
