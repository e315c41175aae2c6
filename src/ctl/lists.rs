//! `limpetctl plans`, `limpetctl allowances` and `limpetctl services`.

use std::path::Path;
use std::sync::Arc;

use serde_json::json;

use super::CtlError;
use super::arguments::{Common, ListAction};
use super::ask;
use super::table::{json, table};
use crate::ids::Version;
use crate::lists::{Content, ListChange, ListEdit, ListKind};
use crate::settings::Findings;

/// Does what is to be done with a list, and returns what is printed.
pub(super) fn run(
    kind: ListKind,
    action: &ListAction,
    common: &Common,
) -> Result<String, CtlError> {
    match action {
        ListAction::Show => show(kind, common),
        ListAction::History => history(kind, common),
        ListAction::Set { change, if_version } => {
            change_list(kind, change.clone(), *if_version, common)
        }
        ListAction::Apply { file, if_version } => {
            let content = read(kind, file)?;
            change_list(kind, ListChange::Replace(content), *if_version, common)
        }
    }
}

fn show(kind: ListKind, common: &Common) -> Result<String, CtlError> {
    let (version, content, _) = ask::list(common, kind)?;
    if common.json {
        return Ok(json(&json!({ "version": version, "content": content.to_json() })));
    }
    Ok(format!("# version {version}\n{}", content.to_toml()))
}

fn history(kind: ListKind, common: &Common) -> Result<String, CtlError> {
    let (_, _, stamp) = ask::list(common, kind)?;
    if common.json {
        return Ok(json(&stamp.history));
    }
    let rows = stamp.history.iter().flat_map(|operation| {
        operation.lines.iter().enumerate().map(|(i, line)| {
            let first = [operation.version.to_string(), operation.id.clone()];
            let [version, id] = if i == 0 { first } else { Default::default() };
            vec![version, id, line.clone()]
        })
    });
    Ok(table(&["version", "operation", "change"], &rows.collect::<Vec<_>>()))
}

fn change_list(
    kind: ListKind,
    change: ListChange,
    if_version: Option<Version>,
    common: &Common,
) -> Result<String, CtlError> {
    if let ListChange::Replace(content) = &change {
        // What is wrong by itself needs no platform to be found.
        content.check()?;
    }
    let others = ListKind::ALL.into_iter().filter(|&other| other != kind);
    let others = others.map(|other| Ok(ask::list(common, other)?.1));
    let others = others.collect::<Result<Vec<_>, CtlError>>()?;
    let edit = Arc::new(ListEdit::new(kind, change, others));
    let done = ask::update(common, edit, if_version)?;
    Ok(report(kind.object(), &done, common))
}

/// Says what an update did.
pub(super) fn report(object: &str, done: &ask::Done, common: &Common) -> String {
    if common.json {
        return json(&json!({
            "object": object,
            "version": done.version,
            "operation": done.operation,
            "changes": done.lines,
        }));
    }
    if done.lines.is_empty() {
        return format!("{object}: version {} stays, nothing to change\n", done.version);
    }
    let lines: String = done.lines.iter().map(|line| format!("{line}\n")).collect();
    format!("{lines}{object}: version {} by operation {}\n", done.version, done.operation)
}

fn read(kind: ListKind, file: &Path) -> Result<Content, Findings> {
    let place = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Findings::one(place, e.to_string()))?;
    Content::from_toml(kind, &text)
}
