//! Open flows that this instance counts, and the accounts that they belong to.

use std::time::Duration;

use super::account::Account;
use crate::hash::HashMap;
use crate::ids::{Customer, FlowId, ServiceId};
use crate::pipeline::OpenFlowQuery;
use crate::placement::FlowTable;

/// Number of shards of the counted flows; each sweep visits one.
const SHARDS: usize = 64;

/// Time in which an owner has to answer a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of unanswered queries to a flow's owner after which the flow counts as ended.
const MAX_QUERIES: u8 = 3;

/// Index of an account.
type AccountId = u32;

/// One counted flow.
#[derive(Debug, Clone, Copy)]
struct CountedFlow {
    account: AccountId,
    /// Time of the next check, in seconds.
    due: u32,
    /// Whether another placer has counted the flow before. Behind a network partition it may
    /// still do so.
    inherited: bool,
    /// Queries sent to the flow's owner since the flow was last seen open.
    queries: u8,
}

/// State of a counted flow, as far as this instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    /// The flow is open.
    Open,
    /// The flow was idle for the idle timeout; its owner has to be queried.
    Idle,
    /// The owner has not confirmed the flow within [`MAX_QUERIES`] queries.
    Unconfirmed,
}

/// How an ended flow came to be counted here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowOrigin {
    /// This instance admitted the flow.
    Opened,
    /// Another placer counted the flow before.
    Inherited,
    /// The flow was not counted here.
    Unknown,
}

/// All counted flows and accounts.
#[derive(Debug)]
pub struct FlowCounts {
    flows: Vec<HashMap<FlowId, CountedFlow>>,
    accounts: Vec<Option<Account>>,
    free: Vec<AccountId>,
    by_service: HashMap<ServiceId, HashMap<Customer, AccountId>>,
    next_shard: usize,
}

impl Default for FlowCounts {
    fn default() -> Self {
        Self {
            flows: vec![HashMap::default(); SHARDS],
            accounts: Vec::new(),
            free: Vec::new(),
            by_service: HashMap::default(),
            next_shard: 0,
        }
    }
}

impl FlowCounts {
    /// Returns whether a flow is counted.
    pub fn contains(&self, flow: FlowId) -> bool {
        self.flows[shard(flow)].contains_key(&flow)
    }

    /// Returns the number of counted flows.
    pub fn flow_count(&self) -> usize {
        self.flows.iter().map(HashMap::len).sum()
    }

    /// Returns the accounts in use.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().flatten()
    }

    /// Returns the account of a customer and service.
    pub fn account(&self, service: ServiceId, customer: &str) -> Option<&Account> {
        let id = *self.by_service.get(&service)?.get(customer)?;
        self.accounts[id as usize].as_ref()
    }

    /// Returns the account of a customer and service with its index; creates it if it is
    /// missing.
    pub fn account_or_insert(
        &mut self,
        now: Duration,
        service: ServiceId,
        customer: &str,
        idle_timeout: Duration,
    ) -> (AccountId, &mut Account) {
        let known = self.by_service.get(&service).and_then(|by| by.get(customer));
        let id = known.copied().unwrap_or_else(|| self.allocate_id(service, customer));
        let account = self.accounts[id as usize]
            .get_or_insert_with(|| Account::new(now, service, customer.into()));
        account.set_idle_timeout(idle_timeout);
        (id, account)
    }

    /// Adds a flow that its account has just admitted.
    pub fn add_opened(&mut self, now: Duration, flow: FlowId, account: AccountId) {
        self.insert(now, flow, account, false);
    }

    /// Records that a flow is still open; returns whether it is counted.
    pub fn confirm(&mut self, now: Duration, flow: FlowId) -> bool {
        let Some(entry) = self.flows[shard(flow)].get_mut(&flow) else { return false };
        if let Some(account) = &self.accounts[entry.account as usize] {
            entry.due = seconds(now + account.idle_timeout());
            entry.queries = 0;
        }
        true
    }

    /// Counts a flow that was open before this instance became the service's placer.
    pub fn add_inherited(&mut self, now: Duration, flow: FlowId, account: AccountId) {
        if let Some(account) = &mut self.accounts[account as usize] {
            account.add_inherited();
        }
        self.insert(now, flow, account, true);
    }

    /// Removes an ended flow.
    pub fn remove_ended(&mut self, now: Duration, flow: FlowId) -> FlowOrigin {
        let Some(entry) = self.flows[shard(flow)].remove(&flow) else { return FlowOrigin::Unknown };
        if let Some(account) = &mut self.accounts[entry.account as usize] {
            account.remove_ended(now);
        }
        if entry.inherited { FlowOrigin::Inherited } else { FlowOrigin::Opened }
    }

    /// Removes the flows and accounts of all services for which `keep` returns false. This
    /// instance is no longer their placer and does not see the ends of their flows.
    pub fn retain_services(&mut self, keep: impl Fn(ServiceId) -> bool) {
        let accounts = &self.accounts;
        let kept = |id: AccountId| accounts[id as usize].as_ref().is_some_and(|a| keep(a.service));
        for shard in &mut self.flows {
            shard.retain(|_, entry| kept(entry.account));
        }
        self.remove_accounts(|account| !keep(account.service));
    }

    /// Checks the next shard for flows whose end this instance may have missed, and removes
    /// expired accounts once per round of all shards. Adds queries for the owners of idle flows.
    pub fn sweep(
        &mut self,
        now: Duration,
        flow_table: &FlowTable,
        queries: &mut Vec<OpenFlowQuery>,
    ) {
        let i = self.next_shard;
        self.next_shard = (i + 1) % SHARDS;
        let accounts = &mut self.accounts;
        self.flows[i].retain(|&flow, entry| {
            let Some(account) = &mut accounts[entry.account as usize] else { return false };
            match entry.check(now, flow, account.idle_timeout(), flow_table) {
                FlowState::Open => {}
                FlowState::Idle => queries.push(OpenFlowQuery { service: account.service, flow }),
                FlowState::Unconfirmed => account.remove_unconfirmed(),
            }
            entry.queries <= MAX_QUERIES
        });
        if i == 0 {
            self.remove_accounts(|account| account.is_expired(now));
        }
    }

    fn insert(&mut self, now: Duration, flow: FlowId, account: AccountId, inherited: bool) {
        let known = self.accounts[account as usize].as_ref();
        let idle_timeout = known.map_or(Duration::ZERO, Account::idle_timeout);
        let entry =
            CountedFlow { account, due: seconds(now + idle_timeout), inherited, queries: 0 };
        self.flows[shard(flow)].insert(flow, entry);
    }

    fn allocate_id(&mut self, service: ServiceId, customer: &str) -> AccountId {
        let id = self.free.pop().unwrap_or_else(|| {
            self.accounts.push(None);
            (self.accounts.len() - 1) as AccountId
        });
        self.by_service.entry(service).or_default().insert(customer.into(), id);
        id
    }

    fn remove_accounts(&mut self, remove: impl Fn(&Account) -> bool) {
        for (id, entry) in self.accounts.iter_mut().enumerate() {
            let Some(account) = entry.take_if(|account| remove(account)) else { continue };
            self.free.push(id as AccountId);
            if let Some(by_customer) = self.by_service.get_mut(&account.service) {
                by_customer.remove(&account.customer);
            }
        }
        self.by_service.retain(|_, by_customer| !by_customer.is_empty());
    }
}

impl CountedFlow {
    /// Returns the state of the flow. It is open if this instance saw a packet of it, or its
    /// owner confirmed it, within the idle timeout.
    fn check(
        &mut self,
        now: Duration,
        flow: FlowId,
        idle_timeout: Duration,
        flow_table: &FlowTable,
    ) -> FlowState {
        if seconds(now) < self.due {
            return FlowState::Open;
        }
        let idle = flow_table.get(flow).map_or(idle_timeout, |binding| binding.idle_time(now));
        if idle < idle_timeout {
            self.due = seconds(now + idle_timeout.saturating_sub(idle));
            self.queries = 0;
            return FlowState::Open;
        }
        self.due = seconds(now + QUERY_TIMEOUT);
        self.queries += 1;
        if self.queries <= MAX_QUERIES { FlowState::Idle } else { FlowState::Unconfirmed }
    }
}

fn seconds(time: Duration) -> u32 {
    u32::try_from(time.as_secs()).unwrap_or(u32::MAX)
}

fn shard(flow: FlowId) -> usize {
    (flow >> 58) as usize % SHARDS
}
