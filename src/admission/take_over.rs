//! Take-over of a service: what its new placer knows of the flows that are open already.

use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::{FlowId, ServiceId};
use crate::pipeline::{Admission, OpenFlow};
use crate::placement::{Binding, Placement, Role};
use crate::services::Services;

/// Time for which a learned flow counts as open without a packet: an instance is not told
/// the end of a flow that it has only learned.
pub(super) const FRESH: Duration = Duration::from_secs(20);
/// Time between two counts of the flows that were learned after a take-over.
const COUNT_EVERY: Duration = Duration::from_secs(10);
/// Time after a take-over in which flows that show up are counted.
const COUNT_FOR: Duration = Duration::from_secs(120);

/// A service whose open flows are being counted.
#[derive(Debug)]
struct TakeOver {
    next_count: Duration,
    until: Duration,
}

/// The services that this instance places, and the take-overs under way.
#[derive(Debug, Default)]
pub struct TakeOvers {
    placed: HashMap<ServiceId, Option<TakeOver>>,
    have_rules: bool,
}

impl TakeOvers {
    /// Compares the services that this instance places with those before, and counts the
    /// flows of those that are new. To be called after each change of members or services.
    pub fn compare(&mut self, now: Duration, placement: &Placement, admission: &mut dyn Admission) {
        let services = placement.services().list();
        let placed = services.iter().map(|s| s.id).filter(|&id| placement.places(id));
        let before = std::mem::take(&mut self.placed);
        let mut before: HashMap<_, _> = before.into_iter().collect();
        for id in placed {
            let known = before.remove(&id);
            self.placed.insert(id, known.unwrap_or_else(|| Some(TakeOver::new(now))));
        }
        if !before.is_empty() {
            admission.keep_services(&|id| self.placed.contains_key(&id));
        }
        self.count(now, placement, admission);
    }

    /// Counts all services when the first rules come: without rules no flow was counted.
    pub fn on_rules(
        &mut self,
        now: Duration,
        placement: &Placement,
        admission: &mut dyn Admission,
    ) {
        if std::mem::replace(&mut self.have_rules, true) {
            return;
        }
        for take_over in self.placed.values_mut() {
            *take_over = Some(TakeOver::new(now));
        }
        self.count(now, placement, admission);
    }

    /// Counts the flows of the services whose next count is due.
    pub fn count(&mut self, now: Duration, placement: &Placement, admission: &mut dyn Admission) {
        let mut due = HashMap::default();
        for (&service, take_over) in &mut self.placed {
            if take_over.as_mut().is_some_and(|take_over| take_over.is_due(now)) {
                due.insert(service, Vec::new());
            }
            if take_over.as_ref().is_some_and(|take_over| now >= take_over.until) {
                *take_over = None;
            }
        }
        if due.is_empty() {
            return;
        }
        let services = placement.services();
        collect(now, placement, services, &mut due);
        for service in services.list() {
            if let Some(flows) = due.remove(&service.id) {
                admission.seed(now, service, &mut flows.into_iter());
            }
        }
    }
}

impl TakeOver {
    fn new(now: Duration) -> Self {
        Self { next_count: now, until: now + COUNT_FOR }
    }

    fn is_due(&mut self, now: Duration) -> bool {
        let due = now >= self.next_count;
        if due {
            self.next_count = now + COUNT_EVERY;
        }
        due
    }
}

/// Adds the open flows that this instance knows to the services that they belong to.
fn collect(
    now: Duration,
    placement: &Placement,
    services: &Services,
    due: &mut HashMap<ServiceId, Vec<OpenFlow>>,
) {
    for (flow, binding) in placement.flows().iter() {
        let Some((service, _)) = services.target(binding.target) else { continue };
        if let Some(flows) = due.get_mut(&service.id) {
            flows.extend(open_flow(now, flow, binding));
        }
    }
}

fn open_flow(now: Duration, flow: FlowId, binding: &Binding) -> Option<OpenFlow> {
    let told_of_end = binding.role != Role::Learned;
    let open = !binding.closing() && (told_of_end || binding.unconfirmed(now) < FRESH);
    open.then_some((flow, binding.caller()?))
}
