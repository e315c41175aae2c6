//! `limpetctl status`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use super::CtlError;
use super::arguments::CommonOptions;
use super::client;
use super::table::{json, table};
use crate::ids::Version;
use crate::instance::Status;
use crate::lists::{ListKind, ListVersions};
use crate::rpc::STATUS;
use crate::steering::DrainedDomain;

/// Time without a response of the platform after which an instance counts as cut off. Even an
/// instance without a watch renews its registration more often.
const CUT_OFF_THRESHOLD_MS: u64 = 90_000;

/// Status of all instances, as printed with `--json`.
#[derive(Debug, Serialize)]
struct Fleet {
    /// Highest version of each list on the platform or any instance.
    newest: ListVersions,
    /// Why the platform could not be read, or `None` if it was read.
    platform_problem: Option<String>,
    instances: Vec<InstanceRow>,
    not_answering: Vec<SocketAddr>,
    open_flows: usize,
    refusals: BTreeMap<String, u64>,
}

/// Status of one instance.
#[derive(Debug, Serialize)]
struct InstanceRow {
    #[serde(flatten)]
    status: Status,
    /// Number of versions by which each list of the instance is behind the newest.
    lag: ListVersions,
    /// Whether the instance has not heard from the platform for [`CUT_OFF_THRESHOLD_MS`].
    cut_off: bool,
}

/// Returns the status of all instances that are registered or given with `--instance`.
pub(super) fn status(options: &CommonOptions) -> Result<String, CtlError> {
    let fleet = query_fleet(options)?;
    if fleet.instances.is_empty() && !fleet.not_answering.is_empty() {
        return Err(CtlError::Unreachable("no instance responds".to_owned()));
    }
    Ok(if options.json { json(&fleet) } else { fleet.to_text() })
}

fn query_fleet(options: &CommonOptions) -> Result<Fleet, CtlError> {
    let platform_state = client::registered_instances(options)
        .and_then(|infos| Ok((infos, platform_versions(options)?)));
    let (mut addresses, mut newest, mut platform_problem) =
        (options.instances.clone(), ListVersions::default(), None);
    match platform_state {
        Ok((infos, versions)) => {
            addresses.extend(infos.iter().map(|info| info.metrics_address));
            newest = versions;
        }
        // The platform may be down if instances were given with `--instance`.
        Err(e) if !options.instances.is_empty() => platform_problem = Some(e.to_string()),
        Err(e) => return Err(e),
    }
    addresses.sort_unstable();
    addresses.dedup();
    let responses = client::call_instances::<Status>(&addresses, STATUS);
    let unresponsive = addresses.iter().zip(&responses).filter(|(_, response)| response.is_none());
    let not_answering = unresponsive.map(|(&address, _)| address).collect();
    let mut statuses: Vec<_> = responses.into_iter().flatten().collect();
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

fn platform_versions(options: &CommonOptions) -> Result<ListVersions, CtlError> {
    let mut versions = ListVersions::default();
    for kind in ListKind::ALL {
        versions.set(kind, client::get_object(options, kind.object_name())?.version);
    }
    Ok(versions)
}

impl InstanceRow {
    fn new(status: Status, newest: &ListVersions) -> Self {
        let mut lag = ListVersions::default();
        for kind in ListKind::ALL {
            lag.set(kind, newest.get(kind).saturating_sub(status.versions.get(kind)));
        }
        let cut_off = status.platform_answered_ms_ago.is_none_or(|ms| ms > CUT_OFF_THRESHOLD_MS);
        Self { status, lag, cut_off }
    }

    fn cells(&self) -> Vec<String> {
        let version = |kind| match self.lag.get(kind) {
            0 => self.status.versions.get(kind).to_string(),
            lag => format!("{} (-{lag})", self.status.versions.get(kind)),
        };
        let notes = [
            (!self.status.healthy, "not healthy"),
            (self.status.stale, "stale"),
            (self.status.isolated, "hears no other instance"),
            (self.cut_off, "cut off from the platform"),
            (self.lag != ListVersions::default(), "lags"),
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
    /// Returns a line for each drained failure domain: the latest order, the time for which the first
    /// instance has known it, and how many instances know it.
    fn drained_domains(&self) -> Vec<String> {
        let mut orders: BTreeMap<&str, Vec<&DrainedDomain>> = BTreeMap::new();
        for drained in self.instances.iter().flat_map(|row| &row.status.drained_domains) {
            orders.entry(&drained.failure_domain).or_default().push(drained);
        }
        let line = |(domain, orders): (&str, Vec<&DrainedDomain>)| {
            let (era, revision) =
                orders.iter().map(|order| (order.era, order.revision)).max().unwrap_or_default();
            let known_ms = orders.iter().map(|order| order.known_ms).max().unwrap_or_default();
            format!(
                "drained failure domain {domain}: order {era}.{revision}, for {}.{} s, known to {} of \
                 {} instances\n",
                known_ms / 1_000,
                known_ms % 1_000 / 100,
                orders.len(),
                self.instances.len()
            )
        };
        orders.into_iter().map(line).collect()
    }

    fn to_text(&self) -> String {
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
        let lagging =
            self.instances.iter().filter(|row| row.lag != ListVersions::default()).count();
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
        for line in self.drained_domains() {
            text += &line;
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
