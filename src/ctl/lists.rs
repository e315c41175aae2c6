//! `limpetctl plans`, `limpetctl allowances` and `limpetctl services`.

use std::path::Path;
use std::sync::Arc;

use serde_json::json;

use super::CtlError;
use super::arguments::{CommonOptions, ListAction};
use super::client;
use super::table::{json, table};
use crate::ids::Version;
use crate::lists::{ListChange, ListEdit, ListKind, RawList};
use crate::settings::Findings;

/// Runs an action on a list and returns the output.
pub(super) fn run(
    kind: ListKind,
    action: &ListAction,
    options: &CommonOptions,
) -> Result<String, CtlError> {
    match action {
        ListAction::Show => show(kind, options),
        ListAction::History => history(kind, options),
        ListAction::Set { change, if_version } => {
            change_list(kind, change.clone(), *if_version, options)
        }
        ListAction::Apply { file, if_version } => {
            let content = read_file(kind, file)?;
            change_list(kind, ListChange::Replace(content), *if_version, options)
        }
    }
}

fn show(kind: ListKind, options: &CommonOptions) -> Result<String, CtlError> {
    let (version, content, _) = client::get_list(options, kind)?;
    if options.json {
        return Ok(json(&json!({ "version": version, "content": content.to_json() })));
    }
    Ok(format!("# version {version}\n{}", content.to_toml()))
}

fn history(kind: ListKind, options: &CommonOptions) -> Result<String, CtlError> {
    let (_, _, operation_log) = client::get_list(options, kind)?;
    if options.json {
        return Ok(json(&operation_log.history));
    }
    let rows = operation_log.history.iter().flat_map(|operation| {
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
    options: &CommonOptions,
) -> Result<String, CtlError> {
    if let ListChange::Replace(content) = &change {
        // Errors within the list itself are reported without a call to the platform.
        content.check()?;
    }
    let others = ListKind::ALL.into_iter().filter(|&other| other != kind);
    let others = others.map(|other| Ok(client::get_list(options, other)?.1));
    let others = others.collect::<Result<Vec<_>, CtlError>>()?;
    let edit = Arc::new(ListEdit::new(kind, change, others));
    let update = client::update_object(options, edit, if_version)?;
    Ok(format_update(kind.object_name(), &update, options))
}

/// Formats the result of an update.
pub(super) fn format_update(
    object: &str,
    update: &client::UpdateResult,
    options: &CommonOptions,
) -> String {
    if options.json {
        return json(&json!({
            "object": object,
            "version": update.version,
            "operation": update.operation,
            "changes": update.lines,
        }));
    }
    if update.lines.is_empty() {
        return format!("{object}: version {} stays, nothing to change\n", update.version);
    }
    let lines: String = update.lines.iter().map(|line| format!("{line}\n")).collect();
    format!("{lines}{object}: version {} by operation {}\n", update.version, update.operation)
}

fn read_file(kind: ListKind, file: &Path) -> Result<RawList, Findings> {
    let location = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|e| Findings::single(location, e.to_string()))?;
    RawList::from_toml(kind, &text)
}
