//! Command line for masticdock operators.

mod cli;
mod client;
mod command;
mod error;
mod output;
mod yaml;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let cli = cli::parse();
    match command::run(&cli) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{}", error.render());
            error.exit_code()
        }
    }
}
