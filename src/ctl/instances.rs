//! `limpetctl instances`.

use serde::Serialize;

use super::CtlError;
use super::arguments::Common;
use super::ask;
use super::table::{json, table};
use crate::ids::InstanceId;
use crate::instance::Status;
use crate::peer::MemberInfo;
use crate::rpc::{STATUS, STOP};

/// A row of the list of instances.
#[derive(Debug, Serialize)]
struct Row {
    #[serde(flatten)]
    info: MemberInfo,
    answers: bool,
    healthy: bool,
}

/// Lists the registered instances, and whether they answer.
pub(super) fn list(common: &Common) -> Result<String, CtlError> {
    let infos = ask::registered(common)?;
    let addresses: Vec<_> = infos.iter().map(|info| info.metrics_address).collect();
    let answers = ask::instances::<Status>(&addresses, STATUS);
    let rows = infos.into_iter().zip(answers).map(|(info, status)| {
        // Another instance may answer at an address that was given up.
        let status = status.filter(|status| status.instance == info.id);
        let healthy = status.as_ref().is_some_and(|status| status.healthy);
        Row { info, answers: status.is_some(), healthy }
    });
    let rows: Vec<_> = rows.collect();
    if common.json {
        return Ok(json(&rows));
    }
    let heading = ["id", "failure domain", "peer address", "metrics address", "state"];
    Ok(table(&heading, &rows.iter().map(Row::cells).collect::<Vec<_>>()))
}

/// Asks an instance to stop gracefully.
pub(super) fn stop(id: InstanceId, common: &Common) -> Result<String, CtlError> {
    let address = match common.instances.first() {
        Some(&address) => address,
        None => {
            let infos = ask::registered(common)?;
            let found = infos.iter().find(|info| info.id == id);
            let unknown = || CtlError::Failed(format!("instance {id} is not registered"));
            found.ok_or_else(unknown)?.metrics_address
        }
    };
    let status = ask::instances::<Status>(&[address], STATUS).pop().flatten();
    match status {
        Some(status) if status.instance == id => {}
        Some(status) => {
            let other = status.instance;
            return Err(CtlError::Failed(format!("{address} is instance {other}")));
        }
        None => return Err(CtlError::NotReached(format!("instance {id} at {address}"))),
    }
    match ask::instances::<bool>(&[address], STOP).pop().flatten() {
        Some(true) => Ok(format!("instance {id} is stopping\n")),
        _ => Err(CtlError::NotReached(format!("instance {id} at {address}"))),
    }
}

impl Row {
    fn cells(&self) -> Vec<String> {
        let state = match (self.answers, self.healthy) {
            (true, true) => "healthy",
            (true, false) => "not healthy",
            (false, _) => "no answer",
        };
        vec![
            self.info.id.to_string(),
            self.info.failure_domain.clone(),
            self.info.peer_address.to_string(),
            self.info.metrics_address.to_string(),
            state.to_owned(),
        ]
    }
}
