//! Upstreams that may take a request, as this entry knows them.

use std::collections::HashMap;

use masticdock_core::ids::{RegionId, ServiceId, UpstreamId, ZoneId};
use masticdock_core::serving::{
    AgentReport, Candidate, EngineProfile, Placement, PlacementRules, RequestSize, SwitchPlan,
    Upstream, VersionNumber, VersionTimeline, place,
};
use masticdock_core::units::MonoMs;

use super::state::Entry;
use crate::clock;
use crate::tables::Catalog;

/// Age up to which an agent's report goes before the upstream's row, in milliseconds.
const REPORT_AGE_MAX_MS: u64 = 2_500;
/// Time before the end of an older version from which no request is sent to it, in
/// milliseconds: a request may wait at an upstream before it begins.
const BEGIN_MARGIN_MS: u64 = 1_000;
/// Time before the end of an older version at which a request that has not begun
/// is taken back, in milliseconds; covers the way to the upstream and the age
/// of the declaration when it was read.
const TAKE_BACK_MARGIN_MS: u64 = 400;
/// Delay that crossing to another availability zone is worth, in milliseconds.
const OTHER_ZONE_MS: f64 = 40.0;
/// Delay that crossing to another region is worth, in milliseconds.
const OTHER_REGION_MS: f64 = 60.0;

/// An upstream chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    pub(crate) upstream: Upstream,
    /// Version that the upstream has to hold, when one was declared.
    pub(crate) version: Option<VersionNumber>,
    /// When a request that has not begun there is taken back.
    pub(crate) begin_until: Option<MonoMs>,
    /// Predicted time to the first event, in milliseconds.
    pub(crate) predicted_ms: f64,
    /// The same without what is known of its slowness.
    pub(crate) base_ms: f64,
    /// Requests at the upstream when it was chosen.
    pub(crate) total: u32,
    /// Number of upstreams that were candidates.
    pub(crate) candidates: usize,
}

/// Why no upstream takes a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NoPlace {
    /// Predicted time at the best candidate, in milliseconds; `None` without a candidate.
    pub(crate) best_ms: Option<f64>,
    pub(crate) candidates: usize,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) engine: Option<&'a EngineProfile>,
    pub(crate) size: RequestSize,
    /// What is left of the latency objective, in milliseconds.
    pub(crate) objective_left_ms: f64,
    pub(crate) returning: bool,
    /// Upstreams that failed this request already.
    pub(crate) tried: &'a [UpstreamId],
}

/// Chooses an upstream for a request.
pub(crate) fn choose(entry: &Entry, wanted: &Wanted<'_>) -> Result<Chosen, NoPlace> {
    let now = clock::now();
    let catalog = entry.catalog.borrow();
    let timeline = wanted
        .engine
        .and_then(|engine| engine.models.first())
        .and_then(|model| catalog.timeline(model));
    let mut turns = None;
    let mut upstreams = Vec::new();
    let mut candidates = Vec::new();
    for upstream in catalog.directory.serving(wanted.service) {
        if wanted.tried.contains(&upstream.id) {
            continue;
        }
        let Some(usable) = usable_version(entry, upstream, wanted.engine, timeline, now) else {
            continue;
        };
        let Some(mut candidate) = candidate(entry, upstream, wanted.engine, now) else {
            continue;
        };
        if usable.begin_until.is_some()
            && let Some(timeline) = timeline
        {
            let turns = turns.get_or_insert_with(|| Turns::new(&catalog, wanted.service, timeline));
            candidate.switch_in_ms = turns.in_ms(upstream, usable, now);
        }
        upstreams.push((upstream, usable));
        candidates.push(candidate);
    }
    let placement = place(
        &candidates,
        wanted.engine,
        wanted.size,
        wanted.objective_left_ms,
        wanted.returning,
        &PlacementRules::default(),
    );
    let count = candidates.len();
    match placement {
        Placement::Send {
            index,
            predicted_ms,
        } => {
            let (upstream, usable) = upstreams[index];
            Ok(Chosen {
                upstream: upstream.clone(),
                version: usable.insist_on,
                begin_until: usable.begin_until,
                predicted_ms,
                base_ms: predicted_ms / candidates[index].slowdown.max(0.1),
                total: candidates[index].total,
                candidates: count,
            })
        }
        Placement::Full { best_ms } => Err(NoPlace {
            best_ms: Some(best_ms),
            candidates: count,
        }),
        Placement::NoCandidate => Err(NoPlace {
            best_ms: None,
            candidates: 0,
        }),
    }
}

/// How the version that an upstream holds bounds a request.
#[derive(Debug, Clone, Copy, Default)]
struct Usable {
    insist_on: Option<VersionNumber>,
    begin_until: Option<MonoMs>,
}

/// Returns `None` for an engine on which the request must not begin.
fn usable_version(
    entry: &Entry,
    upstream: &Upstream,
    engine: Option<&EngineProfile>,
    timeline: Option<&VersionTimeline>,
    now: MonoMs,
) -> Option<Usable> {
    let Some(engine) = engine else {
        return Some(Usable::default());
    };
    let report = fresh_report(entry, &upstream.id, now);
    if let Some((report, at)) = report
        && (report.switching
            || !report.reachable
            || now.since_ms(at) < u64::from(report.start_delay_ms))
    {
        return None;
    }
    let by_row = upstream
        .models
        .iter()
        .find(|model| engine.models.contains(&model.model))
        .and_then(|model| model.complete_version(engine.layers));
    let held = match report {
        Some((report, _)) => report.version,
        None => by_row,
    }?;
    let Some(timeline) = timeline else {
        return Some(Usable::default());
    };
    let Some(begin_until) = timeline.begin_until(held) else {
        return Some(Usable {
            insist_on: Some(held),
            begin_until: None,
        });
    };
    (now.plus_ms(BEGIN_MARGIN_MS) < begin_until).then_some(Usable {
        insist_on: None,
        begin_until: Some(MonoMs(begin_until.0.saturating_sub(TAKE_BACK_MARGIN_MS))),
    })
}

fn candidate(
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
        slowdown: load.slowdown(now),
        link_delay_ms: fresh_report(entry, &upstream.id, now)
            .map_or(0.0, |(report, _)| f64::from(report.link_delay_ms)),
        switch_in_ms: None,
        service_ms: load.service_ms(),
        distance_ms: distance_ms(entry, &upstream.zone),
        draw: rand::random(),
    })
}

/// Returns the newest report of an upstream's agent and when it came, unless it is old.
fn fresh_report(entry: &Entry, id: &UpstreamId, now: MonoMs) -> Option<(AgentReport, MonoMs)> {
    let reports = entry.reports.borrow();
    let report = reports.get(id).copied();
    report.filter(|(_, at)| now.since_ms(*at) < REPORT_AGE_MAX_MS)
}

/// Turns of a service's upstreams to change to the newest version; their agents
/// compute the same ones.
struct Turns {
    learnt_at: Option<MonoMs>,
    positions: HashMap<UpstreamId, usize>,
}

impl Turns {
    /// Orders the upstreams once for all candidates of a request.
    fn new(catalog: &Catalog, service: &ServiceId, timeline: &VersionTimeline) -> Self {
        let newest = timeline.newest();
        let upstreams: Vec<&Upstream> = catalog.directory.serving(service).collect();
        let order = SwitchPlan::switch_order(&upstreams, newest);
        let ids = order.into_iter().map(|upstream| upstream.id.clone());
        Self {
            learnt_at: timeline.learnt_at(newest),
            positions: ids.zip(0..).collect(),
        }
    }

    /// Returns the time until an upstream's turn, in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    fn in_ms(&self, upstream: &Upstream, usable: Usable, now: MonoMs) -> Option<f64> {
        let position = *self.positions.get(&upstream.id)?;
        let count = self.positions.len();
        let turn = SwitchPlan::default().switch_at_position(
            position,
            count,
            self.learnt_at?,
            usable.begin_until,
        );
        Some(turn.since_ms(now) as f64)
    }
}

fn distance_ms(entry: &Entry, zone: &ZoneId) -> f64 {
    if *zone == entry.settings.zone {
        return 0.0;
    }
    let region: Option<&RegionId> = entry.settings.regions.get(zone);
    if region == Some(&entry.settings.region) {
        return OTHER_ZONE_MS;
    }
    OTHER_REGION_MS
}
