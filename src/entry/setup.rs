//! Set-up of the daemon and its instance from the settings.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::daemon::{DaemonConfig, new_incarnation};
use crate::instance::{Instance, InstanceConfig};
use crate::peer::{MemberInfo, MemberState};
use crate::placement::Policy;
use crate::platform::HttpPlatform;
use crate::settings::Settings;

/// Maximum number of flows in the flow table of an instance.
const FLOW_CAPACITY: usize = 2_000_000;
/// HTTP path of the fabric's health checks.
const HEALTH_PATH: &str = "/healthz";

/// Returns the configuration of the daemon.
pub(super) fn daemon_config(settings: &Settings) -> DaemonConfig {
    DaemonConfig {
        packet_address: settings.packet_address,
        peer_address: settings.peer_address,
        health_address: settings.metrics_address,
        health_path: HEALTH_PATH.to_owned(),
        metrics_address: settings.metrics_address,
        fabric: Some(settings.fabric_address),
        platform: Box::new(HttpPlatform::new(settings.platform_address)),
        log_level: settings.log_level,
        reload: None,
    }
}

/// Creates the instance.
pub(super) fn build_instance(now: Duration, settings: Settings) -> Instance {
    let me = MemberInfo {
        id: settings.instance,
        incarnation: new_incarnation(),
        failure_domain: settings.failure_domain,
        peer_address: settings.peer_address,
        metrics_address: settings.metrics_address,
        state: MemberState::Joining,
    };
    let rng = SmallRng::seed_from_u64(me.incarnation ^ u64::from(me.id));
    let cfg = InstanceConfig {
        me,
        seeds: settings.seeds,
        peer_keys: settings.peer_keys,
        control_budget: settings.control_budget,
        flow_capacity: FLOW_CAPACITY,
        trace_one_in: settings.trace_one_in,
        policy: Policy::Epochs,
    };
    Instance::new(now, cfg, rng)
}
