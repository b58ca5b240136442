//! Stand-ins of the review: a store, servers and callers on loopback addresses.
//!
//! `standins-3 CASE RECORD` plays a case and writes its record. Exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod additional_refusals;
mod cut_bodies;
mod hosts;
mod http;
mod json;
mod keyed_callers;
mod late_copies;
mod ledger;
mod odd_entries;
mod order_refusals;
mod owning_server;
mod record;
mod store;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins-3 CASE RECORD");
        std::process::exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&path);
    let code = match case.as_str() {
        "additional-refusals" => additional_refusals::run(&record, with_trouble),
        "cut-bodies" => cut_bodies::run(&record, with_trouble),
        "odd-entries" => odd_entries::run(&record, with_trouble),
        "order-refusals" => order_refusals::run(&record, with_trouble),
        "late-copies" => late_copies::run(&record, with_trouble),
        _ => 2,
    };
    record.finish();
    std::process::exit(code);
}
