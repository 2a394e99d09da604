//! Choice of an upstream for a request from what this entry knows.

use std::collections::HashMap;

use masticdock_core::ids::{RegionId, ServiceId, UpstreamId, ZoneId};
use masticdock_core::serving::{
    AgentReport, AllowedRegions, BeginMargins, BeginWindow, Candidate, EngineProfile, Ineligible,
    PathDelays, Placement, PlacementRules, RequestSize, SwitchPlan, Upstream, VersionNumber,
    VersionTimeline, place,
};
use masticdock_core::units::MonoMs;

use super::cold_start;
use super::eligibility::eligibility;
use super::state::Entry;
use crate::clock;
use crate::tables::Catalog;

/// Maximum age of an agent's report that takes precedence over the upstream's row, in
/// milliseconds.
const REPORT_AGE_MAX_MS: u64 = 2_500;
/// Cost of an upstream in another availability zone, as a delay in milliseconds.
const CROSS_ZONE_PENALTY_MS: f64 = 40.0;
/// Cost of an upstream in another region, as a delay in milliseconds.
const CROSS_REGION_PENALTY_MS: f64 = 60.0;

/// An upstream chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct ChosenUpstream {
    pub(crate) upstream: Upstream,
    /// Version of the weights that the upstream has to hold, if one is required.
    pub(crate) version: Option<VersionNumber>,
    /// Limits on the start of the request if the version there expires.
    pub(crate) begin_window: Option<BeginWindow>,
    /// Predicted time to the first event, in milliseconds.
    pub(crate) predicted_ms: f64,
    /// Predicted time without the upstream's slowdown factor, in milliseconds.
    pub(crate) nominal_ms: f64,
    /// Nominal time without the delay on the upstream's link, in milliseconds.
    pub(crate) engine_ms: f64,
    /// Estimated number of requests at the upstream when it was chosen.
    pub(crate) requests_at_upstream: u32,
    /// Number of upstreams that were candidates.
    pub(crate) candidates: usize,
}

/// Reports that no upstream can take a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NoUpstream {
    /// Predicted time at the fastest candidate, in milliseconds; `None` without a candidate.
    pub(crate) best_ms: Option<f64>,
    /// Earliest time at which the limit or the pause of an upstream allows a request.
    pub(crate) limited_until: Option<MonoMs>,
    /// Why upstreams of the service are not candidates; the least lasting reason.
    pub(crate) ineligible: Option<Ineligible>,
    pub(crate) candidates: usize,
}

impl NoUpstream {
    /// Returns the result for a request that had no turn to look for an upstream.
    pub(super) const fn no_turn() -> Self {
        Self {
            best_ms: Some(f64::INFINITY),
            limited_until: None,
            ineligible: None,
            candidates: 0,
        }
    }
}

/// Properties of a request that decide which upstream it is sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementQuery<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) engine: Option<&'a EngineProfile>,
    pub(crate) size: RequestSize,
    /// Remaining part of the latency objective, in milliseconds; the whole objective for
    /// a returning request or a retry.
    pub(crate) objective_left_ms: f64,
    pub(crate) returning: bool,
    /// Regions in which the request may be served.
    pub(crate) allowed_regions: &'a AllowedRegions,
    /// Smallest pause objective of the streams of the service, in milliseconds.
    pub(crate) pause_objective_ms: Option<f64>,
    /// Upstreams at which an attempt of this request failed.
    pub(crate) excluded: &'a [UpstreamId],
}

/// Chooses an upstream for a request.
///
/// # Errors
///
/// Returns [`NoUpstream`] if every candidate is full or too slow, or if there is none.
pub(crate) fn choose_upstream(
    entry: &Entry,
    query: &PlacementQuery<'_>,
) -> Result<ChosenUpstream, NoUpstream> {
    let now = clock::now();
    let catalog = entry.catalog.borrow();
    let timeline = query
        .engine
        .and_then(|engine| engine.models.first())
        .and_then(|model| catalog.timeline(model));
    let mut schedule = None;
    let mut upstreams = Vec::new();
    let mut candidates = Vec::new();
    let mut limited_until: Option<MonoMs> = None;
    let closed = entry.closed.borrow();
    let eligibility = eligibility(entry, &catalog, &closed, query.allowed_regions);
    let mut ineligible = None;
    for upstream in catalog.directory.serving(query.service, now) {
        if query.excluded.contains(&upstream.id) {
            continue;
        }
        let checked = eligibility.check(upstream, now);
        let paused_until = match checked {
            Ok(()) => rate_limited_until(entry, &upstream.id, now)
                .max(cold_start::blocked_until(entry, upstream, now)),
            Err(Ineligible::Paused(until)) => Some(until),
            Err(reason) => {
                ineligible = ineligible.max(Some(reason));
                continue;
            }
        };
        if let Some(until) = paused_until {
            limited_until = Some(limited_until.map_or(until, |earliest| earliest.min(until)));
            continue;
        }
        let Some(bounds) = version_bounds(entry, upstream, query.engine, timeline, now) else {
            continue;
        };
        let Some(mut candidate) = build_candidate(entry, upstream, query.engine, now) else {
            continue;
        };
        if bounds.begin_window.is_some()
            && let Some(timeline) = timeline
        {
            let schedule = schedule
                .get_or_insert_with(|| SwitchSchedule::new(&catalog, query.service, timeline));
            candidate.switch_in_ms = schedule.ms_until_switch(upstream, bounds, now);
        }
        upstreams.push((upstream, bounds));
        candidates.push(candidate);
    }
    let placement = place(
        &candidates,
        query.engine,
        query.size,
        query.objective_left_ms,
        query.returning,
        &PlacementRules {
            use_free_slots: !entry.rejected_recently(query.service)
                && !entry.admission.is_short(query.service, now),
            pause_objective_ms: query.pause_objective_ms,
            ..PlacementRules::default()
        },
    );
    let count = candidates.len();
    match placement {
        Placement::Send {
            index,
            predicted_ms,
        } => {
            let (upstream, bounds) = upstreams[index];
            let candidate = &candidates[index];
            let slowdown = candidate.slowdown.max(0.1);
            Ok(ChosenUpstream {
                upstream: upstream.clone(),
                version: bounds.required,
                begin_window: bounds.begin_window,
                predicted_ms,
                nominal_ms: predicted_ms / slowdown,
                engine_ms: (predicted_ms - candidate.link_delay_ms).max(0.0) / slowdown,
                requests_at_upstream: candidate.total,
                candidates: count,
            })
        }
        Placement::Full { best_ms } => Err(NoUpstream {
            best_ms: Some(best_ms),
            limited_until,
            ineligible,
            candidates: count,
        }),
        Placement::NoCandidate => Err(NoUpstream {
            best_ms: None,
            limited_until,
            ineligible,
            candidates: 0,
        }),
    }
}

/// Returns when the limit that an upstream named allows this entry another request, unless
/// it allows one now.
fn rate_limited_until(entry: &Entry, id: &UpstreamId, now: MonoMs) -> Option<MonoMs> {
    let loads = entry.loads.borrow();
    loads.get(id)?.rate_limit.blocked_until(now)
}

/// Limits that the version held by an upstream sets to a request.
#[derive(Debug, Clone, Copy, Default)]
struct VersionBounds {
    required: Option<VersionNumber>,
    begin_window: Option<BeginWindow>,
}

/// Returns the limits for an upstream, or `None` if the request must not begin there.
fn version_bounds(
    entry: &Entry,
    upstream: &Upstream,
    engine: Option<&EngineProfile>,
    timeline: Option<&VersionTimeline>,
    now: MonoMs,
) -> Option<VersionBounds> {
    let Some(engine) = engine else {
        return Some(VersionBounds::default());
    };
    let report = fresh_report(entry, &upstream.id, now);
    if report.is_some_and(|(report, _)| report.switching || !report.reachable) {
        return None;
    }
    let row_version = upstream
        .models
        .iter()
        .find(|model| engine.models.contains(&model.model))
        .and_then(|model| model.complete_version(engine.layers));
    let held_version = match report {
        Some((report, _)) => report.version,
        None => row_version,
    }?;
    let Some(timeline) = timeline else {
        return Some(VersionBounds::default());
    };
    let delays = PathDelays {
        longest_wait_ms: (entry.loads.borrow().get(&upstream.id))
            .map_or(0, |load| load.longest_excess_wait_ms(now)),
        link_delay_ms: report.map_or(0, |(report, _)| report.link_delay_ms.into()),
    };
    let window = timeline.begin_window(held_version, delays, &BeginMargins::default());
    let Some(window) = window else {
        return Some(VersionBounds {
            required: Some(held_version),
            begin_window: None,
        });
    };
    window.may_send(now).then_some(VersionBounds {
        required: None,
        begin_window: Some(window),
    })
}

fn build_candidate(
    entry: &Entry,
    upstream: &Upstream,
    engine: Option<&EngineProfile>,
    now: MonoMs,
) -> Option<Candidate> {
    let prompt_ms = engine.map_or(0.0, EngineProfile::mean_prefill_ms);
    let mut loads = entry.loads.borrow_mut();
    let load = loads.entry(upstream.id.clone()).or_default();
    if load.is_backing_off(now) {
        return None;
    }
    Some(Candidate {
        slots: upstream.slots,
        total: load.total(now),
        pending_prefill_tokens: load.pending_prefill_tokens,
        others_pending_prefills: load.others_pending_prefills(prompt_ms, now),
        slowdown: load
            .slowdown(now)
            .max(cold_start::slowdown(entry, upstream, now)),
        link_delay_ms: fresh_report(entry, &upstream.id, now)
            .map_or(0.0, |(report, _)| f64::from(report.link_delay_ms)),
        switch_in_ms: None,
        service_ms: load.service_ms(now),
        distance_ms: distance_ms(entry, &upstream.zone),
        has_place: load.has_place(now),
        silent: load.is_silent(now),
        draw: rand::random(),
    })
}

/// Returns the latest report of an upstream's agent and its arrival time, unless it is
/// stale.
fn fresh_report(entry: &Entry, id: &UpstreamId, now: MonoMs) -> Option<(AgentReport, MonoMs)> {
    let reports = entry.reports.borrow();
    let report = reports.get(id).copied();
    report.filter(|(_, at)| now.since_ms(*at) < REPORT_AGE_MAX_MS)
}

/// Order in which a service's upstreams switch to the newest version; their agents
/// compute the same order.
struct SwitchSchedule {
    learnt_at: Option<MonoMs>,
    positions: HashMap<UpstreamId, usize>,
}

impl SwitchSchedule {
    /// Computes the order once for all candidates of a request.
    fn new(catalog: &Catalog, service: &ServiceId, timeline: &VersionTimeline) -> Self {
        let newest = timeline.newest();
        let upstreams: Vec<&Upstream> = catalog.directory.serving(service, clock::now()).collect();
        let sorted = SwitchPlan::switch_order(&upstreams, newest);
        let ids = sorted.into_iter().map(|upstream| upstream.id.clone());
        Self {
            learnt_at: timeline.learnt_at(newest),
            positions: ids.zip(0..).collect(),
        }
    }

    /// Returns the time until an upstream switches, in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    fn ms_until_switch(
        &self,
        upstream: &Upstream,
        bounds: VersionBounds,
        now: MonoMs,
    ) -> Option<f64> {
        let position = *self.positions.get(&upstream.id)?;
        let count = self.positions.len();
        let switch_at = SwitchPlan::default().switch_at_position(
            position,
            count,
            self.learnt_at?,
            bounds.begin_window.map(|window| window.cancel_at),
        );
        Some(switch_at.since_ms(now) as f64)
    }
}

fn distance_ms(entry: &Entry, zone: &ZoneId) -> f64 {
    if *zone == entry.settings.zone {
        return 0.0;
    }
    let region: Option<&RegionId> = entry.settings.regions.get(zone);
    if region == Some(&entry.settings.region) {
        return CROSS_ZONE_PENALTY_MS;
    }
    CROSS_REGION_PENALTY_MS
}
