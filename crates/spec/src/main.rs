//! `spec`: explores the states of the protocol and checks that every seeded fault is found.

use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use spec::suite;
use spec::suite::Search;

/// Check the state machines that the daemon runs against the written specification.
///
/// Every search prints the number of states explored and, if an invariant is broken, the shortest
/// path to it. Mutations are deliberately seeded faults; each must be found.
#[derive(Clone, Debug, Parser)]
#[command(name = "spec", version)]
struct Options {
    /// The maximum number of states that one search explores.
    #[arg(long, default_value_t = 250_000)]
    max_states: usize,

    /// Print the shortest path to each seeded fault too.
    #[arg(long = "ways")]
    prints_all_paths: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let started_at = Instant::now();
    let mut searches = suite::run_proofs(options.max_states, |search| report(search, true));
    searches.extend(suite::run_mutations(options.max_states, |search| {
        report(search, options.prints_all_paths)
    }));
    let states: usize = searches.iter().map(|search| search.verdict.states).sum();
    let mutants = searches.iter().filter(|search| search.is_mutant);
    let caught = mutants.clone().filter(|search| search.has_expected_result()).count();
    let proofs = searches.iter().filter(|search| !search.is_mutant);
    let proved: usize = proofs.clone().map(|search| search.verdict.states).sum();
    let broken = proofs.filter(|search| !search.has_expected_result()).count();
    println!(
        "spec: states={states} proof_states={proved} broken={broken} mutations={} caught={caught} seconds={}",
        mutants.count(),
        started_at.elapsed().as_secs()
    );
    if searches.iter().all(Search::has_expected_result) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn report(search: &Search, prints_path: bool) {
    let verdict = &search.verdict;
    let result = match (&verdict.counterexample, verdict.is_truncated) {
        (Some(found), _) => format!("breaks '{}' in {} steps", found.invariant, found.steps.len()),
        (None, true) => "holds so far, the search reached its limit".to_owned(),
        (None, false) => "holds in every state".to_owned(),
    };
    println!("{:<52} {:>8} states  {result}", search.name, verdict.states);
    if let Some(found) = verdict.counterexample.as_ref().filter(|_| prints_path) {
        for step in &found.steps {
            println!("    {step}");
        }
    }
}
