//! The searches over the unchanged protocol, which must hold, and those that must find a seeded
//! fault.

use batch::ledger::JobParams;

use crate::checker::Verdict;
use crate::checker::check;
use crate::in_force_model;
use crate::in_force_model::InForceModel;
use crate::job_model;
use crate::job_model::JobModel;
use crate::ledger_model::Budget;
use crate::ledger_model::LedgerModel;
use crate::ledger_model::LedgerSetup;
use crate::mutation::Mutation;
use crate::order_model::OrderModel;

/// One search and its result.
#[derive(Clone, Debug)]
pub struct Search {
    /// The name that is printed.
    pub name: String,
    /// The result.
    pub verdict: Verdict,
    /// Whether the model has a seeded fault, so that a counterexample is expected.
    pub is_mutant: bool,
}

impl Search {
    /// Returns whether the search found a counterexample exactly when one is expected.
    pub fn has_expected_result(&self) -> bool {
        self.verdict.counterexample.is_some() == self.is_mutant
    }
}

/// One owner and no faults.
const NO_FAULTS: Budget = Budget {
    starts: 1,
    crashes: 0,
    lost_answers: 0,
    lost_attempts: 0,
    refusals: 0,
    cancels: 0,
    hand_backs: 0,
    ticks: 1,
};

fn params(items: u32, chunk_items: u32, idempotent: bool) -> JobParams {
    JobParams { items, chunk_items, idempotent }
}

/// Returns the name, the job and the faults of each search over the ledger.
fn ledger_setups() -> Vec<(&'static str, JobParams, Budget)> {
    vec![
        (
            "ledger: two owners, a crash, a lost answer",
            params(2, 2, false),
            Budget { starts: 2, crashes: 1, lost_answers: 1, lost_attempts: 1, ..NO_FAULTS },
        ),
        (
            "ledger: paused owners and late writes",
            params(1, 1, false),
            Budget { starts: 3, lost_answers: 2, refusals: 1, ticks: 2, ..NO_FAULTS },
        ),
        (
            "ledger: cancel among racing owners",
            params(2, 1, false),
            Budget { starts: 2, lost_answers: 1, lost_attempts: 1, cancels: 1, ..NO_FAULTS },
        ),
        (
            "ledger: hand-back and refusals",
            params(2, 2, false),
            Budget { starts: 2, refusals: 1, hand_backs: 1, crashes: 1, ticks: 2, ..NO_FAULTS },
        ),
        (
            "ledger: idempotent items",
            params(2, 2, true),
            Budget {
                starts: 2,
                crashes: 1,
                lost_answers: 1,
                lost_attempts: 1,
                cancels: 1,
                ..NO_FAULTS
            },
        ),
        (
            "ledger: idempotent items in two chunks, hand-back",
            params(2, 1, true),
            Budget {
                starts: 2,
                lost_answers: 1,
                hand_backs: 1,
                refusals: 1,
                ticks: 2,
                ..NO_FAULTS
            },
        ),
    ]
}

/// Searches the unchanged protocol; each search explores at most `max_states` states.
pub fn run_proofs(max_states: usize, mut report: impl FnMut(&Search)) -> Vec<Search> {
    let mut searches = Vec::new();
    let mut record = |name: &str, verdict: Verdict| {
        let search = Search { name: name.to_owned(), verdict, is_mutant: false };
        report(&search);
        searches.push(search);
    };
    for (name, params, budget) in ledger_setups() {
        let setup = LedgerSetup { params, budget, mutation: None };
        record(name, check(LedgerModel::new(setup), max_states));
    }
    let budget = job_model::Budget { adoptions: 2, lost_answers: 2, late_writes: 2, ends: 1 };
    record(
        "jobs: homes that race, lost answers, late writes",
        check(JobModel::new(2, budget, None), max_states),
    );
    let budget = job_model::Budget { adoptions: 1, lost_answers: 1, late_writes: 2, ends: 0 };
    record("jobs: results in parts", check(JobModel::new(3, budget, None), max_states));
    record("in force: racing rolls and restarts", check(build_in_force_model(None), max_states));
    record("orders: an engine that checks", check(OrderModel::new(true, 2, None), max_states));
    record("orders: an engine that does not", check(OrderModel::new(false, 2, None), max_states));
    searches
}

/// Searches the protocol with each mutation; every search must find a counterexample.
pub fn run_mutations(max_states: usize, mut report: impl FnMut(&Search)) -> Vec<Search> {
    let mutations = Mutation::LEDGER.into_iter().chain(Mutation::JOBS);
    let mutations = mutations.chain(Mutation::IN_FORCE).chain(Mutation::ORDERS);
    mutations
        .map(|mutation| {
            let verdict = check_mutation(mutation, max_states);
            let name = format!("mutation: {mutation:?}");
            let search = Search { name, verdict, is_mutant: true };
            report(&search);
            search
        })
        .collect()
}

fn check_mutation(mutation: Mutation, max_states: usize) -> Verdict {
    if Mutation::IN_FORCE.contains(&mutation) {
        return check(build_in_force_model(Some(mutation)), max_states);
    }
    if Mutation::ORDERS.contains(&mutation) {
        let checks_fencing = mutation == Mutation::NumberNotRaised;
        return check(OrderModel::new(checks_fencing, 1, Some(mutation)), max_states);
    }
    if Mutation::JOBS.contains(&mutation) {
        let budget = job_model::Budget { adoptions: 1, lost_answers: 1, late_writes: 2, ends: 0 };
        return check(JobModel::new(2, budget, Some(mutation)), max_states);
    }
    let budget = Budget {
        starts: 2,
        crashes: 1,
        lost_answers: 1,
        lost_attempts: 1,
        cancels: 1,
        ..NO_FAULTS
    };
    let setups = [params(1, 1, false), params(2, 2, false), params(2, 1, true)];
    let mut states = 0;
    for params in setups {
        let setup = LedgerSetup { params, budget, mutation: Some(mutation) };
        let mut verdict = check(LedgerModel::new(setup), max_states);
        states += verdict.states;
        verdict.states = states;
        if verdict.counterexample.is_some() {
            return verdict;
        }
    }
    Verdict { states, is_truncated: true, counterexample: None }
}

fn build_in_force_model(mutation: Option<Mutation>) -> InForceModel {
    let budget =
        in_force_model::Budget { rolls: 3, restarts: 1, failed_fetches: 1, store_outages: 1 };
    InForceModel::new(budget, mutation)
}
