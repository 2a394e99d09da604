//! Requests in flight at an upstream.

use std::rc::Rc;

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::UpstreamLoad;

use super::state::Entry;
use crate::clock;

/// Counts a request as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    entry: Rc<Entry>,
    upstream: UpstreamId,
    /// Prompt tokens of the request; `None` once its first event has arrived.
    pending_prompt_tokens: Option<u64>,
}

impl LoadGuard {
    /// Counts a request with a prompt of `prompt_tokens`.
    pub(super) fn begin(entry: &Rc<Entry>, upstream: &UpstreamId, prompt_tokens: u64) -> Self {
        entry.with_load(upstream, |load| {
            load.begin_request(prompt_tokens);
            load.rate_limit.record_send(clock::now());
        });
        Self {
            entry: Rc::clone(entry),
            upstream: upstream.clone(),
            pending_prompt_tokens: Some(prompt_tokens),
        }
    }

    /// Counts the prompt of the request as read.
    pub(super) fn mark_first_event(&mut self) {
        if let Some(tokens) = self.pending_prompt_tokens.take() {
            self.entry
                .with_load(&self.upstream, |load| load.record_first_event(tokens));
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.mark_first_event();
        self.entry
            .with_load(&self.upstream, UpstreamLoad::end_request);
    }
}
