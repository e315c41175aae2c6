//! Text of MEASUREMENTS.md.

use std::fmt::Write;

use super::{Row, verdicts};
use crate::measure::{Policy, RunResult};

/// First section of the page.
const INTRODUCTION: &str = "\
# Measurements

Written by `limpetdeck-lab report`; not to be edited. Each row is one run of
`limpetdeck-lab measure` with the arguments that stand in the last table, in virtual
time: the same arguments give the same figures, but for the decision times, which are
taken on the machine that wrote this page while no other run was under way.
`limpetdeck-lab measure --help` says what the load is and what each fault does.

`naive` hashes over each instance's own list, `owner` passes every packet through the
flow's owner, `epochs` is what the daemon does, and `ideal` is a central placer with
perfect, instant knowledge that cannot be built. Where `naive` breaks nothing under a
planned change, the case proves nothing: without state, it breaks flows only when
targets change.

A decision time is that of the whole way of a packet through an instance: decoding,
checksums, placement and rewriting.

";

/// Column headings of the tables.
const COLUMNS: [&str; 15] = [
    "policy",
    "broken planned",
    "broken unplanned",
    "refused",
    "twice / refused but ran / wrong service",
    "late new work",
    "new work max delay ms",
    "imbalance",
    "slot imbalance",
    "slot wait ms",
    "hops",
    "control B/s",
    "state KB",
    "change in force ms / reverts / lost",
    "overshoot / wrong refusals",
];

/// Returns the page as Markdown. Decision times are taken from `timing_rows`.
pub fn render(rows: &[Row], timing_rows: &[Row]) -> String {
    let mut page = INTRODUCTION.to_owned();
    // Writing to a `String` cannot fail.
    let _ = render_sections(&mut page, rows, timing_rows);
    page
}

fn render_sections(page: &mut String, rows: &[Row], timing_rows: &[Row]) -> std::fmt::Result {
    write_verdicts(page, rows, timing_rows)?;
    writeln!(page, "\n![Broken flows](plots/broken.svg)\n\n![Waits](plots/waits.svg)")?;
    let mut last_title = String::new();
    for row in rows {
        let title = title(row);
        if title != last_title {
            write_table_head(page, &title)?;
            last_title = title;
        }
        write_row(page, row.case.policy, &row.result)?;
    }
    write_decisions(page, timing_rows)?;
    write_commands(page, rows)
}

fn write_verdicts(page: &mut String, rows: &[Row], timing_rows: &[Row]) -> std::fmt::Result {
    writeln!(page, "## Targets\n\nThese are held against `epochs`.\n")?;
    writeln!(page, "| target | verdict | measured |\n|---|---|---|")?;
    for verdict in verdicts(rows, timing_rows) {
        let word = if verdict.met { "met" } else { "**missed**" };
        writeln!(page, "| {} | {word} | {} |", verdict.requirement, verdict.measured)?;
    }
    Ok(())
}

fn title(row: &Row) -> String {
    let busy = if row.case.is_busy() { ", 2,000 new flows a second for each instance" } else { "" };
    format!("{}: {}{busy}", row.case.deployment.name(), row.case.fault)
}

fn write_table_head(page: &mut String, title: &str) -> std::fmt::Result {
    writeln!(page, "\n## {title}\n")?;
    writeln!(page, "| {} |", COLUMNS.join(" | "))?;
    writeln!(page, "|{}", "---|".repeat(COLUMNS.len()))
}

fn write_row(page: &mut String, policy: Policy, f: &RunResult) -> std::fmt::Result {
    let ratio = |values: &crate::measure::Histogram| values.quantile(0.99) as f64 / 1_000.0;
    let lists = f.list_change_time.as_ref().map_or("-".to_owned(), |values| {
        format!("{:.0} / {} / {}", ratio(values), f.reverts, f.lost_changes)
    });
    let (twice, ran, wrong) = (f.executed_twice(), f.refused_but_ran(), f.wrong_service);
    let (planned, unplanned) = (f.broken_planned, f.broken_unplanned);
    let delay = f.max_new_work_delay.as_millis();
    write!(page, "| {} | {planned} | {unplanned} | {} ", policy.name(), f.refused)?;
    write!(page, "| {twice} / {ran} / {wrong} | {} | {delay} ", f.late_new_work)?;
    write!(page, "| {:.3} | {:.2} ", ratio(&f.imbalance), ratio(&f.slot_imbalance))?;
    write!(page, "| {:.1} | {:.2} ", ratio(&f.slot_wait), f.redirects_per_packet())?;
    let shares = f.overshoot.zip(f.wrong_refusals);
    let shares = shares.map_or("-".to_owned(), |(over, wrong)| format!("{over:.3} / {wrong:.4}"));
    writeln!(page, "| {} | {} | {lists} | {shares} |", f.control_bytes(), f.max_state_bytes / 1_024)
}

fn write_decisions(page: &mut String, timing_rows: &[Row]) -> std::fmt::Result {
    writeln!(page, "\n## Decision times\n\n| arguments | p50 ns | p99 ns |\n|---|---|---|")?;
    for row in timing_rows {
        let decide = &row.result.decision_time;
        let (p50, p99) = (decide.quantile(0.5), decide.quantile(0.99));
        writeln!(page, "| `{}` | {p50} | {p99} |", row.case.arguments())?;
    }
    Ok(())
}

fn write_commands(page: &mut String, rows: &[Row]) -> std::fmt::Result {
    writeln!(page, "\n## Arguments of `limpetdeck-lab measure`, run by run\n\n```")?;
    for row in rows {
        writeln!(page, "{}", row.case.arguments())?;
    }
    writeln!(page, "```")
}
