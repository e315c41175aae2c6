//! Type aliases for the identifiers that modules share.

/// ID of an instance, unique within a deployment.
pub type InstanceId = u32;
/// ID of a service, unique within a deployment.
pub type ServiceId = u32;
/// ID of a target, unique within a deployment.
pub type TargetId = u32;
/// Fingerprint of a flow's four-tuple.
pub type FlowId = u64;
/// Version of an object or of a target's state; never decreases.
pub type Version = u64;
/// Number of an epoch within one service; never decreases.
pub type EpochId = u32;
/// Incarnation of an instance: higher after each restart.
pub type Incarnation = u64;
/// Name of a failure domain.
pub type FailureDomain = String;
/// Name of a customer.
pub type Customer = String;
/// Name of a plan.
pub type PlanId = String;
