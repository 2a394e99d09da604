//! Open-loop load: requests start on time whatever became of earlier ones.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::caller::{self, Board, Done};
use super::setup::Sites;
use super::workload::Logical;

/// Stack of a caller's thread.
const STACK_BYTES: usize = 256 << 10;

/// Time between two looks at whether a caller may start.
const ROOM_POLL: Duration = Duration::from_millis(1);

/// Pace of the requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// Time between two requests.
    pub(super) interval: Duration,
    /// Requests in progress at once; bounds the threads.
    pub(super) in_flight_max: usize,
}

/// Runs `job` for each request on its own thread at the pace, and waits for all.
pub(super) fn open_loop<T: Send + 'static>(
    requests: &[Logical],
    pace: Pace,
    job: impl Fn(Logical) -> Vec<T> + Send + Sync + 'static,
) -> Vec<T> {
    let job = Arc::new(job);
    let results = Arc::new(Mutex::new(Vec::new()));
    let in_flight = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    let mut due = Instant::now();
    for request in requests.iter().cloned() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due += pace.interval;
        while in_flight.load(Ordering::SeqCst) >= pace.in_flight_max {
            thread::sleep(ROOM_POLL);
        }
        in_flight.fetch_add(1, Ordering::SeqCst);
        let (job, results) = (Arc::clone(&job), Arc::clone(&results));
        let counted = Arc::clone(&in_flight);
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let ended = job(request);
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results.extend(ended);
                drop(results);
                counted.fetch_sub(1, Ordering::SeqCst);
            });
        match spawned {
            Ok(thread) => threads.push(thread),
            Err(error) => log::error!("cannot start a caller: {error}"),
        }
    }
    for thread in threads {
        if thread.join().is_err() {
            log::error!("a caller panicked");
        }
    }
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *results)
}

/// Callers that run in the background.
pub(super) struct Callers {
    thread: JoinHandle<Vec<Done>>,
}

impl Callers {
    /// Waits for the last answer.
    pub(super) fn join(self) -> Vec<Done> {
        self.thread.join().unwrap_or_default()
    }
}

/// Starts callers that send the requests through the entries.
pub(super) fn start(
    requests: &[Logical],
    pace: Pace,
    sites: &Sites,
    board: &Arc<Board>,
) -> Callers {
    let requests = requests.to_vec();
    let entries = sites.entries.clone();
    let board = Arc::clone(board);
    let thread = thread::spawn(move || {
        let done = open_loop(&requests, pace, move |request| send(&entries, &request));
        board.finish();
        done
    });
    Callers { thread }
}

fn send(entries: &[SocketAddr], request: &Logical) -> Vec<Done> {
    let first = usize::try_from(request.number).unwrap_or(0) % entries.len();
    if !request.doubled {
        return vec![caller::send(entries, request, "mixed", first)];
    }
    thread::scope(|scope| {
        let other = scope.spawn(|| caller::send(entries, request, "mixed", first + 1));
        let own = caller::send(entries, request, "mixed", first);
        let mut both = vec![own];
        both.extend(other.join());
        both
    })
}
