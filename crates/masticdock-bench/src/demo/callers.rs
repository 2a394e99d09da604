//! Callers that stream answers and place orders, and check every byte.

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

/// Callers that stream answers of the engines.
const STREAM_CALLERS: usize = 8;
/// Callers that place orders which must not run twice.
const ORDER_CALLERS: usize = 2;
/// Time for one request, resends included.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time before a request that was not run is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Failures kept for the verdict.
const FAILURES_MAX: usize = 5;

/// What the callers saw.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Requests, resends not counted.
    pub(super) sent: u64,
    /// Requests with a whole and right answer.
    pub(super) whole: u64,
    /// Refusals with `run_state: not_run`, after which the caller sent again.
    pub(super) resent: u64,
    /// Whole answers by version.
    pub(super) by_version: std::collections::BTreeMap<String, u64>,
    /// First failures.
    pub(super) failures: Vec<String>,
}

impl Tally {
    /// Returns the requests that got no whole answer.
    pub(super) const fn lost(&self) -> u64 {
        self.sent - self.whole
    }

    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.resent += other.resent;
        for (version, count) in other.by_version {
            *self.by_version.entry(version).or_default() += count;
        }
        self.failures.extend(other.failures);
        self.failures.truncate(FAILURES_MAX);
    }
}

/// Outcome of one attempt.
enum Attempt {
    /// A whole answer; names its version unless the service has none.
    Whole(Option<String>),
    /// It was not run.
    NotRun,
}

/// Running callers.
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

    /// Lets the requests in progress end and returns what the callers saw.
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

fn call_until(stop: &AtomicBool, addrs: &[SocketAddr], caller: usize) -> Tally {
    let mut tally = Tally::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        tally.sent += 1;
        match call(addrs, caller, number, &mut tally.resent) {
            Ok(version) => {
                tally.whole += 1;
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

/// Sends a request until it gets a whole answer; odd attempts take another entry.
fn call(
    addrs: &[SocketAddr],
    caller: usize,
    number: usize,
    resent: &mut u64,
) -> anyhow::Result<Option<String>> {
    let begin = Instant::now();
    let mut attempt = caller + number;
    loop {
        let addr = addrs[attempt % addrs.len()];
        let result = if caller < STREAM_CALLERS {
            stream(addr, caller, number)
        } else {
            order(addr, caller, number)
        };
        match result? {
            Attempt::Whole(version) => return Ok(version),
            Attempt::NotRun if begin.elapsed() > PATIENCE => bail!("it was refused too long"),
            Attempt::NotRun => {}
        }
        *resent += 1;
        attempt += 1;
        thread::sleep(RESEND_INTERVAL);
    }
}

fn post(addr: SocketAddr, service: &str) -> attohttpc::RequestBuilder {
    attohttpc::post(format!("http://{addr}/v1/{service}"))
        .header("Authorization", format!("Bearer {CALLER_TOKEN}"))
        .read_timeout(PATIENCE)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
}

/// Returns `NotRun` when a failed call says so.
fn refused(status: u16, text: &str) -> anyhow::Result<Attempt> {
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
        .context("no answer")?;
    let status = response.status().as_u16();
    if status != 200 {
        return refused(status, &response.text_utf8()?);
    }
    let version = response
        .headers()
        .get("X-Masticdock-Version")
        .and_then(|value| value.to_str().ok())
        .context("the answer names no version")?
        .to_owned();
    let mut index = 0;
    for line in BufReader::new(response.split().2).lines() {
        let line = line.context("the stream was cut")?;
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        if data.trim() == "[DONE]" {
            if index != max_tokens {
                bail!("{index} of {max_tokens} tokens came");
            }
            return Ok(Attempt::Whole(Some(version)));
        }
        let token: Json = serde_json::from_str(data).context("an event is no JSON")?;
        check_token(&token, &version, &prompt, index)?;
        index += 1;
    }
    bail!("the stream ended after {index} of {max_tokens} tokens")
}

/// Checks that a token is the next one of the answer's one version.
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
        .context("no answer")?;
    let status = response.status().as_u16();
    let text = response.text_utf8()?;
    if status != 200 {
        return refused(status, &text);
    }
    let answer: Json = serde_json::from_str(&text)?;
    if answer["key"] != key.as_str() {
        bail!("the answer is of another order: {text}");
    }
    Ok(Attempt::Whole(None))
}
