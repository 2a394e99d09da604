//! State shared by the tasks of an entry.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::CompactString;
use masticdock_adapter::NodeSettings;
use masticdock_core::ids::{ServiceId, UpstreamId};
use masticdock_core::serving::{
    AgentReport, ClosedProcesses, Configuration, DeadlineEstimate, MemoryShares, RequestLimits,
    RetryAfter, RetryAfterSettings, UpstreamLoad, Urgency, WindowedRetryBudget,
    WindowedRetryBudgetSettings,
};
use masticdock_core::units::MonoMs;

use tokio::sync::Notify;

use super::admission::{Admission, has_queue};
use super::agents::AgentSocket;
use super::cold_start::ColdStarts;
use super::connections::Connections;
use super::crashes::SharedCrashes;
use super::entry_count::EntryCount;
use super::memory::Buffers;
use super::pool::ConnectionPools;
use super::request::Call;
use crate::clock;
use crate::tables::Catalog;

/// Share of the allowed retry ratio that all entries use together; the rest absorbs
/// requests that are counted in another window.
const RETRY_RATIO_SHARE: f64 = 0.75;
/// Number of entries among which the retry slack is divided. An entry does not know the
/// actual number, so this exceeds that of present deployments.
const RETRY_SLACK_DIVISOR: f64 = 10.0;

/// Share of rejected requests from which the engines of a service count as full.
const REJECTED_SHARE_MIN: f64 = 0.01;

/// State of an entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: Rc<NodeSettings>,
    pub(crate) catalog: RefCell<Catalog>,
    pub(crate) loads: RefCell<HashMap<UpstreamId, UpstreamLoad>>,
    /// Latest report of each upstream's agent and its arrival time.
    pub(crate) reports: RefCell<HashMap<UpstreamId, (AgentReport, MonoMs)>>,
    retry_budgets: RefCell<HashMap<ServiceId, WindowedRetryBudget>>,
    /// Retry delays by service, and by urgency where its routes differ in priority.
    retry_delays: RefCell<HashMap<(ServiceId, Option<Urgency>), RetryAfter>>,
    pub(crate) admission: Admission,
    /// Usual deadline by route; a returning caller has a shorter one.
    deadlines: RefCell<HashMap<CompactString, DeadlineEstimate>>,
    pub(crate) pools: ConnectionPools,
    pub(crate) memory_shares: MemoryShares,
    /// Bodies of requests.
    pub(crate) request_buffers: Buffers,
    /// Responses that are buffered, or not read by their callers yet.
    pub(crate) response_buffers: Buffers,
    pub(crate) connections: Connections,
    pub(crate) agent_socket: AgentSocket,
    pub(crate) crashes: SharedCrashes,
    pub(crate) entry_count: EntryCount,
    /// Processes of upstreams that want no requests of this entry.
    pub(crate) closed: RefCell<ClosedProcesses>,
    /// Version of the configuration whose restrictions to regions were checked.
    pub(crate) restrictions_checked: Cell<u64>,
    pub(crate) cold_starts: ColdStarts,
    /// Notified when the operators' table may declare a new version.
    pub(crate) version_declared: Notify,
    stopping_since: Cell<Option<MonoMs>>,
}

impl Entry {
    pub(crate) fn new(settings: Rc<NodeSettings>) -> Self {
        let catalog = RefCell::new(Catalog::new(&settings.bounds));
        let memory_shares = MemoryShares::new(settings.memory_bytes);
        Self {
            memory_shares,
            request_buffers: Buffers::of_requests(&memory_shares),
            response_buffers: Buffers::of_responses(&memory_shares),
            settings,
            catalog,
            loads: RefCell::default(),
            reports: RefCell::default(),
            retry_budgets: RefCell::default(),
            retry_delays: RefCell::default(),
            admission: Admission::default(),
            deadlines: RefCell::default(),
            pools: ConnectionPools::default(),
            connections: Connections::default(),
            agent_socket: AgentSocket::default(),
            crashes: SharedCrashes::default(),
            entry_count: EntryCount::default(),
            closed: RefCell::default(),
            restrictions_checked: Cell::new(0),
            cold_starts: ColdStarts::default(),
            version_declared: Notify::new(),
            stopping_since: Cell::new(None),
        }
    }

    /// Returns the configuration in force, if one has been read.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.catalog.borrow().configuration.clone()
    }

    /// Returns the limits on callers' requests.
    pub(crate) fn limits(&self) -> RequestLimits {
        self.configuration()
            .map_or_else(RequestLimits::default, |configuration| configuration.limits)
    }

    /// Returns true when the entry accepts new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let catalog = self.catalog.borrow();
        self.stopping_since.get().is_none()
            && catalog.configuration.is_some()
            && catalog.upstreams_loaded
    }

    /// Returns when the shutdown began, if it did.
    pub(crate) const fn stopping_since(&self) -> Option<MonoMs> {
        self.stopping_since.get()
    }

    /// Begins the shutdown: readiness checks fail from now on.
    pub(crate) fn begin_shutdown(&self) {
        self.stopping_since.set(Some(clock::now()));
    }

    /// Applies `change` to the load of an upstream.
    pub(crate) fn with_load<T>(
        &self,
        id: &UpstreamId,
        change: impl FnOnce(&mut UpstreamLoad) -> T,
    ) -> T {
        change(self.loads.borrow_mut().entry(id.clone()).or_default())
    }

    /// Removes the state of an upstream and closes its idle connections.
    pub(crate) fn remove_upstream(&self, id: &UpstreamId) {
        self.reports.borrow_mut().remove(id);
        self.pools.close_idle(id);
        let mut loads = self.loads.borrow_mut();
        // Requests in flight still count until they end.
        if loads.get(id).is_some_and(|load| load.in_flight == 0) {
            loads.remove(id);
        }
    }

    /// Applies `change` to the retry budget of a service.
    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        change: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let slack = (bounds.retry_slack / RETRY_SLACK_DIVISOR) as u32;
            WindowedRetryBudget::new(WindowedRetryBudgetSettings {
                ratio: bounds.retry_ratio * RETRY_RATIO_SHARE,
                window_ms: bounds.retry_window_ms,
                slack,
                ..WindowedRetryBudgetSettings::default()
            })
        });
        change(budget)
    }

    /// Records whether a request was rejected because no upstream had capacity.
    pub(crate) fn record_admission(&self, call: &Call, rejected: bool) {
        let mut retry_delays = self.retry_delays.borrow_mut();
        let mut record = |priority| {
            retry_delays
                .entry((call.service.clone(), priority))
                .or_insert_with(|| RetryAfter::new(RetryAfterSettings::default()))
                .record(rejected, clock::now());
        };
        record(None);
        if has_queue(call) {
            record(Some(call.urgency()));
        }
    }

    /// Returns true if requests of a service were rejected recently.
    pub(crate) fn rejected_recently(&self, service: &ServiceId) -> bool {
        let retry_delays = self.retry_delays.borrow();
        let estimator = retry_delays.get(&(service.clone(), None));
        estimator.is_some_and(|estimator| estimator.rejected_share() >= REJECTED_SHARE_MIN)
    }

    /// Returns the delay for a rejected caller, in milliseconds, and the share of rejected
    /// requests that it is based on.
    pub(crate) fn retry_after(&self, call: &Call) -> (u64, f64) {
        let retry_delays = self.retry_delays.borrow();
        let draw = rand::random::<f64>();
        let urgency = has_queue(call).then(|| call.urgency());
        match retry_delays.get(&(call.service.clone(), urgency)) {
            Some(estimator) => (estimator.delay_ms(draw), estimator.rejected_share()),
            None => (RetryAfterSettings::default().delay_min_ms, 0.0),
        }
    }

    /// Updates the deadline estimate of a route; returns true when the deadline suggests that
    /// the caller was rejected before.
    pub(crate) fn is_returning(&self, route: &str, deadline_ms: u64) -> bool {
        let mut deadlines = self.deadlines.borrow_mut();
        let estimate = deadlines.entry(CompactString::new(route)).or_default();
        estimate.is_returning(deadline_ms)
    }
}
