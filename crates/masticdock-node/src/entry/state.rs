//! State that the tasks of an entry share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use compact_str::CompactString;
use masticdock_adapter::NodeSettings;
use masticdock_core::ids::{ServiceId, UpstreamId};
use masticdock_core::serving::{
    AgentReport, Configuration, DeadlineEstimate, RequestLimits, RetryAfter, RetryAfterSettings,
    UpstreamLoad, WindowedRetryBudget, WindowedRetryBudgetSettings,
};
use masticdock_core::units::MonoMs;

use tokio::sync::Notify;

use super::connections::Connections;
use super::pool::Pools;
use crate::clock;
use crate::tables::Catalog;

/// Part of the allowed repeats that entries use together; the rest absorbs
/// requests that are counted in another window.
const REPEAT_RATIO_SHARE: f64 = 0.75;
/// Entries that the slack of the repeats is divided by: more than a deployment
/// of today has, because an entry does not know their number.
const REPEAT_SLACK_DIVISOR: f64 = 10.0;

/// State of the entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: Rc<NodeSettings>,
    pub(crate) catalog: RefCell<Catalog>,
    pub(crate) loads: RefCell<HashMap<UpstreamId, UpstreamLoad>>,
    /// Newest report of each upstream's agent and when it came.
    pub(crate) reports: RefCell<HashMap<UpstreamId, (AgentReport, MonoMs)>>,
    budgets: RefCell<HashMap<ServiceId, WindowedRetryBudget>>,
    advice: RefCell<HashMap<ServiceId, RetryAfter>>,
    /// Usual deadline by route; a caller that returns has less left.
    deadlines: RefCell<HashMap<CompactString, DeadlineEstimate>>,
    pub(crate) pools: Pools,
    pub(crate) connections: Connections,
    /// Told when operators may have declared a version.
    pub(crate) versions_changed: Notify,
    stopping_since: Cell<Option<MonoMs>>,
}

impl Entry {
    pub(crate) fn new(settings: Rc<NodeSettings>) -> Self {
        let in_force_ms = settings.bounds.version_deadline_ms;
        Self {
            settings,
            catalog: RefCell::new(Catalog::new(in_force_ms)),
            loads: RefCell::default(),
            reports: RefCell::default(),
            budgets: RefCell::default(),
            advice: RefCell::default(),
            deadlines: RefCell::default(),
            pools: Pools::default(),
            connections: Connections::default(),
            versions_changed: Notify::new(),
            stopping_since: Cell::new(None),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.catalog.borrow().configuration.clone()
    }

    /// Returns what callers may send.
    pub(crate) fn limits(&self) -> RequestLimits {
        self.configuration()
            .map_or_else(RequestLimits::default, |configuration| configuration.limits)
    }

    /// Returns true when the entry can serve new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let catalog = self.catalog.borrow();
        self.stopping_since.get().is_none()
            && catalog.configuration.is_some()
            && catalog.upstreams_loaded
    }

    /// Returns when the entry was told to stop.
    pub(crate) const fn stopping_since(&self) -> Option<MonoMs> {
        self.stopping_since.get()
    }

    /// Makes the entry report that it is not ready.
    pub(crate) fn begin_stop(&self) {
        self.stopping_since.set(Some(clock::now()));
    }

    /// Changes the load of an upstream.
    pub(crate) fn with_load<T>(
        &self,
        id: &UpstreamId,
        change: impl FnOnce(&mut UpstreamLoad) -> T,
    ) -> T {
        change(self.loads.borrow_mut().entry(id.clone()).or_default())
    }

    /// Drops what is known of an upstream.
    pub(crate) fn forget(&self, id: &UpstreamId) {
        self.reports.borrow_mut().remove(id);
        self.pools.close_idle(id);
        let mut loads = self.loads.borrow_mut();
        // Requests in flight still count until they end.
        if loads.get(id).is_some_and(|load| load.in_flight == 0) {
            loads.remove(id);
        }
    }

    /// Changes the budget of repeats to a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceId,
        change: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let slack = (bounds.retry_slack / REPEAT_SLACK_DIVISOR) as u32;
            WindowedRetryBudget::new(WindowedRetryBudgetSettings {
                ratio: bounds.retry_ratio * REPEAT_RATIO_SHARE,
                window_ms: bounds.retry_window_ms,
                slack,
            })
        });
        change(budget)
    }

    /// Notes whether a request was rejected for want of room.
    pub(crate) fn record_admission(&self, service: &ServiceId, rejected: bool) {
        let mut advice = self.advice.borrow_mut();
        advice
            .entry(service.clone())
            .or_insert_with(|| RetryAfter::new(RetryAfterSettings::default()))
            .record(rejected, clock::now());
    }

    /// Returns the delay for a rejected caller and the share of rejections behind it.
    pub(crate) fn retry_after(&self, service: &ServiceId) -> (u64, f64) {
        let advice = self.advice.borrow();
        let draw = rand::random::<f64>();
        match advice.get(service) {
            Some(advice) => (advice.delay_ms(draw), advice.rejected_share()),
            None => (RetryAfterSettings::default().delay_min_ms, 0.0),
        }
    }

    /// Returns true when a caller with this deadline has been rejected before.
    pub(crate) fn is_returning(&self, route: &str, deadline_ms: u64) -> bool {
        let mut deadlines = self.deadlines.borrow_mut();
        let usual = deadlines.entry(CompactString::new(route)).or_default();
        usual.is_returning(deadline_ms)
    }
}
