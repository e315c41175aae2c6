//! All instances that a packet passes record their spans under one trace ID.

use std::sync::Arc;
use std::time::Duration;

use etherparse::PacketBuilder;
use fastrace::collector::{Config, TestReporter};
use limpetdeck::hash::HashSet;
use limpetdeck::ids::InstanceId;
use limpetdeck::link::Link;
use limpetdeck::pipeline::{AdmitAll, Outcome, Pipeline};
use limpetdeck::placement::{Placement, PlacementConfig, Policy, Route};
use limpetdeck::services::{RawServices, Services};
use limpetdeck::telemetry::Tracer;

const NOW: Duration = Duration::from_secs(60);

fn services() -> Arc<Services> {
    let text = std::fs::read_to_string("sample_configs/recarga/services.toml").expect("a sample");
    let raw: RawServices = toml::from_str(&text).expect("TOML");
    Arc::new(Services::try_from(raw).expect("a valid sample"))
}

fn pipeline(me: InstanceId) -> Pipeline {
    let mut placement = Placement::new(&PlacementConfig {
        instance_id: me,
        flow_capacity: 1_000,
        policy: Policy::Epochs,
    });
    placement.set_services(Duration::ZERO, 1, services());
    placement.set_members(Duration::ZERO, 1..=6, 1..=6);
    let mut link = Link::new([0; 32], me, 1, 3_000, Duration::ZERO);
    placement.tick(NOW, &mut link.outbox(NOW, &mut Vec::new()));
    Pipeline::new(placement, Box::new(AdmitAll), Tracer::new(me, 1))
}

fn opening(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([10, 9, 0, 1], [10, 1, 0, 1], 64).tcp(port, 7_000, 5, 100);
    let mut buf = Vec::new();
    builder.syn().write(&mut buf, &[]).expect("a packet in memory");
    buf
}

/// Passes a packet between instances and returns those that it visited.
fn follow(pipelines: &mut [Pipeline], mut packet: Vec<u8>) -> Vec<InstanceId> {
    let (mut at, mut route, mut parent) = (1, Route::ENTRY, 0);
    let mut passed = vec![at];
    loop {
        let (outcome, span) = pipelines[at as usize - 1].run(NOW, packet, route, parent);
        let Outcome::Instance(to, next, sent) = outcome else { return passed };
        (at, route, packet, parent) = (to, next, sent, span);
        passed.push(at);
    }
}

#[test]
fn three_instances() {
    let (reporter, spans) = TestReporter::new();
    fastrace::set_reporter(reporter, Config::default());
    let mut pipelines: Vec<_> = (1..=6).map(pipeline).collect();
    let passed = (4_000..4_100)
        .map(|port| follow(&mut pipelines, opening(port)))
        .find(|passed| passed.len() == 3)
        .expect("a flow whose placer and owner are two other instances");
    fastrace::flush();
    let spans = spans.lock();
    let of = |instance: InstanceId| {
        let has = |(key, value): &(_, _)| key == "instance" && *value == instance.to_string();
        let roots = spans.iter().filter(move |span| span.properties.iter().any(has));
        roots.map(|span| span.trace_id).collect::<HashSet<_>>()
    };
    let shared: HashSet<_> =
        passed.iter().map(|&instance| of(instance)).reduce(|a, b| &a & &b).expect("three sets");
    let trace = *shared.iter().next().expect("a trace on all three instances");
    for step in ["decode", "classify", "admit", "place", "forward"] {
        assert!(spans.iter().any(|s| s.trace_id == trace && s.name == step), "{step}");
    }
}
