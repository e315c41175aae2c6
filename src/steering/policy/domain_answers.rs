//! Tells a target that has ended from a broken path and from an instance that stands still, without I/O.
//!
//! A connection check that fails says that no connection came about, not why: the target may have ended,
//! the network may refuse or lose connections, or this process had no time to read the answer. Only an
//! answer to what was sent later rules out the other causes: one of the same failure domain shows that the
//! path works, one of another domain that this instance is not the cause.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::HashMap;
use crate::ids::FailureDomain;

/// Answers of the targets of a failure domain.
#[derive(Debug, Default)]
struct Answers {
    /// When the latest request or connection that was answered had been sent.
    last_sent: Option<Duration>,
    /// Address of the target that is checked to see whether the path works.
    checked: Option<SocketAddr>,
}

/// What targets of each failure domain have answered.
#[derive(Debug, Default)]
pub struct DomainAnswers {
    domains: HashMap<FailureDomain, Answers>,
}

impl DomainAnswers {
    /// Records that a target of a failure domain has answered what was sent to it at `sent`.
    pub fn record(&mut self, sent: Duration, domain: &str) {
        match self.domains.get_mut(domain) {
            Some(answers) => answers.last_sent = answers.last_sent.max(Some(sent)),
            None => {
                let answers = Answers { last_sent: Some(sent), checked: None };
                self.domains.insert(domain.to_owned(), answers);
            }
        }
    }

    /// Returns whether a target of a failure domain has answered what was sent at `since` or later.
    pub fn has_answered_since(&self, since: Duration, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|answers| answers.last_sent >= Some(since))
    }

    /// Returns whether a target outside a failure domain has answered what was sent at `since` or later.
    pub fn has_other_answered_since(&self, since: Duration, domain: &str) -> bool {
        let mut others = self.domains.iter().filter(|(other, _)| other.as_str() != domain);
        others.any(|(_, answers)| answers.last_sent >= Some(since))
    }

    /// Returns whether a target of a failure domain is checked to see whether the path works.
    pub fn is_checking(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|answers| answers.checked.is_some())
    }

    /// Records that the target at an address is checked to see whether the path to its failure domain
    /// works.
    pub fn begin_check(&mut self, domain: &str, address: SocketAddr) {
        self.domains.entry(domain.to_owned()).or_default().checked = Some(address);
    }

    /// Records that a check of an address has ended.
    pub fn end_check(&mut self, address: SocketAddr) {
        let checks = self.domains.values_mut().filter(|answers| answers.checked == Some(address));
        checks.for_each(|answers| answers.checked = None);
    }

    /// Forgets the domains that have no targets.
    pub fn retain(&mut self, mut has_targets: impl FnMut(&str) -> bool) {
        self.domains.retain(|domain, _| has_targets(domain));
    }
}
