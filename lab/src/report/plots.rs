//! Plots of the report, as SVG files.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::Row;
use crate::measure::{Policy, RunResult};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 640);
/// Part of a fault's row on the y axis that its bars fill.
const BAR_GROUP_HEIGHT: f64 = 0.8;
/// Colours of the policies, in the order of [`Policy::ALL`].
const COLOURS: [RGBColor; 4] = [
    RGBColor(200, 80, 60),
    RGBColor(200, 160, 60),
    RGBColor(50, 110, 180),
    RGBColor(120, 120, 120),
];

/// Draws all plots and writes them to a directory.
///
/// # Errors
///
/// Fails if a plot cannot be written.
pub fn draw(dir: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let broken = |f: &RunResult| (f.broken_planned + f.broken_unplanned) as f64;
    let wait = |f: &RunResult| f.slot_wait.quantile(0.99) as f64 / 1_000.0;
    draw_bars(&dir.join("broken.svg"), "recarga: broken flows", "recarga", rows, broken)?;
    draw_bars(&dir.join("waits.svg"), "serrana: wait for a slot, p99 in ms", "serrana", rows, wait)
}

/// Draws a horizontal bar for each policy under each single fault.
fn draw_bars(
    path: &Path,
    title: &str,
    deployment: &str,
    rows: &[Row],
    value: impl Fn(&RunResult) -> f64,
) -> Result<(), Box<dyn Error>> {
    let rows: Vec<_> = rows
        .iter()
        .filter(|row| row.case.deployment.name() == deployment)
        .filter(|row| !row.case.fault.contains('+') && !row.case.is_busy())
        .collect();
    let mut faults: Vec<&str> = rows.iter().map(|row| row.case.fault.as_str()).collect();
    faults.dedup();
    let max_value = rows.iter().map(|row| value(&row.result)).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(190)
        .build_cartesian_2d(0.0..max_value * 1.05, 0.0..faults.len() as f64)?;
    let name = |y: &f64| faults.get(*y as usize).map_or(String::new(), |&name| name.to_owned());
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(faults.len() + 1)
        .y_label_formatter(&name)
        .draw()?;
    for (i, policy) in Policy::ALL.into_iter().enumerate() {
        let colour = COLOURS[i];
        let height = BAR_GROUP_HEIGHT / Policy::ALL.len() as f64;
        let shapes = rows.iter().filter(|row| row.case.policy == policy).filter_map(|row| {
            let fault_row = faults.iter().position(|fault| *fault == row.case.fault)?;
            let low = fault_row as f64 + height * i as f64;
            let corners = [(0.0, low), (value(&row.result), low + height)];
            Some(Rectangle::new(corners, colour.filled()))
        });
        chart
            .draw_series(shapes)?
            .label(policy.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
