//! One of three servers of orders fails a part of its requests: it books the order and then
//! answers 503 without saying that the order was not run.

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::kit::{
    Block, Error, Node, Record, Store, create_folder, exchange, has_trouble, orders_configuration,
    orders_request, remove_folder, request_id, serve, unix_ms, upstream_row,
};

/// Time for which the server fails a part of its requests.
const TROUBLE: Duration = Duration::from_millis(6_500);
/// Of ten requests in a row, the server fails those with these positions (0.4, at most 0.45).
const FAILED_OF_TEN: [u32; 4] = [1, 3, 5, 8];
/// Callers that place orders at the same time, and the orders of each.
const CALLERS: u32 = 6;
const ORDERS: u32 = 30;
/// Time that an order takes at a server.
const WORK: Duration = Duration::from_millis(60);

/// What the servers ran, by the id of the request and by the order in its body.
#[derive(Default)]
struct Books {
    runs: HashMap<String, u32>,
    orders: HashMap<String, u32>,
}

pub fn run(case: &Path) -> Result<Verdict, Error> {
    let record = Record::create(&case.join("record.txt"))?;
    let folder = create_folder()?;
    let verdict = play(&record, &folder);
    remove_folder(&folder);
    verdict
}

fn play(record: &Record, folder: &Path) -> Result<Verdict, Error> {
    let block = Block::free()?;
    let store = Store::start(block.at(9, 8007))?;
    store.put(
        "op",
        "config",
        &orders_configuration(7, "non_idempotent", 1),
    );
    let books: Arc<Mutex<Books>> = Arc::default();
    let started: Arc<OnceLock<Instant>> = Arc::default();
    for host in 0..3 {
        let address = block.at(20 + host, 8080);
        let (books, record, started) = (Arc::clone(&books), record.clone(), Arc::clone(&started));
        let served = Mutex::new(0);
        serve(address, move |request, stream| {
            let id = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            let order = String::from_utf8_lossy(&request.body).into_owned();
            let mut books = books.lock().unwrap();
            *books.runs.entry(id.clone()).or_default() += 1;
            *books.orders.entry(order.clone()).or_default() += 1;
            drop(books);
            let mut served = served.lock().unwrap();
            let position = *served % 10;
            *served += 1;
            drop(served);
            thread::sleep(WORK);
            let fails = has_trouble()
                && host == 0
                && started.get_or_init(Instant::now).elapsed() < TROUBLE
                && FAILED_OF_TEN.contains(&position);
            let status = if fails {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            record.line(format!(
                "server i-{host} runs {id} ({order}) and answers {status}"
            ));
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: seal\r\nContent-Length: 4\r\n\r\nbody"
            );
            stream.write_all(answer.as_bytes()).is_ok()
        })?;
        store.put(
            "servers",
            &format!("i-{host}"),
            &upstream_row("orders", address, "ready", unix_ms(), 1),
        );
    }
    let mut entry = Node::entry(block, store.address, folder)?;
    entry.wait_ready(block)?;
    let refused_runs = Arc::new(AtomicU32::new(0));
    let mut callers = Vec::new();
    for caller in 1..=CALLERS {
        let (books, record, refused_runs) = (
            Arc::clone(&books),
            record.clone(),
            Arc::clone(&refused_runs),
        );
        callers.push(thread::spawn(move || {
            for number in 1..=ORDERS {
                let order = format!("order={caller}-{number}");
                place(block, &order, &books, &record, &refused_runs);
                thread::sleep(Duration::from_millis(80));
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    if !entry.is_running() {
        return Err("the entry ended".into());
    }
    let refused_runs = refused_runs.load(Ordering::SeqCst);
    let twice = books
        .lock()
        .unwrap()
        .orders
        .values()
        .filter(|runs| **runs > 1)
        .count();
    record.line(format!("{refused_runs} requests were answered as not run though they ran; {twice} orders were booked twice"));
    Ok(if refused_runs > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Places an order. A caller repeats it once, with a new id, after a promise that it was not run.
fn place(
    block: Block,
    order: &str,
    books: &Mutex<Books>,
    record: &Record,
    refused_runs: &AtomicU32,
) {
    for attempt in 1..=2 {
        let id = request_id();
        record.line(format!("sent {id} ({order}, attempt {attempt})"));
        let request = orders_request(&id, "POST", 1_500, order);
        let answer = exchange(
            block.at(1, 8005),
            request.as_bytes(),
            Duration::from_secs(5),
        );
        let status = answer.map_or(0, |answer| answer.message.status());
        let runs = books.lock().unwrap().runs.get(&id).copied().unwrap_or(0);
        record.line(format!(
            "answered {id}: {status}, runs of this request: {runs}"
        ));
        let is_promise = [429, 503, 408, 421].contains(&status);
        if !is_promise {
            return;
        }
        refused_runs.fetch_add(u32::from(runs > 0), Ordering::SeqCst);
    }
}
