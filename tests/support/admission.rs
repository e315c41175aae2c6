//! Services, rules and new flows for the admission tests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use limpetdeck::flow::{ClassifiedPacket, FlowKey};
use limpetdeck::lists::AdmissionRules;
use limpetdeck::lists::rules::{Allowances, Plans, RawAllowances, RawPlans};
use limpetdeck::services::{RawServices, Services};

/// Returns the services of the `recarga` sample.
pub fn services() -> Arc<Services> {
    let text = std::fs::read_to_string("sample_configs/recarga/services.toml").expect("a sample");
    let raw: RawServices = toml::from_str(&text).expect("TOML");
    Arc::new(Services::try_from(raw).expect("a valid sample"))
}

/// Returns rules for customer `a` at 10.9.0.0/24 and customer `b` at 10.9.1.0/24. The plan of
/// both includes `estacion` but not `tarifas`.
pub fn rules(open: u32, per_second: u32) -> Arc<AdmissionRules> {
    let plans = r#"
        customers = [
            { name = "a", plan = "p", prefixes = ["10.9.0.0/24"] },
            { name = "b", plan = "p", prefixes = ["10.9.1.0/24"] },
        ]
    "#;
    let allowances = format!(
        "[[plans]]\nname = \"p\"\nservices = [{{ service = \"estacion\", \
         max_open_flows = {open}, max_new_flows_per_s = {per_second} }}]"
    );
    let plans: RawPlans = toml::from_str(plans).expect("TOML");
    let allowances: RawAllowances = toml::from_str(&allowances).expect("TOML");
    let plans = Plans::try_from(plans).expect("valid");
    let allowances = Allowances::try_from(allowances).expect("valid");
    Arc::new(AdmissionRules::join(plans, &allowances, &services()))
}

/// Returns a new flow from `10.9.<customer>.1` to the service at `index` of the list.
pub fn new_flow(
    services: &Services,
    index: usize,
    customer: u8,
    port: u16,
) -> ClassifiedPacket<'_> {
    let service = &services.list()[index];
    let caller = SocketAddrV4::new(Ipv4Addr::new(10, 9, customer, 1), port);
    let flow = FlowKey { caller, service: service.address }.id();
    ClassifiedPacket { flow, caller, service, from_target: None }
}
