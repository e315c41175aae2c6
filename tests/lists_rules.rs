//! Validation of plans and allowances reports all findings; joined, the two give the admission
//! rules.

mod support;

use std::net::Ipv4Addr;

use limpetdeck::lists::rules::{
    Allowances, Plans, Prefix, RawAllowances, RawCustomer, RawPlans, cross_check,
};
use limpetdeck::lists::{AdmissionRules, Allowance};
use limpetdeck::services::{RawServices, Services};
use limpetdeck::settings::Findings;
use quickcheck::TestResult;

fn plans(text: &str) -> Result<Plans, Findings> {
    Plans::try_from(toml::from_str::<RawPlans>(text).expect("TOML"))
}

fn allowances(text: &str) -> Result<Allowances, Findings> {
    Allowances::try_from(toml::from_str::<RawAllowances>(text).expect("TOML"))
}

fn services() -> Services {
    let text = std::fs::read_to_string("sample_configs/recarga/services.toml").expect("a sample");
    Services::try_from(toml::from_str::<RawServices>(&text).expect("TOML")).expect("valid")
}

const PLANS: &str = r#"
    customers = [
        { name = "xela", plan = "basic", prefixes = ["10.9.1.0/24", "10.9.3.0/25"] },
        { name = "capital", plan = "gone", prefixes = ["10.9.2.0/24"] },
    ]
"#;

const ALLOWANCES: &str = r#"
    [[plans]]
    name = "basic"
    services = [
        { service = "estacion", max_open_flows = 5, max_new_flows_per_s = 2 },
        { service = "nothing", max_open_flows = 5, max_new_flows_per_s = 2 },
    ]
"#;

#[test]
fn joined_rules() {
    let (plans, allowances) =
        (plans(PLANS).expect("valid"), allowances(ALLOWANCES).expect("valid"));
    let rules = AdmissionRules::join(plans, &allowances, &services());
    let customer = |ip: [u8; 4]| rules.customer_of(Ipv4Addr::from(ip)).map(String::as_str);
    assert_eq!(customer([10, 9, 1, 255]), Some("xela"));
    assert_eq!(customer([10, 9, 2, 0]), Some("capital"));
    assert_eq!(customer([10, 9, 3, 127]), Some("xela"));
    assert_eq!(customer([10, 9, 3, 128]), None);
    assert_eq!(customer([10, 9, 0, 255]), None);
    let allowed = Allowance { max_open_flows: 5, max_new_flows_per_s: 2 };
    assert_eq!(rules.allowance("xela", 1), Some(allowed));
    assert_eq!(rules.allowance("xela", 2), None);
    assert_eq!(rules.allowance("capital", 1), None);
}

#[test]
fn all_findings() {
    let text = r#"
        customers = [
            { name = "a", plan = "", prefixes = ["10.0.0.0/8", "10.0.0.1/24"] },
            { name = "a", plan = "p", prefixes = ["10.3.0.0/16", "10.0.0.0/33"] },
            { name = "c", plan = "p", prefixes = [] },
        ]
    "#;
    let expected = "customers.a.plan: is empty\n\
        customers.a.prefixes[1]: \"10.0.0.1/24\" has bits after the prefix; did you mean \
        10.0.0.0/24?\n\
        customers.a.prefixes[1]: \"10.0.0.0/33\" is longer than 32 bits\n\
        customers.c.prefixes: is empty, so no caller would match\n\
        customers.a: duplicate name\n\
        customers.a.prefixes: 10.3.0.0/16 overlaps 10.0.0.0/8 of a";
    assert_eq!(plans(text).expect_err("findings").to_string(), expected);
    let text = r#"
        [[plans]]
        name = "p"
        services = [
            { service = "s", max_open_flows = 0, max_new_flows_per_s = 0 },
            { service = "s", max_open_flows = 1, max_new_flows_per_s = 1 },
        ]
        [[plans]]
        name = "p"
    "#;
    let findings: Vec<_> = allowances(text).expect_err("findings").list;
    let locations: Vec<_> = findings.into_iter().map(|finding| finding.location).collect();
    let zeros = ["plans.p.services.s.max_open_flows", "plans.p.services.s.max_new_flows_per_s"];
    assert_eq!(locations, ["plans.p", zeros[0], zeros[1], "plans.p.services.s"]);
}

#[test]
fn cross_check_findings() {
    let (plans, allowances) =
        (plans(PLANS).expect("valid"), allowances(ALLOWANCES).expect("valid"));
    let findings = cross_check(&plans, &allowances, &services()).expect_err("findings");
    let expected = "customers.capital.plan: there is no plan \"gone\"\n\
        plans.basic.services.nothing: there is no such service";
    assert_eq!(findings.to_string(), expected);
}

/// The binary search finds the same customer as a scan of all prefixes.
#[test]
fn prefix_model() {
    fn property(prefixes: Vec<(u32, u8)>, caller: u32) -> TestResult {
        let texts = prefixes.iter().map(|&(bits, len)| {
            let len = u32::from(len % 33);
            let first = bits & u32::MAX.checked_shl(32 - len).unwrap_or(0);
            format!("{}/{len}", Ipv4Addr::from(first))
        });
        let texts: Vec<_> = texts.collect();
        let customers = texts.iter().enumerate().map(|(i, text)| RawCustomer {
            name: i.to_string(),
            plan: "p".to_owned(),
            prefixes: vec![text.clone()],
        });
        let checked: Vec<_> =
            texts.iter().map(|text| Prefix::try_from(text.as_str()).expect("valid")).collect();
        let overlap = (0..checked.len())
            .any(|i| checked[i + 1..].iter().any(|other| checked[i].overlaps(other)));
        let plans = Plans::try_from(RawPlans { customers: customers.collect() });
        let Ok(plans) = plans else { return TestResult::from_bool(overlap) };
        let caller = texts.get(caller as usize % texts.len().max(1)).map_or(caller.into(), |_| {
            let near = checked[caller as usize % checked.len()].first();
            Ipv4Addr::from(u32::from(near).wrapping_add(caller % 512))
        });
        let expected = checked.iter().position(|prefix| prefix.contains(caller));
        let found = plans.customer_of(caller).map(|found| found.customer.clone());
        TestResult::from_bool(!overlap && found == expected.map(|i| i.to_string()))
    }
    support::checker(2_000).quickcheck(property as fn(Vec<(u32, u8)>, u32) -> TestResult);
}
