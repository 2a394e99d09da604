//! Coordination logic of masticdock for use in other programs.
//!
//! The modules make decisions and perform no I/O: callers pass the time, a
//! seeded random number generator and the data that they read, and perform the
//! actions that are returned. Each module is tested against a simple reference
//! implementation; the `masticdockd` daemon uses the same code.
//!
//! | module | decides |
//! |---|---|
//! | [`config_log`] | which configuration applies, in one total order of changes |
//! | [`lease`] | which VM holds a slot, with fencing numbers and without comparing clocks |
//! | [`ledger`] | whether a non-idempotent request may run |
//! | [`membership`] | which members are alive, and whether a region is unreachable |
//! | [`transfer`] | which chunk to fetch from which sender |
//! | [`rollout`], [`selector`] | which VMs get which version, and when a rollout halts |
//! | [`switch`] | the steps by which a VM switches from one version to the next |
//! | [`router`], [`limiter`], [`retry`], [`poison`] | whether a request is admitted, and which upstream gets it |
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
