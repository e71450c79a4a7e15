//! `spec`: explores the protocol's states and hunts seeded faults.

use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use spec::suite;
use spec::suite::Search;

/// Check the pure cores that the daemon runs against the written specification.
///
/// Every search prints the states explored and, if an invariant is broken, the shortest way to
/// it. Mutations are faults seeded on purpose; each must be found.
#[derive(Clone, Debug, Parser)]
#[command(name = "spec", version)]
struct Options {
    /// The most states of one proof.
    #[arg(long, default_value_t = 250_000)]
    max_states: usize,

    /// Print the shortest way to each seeded fault too.
    #[arg(long)]
    ways: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let started_at = Instant::now();
    let mut searches = suite::prove(options.max_states, |search| report(search, true));
    searches.extend(suite::hunt(options.max_states, |search| report(search, options.ways)));
    let states: usize = searches.iter().map(|search| search.verdict.states).sum();
    let mutants = searches.iter().filter(|search| search.is_mutant);
    let caught = mutants.clone().filter(|search| search.is_good()).count();
    let proofs = searches.iter().filter(|search| !search.is_mutant);
    let proved: usize = proofs.clone().map(|search| search.verdict.states).sum();
    let broken = proofs.filter(|search| !search.is_good()).count();
    println!(
        "spec: states={states} proof_states={proved} broken={broken} mutations={} caught={caught} seconds={}",
        mutants.count(),
        started_at.elapsed().as_secs()
    );
    if searches.iter().all(Search::is_good) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn report(search: &Search, shows_way: bool) {
    let verdict = &search.verdict;
    let end = match (&verdict.counterexample, verdict.is_cut) {
        (Some(found), _) => format!("breaks '{}' in {} steps", found.invariant, found.steps.len()),
        (None, true) => "holds so far, the search was cut".to_owned(),
        (None, false) => "holds in every state".to_owned(),
    };
    println!("{:<52} {:>8} states  {end}", search.name, verdict.states);
    if let Some(found) = verdict.counterexample.as_ref().filter(|_| shows_way) {
        for step in &found.steps {
            println!("    {step}");
        }
    }
}
