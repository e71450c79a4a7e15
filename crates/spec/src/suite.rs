//! The searches that prove the protocol, and those that must find a seeded fault.

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

/// One search.
#[derive(Clone, Debug)]
pub struct Search {
    /// Its name.
    pub name: String,
    /// What it found.
    pub verdict: Verdict,
    /// Whether a counterexample is wanted.
    pub is_mutant: bool,
}

impl Search {
    /// Returns whether the search ended as it should.
    pub fn is_good(&self) -> bool {
        self.verdict.counterexample.is_some() == self.is_mutant
    }
}

/// No fault at all.
const CALM: Budget = Budget {
    starts: 1,
    crashes: 0,
    lost_answers: 0,
    lost_tries: 0,
    refusals: 0,
    cancels: 0,
    hand_backs: 0,
    ticks: 1,
};

fn params(items: u32, chunk_items: u32, idempotent: bool) -> JobParams {
    JobParams { items, chunk_items, idempotent }
}

/// Returns the ledger searches: the name, the job and the faults.
fn ledger_setups() -> Vec<(&'static str, JobParams, Budget)> {
    vec![
        (
            "ledger: two owners, a crash, a lost answer",
            params(2, 2, false),
            Budget { starts: 2, crashes: 1, lost_answers: 1, lost_tries: 1, ..CALM },
        ),
        (
            "ledger: paused owners and late writes",
            params(1, 1, false),
            Budget { starts: 3, lost_answers: 2, refusals: 1, ticks: 2, ..CALM },
        ),
        (
            "ledger: cancel among racing owners",
            params(2, 1, false),
            Budget { starts: 2, lost_answers: 1, lost_tries: 1, cancels: 1, ..CALM },
        ),
        (
            "ledger: hand-back and refusals",
            params(2, 2, false),
            Budget { starts: 2, refusals: 1, hand_backs: 1, crashes: 1, ticks: 2, ..CALM },
        ),
        (
            "ledger: idempotent items",
            params(2, 2, true),
            Budget { starts: 2, crashes: 1, lost_answers: 1, lost_tries: 1, cancels: 1, ..CALM },
        ),
        (
            "ledger: idempotent items in two chunks, hand-back",
            params(2, 1, true),
            Budget { starts: 2, lost_answers: 1, hand_backs: 1, refusals: 1, ticks: 2, ..CALM },
        ),
    ]
}

/// Runs the proofs; each search stops at `max_states`.
pub fn prove(max_states: usize, mut report: impl FnMut(&Search)) -> Vec<Search> {
    let mut searches = Vec::new();
    let mut add = |name: &str, verdict: Verdict| {
        let search = Search { name: name.to_owned(), verdict, is_mutant: false };
        report(&search);
        searches.push(search);
    };
    for (name, params, budget) in ledger_setups() {
        let setup = LedgerSetup { params, budget, mutation: None };
        add(name, check(LedgerModel::new(setup), max_states));
    }
    let budget = job_model::Budget { adoptions: 2, lost_answers: 2, late_writes: 2, ends: 1 };
    add(
        "jobs: homes that race, lost answers, late writes",
        check(JobModel::new(2, budget, None), max_states),
    );
    let budget = job_model::Budget { adoptions: 1, lost_answers: 1, late_writes: 2, ends: 0 };
    add("jobs: results in parts", check(JobModel::new(3, budget, None), max_states));
    add("in force: racing rolls and restarts", check(in_force(None), max_states));
    add("orders: an engine that checks", check(OrderModel::new(true, 2, None), max_states));
    add("orders: an engine that does not", check(OrderModel::new(false, 2, None), max_states));
    searches
}

/// Runs the searches that must find a seeded fault.
pub fn hunt(max_states: usize, mut report: impl FnMut(&Search)) -> Vec<Search> {
    let mutations = Mutation::LEDGER.into_iter().chain(Mutation::JOBS);
    let mutations = mutations.chain(Mutation::IN_FORCE).chain(Mutation::ORDERS);
    mutations
        .map(|mutation| {
            let verdict = hunt_one(mutation, max_states);
            let name = format!("mutation: {mutation:?}");
            let search = Search { name, verdict, is_mutant: true };
            report(&search);
            search
        })
        .collect()
}

fn hunt_one(mutation: Mutation, max_states: usize) -> Verdict {
    if Mutation::IN_FORCE.contains(&mutation) {
        return check(in_force(Some(mutation)), max_states);
    }
    if Mutation::ORDERS.contains(&mutation) {
        let checks_fencing = mutation == Mutation::NumberNotRaised;
        return check(OrderModel::new(checks_fencing, 1, Some(mutation)), max_states);
    }
    if Mutation::JOBS.contains(&mutation) {
        let budget = job_model::Budget { adoptions: 1, lost_answers: 1, late_writes: 2, ends: 0 };
        return check(JobModel::new(2, budget, Some(mutation)), max_states);
    }
    let budget =
        Budget { starts: 2, crashes: 1, lost_answers: 1, lost_tries: 1, cancels: 1, ..CALM };
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
    Verdict { states, is_cut: true, counterexample: None }
}

fn in_force(mutation: Option<Mutation>) -> InForceModel {
    let budget = in_force_model::Budget { rolls: 3, restarts: 1, failed_fetches: 1, silences: 1 };
    InForceModel::new(budget, mutation)
}
