//! `limpetctl status`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::CtlError;
use super::arguments::Common;
use super::ask;
use super::table::{json, table};
use crate::ids::Version;
use crate::instance::Status;
use crate::lists::{ListKind, Versions};
use crate::rpc::STATUS;

/// Silence of the platform after which an instance counts as cut off: even one that does not
/// watch renews its registration sooner.
const CUT_OFF_MS: u64 = 90_000;

/// The fleet as it answers now.
#[derive(Debug, Serialize)]
struct Fleet {
    /// The highest versions that any instance or the platform has.
    newest: Versions,
    /// Why the platform was not asked.
    platform_problem: Option<String>,
    instances: Vec<InstanceRow>,
    not_answering: Vec<SocketAddr>,
    open_flows: usize,
    refusals: BTreeMap<String, u64>,
}

/// One instance.
#[derive(Debug, Serialize)]
struct InstanceRow {
    #[serde(flatten)]
    status: Status,
    /// Versions by which the instance lags behind the newest.
    lag: Versions,
    /// Whether the platform is out of the instance's reach.
    cut_off: bool,
}

/// Shows the state of all instances that are registered or named.
pub(super) fn status(common: &Common) -> Result<String, CtlError> {
    let fleet = ask_fleet(common)?;
    if fleet.instances.is_empty() && !fleet.not_answering.is_empty() {
        return Err(CtlError::NotReached("no instance answers".to_owned()));
    }
    Ok(if common.json { json(&fleet) } else { fleet.print() })
}

fn ask_fleet(common: &Common) -> Result<Fleet, CtlError> {
    let asked = ask::registered(common).and_then(|infos| Ok((infos, platform_versions(common)?)));
    let (mut addresses, mut newest, mut platform_problem) =
        (common.instances.clone(), Versions::default(), None);
    match asked {
        Ok((infos, versions)) => {
            addresses.extend(infos.iter().map(|info| info.metrics_address));
            newest = versions;
        }
        // With instances to ask, the platform may be down.
        Err(e) if !common.instances.is_empty() => platform_problem = Some(e.to_string()),
        Err(e) => return Err(e),
    }
    addresses.sort_unstable();
    addresses.dedup();
    let answers = ask::instances::<Status>(&addresses, STATUS);
    let silent = addresses.iter().zip(&answers).filter(|(_, answer)| answer.is_none());
    let not_answering = silent.map(|(&address, _)| address).collect();
    let mut statuses: Vec<_> = answers.into_iter().flatten().collect();
    statuses.sort_by_key(|status| status.instance);
    for status in &statuses {
        newest = newest.max(&status.versions);
    }
    let mut refusals = BTreeMap::new();
    for (reason, count) in statuses.iter().flat_map(|status| &status.refusals) {
        *refusals.entry(reason.clone()).or_default() += count;
    }
    let open_flows = statuses.iter().map(|status| status.open_flows).sum();
    let rows = statuses.into_iter().map(|status| InstanceRow::new(status, &newest));
    let instances = rows.collect();
    Ok(Fleet { newest, platform_problem, instances, not_answering, open_flows, refusals })
}

fn platform_versions(common: &Common) -> Result<Versions, CtlError> {
    let mut versions = Versions::default();
    for kind in ListKind::ALL {
        versions.set(kind, ask::object(common, kind.object())?.version);
    }
    Ok(versions)
}

impl InstanceRow {
    fn new(status: Status, newest: &Versions) -> Self {
        let mut lag = Versions::default();
        for kind in ListKind::ALL {
            lag.set(kind, newest.of(kind).saturating_sub(status.versions.of(kind)));
        }
        let cut_off = status.platform_answered_ms_ago.is_none_or(|ms| ms > CUT_OFF_MS);
        Self { status, lag, cut_off }
    }

    fn cells(&self) -> Vec<String> {
        let version = |kind| match self.lag.of(kind) {
            0 => self.status.versions.of(kind).to_string(),
            lag => format!("{} (-{lag})", self.status.versions.of(kind)),
        };
        let notes = [
            (!self.status.healthy, "not healthy"),
            (self.status.stale, "stale"),
            (self.status.isolated, "hears no other instance"),
            (self.cut_off, "cut off from the platform"),
            (self.lag != Versions::default(), "lags"),
        ];
        let notes: Vec<_> =
            notes.iter().filter(|(holds, _)| *holds).map(|&(_, note)| note).collect();
        let mut cells = vec![self.status.instance.to_string(), self.status.failure_domain.clone()];
        cells.extend([ListKind::Services, ListKind::Plans, ListKind::Allowances].map(version));
        cells.push(self.status.open_flows.to_string());
        cells.push(self.status.refusals.values().sum::<u64>().to_string());
        cells.push(if notes.is_empty() { "ok".to_owned() } else { notes.join(", ") });
        cells
    }
}

impl Fleet {
    fn print(&self) -> String {
        let heading = [
            "id",
            "failure domain",
            "services",
            "plans",
            "allowances",
            "open flows",
            "refusals",
            "state",
        ];
        let rows: Vec<_> = self.instances.iter().map(InstanceRow::cells).collect();
        let mut text = table(&heading, &rows);
        let lagging = self.instances.iter().filter(|row| row.lag != Versions::default()).count();
        let (services, plans): (Version, Version) = (self.newest.services, self.newest.plans);
        let allowances = self.newest.allowances;
        text += &format!(
            "\n{} instances, {lagging} lagging; newest versions: services {services}, \
             plans {plans}, allowances {allowances}; {} open flows\n",
            self.instances.len(),
            self.open_flows
        );
        for (reason, count) in &self.refusals {
            text += &format!("refused for {reason}: {count}\n");
        }
        for address in &self.not_answering {
            text += &format!("no answer: {address}\n");
        }
        if let Some(problem) = &self.platform_problem {
            text += &format!("platform: {problem}\n");
        }
        text
    }
}
