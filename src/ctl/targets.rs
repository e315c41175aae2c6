//! `limpetctl targets`.

use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;

use super::CtlError;
use super::arguments::{Common, TargetAction};
use super::ask;
use super::lists::report;
use super::table::{json, table};
use crate::ids::TargetId;
use crate::lists::{Content, Edit, ListKind, Stamp};
use crate::placement::TargetState;
use crate::services::{RawTarget, Services};
use crate::settings::Findings;
use crate::targets::{OBJECT_NAME, RawTargetState, RawTargetStates};

/// A row of the list of targets.
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

/// The wish that a target is in a state.
#[derive(Debug)]
struct SetWanted {
    id: TargetId,
    state: TargetState,
}

impl Edit for SetWanted {
    fn object(&self) -> &str {
        OBJECT_NAME
    }

    fn edit(&self, old: &Value) -> Result<Value, Findings> {
        let mut raw = read(old.clone())?;
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
        serde_json::to_value(raw).map_err(|e| Findings::one(OBJECT_NAME, e.to_string()))
    }
}

/// Does what is to be done with targets, and returns what is printed.
pub(super) fn run(action: &TargetAction, common: &Common) -> Result<String, CtlError> {
    match *action {
        TargetAction::List => list(common),
        TargetAction::Drain(id) => set(id, TargetState::Draining, common),
        TargetAction::Return(id) => set(id, TargetState::Serving, common),
    }
}

fn set(id: TargetId, state: TargetState, common: &Common) -> Result<String, CtlError> {
    let (_, services, _) = ask::list(common, ListKind::Services)?;
    let Content::Services(raw) = services else { return Ok(String::new()) };
    if Services::try_from(raw)?.target(id).is_none() {
        return Err(Findings::one(format!("targets.{id}"), "no service has this target").into());
    }
    let done = ask::update(common, Arc::new(SetWanted { id, state }), None)?;
    Ok(report(OBJECT_NAME, &done, common))
}

fn list(common: &Common) -> Result<String, CtlError> {
    let (_, services, _) = ask::list(common, ListKind::Services)?;
    let (value, _) = Stamp::split(ask::object(common, OBJECT_NAME)?.value)?;
    let wanted = read(value)?;
    let Content::Services(raw) = services else { return Ok(String::new()) };
    let state = |id| {
        let found = wanted.targets.iter().find(|target| target.id == id);
        found.map_or(TargetState::Serving, |target| target.state)
    };
    let rows = raw.services.iter().flat_map(|service| {
        service.targets.iter().map(|target| row(&service.name, target, state(target.id)))
    });
    let rows: Vec<_> = rows.collect();
    if common.json {
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

fn read(value: Value) -> Result<RawTargetStates, Findings> {
    if value.is_null() {
        return Ok(RawTargetStates::default());
    }
    serde_json::from_value(value).map_err(|e| Findings::one(OBJECT_NAME, e.to_string()))
}
