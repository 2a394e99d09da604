//! Coordination parts of masticdock for use in other programs.
//!
//! The parts decide and perform no I/O: callers pass the time, seeded random
//! numbers and what they read, and get back what to do. Each part is tested
//! against a naive version and used by the `masticdockd` daemon as it is here.
//!
//! | module | decides |
//! |---|---|
//! | [`config_log`] | which configuration is in force, in one total order |
//! | [`lease`] | who holds a slot, with fencing numbers and without comparing clocks |
//! | [`ledger`] | whether a non-idempotent request may run |
//! | [`membership`] | who is alive, and whether a region is cut off |
//! | [`transfer`] | which chunk to fetch from whom |
//! | [`rollout`], [`selector`] | which VMs get which version, and when a rollout halts |
//! | [`switch`] | the steps of one VM from one version to the next |
//! | [`router`], [`limiter`], [`retry`], [`poison`] | where a request goes, and whether |
//!
//! # Examples
//!
//! Selecting VMs by their labels:
//!
//! ```
//! use masticdock::resource::Labels;
//! use masticdock::selector::Selector;
//!
//! let selector: Selector = "fleet=assistant, zone in (a, b)".parse()?;
//! let labels = Labels::from([("fleet".into(), "assistant".into()), ("zone".into(), "b".into())]);
//! assert!(selector.matches(&labels));
//! # Ok::<(), masticdock::selector::SelectorError>(())
//! ```

pub use masticdock_core::{
    config_log, event, ids, lease, ledger, limiter, manifest, membership, operator_api, poison,
    problem, rendezvous, resource, retry, rollout, router, selector, switch, table_row, transfer,
    units,
};
