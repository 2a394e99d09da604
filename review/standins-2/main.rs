//! Stand-ins and drivers of the cases 6 to 10: a store, upstreams and callers.
//!
//! Usage: `standins case NUMBER FOLDER` runs a case and ends with its exit code;
//! `standins upstream KIND ADDRESS ID` is an upstream that a case starts and kills.

mod caller;
mod case_10;
mod case_6;
mod case_7;
mod case_8;
mod case_9;
mod harness;
mod http;
mod proxy;
mod store;
mod upstream;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["upstream", kind, address, id] => {
            upstream::run(kind, address, id);
            ExitCode::SUCCESS
        }
        ["case", number, folder] => {
            let folder = PathBuf::from(folder);
            let result = match *number {
                "6" => case_6::run(&folder),
                "7" => case_7::run(&folder),
                "8" => case_8::run(&folder),
                "9" => case_9::run(&folder),
                "10" => case_10::run(&folder),
                _ => Err(format!("no case {number}").into()),
            };
            match result {
                Ok(0) => ExitCode::SUCCESS,
                Ok(_) => ExitCode::from(1),
                Err(error) => {
                    eprintln!("the case could not run: {error}");
                    ExitCode::from(2)
                }
            }
        }
        _ => {
            eprintln!("usage: standins case NUMBER FOLDER");
            ExitCode::from(2)
        }
    }
}
