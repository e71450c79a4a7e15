//! Runs one case of the second review: daemons as processes on stand-ins of the platform.
//!
//! Usage: `review-standins-2 CASE CROCUSD FOLDER`. Writes `FOLDER/record.txt`. Exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod fleet;
mod impossible_item;
mod job_memory;
mod job_quota;
mod part_position;
mod part_quarantine;
mod platform;
mod record;
mod store;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::record::Record;
use crate::record::Verdict;

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, binary, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE CROCUSD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.add(format!("case={case} trouble={has_trouble}"));
    let work = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    let verdict = run(case, Path::new(binary), &work, has_trouble, &record);
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.add(text.clone());
    println!("{case}: {text}");
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("the record was not written: {error}");
    }
    if std::env::var("KEEP_LOGS").is_err()
        && let Err(error) = std::fs::remove_dir_all(&work)
    {
        eprintln!("the temporary folder was not removed: {error}");
    }
    ExitCode::from(code)
}

fn run(case: &str, binary: &Path, work: &Path, has_trouble: bool, record: &Record) -> Verdict {
    if let Err(error) = std::fs::create_dir_all(work) {
        return Verdict::NotRun(format!("no temporary folder: {error}"));
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return Verdict::NotRun(format!("no runtime: {error}")),
    };
    let running = async {
        match case {
            "job-quota" => job_quota::run(binary, work, has_trouble, record).await,
            "part-quarantine" => part_quarantine::run(binary, work, has_trouble, record).await,
            "part-position" => part_position::run(binary, work, has_trouble, record).await,
            "impossible-item" => impossible_item::run(binary, work, has_trouble, record).await,
            "job-memory" => job_memory::run(binary, work, has_trouble, record).await,
            _ => Err(format!("unknown case {case}")),
        }
    };
    let limited = async { timeout(LIMIT, running).await };
    match LocalSet::new().block_on(&runtime, limited) {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(message)) => Verdict::NotRun(message),
        Err(_) => Verdict::NotRun("the case took too long".to_owned()),
    }
}
