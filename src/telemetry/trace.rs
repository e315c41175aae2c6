//! Traces: a span for each step of a sampled packet. The flow ID is the trace ID, which joins the
//! spans of several instances.

pub use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanId, SpanRecord, TraceId};

use crate::ids::{FlowId, InstanceId};

/// Creates the spans of one instance.
#[derive(Debug, Clone, Copy)]
pub struct Tracer {
    instance: InstanceId,
    one_in: u32,
}

impl Tracer {
    /// Creates a tracer that samples one flow in `one_in`; 0 samples none.
    pub fn new(instance: InstanceId, one_in: u32) -> Self {
        Self { instance, one_in }
    }

    /// Starts the span of a packet at this instance. All instances sample the same flows, as
    /// sampling depends only on the flow ID.
    pub fn start_span(&self, flow: FlowId, parent: u64, hops: u8) -> Span {
        if self.one_in == 0 || !flow.is_multiple_of(u64::from(self.one_in)) {
            return Span::noop();
        }
        let cx = SpanContext::new(TraceId(u128::from(flow)), SpanId(parent));
        Span::root("packet", cx).with_properties(|| {
            [("instance", self.instance.to_string()), ("hops", hops.to_string())]
        })
    }

    /// Returns the span ID that the next instance uses as parent; 0 if the flow is not sampled.
    pub fn span_id(&self, span: &Span) -> u64 {
        SpanContext::from_span(span).map_or(0, |cx| cx.span_id.0)
    }
}

/// Reporter that writes spans to the log.
#[derive(Debug)]
struct LogReporter;

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            let property = |name: &str| {
                let found = span.properties.iter().find(|(key, _)| key == name);
                found.map_or(String::new(), |(_, value)| value.to_string())
            };
            log::info!(
                trace = format!("{:016x}", span.trace_id.0).as_str(),
                span = format!("{:016x}", span.span_id.0).as_str(),
                parent = format!("{:016x}", span.parent_id.0).as_str(),
                step = span.name.as_ref(),
                instance = property("instance").as_str(),
                hops = property("hops").as_str(),
                begin_ns = span.begin_time_unix_ns,
                duration_ns = span.duration_ns;
                "span"
            );
        }
    }
}

/// Installs the reporter that writes the spans of this process to its log.
pub fn report_spans() {
    fastrace::set_reporter(LogReporter, Config::default());
}

/// Writes the completed spans to the log.
pub fn flush_spans() {
    fastrace::flush();
}
