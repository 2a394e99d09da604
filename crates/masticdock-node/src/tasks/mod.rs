//! Long-running tasks, which are started again after a panic.

use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::metrics::metrics;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Logs and counts the panics of this process, besides what the default hook does.
pub(crate) fn report_panics() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info: &PanicHookInfo<'_>| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(
            event = "task.panicked",
            location = location.as_str(),
            error = info.payload_as_str().unwrap_or_default();
            "a task panicked, which is a fault of the program"
        );
        metrics().panics.inc();
        default_hook(info);
    }));
}

/// Spawns the task that `start` creates on the current `LocalSet`, and again a second after
/// each time it panics.
pub fn spawn_restarted<T>(
    name: &'static str,
    mut start: impl FnMut() -> T + 'static,
) -> JoinHandle<()>
where
    T: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        loop {
            let mut task = Box::pin(start());
            // A task that panicked is dropped, so it is never polled in a broken state.
            let panicked = poll_fn(|context| {
                let polled = catch_unwind(AssertUnwindSafe(|| task.as_mut().poll(context)));
                match polled {
                    Ok(poll) => poll.map(|()| false),
                    Err(_) => Poll::Ready(true),
                }
            });
            if !panicked.await {
                return;
            }
            drop(task);
            sleep(RESTART_DELAY).await;
            log::warn!(event = "task.restarted", task = name; "a task that panicked is started again");
        }
    })
}

/// Spawns a task of a role like [`spawn_restarted`]; `run` gets the state of the role.
pub(crate) fn spawn_with_state<S, T>(
    state: &Rc<S>,
    name: &'static str,
    run: impl Fn(Rc<S>) -> T + 'static,
) -> JoinHandle<()>
where
    S: 'static,
    T: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    spawn_restarted(name, move || run(Rc::clone(&state)))
}
