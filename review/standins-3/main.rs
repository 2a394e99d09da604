//! Cases of the review that are run as scripts: `standins CASE FOLDER`.

mod kit;
mod own_refusal;
mod restored_step;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments.as_slice() {
        ["restored-step", folder] => restored_step::run(Path::new(folder)),
        ["own-refusal", folder] => own_refusal::run(Path::new(folder)),
        _ => Err("usage: standins CASE FOLDER".into()),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
