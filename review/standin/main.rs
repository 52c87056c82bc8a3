//! Runs one case of the review: `case NAME ROOT RECORD`, with `TROUBLE=0` for a run without the disruption.
//!
//! Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

mod client;
mod config_after_loss;
mod early_answer_drain;
mod held_at_stop;
mod http;
mod record;
mod repeated_term;
mod site;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, root, record_path] = args.as_slice() else {
        eprintln!("usage: case NAME ROOT RECORD");
        return ExitCode::from(2);
    };
    let Ok(root) = Path::new(root).canonicalize() else {
        eprintln!("no folder {root}");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let result = match name.as_str() {
        "repeated-term" => repeated_term::run(&root, &record, trouble),
        "config-after-loss" => config_after_loss::run(&root, &record, trouble),
        "early-answer-drain" => early_answer_drain::run(&root, &record, trouble),
        "held-at-stop" => held_at_stop::run(&root, &record, trouble),
        _ => Err(std::io::Error::other("no case has this name")),
    };
    let (code, verdict) = match result {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.add(&verdict);
    record.write(Path::new(record_path));
    println!("{name}: {verdict}");
    ExitCode::from(code)
}
