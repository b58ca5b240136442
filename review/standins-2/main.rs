//! Stand-ins of the platform, of upstreams and of requesters, and the scenarios of the cases.

mod hosts;
mod links;
mod servers;
mod store;
mod wire;

mod split;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let mut args = env::args().skip(1);
    let scenario = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_else(|| ".".into()));
    let trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let seed = env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or_else(|| u64::from(std::process::id()));
    let outcome = match scenario.as_str() {
        "split" => split::run(&folder, trouble, seed),
        _ => {
            eprintln!("unknown scenario {scenario:?}");
            exit(2);
        }
    };
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
