//! A page with the faults over what became of requests.

use std::error::Error;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use plotters::prelude::*;

use super::checks::Violation;
use super::plan::Planned;
use super::tally::{Second, Tally};

/// Size of the plot in points.
const SIZE: (u32, u32) = (1_000, 480);
/// Part of the plot's height that the faults take.
const FAULT_ROWS: f64 = 0.35;

/// Name, colour and value of a line in the plot.
type Line = (&'static str, RGBColor, fn(&Second) -> u64);

/// What a page tells.
#[derive(Debug)]
pub struct Story<'a> {
    /// The closing summary.
    pub summary: &'a str,
    /// What happened.
    pub planned: &'a [Planned],
    /// What became of requests.
    pub tally: &'a Tally,
    /// What was broken.
    pub violations: &'a [Violation],
}

/// Writes the page.
///
/// # Errors
///
/// Fails if the plot cannot be drawn or the file cannot be written.
pub fn write(path: &Path, story: &Story<'_>) -> Result<(), Box<dyn Error>> {
    let mut svg = String::new();
    draw(&mut svg, story)?;
    let mut rows = String::new();
    for violation in story.violations {
        let (at, promise, seen) = (violation.at, violation.promise, &violation.seen);
        writeln!(rows, "<tr><td>{at:.1?}</td><td>{promise}</td><td>{seen}</td></tr>")?;
    }
    let page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>limpetdeck soak</title>\n\
         <h1>limpetdeck soak</h1>\n<pre>{}</pre>\n{svg}\n\
         <h2>Broken promises</h2>\n<table>\n{rows}</table>\n",
        story.summary
    );
    Ok(fs::write(path, page)?)
}

fn draw(svg: &mut String, story: &Story<'_>) -> Result<(), Box<dyn Error>> {
    let seconds = &story.tally.seconds;
    let most = seconds.iter().map(|s| s.served + s.refused + s.failed).max().unwrap_or(1) as f64;
    let height = most * (1.0 + FAULT_ROWS);
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("requests a second, and faults above", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..height)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let lines: [Line; 3] = [
        ("served", RGBColor(50, 110, 180), |s| s.served),
        ("refused", RGBColor(200, 160, 60), |s| s.refused),
        ("failed", RGBColor(200, 80, 60), |s| s.failed),
    ];
    for (name, colour, value) in lines {
        let points = seconds.iter().enumerate().map(|(i, s)| (i as f64, value(s) as f64));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    let names: Vec<_> = story.planned.iter().map(|planned| planned.fault.name()).collect();
    let mut rows = names.clone();
    rows.sort_unstable();
    rows.dedup();
    for (planned, name) in story.planned.iter().zip(names) {
        let row = rows.iter().position(|row| *row == name).unwrap_or_default() as f64;
        let y = most * (1.05 + (FAULT_ROWS - 0.08) * row / rows.len() as f64);
        let (from, to) = (planned.at.as_secs_f64(), (planned.at + planned.time).as_secs_f64());
        let colour = if planned.fault.is_planned() { &GREEN } else { &RED };
        chart.draw_series([PathElement::new([(from, y), (to, y)], colour.stroke_width(3))])?;
        chart.draw_series([Text::new(name, (to, y), ("sans-serif", 9))])?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
