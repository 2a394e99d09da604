//! Requests that wait in this entry for room at the upstreams of their service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use masticdock_core::ids::ServiceId;
use masticdock_core::serving::{
    AdmissionQueue, AdmissionRequest, AdmissionSettings, AdmissionTicket, PlacementRules,
    RequestTimes,
};
use masticdock_core::units::MonoMs;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::candidates::{ChosenUpstream, NoUpstream};
use super::request::{Call, choose_for_call};
use super::state::Entry;
use crate::clock;
use crate::metrics::metrics;

/// Interval at which the first waiting request looks for room although nothing reported any:
/// predictions fall as time passes.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);

/// Queue of one service, and the tasks that wait in it.
#[derive(Debug)]
struct ServiceQueue {
    queue: AdmissionQueue,
    tasks: HashMap<AdmissionTicket, Rc<Notify>>,
}

impl ServiceQueue {
    fn new() -> Self {
        Self {
            queue: AdmissionQueue::new(AdmissionSettings::default()),
            tasks: HashMap::new(),
        }
    }

    fn wake_first(&self, now: MonoMs) {
        let first = self.queue.first(now);
        if let Some(task) = first.and_then(|ticket| self.tasks.get(&ticket)) {
            task.notify_one();
        }
    }
}

/// Queues of the services whose requests have different priorities.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    queues: RefCell<HashMap<ServiceId, ServiceQueue>>,
}

impl Admission {
    /// Wakes the first waiting request of a service, whose upstreams may have room.
    pub(crate) fn wake(&self, service: &ServiceId) {
        let queues = self.queues.borrow();
        let Some(queue) = queues.get(service) else {
            return;
        };
        if queue.queue.waiting() > 0 {
            queue.wake_first(clock::now());
        }
    }

    /// Returns true if requests of a service had to wait recently.
    pub(crate) fn is_short(&self, service: &ServiceId, now: MonoMs) -> bool {
        let queues = self.queues.borrow();
        let queue = queues.get(service);
        queue.is_some_and(|queue| queue.queue.is_short(now))
    }

    fn with_queue<T>(&self, service: &ServiceId, change: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut queues = self.queues.borrow_mut();
        change(
            queues
                .entry(service.clone())
                .or_insert_with(ServiceQueue::new),
        )
    }
}

/// Place of a request in the queue; it leaves when this is dropped, also because its caller
/// left.
#[derive(Debug)]
struct Waiting<'a> {
    admission: &'a Admission,
    service: &'a ServiceId,
    ticket: AdmissionTicket,
    task: Rc<Notify>,
}

impl Waiting<'_> {
    /// Returns true if this request gets the next place.
    fn is_first(&self) -> bool {
        self.admission.with_queue(self.service, |queue| {
            queue.queue.first(clock::now()) == Some(self.ticket)
        })
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.admission.with_queue(self.service, |queue| {
            queue.queue.leave(self.ticket);
            queue.tasks.remove(&self.ticket);
            queue.wake_first(clock::now());
        });
    }
}

/// Returns whether requests of several priorities compete for the service.
pub(super) fn has_queue(call: &Call) -> bool {
    call.configuration.is_prioritized(&call.service)
}

/// Chooses an upstream for the first attempt of a request. Where requests of several
/// priorities compete, one that finds no room waits for it as long as that can help.
///
/// # Errors
///
/// Returns [`NoUpstream`] if no upstream can take the request in time.
pub(super) async fn admit(entry: &Entry, call: &Call) -> Result<ChosenUpstream, NoUpstream> {
    if !has_queue(call) {
        return choose_for_call(entry, call, &[]);
    }
    let mut waited = false;
    let chosen = choose_or_wait(entry, call, &mut waited).await;
    let urgency = call.urgency();
    entry.admission.with_queue(&call.service, |queue| {
        queue.queue.record(urgency, chosen.is_ok(), clock::now());
    });
    let decision = match (&chosen, waited) {
        (Ok(_), false) => "admitted",
        (Ok(_), true) => "delayed",
        (Err(_), _) => "rejected",
    };
    let admissions = &metrics().admissions;
    let priority = urgency.priority.to_string();
    let route_priority = urgency.route_priority.to_string();
    admissions
        .with_label_values(&[priority.as_str(), route_priority.as_str(), decision])
        .inc();
    chosen
}

async fn choose_or_wait(
    entry: &Entry,
    call: &Call,
    waited: &mut bool,
) -> Result<ChosenUpstream, NoUpstream> {
    let request = admission_request(call);
    let admission = &entry.admission;
    let is_first = admission.with_queue(&call.service, |queue| {
        queue.queue.is_first(&request, clock::now())
    });
    let mut last = NoUpstream::no_turn();
    if is_first {
        match choose_for_call(entry, call, &[]) {
            Ok(chosen) => return Ok(chosen),
            Err(no_upstream) => last = no_upstream,
        }
        // Nobody knows when the first upstream returns; a new caller is told to come back.
        // Upstreams that operators exclude do not return in time for anybody.
        if last.best_ms.is_none() && (!call.returning || last.ineligible.is_some()) {
            return Err(last);
        }
    }
    let Some(waiting) = join(admission, call, request) else {
        return Err(last);
    };
    *waited = true;
    while clock::now() < request.start_by {
        let left = Duration::from_millis(request.start_by.since_ms(clock::now()));
        let pause = if waiting.is_first() {
            left.min(LOOK_INTERVAL)
        } else {
            left
        };
        let _ = timeout(pause, waiting.task.notified()).await;
        if !waiting.is_first() {
            continue;
        }
        match choose_for_call(entry, call, &[]) {
            Ok(chosen) => return Ok(chosen),
            Err(no_upstream) => last = no_upstream,
        }
    }
    Err(last)
}

fn admission_request(call: &Call) -> AdmissionRequest {
    let service = call.configuration.services.get(&call.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let times = RequestTimes {
        arrived_at: call.arrived_at,
        due_at: call.due_at,
        objective_ms: call.route.objective_ms,
        prompt_tokens: call.head.size.prompt_tokens,
        returning: call.returning,
    };
    AdmissionRequest {
        urgency: call.urgency(),
        returning: call.returning,
        start_by: times.start_by(engine, PlacementRules::default().objective_share),
        body_bytes: call.body.len(),
    }
}

fn join<'a>(
    admission: &'a Admission,
    call: &'a Call,
    request: AdmissionRequest,
) -> Option<Waiting<'a>> {
    let task = Rc::new(Notify::new());
    let ticket = admission.with_queue(&call.service, |queue| {
        let ticket = queue.queue.join(request, clock::now())?;
        queue.tasks.insert(ticket, Rc::clone(&task));
        Some(ticket)
    })?;
    Some(Waiting {
        admission,
        service: &call.service,
        ticket,
        task,
    })
}
