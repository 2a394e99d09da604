//! What happens to the fleet while the mixed requests flow.

use std::thread;
use std::time::{Duration, Instant};

use masticdock_core::resource::{
    Labels, Mark, Resource, ResourceChange, ResourceKey, ResourceKind, VmLabels, VmMark,
};
use masticdock_standins::Faults;

use super::TrafficArgs;
use super::caller::Board;
use super::naive;
use super::setup::{ENGINES, ENTRIES, PLAINS, engine_vm, plain_vm};
use crate::fleet::Fleet;

/// Time for which work on a leaving upstream is watched.
const LEAVING_WATCH: Duration = Duration::from_secs(8);

/// Time for which a change may be on its way before the watch gives up.
const CONFIG_WATCH: Duration = Duration::from_secs(20);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// Time that a stopping process may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(300);

/// Figures of the conductor.
#[derive(Debug, Default)]
pub(super) struct Conducted {
    pub(super) changes: usize,
    pub(super) config_in_force_s_max: f64,
    pub(super) leaving_new_work_after_s_max: f64,
}

/// Runs the planned events and, with faults, the failures, until the callers end.
pub(super) fn run(
    fleet: &mut Fleet,
    board: &Board,
    args: &TrafficArgs,
) -> anyhow::Result<Conducted> {
    let mut conducted = Conducted::default();
    thread::sleep(PAUSE);
    config_change(fleet, &mut conducted)?;
    mark_leaving(fleet, &mut conducted)?;
    if args.faults {
        failures(fleet, board)?;
    }
    restart_planned(fleet, &engine_vm(4))?;
    restart_planned(fleet, &plain_vm(2))?;
    restart_planned(fleet, "entry-1")?;
    while !board.is_finished() {
        config_change(fleet, &mut conducted)?;
        thread::sleep(PAUSE);
    }
    Ok(conducted)
}

fn processes() -> Vec<String> {
    let entries = (0..ENTRIES).map(|index| format!("entry-{index}"));
    let engines = (0..ENGINES).map(engine_vm);
    let plains = (0..PLAINS).map(plain_vm);
    entries.chain(engines).chain(plains).collect()
}

/// Makes a change and measures the time until every process has it in force.
fn config_change(fleet: &mut Fleet, conducted: &mut Conducted) -> anyhow::Result<()> {
    let value = format!("{}", conducted.changes);
    let begin = Instant::now();
    let answer = fleet.put(vec![Resource::VmLabels(VmLabels {
        name: "vm-unused".parse()?,
        labels: Labels::from([("round".into(), value.into())]),
    })])?;
    #[expect(clippy::cast_precision_loss, reason = "revisions are small")]
    let revision = answer.revision.0 as f64;
    for name in processes() {
        let what = format!("{name} has the change");
        fleet.wait_until(&what, CONFIG_WATCH, |fleet| {
            let held = fleet.metric(&name, "masticdock_config_revision");
            held.is_ok_and(|held| held >= revision)
        })?;
    }
    conducted.changes += 1;
    let in_force_s = begin.elapsed().as_secs_f64();
    conducted.config_in_force_s_max = conducted.config_in_force_s_max.max(in_force_s);
    Ok(())
}

/// Marks a VM as leaving and measures when the last new work came to its engine.
fn mark_leaving(fleet: &mut Fleet, conducted: &mut Conducted) -> anyhow::Result<()> {
    let vm = engine_vm(5);
    fleet.put(vec![Resource::VmMark(VmMark {
        name: vm.parse()?,
        mark: Mark::Leaving,
    })])?;
    let after_s = last_new_work(fleet, &vm)?;
    let longest = conducted.leaving_new_work_after_s_max.max(after_s);
    conducted.leaving_new_work_after_s_max = longest;
    fleet.change(vec![ResourceChange::Delete(ResourceKey {
        kind: ResourceKind::VmMark,
        name: vm.into(),
    })])?;
    Ok(())
}

fn last_new_work(fleet: &Fleet, vm: &str) -> anyhow::Result<f64> {
    let begin = Instant::now();
    let ledger = format!("engine-{vm}");
    let mut count = fleet.ledger(&ledger)?.entries.len();
    let mut last_s = 0.0;
    while begin.elapsed() < LEAVING_WATCH {
        thread::sleep(POLL);
        let now = fleet.ledger(&ledger)?.entries.len();
        if now > count {
            last_s = begin.elapsed().as_secs_f64();
            count = now;
        }
    }
    Ok(last_s)
}

/// Stops a process as planned and starts it again.
fn restart_planned(fleet: &mut Fleet, name: &str) -> anyhow::Result<()> {
    log::info!("stopping {name} as planned");
    fleet.terminate(name)?;
    let well = fleet.wait_ended(name, STOP_TIMEOUT)?;
    if !well {
        log::warn!("{name} ended with an error");
    }
    fleet.restart(name)?;
    fleet.wait_ready(name)
}

/// Injects one failure after the other.
fn failures(fleet: &mut Fleet, board: &Board) -> anyhow::Result<()> {
    log::info!("killing an agent");
    fleet.kill("vm-1")?;
    thread::sleep(PAUSE);
    fleet.restart("vm-1")?;
    log::info!("freezing an agent");
    fleet.stop("vm-2")?;
    naive::upstream_faults(fleet, 3)?;
    thread::sleep(Duration::from_secs(3));
    fleet.go_on("vm-2")?;
    log::info!("taking the table down");
    let down = Faults {
        unavailable: 1.0,
        ..Faults::default()
    };
    fleet.set_faults("table", &down)?;
    thread::sleep(Duration::from_secs(2));
    log::info!("losing answers of the table");
    let lossy = Faults {
        lose_answer: 0.3,
        lose_request: 0.1,
        only: "TransactWriteItems".to_owned(),
        seed: 7,
        ..Faults::default()
    };
    fleet.set_faults("table", &lossy)?;
    thread::sleep(Duration::from_secs(2));
    fleet.set_faults("table", &Faults::default())?;
    naive::upstream_faults(fleet, 0)?;
    log::info!("killing an entry");
    let begin = Instant::now();
    fleet.kill("entry-1")?;
    board.record_kill(1, begin, Instant::now());
    thread::sleep(PAUSE);
    fleet.restart("entry-1")?;
    fleet.wait_ready("entry-1")?;
    log::info!("killing the agent of a plain service");
    fleet.kill(&plain_vm(1))?;
    thread::sleep(PAUSE);
    fleet.restart(&plain_vm(1))?;
    naive::clear_faults(fleet)?;
    for name in ["vm-1", "vm-2"] {
        fleet.wait_ready(name)?;
    }
    fleet.wait_ready(&plain_vm(1))
}
