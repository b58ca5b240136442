//! Stand-ins and cases of the review. The case is the first argument, the folder of its record the
//! second. `TROUBLE=0` leaves the disruption out.

mod caller;
mod host;
mod http;
mod json;
mod network;
mod record;
mod smuggled;
mod split_route;
mod store;
mod upstream;

use std::{env, path::Path, process::exit};

/// Result of a case, as the exit code of its script.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "smuggled" => smuggled::run(Path::new(folder), trouble),
        "split-route" => split_route::run(Path::new(folder), trouble),
        _ => {
            eprintln!("no such case: {case}");
            Verdict::CouldNotRun
        }
    };
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
