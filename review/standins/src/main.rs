//! The cases of the review. Each starts daemons as separate processes and plays a store, replicas and
//! clients for them. See REPORT.md.
//!
//! Usage: review-case CASE FOLDER, in the repository root. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod daemon;
mod fleet;
mod http;
mod json;
mod lapsed_entries;
mod large_results;
mod record;
mod replica;
mod silent_watches;
mod stale_home;
mod store;

use std::process::exit;
use std::time::Duration;

/// The longest time that a case may run.
const LIMIT: Duration = Duration::from_secs(115);

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = move || match case.as_str() {
        "lapsed-entries" => lapsed_entries::lapsed_entries(&folder, has_trouble),
        "large-results" => large_results::large_results(&folder, has_trouble),
        "silent-watches" => silent_watches::silent_watches(&folder, has_trouble),
        "stale-reads" => stale_home::stale_reads(&folder, has_trouble),
        "ended-job" => stale_home::ended_job(&folder, has_trouble),
        other => Verdict::CouldNotRun(format!("no case {other}")),
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        println!("could not run: the time is over");
        exit(2);
    });
    // A panic of the case itself is no verdict; its daemons are ended as its values are dropped.
    match std::thread::spawn(play).join() {
        Ok(Verdict::Held) => println!("the rule held"),
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            exit(1);
        }
        Ok(Verdict::CouldNotRun(reason)) => {
            println!("could not run: {reason}");
            exit(2);
        }
        Err(_) => exit(2),
    }
}
