//! Simulated callers that stream answers and place orders, and verify each response.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use masticdock_bench::fleet::EntryAddrs;
use masticdock_standins::engine::token_text;
use serde_json::{Value as Json, json};

use super::resources::CALLER_TOKEN;

/// Number of callers that stream answers from the engines.
const STREAM_CALLERS: usize = 8;
/// Number of callers that place orders, which must not run twice.
const ORDER_CALLERS: usize = 2;
/// Timeout of one request, and of all its retries together.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a request that was not run is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of failures kept for the verdict.
const FAILURES_MAX: usize = 5;

/// Totals of requests and their outcomes.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Number of requests, without retries.
    pub(super) sent: u64,
    /// Number of requests with a complete and correct answer.
    pub(super) complete_count: u64,
    /// Number of rejections with `run_state: not_run`, each followed by a retry.
    pub(super) retried: u64,
    /// Number of complete answers by version; those of the plain service under `orders`.
    pub(super) by_version: std::collections::BTreeMap<String, u64>,
    /// The first failures.
    pub(super) failures: Vec<String>,
}

impl Tally {
    /// Returns the number of requests without a complete answer.
    pub(super) const fn lost(&self) -> u64 {
        self.sent - self.complete_count
    }

    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.complete_count += other.complete_count;
        self.retried += other.retried;
        for (version, count) in other.by_version {
            *self.by_version.entry(version).or_default() += count;
        }
        self.failures.extend(other.failures);
        self.failures.truncate(FAILURES_MAX);
    }
}

/// Outcome of one attempt.
enum Attempt {
    /// Complete answer with its version, or `None` if the service has no versions.
    Complete(Option<String>),
    /// Rejected before the request was run, so a retry is safe.
    NotRun,
}

/// Threads of the running callers.
pub(super) struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Tally>>,
}

impl Callers {
    pub(super) fn start(entries: &[EntryAddrs]) -> anyhow::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let addrs: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
        let mut threads = Vec::new();
        for caller in 0..STREAM_CALLERS + ORDER_CALLERS {
            let (stop, addrs) = (Arc::clone(&stop), addrs.clone());
            let thread = thread::Builder::new()
                .name(format!("caller-{caller}"))
                .spawn(move || call_until(&stop, &addrs, caller))?;
            threads.push(thread);
        }
        Ok(Self { stop, threads })
    }

    /// Waits for the requests in flight to finish and returns the totals.
    pub(super) fn finish(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        let mut tally = Tally::default();
        for thread in self.threads {
            match thread.join() {
                Ok(other) => tally.add(other),
                Err(_) => tally.failures.push("a caller panicked".to_owned()),
            }
        }
        tally
    }
}

/// Sends requests one after another until `stop` is set.
fn call_until(stop: &AtomicBool, addrs: &[SocketAddr], caller: usize) -> Tally {
    let mut tally = Tally::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        tally.sent += 1;
        match call(addrs, caller, number, &mut tally.retried) {
            Ok(version) => {
                tally.complete_count += 1;
                let name = version.unwrap_or_else(|| "orders".to_owned());
                *tally.by_version.entry(name).or_default() += 1;
            }
            Err(error) if tally.failures.len() < FAILURES_MAX => {
                let failure = format!("caller {caller}, request {number}: {error:#}");
                tally.failures.push(failure);
            }
            Err(_) => {}
        }
    }
    tally
}

/// Sends a request and retries it on the next entry while it is rejected unrun, until the timeout.
fn call(
    addrs: &[SocketAddr],
    caller: usize,
    number: usize,
    retried: &mut u64,
) -> anyhow::Result<Option<String>> {
    let started_at = Instant::now();
    let mut attempt = caller + number;
    loop {
        let addr = addrs[attempt % addrs.len()];
        let result = if caller < STREAM_CALLERS {
            stream(addr, caller, number)
        } else {
            order(addr, caller, number)
        };
        match result? {
            Attempt::Complete(version) => return Ok(version),
            Attempt::NotRun if started_at.elapsed() > REQUEST_TIMEOUT => {
                bail!("rejected until the timeout")
            }
            Attempt::NotRun => {}
        }
        *retried += 1;
        attempt += 1;
        thread::sleep(RETRY_INTERVAL);
    }
}

fn post(addr: SocketAddr, service: &str) -> attohttpc::RequestBuilder {
    attohttpc::post(format!("http://{addr}/v1/{service}"))
        .header("Authorization", format!("Bearer {CALLER_TOKEN}"))
        .read_timeout(REQUEST_TIMEOUT)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
}

/// Returns `NotRun` if the error response states that the request was not run.
fn check_not_run(status: u16, text: &str) -> anyhow::Result<Attempt> {
    let problem: Json = serde_json::from_str(text).unwrap_or_default();
    if problem["run_state"] == "not_run" {
        return Ok(Attempt::NotRun);
    }
    bail!("status {status}: {text}")
}

fn stream(addr: SocketAddr, caller: usize, number: usize) -> anyhow::Result<Attempt> {
    let prompt = format!("caller {caller} asks question {number}");
    let max_tokens = 8 + u32::try_from(number % 5)? * 8;
    let response = post(addr, "assistant")
        .json(&json!({ "prompt": prompt, "max_tokens": max_tokens, "stream": true }))?
        .send()
        .context("no response")?;
    let status = response.status().as_u16();
    if status != 200 {
        return check_not_run(status, &response.text_utf8()?);
    }
    let version = response
        .headers()
        .get("X-Masticdock-Version")
        .and_then(|value| value.to_str().ok())
        .context("the response has no version header")?
        .to_owned();
    let mut index = 0;
    for line in BufReader::new(response.split().2).lines() {
        let line = line.context("the stream was interrupted")?;
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        if data.trim() == "[DONE]" {
            if index != max_tokens {
                bail!("the stream completed with {index} of {max_tokens} tokens");
            }
            return Ok(Attempt::Complete(Some(version)));
        }
        let token: Json = serde_json::from_str(data).context("an event is not valid JSON")?;
        check_token(&token, &version, &prompt, index)?;
        index += 1;
    }
    bail!("the stream ended after {index} of {max_tokens} tokens")
}

/// Checks that a token is the next one of the answer and of the same version as the others.
fn check_token(token: &Json, version: &str, prompt: &str, index: u32) -> anyhow::Result<()> {
    if token["version"] != version {
        bail!("token {index} is not of version {version}: {token}");
    }
    if token["index"] != index || token["text"] != token_text(version, prompt, index) {
        bail!("token {index} of version {version} is wrong: {token}");
    }
    Ok(())
}

fn order(addr: SocketAddr, caller: usize, number: usize) -> anyhow::Result<Attempt> {
    let key = format!("order-{caller}-{number}");
    let response = post(addr, "orders")
        .header("Idempotency-Key", &key)
        .json(&json!({ "user": key, "pillows": number }))?
        .send()
        .context("no response")?;
    let status = response.status().as_u16();
    let text = response.text_utf8()?;
    if status != 200 {
        return check_not_run(status, &text);
    }
    let answer: Json = serde_json::from_str(&text)?;
    if answer["key"] != key.as_str() {
        bail!("the response belongs to another order: {text}");
    }
    Ok(Attempt::Complete(None))
}
