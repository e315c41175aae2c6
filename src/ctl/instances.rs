//! `limpetctl instances`.

use serde::Serialize;

use super::CtlError;
use super::arguments::CommonOptions;
use super::client;
use super::table::{json, table};
use crate::ids::InstanceId;
use crate::instance::Status;
use crate::peer::MemberInfo;
use crate::rpc::{STATUS, STOP};

/// A row of `instances list`.
#[derive(Debug, Serialize)]
struct Row {
    #[serde(flatten)]
    info: MemberInfo,
    answers: bool,
    healthy: bool,
}

/// Lists the registered instances and whether they respond.
pub(super) fn list(options: &CommonOptions) -> Result<String, CtlError> {
    let infos = client::registered_instances(options)?;
    let addresses: Vec<_> = infos.iter().map(|info| info.metrics_address).collect();
    let statuses = client::call_instances::<Status>(&addresses, STATUS);
    let rows = infos.into_iter().zip(statuses).map(|(info, status)| {
        // Another instance may have taken over the registered address.
        let status = status.filter(|status| status.instance == info.id);
        let healthy = status.as_ref().is_some_and(|status| status.healthy);
        Row { info, answers: status.is_some(), healthy }
    });
    let rows: Vec<_> = rows.collect();
    if options.json {
        return Ok(json(&rows));
    }
    let heading = ["id", "failure domain", "peer address", "metrics address", "state"];
    Ok(table(&heading, &rows.iter().map(Row::cells).collect::<Vec<_>>()))
}

/// Requests a graceful stop of an instance, after checking that the address is its own.
pub(super) fn stop(id: InstanceId, options: &CommonOptions) -> Result<String, CtlError> {
    let address = match options.instances[..] {
        [address] => address,
        [_, _, ..] => {
            let problem = "instances stop takes one --instance at most";
            return Err(CtlError::Usage(problem.to_owned()));
        }
        [] => {
            let infos = client::registered_instances(options)?;
            let found = infos.iter().find(|info| info.id == id);
            let not_registered = || CtlError::Failed(format!("instance {id} is not registered"));
            found.ok_or_else(not_registered)?.metrics_address
        }
    };
    let status = client::call_instances::<Status>(&[address], STATUS).pop().flatten();
    match status {
        Some(status) if status.instance == id => {}
        Some(status) => {
            let other = status.instance;
            return Err(CtlError::Failed(format!(
                "{address} belongs to instance {other}, not to instance {id}"
            )));
        }
        None => return Err(CtlError::Unreachable(format!("instance {id} at {address}"))),
    }
    match client::call_instances::<bool>(&[address], STOP).pop().flatten() {
        Some(true) => Ok(format!("instance {id} is stopping\n")),
        Some(false) => Err(CtlError::Failed(format!("instance {id} refused to stop"))),
        None => Err(CtlError::StopUnsettled(format!("instance {id} at {address}"))),
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
