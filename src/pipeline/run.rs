//! Execution of the pipeline steps for one packet.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use super::admit::{Admission, Refusal};
use super::{forward, reply};
use crate::flow::ClassifiedPacket;
use crate::ids::{InstanceId, ServiceId};
use crate::packet::{DecodeError, Segment, decode};
use crate::placement::{DropReason, Placement, Route, Stage, Verdict};
use crate::services::Services;
use crate::telemetry::{Span, Tracer};

/// Why a packet is discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Discard {
    /// The packet could not be decoded.
    #[display("{_0}")]
    Undecodable(DecodeError),
    /// Placement dropped the packet.
    #[display("{_0}")]
    Placement(DropReason),
    /// The target is no longer in the services list.
    #[display("unknown_target")]
    UnknownTarget,
    /// The addresses of the packet could not be rewritten.
    #[display("rewrite")]
    Rewrite,
}

/// Result of the pipeline for a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Send the packet through the fabric.
    Fabric(Vec<u8>),
    /// Redirect the packet to another instance with the given route.
    Instance(InstanceId, Route, Vec<u8>),
    /// Refuse a new flow; the reset is for the caller.
    Refused(ServiceId, Refusal, Vec<u8>),
    /// Discard the packet.
    Discarded(Discard),
}

/// The packet pipeline of one instance.
#[derive(Debug)]
pub struct Pipeline {
    /// Assigns flows to targets.
    pub placement: Placement,
    /// Decides which new flows are admitted.
    pub admission: Box<dyn Admission>,
    tracer: Tracer,
}

impl Pipeline {
    /// Creates a pipeline.
    pub fn new(placement: Placement, admission: Box<dyn Admission>, tracer: Tracer) -> Self {
        Self { placement, admission, tracer }
    }

    /// Runs all steps on a packet.
    ///
    /// `parent` is the span ID of the instance that redirected the packet, or 0. The second
    /// return value is the span ID of this instance, to send along with the packet.
    pub fn run(
        &mut self,
        now: Duration,
        packet: Vec<u8>,
        route: Route,
        parent: u64,
    ) -> (Outcome, u64) {
        let segment = match decode(&packet) {
            Ok(segment) => segment,
            Err(reason) => return (Outcome::Discarded(Discard::Undecodable(reason)), 0),
        };
        let services = Arc::clone(self.placement.services());
        let Some(class) = ClassifiedPacket::new(&services, &segment) else {
            let reason = Discard::Placement(DropReason::UnknownAddress);
            return (Outcome::Discarded(reason), 0);
        };
        let root = self.tracer.start_span(class.flow, parent, route.hops);
        // Both steps have finished by now; the spans only show that the packet passed them.
        let _ = Span::enter_with_parent("decode", &root);
        let _ = Span::enter_with_parent("classify", &root);
        let outcome = match self.admit(now, &class, &segment, route, &root) {
            Ok(()) => self.place(now, &services, (&class, &segment), packet, route, &root),
            Err(_) if self.placement.may_be_open(now, class.flow, &segment) => {
                Outcome::Discarded(Discard::Placement(DropReason::MayBeOpen))
            }
            Err(refusal) => refuse(&class, &segment, refusal),
        };
        (outcome, self.tracer.span_id(&root))
    }

    /// Applies admission control if this instance is the placer of the service.
    fn admit(
        &mut self,
        now: Duration,
        class: &ClassifiedPacket<'_>,
        segment: &Segment,
        route: Route,
        root: &Span,
    ) -> Result<(), Refusal> {
        if !segment.flags.opens_flow() && !segment.flags.ends_flow() {
            return Ok(());
        }
        let is_placer = match route.stage {
            Stage::Placer => true,
            Stage::Entry => self.placement.is_placer(class.service.id),
            _ => false,
        };
        if !is_placer {
            return Ok(());
        }
        if segment.flags.ends_flow() {
            self.admission.flow_ended(now, class.service.id, class.flow);
        }
        if class.from_target.is_some() || !segment.flags.opens_flow() {
            return Ok(());
        }
        let _span = Span::enter_with_parent("admit", root);
        self.admission.admit(now, class)
    }

    fn place(
        &mut self,
        now: Duration,
        services: &Services,
        (class, segment): (&ClassifiedPacket<'_>, &Segment),
        packet: Vec<u8>,
        route: Route,
        root: &Span,
    ) -> Outcome {
        let verdict = {
            let _span = Span::enter_with_parent("place", root);
            self.placement.decide(now, class, segment, route)
        };
        match verdict {
            Verdict::ToTarget(target) => {
                let _span = Span::enter_with_parent("forward", root);
                forward::forward(services, target, packet)
            }
            Verdict::ToCaller => {
                let _span = Span::enter_with_parent("answer", root);
                reply::rewrite_reply(class.service, packet)
            }
            Verdict::ToInstance(to, route) => {
                let _span = Span::enter_with_parent("forward", root);
                if segment.flags.opens_flow()
                    && route.stage == Stage::Owner
                    && route.suggested_target.is_none()
                {
                    // No target accepts the flow, so the owner will refuse it.
                    self.admission.flow_ended(now, class.service.id, class.flow);
                }
                Outcome::Instance(to, route, packet)
            }
            Verdict::Refuse(reason, retry_after) => {
                self.admission.flow_ended(now, class.service.id, class.flow);
                refuse(class, segment, Refusal { reason, retry_after })
            }
            Verdict::Drop(reason) => Outcome::Discarded(Discard::Placement(reason)),
        }
    }
}

fn refuse(class: &ClassifiedPacket<'_>, segment: &Segment, refusal: Refusal) -> Outcome {
    match reply::reset(segment) {
        Some(reset) => Outcome::Refused(class.service.id, refusal, reset),
        None => Outcome::Discarded(Discard::Placement(DropReason::UnknownFlow)),
    }
}
