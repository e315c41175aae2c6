//! No-op replacement for traces in builds without the `spans` feature.

use crate::ids::{FlowId, InstanceId};

/// A span that records nothing.
#[derive(Debug)]
pub struct Span;

impl Span {
    /// Returns a span that records nothing.
    pub fn enter_with_parent(_name: &str, _parent: &Self) -> Self {
        Self
    }
}

/// Tracer that records nothing.
#[derive(Debug, Clone, Copy)]
pub struct Tracer;

impl Tracer {
    /// Creates a tracer; the arguments are ignored.
    pub fn new(_instance: InstanceId, _one_in: u32) -> Self {
        Self
    }

    /// Returns a span that records nothing.
    pub fn start_span(&self, _flow: FlowId, _parent: u64, _hops: u8) -> Span {
        Span
    }

    /// Returns 0, the span ID of a flow that is not sampled.
    pub fn span_id(&self, _span: &Span) -> u64 {
        0
    }
}

/// Does nothing.
pub fn report_spans() {}

/// Does nothing.
pub fn flush_spans() {}
