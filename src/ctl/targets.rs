//! `limpetctl targets`.

use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;

use super::CtlError;
use super::arguments::{CommonOptions, TargetAction};
use super::client;
use super::lists::format_update;
use super::table::{json, table};
use crate::ids::TargetId;
use crate::lists::{Edit, ListKind, OperationLog, RawList};
use crate::placement::TargetState;
use crate::services::{RawTarget, Services};
use crate::settings::Findings;
use crate::targets::{OBJECT_NAME, RawTargetState, RawTargetStates};

/// A row of `targets list`.
#[derive(Debug, Serialize)]
struct Row {
    id: TargetId,
    service: String,
    address: String,
    failure_domain: String,
    slots: u32,
    weight: u32,
    state: TargetState,
}

/// Edit of the target states: sets the state of one target.
#[derive(Debug)]
struct SetTargetState {
    id: TargetId,
    state: TargetState,
}

impl Edit for SetTargetState {
    fn object_name(&self) -> &str {
        OBJECT_NAME
    }

    fn edit(&self, old: &Value) -> Result<Value, Findings> {
        let mut raw = parse_states(old.clone())?;
        match raw.targets.iter_mut().find(|target| target.id == self.id) {
            Some(target) if target.state == self.state => {}
            Some(target) => {
                target.state = self.state;
                target.version += 1;
            }
            None => {
                let (id, state) = (self.id, self.state);
                raw.targets.push(RawTargetState { id, state, version: 1 });
            }
        }
        raw.targets.sort_by_key(|target| target.id);
        serde_json::to_value(raw).map_err(|e| Findings::single(OBJECT_NAME, e.to_string()))
    }
}

/// Runs an action on targets and returns the output.
pub(super) fn run(action: &TargetAction, options: &CommonOptions) -> Result<String, CtlError> {
    match *action {
        TargetAction::List => list(options),
        TargetAction::Drain(id) => set_state(id, TargetState::Draining, options),
        TargetAction::Return(id) => set_state(id, TargetState::Serving, options),
    }
}

fn set_state(
    id: TargetId,
    state: TargetState,
    options: &CommonOptions,
) -> Result<String, CtlError> {
    let (_, services, _) = client::get_list(options, ListKind::Services)?;
    let RawList::Services(raw) = services else { return Ok(String::new()) };
    if Services::try_from(raw)?.target(id).is_none() {
        return Err(Findings::single(
            format!("targets.{id}"),
            "no service has a target with this ID",
        )
        .into());
    }
    let update = client::update_object(options, Arc::new(SetTargetState { id, state }), None)?;
    Ok(format_update(OBJECT_NAME, &update, options))
}

fn list(options: &CommonOptions) -> Result<String, CtlError> {
    let (_, services, _) = client::get_list(options, ListKind::Services)?;
    let (value, _) = OperationLog::split(client::get_object(options, OBJECT_NAME)?.value)?;
    let states = parse_states(value)?;
    let RawList::Services(raw) = services else { return Ok(String::new()) };
    let state = |id| {
        let found = states.targets.iter().find(|target| target.id == id);
        found.map_or(TargetState::Serving, |target| target.state)
    };
    let rows = raw.services.iter().flat_map(|service| {
        service.targets.iter().map(|target| row(&service.name, target, state(target.id)))
    });
    let rows: Vec<_> = rows.collect();
    if options.json {
        return Ok(json(&rows));
    }
    let heading = ["id", "service", "address", "failure domain", "slots", "weight", "state"];
    let cells: Vec<_> = rows.iter().map(Row::cells).collect();
    Ok(table(&heading, &cells))
}

fn row(service: &str, target: &RawTarget, state: TargetState) -> Row {
    Row {
        id: target.id,
        service: service.to_owned(),
        address: target.address.clone(),
        failure_domain: target.failure_domain.clone(),
        slots: target.slots,
        weight: target.weight,
        state,
    }
}

impl Row {
    fn cells(&self) -> Vec<String> {
        vec![
            self.id.to_string(),
            self.service.clone(),
            self.address.clone(),
            self.failure_domain.clone(),
            self.slots.to_string(),
            self.weight.to_string(),
            self.state.to_string(),
        ]
    }
}

fn parse_states(value: Value) -> Result<RawTargetStates, Findings> {
    if value.is_null() {
        return Ok(RawTargetStates::default());
    }
    serde_json::from_value(value).map_err(|e| Findings::single(OBJECT_NAME, e.to_string()))
}
