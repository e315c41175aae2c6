//! HTML report: a plot of request outcomes and faults over time, and the violations.

use std::error::Error;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use plotters::prelude::*;

use super::checks::Violation;
use super::plan::ScheduledFault;
use super::tally::{Second, Tally};

/// Width and height of the plot in pixels.
const SIZE: (u32, u32) = (1_000, 480);
/// Height of the fault rows, as a share of the height of the request curves.
const FAULT_ROWS_SHARE: f64 = 0.35;

/// Name, colour and value of a curve.
type Curve = (&'static str, RGBColor, fn(&Second) -> u64);

/// Contents of the report.
#[derive(Debug)]
pub struct Report<'a> {
    /// The summary line of the run.
    pub summary: &'a str,
    /// The injected faults.
    pub schedule: &'a [ScheduledFault],
    /// Request outcomes for each second.
    pub tally: &'a Tally,
    /// The broken promises.
    pub violations: &'a [Violation],
}

/// Writes the report.
///
/// # Errors
///
/// Fails if the plot cannot be drawn or the file cannot be written.
pub fn write(path: &Path, report: &Report<'_>) -> Result<(), Box<dyn Error>> {
    let mut svg = String::new();
    draw(&mut svg, report)?;
    let mut rows = String::new();
    for violation in report.violations {
        let (at, promise, seen) = (violation.at, violation.promise, &violation.seen);
        writeln!(rows, "<tr><td>{at:.1?}</td><td>{promise}</td><td>{seen}</td></tr>")?;
    }
    let page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>limpetdeck soak</title>\n\
         <h1>limpetdeck soak</h1>\n<pre>{}</pre>\n{svg}\n\
         <h2>Broken promises</h2>\n<table>\n{rows}</table>\n",
        report.summary
    );
    Ok(fs::write(path, page)?)
}

fn draw(svg: &mut String, report: &Report<'_>) -> Result<(), Box<dyn Error>> {
    let seconds = &report.tally.seconds;
    let max_total =
        seconds.iter().map(|s| s.served + s.refused + s.failed).max().unwrap_or(1) as f64;
    let height = max_total * (1.0 + FAULT_ROWS_SHARE);
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("requests per second, with faults above", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..height)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let curves: [Curve; 3] = [
        ("served", RGBColor(50, 110, 180), |s| s.served),
        ("refused", RGBColor(200, 160, 60), |s| s.refused),
        ("failed", RGBColor(200, 80, 60), |s| s.failed),
    ];
    for (name, colour, value) in curves {
        let points = seconds.iter().enumerate().map(|(i, s)| (i as f64, value(s) as f64));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    let names: Vec<_> = report.schedule.iter().map(|fault| fault.fault.name()).collect();
    let mut rows = names.clone();
    rows.sort_unstable();
    rows.dedup();
    for (fault, name) in report.schedule.iter().zip(names) {
        let row = rows.iter().position(|row| *row == name).unwrap_or_default() as f64;
        let y = max_total * (1.05 + (FAULT_ROWS_SHARE - 0.08) * row / rows.len() as f64);
        let (from, to) = (fault.at.as_secs_f64(), (fault.at + fault.duration).as_secs_f64());
        let colour = if fault.fault.is_maintenance() { &GREEN } else { &RED };
        chart.draw_series([PathElement::new([(from, y), (to, y)], colour.stroke_width(3))])?;
        chart.draw_series([Text::new(name, (to, y), ("sans-serif", 9))])?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
