//! Aliases for the identifiers that pass between modules.

/// Number of an instance, unique among all instances of one user.
pub type InstanceId = u32;
/// Number of a service, unique among all services of one user.
pub type ServiceId = u32;
/// Number of a target, unique among all targets of one user.
pub type TargetId = u32;
/// Fingerprint of a flow's four-tuple.
pub type FlowId = u64;
/// Version of an object or of a target's state; only ever rises.
pub type Version = u64;
/// Number of an epoch within one service; only ever rises.
pub type EpochId = u32;
/// Start number of an instance: a restarted instance has a higher one.
pub type Incarnation = u64;
/// Name of a failure domain.
pub type FailureDomain = String;
/// Name of a customer.
pub type Customer = String;
/// Name of a plan.
pub type PlanId = String;
