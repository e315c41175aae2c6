//! Updates that each set one customer.

use std::sync::Arc;
use std::time::Duration;

use limpetdeck::ids::Version;
use limpetdeck::lists::rules::RawCustomer;
use limpetdeck::lists::{ListChange, ListEdit, ListKind, RawList, Update};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A deadline that no test reaches.
pub const NEVER: Duration = Duration::from_secs(1 << 40);

/// Creates an update that sets a customer; the operation's ID is the customer's name.
pub fn set_customer(
    name: &str,
    expected_version: Option<Version>,
    deadline: Duration,
    seed: u64,
) -> Update {
    let prefixes = vec![format!("10.0.{}.0/24", name.as_bytes()[0])];
    let customer = RawCustomer { name: name.to_owned(), plan: "basic".to_owned(), prefixes };
    let allowances = RawList::from_toml(ListKind::Allowances, "plans = [{ name = \"basic\" }]");
    let change = ListChange::SetCustomer(customer);
    let edit = ListEdit::new(ListKind::Plans, change, vec![allowances.expect("valid")]);
    let rng = SmallRng::seed_from_u64(seed);
    Update::new(name.to_owned(), Arc::new(edit), expected_version, deadline, rng)
}
