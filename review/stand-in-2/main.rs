//! The cases of the second review, one a subcommand. Usage: `stand-in-2 CASE FOLDER ROOT`, where FOLDER gets `record.txt`
//! and ROOT is the root of the repository. `TROUBLE=0` in the environment leaves the disruption out.

mod late_answers;
mod memory;
mod no_length;
mod slow_discovery;
mod world;

use std::path::PathBuf;
use world::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = arguments.as_slice() else {
        eprintln!("usage: stand-in-2 CASE FOLDER ROOT");
        std::process::exit(world::COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let root = PathBuf::from(root);
    let code = match case.as_str() {
        "late-answers" => late_answers::run(&record, &root, trouble),
        "memory" => memory::run(&record, &root, trouble),
        "no-length" => no_length::run(&record, &root, trouble),
        "moved-discovery" => slow_discovery::run_moved(&record, &root, trouble),
        "reloads" => slow_discovery::run_reloads(&record, &root, trouble),
        _ => world::COULD_NOT_RUN,
    };
    std::process::exit(code);
}
