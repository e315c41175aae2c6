//! The page.

use std::fmt::Write;

use super::{Row, verdicts};
use crate::measure::{Figures, Policy};

/// What the page says first.
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

/// Columns of the tables.
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

/// Writes the page.
pub fn write(rows: &[Row], alone: &[Row]) -> String {
    let mut page = INTRODUCTION.to_owned();
    // Writing to a string does not fail.
    let _ = write_all(&mut page, rows, alone);
    page
}

fn write_all(page: &mut String, rows: &[Row], alone: &[Row]) -> std::fmt::Result {
    write_verdicts(page, rows, alone)?;
    writeln!(page, "\n![Broken flows](plots/broken.svg)\n\n![Waits](plots/waits.svg)")?;
    let mut last = String::new();
    for row in rows {
        let title = title(row);
        if title != last {
            write_head(page, &title)?;
            last = title;
        }
        write_row(page, row.case.policy, &row.figures)?;
    }
    write_decisions(page, alone)?;
    write_commands(page, rows)
}

fn write_verdicts(page: &mut String, rows: &[Row], alone: &[Row]) -> std::fmt::Result {
    writeln!(page, "## Targets\n\nThese are held against `epochs`.\n")?;
    writeln!(page, "| target | verdict | measured |\n|---|---|---|")?;
    for verdict in verdicts(rows, alone) {
        let word = if verdict.met { "met" } else { "**missed**" };
        writeln!(page, "| {} | {word} | {} |", verdict.target, verdict.measured)?;
    }
    Ok(())
}

fn title(row: &Row) -> String {
    let busy = if row.case.busy() { ", 2,000 new flows a second for each instance" } else { "" };
    format!("{}: {}{busy}", row.case.deployment.name(), row.case.fault)
}

fn write_head(page: &mut String, title: &str) -> std::fmt::Result {
    writeln!(page, "\n## {title}\n")?;
    writeln!(page, "| {} |", COLUMNS.join(" | "))?;
    writeln!(page, "|{}", "---|".repeat(COLUMNS.len()))
}

fn write_row(page: &mut String, policy: Policy, f: &Figures) -> std::fmt::Result {
    let ratio = |values: &crate::measure::Values| values.quantile(0.99) as f64 / 1_000.0;
    let lists = f.list_change.as_ref().map_or("-".to_owned(), |values| {
        format!("{:.0} / {} / {}", ratio(values), f.reverts, f.lost_changes)
    });
    let (twice, ran, wrong) = (f.executed_twice(), f.refused_but_ran(), f.wrong_service);
    let (planned, unplanned) = (f.broken_planned, f.broken_unplanned);
    let delay = f.new_work_delay.as_millis();
    write!(page, "| {} | {planned} | {unplanned} | {} ", policy.name(), f.refused)?;
    write!(page, "| {twice} / {ran} / {wrong} | {} | {delay} ", f.late_new_work)?;
    write!(page, "| {:.3} | {:.2} ", ratio(&f.imbalance), ratio(&f.slot_imbalance))?;
    write!(page, "| {:.1} | {:.2} ", ratio(&f.slot_wait), f.extra_hops())?;
    let shares = f.overshoot.zip(f.wrong_refusals);
    let shares = shares.map_or("-".to_owned(), |(over, wrong)| format!("{over:.3} / {wrong:.4}"));
    writeln!(page, "| {} | {} | {lists} | {shares} |", f.control_bytes(), f.state_bytes / 1_024)
}

fn write_decisions(page: &mut String, alone: &[Row]) -> std::fmt::Result {
    writeln!(page, "\n## Decision times\n\n| arguments | p50 ns | p99 ns |\n|---|---|---|")?;
    for row in alone {
        let decide = &row.figures.decide;
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
