//! Restarts of long-running tasks.

use std::cell::Cell;
use std::rc::Rc;

use masticdock_node::spawn_restarted;
use tokio::task::LocalSet;

/// Guards against a table that is no longer followed, or connections that are no longer
/// accepted, after a panic.
#[test]
fn a_task_that_panics_is_started_again() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    LocalSet::new().block_on(&runtime, async {
        let task = spawn_restarted("test", move || {
            counted.set(counted.get() + 1);
            let start = counted.get();
            async move { assert!(start > 1, "the first start panics") }
        });
        task.await.unwrap();
    });
    assert_eq!(starts.get(), 2);
}
