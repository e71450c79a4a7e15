//! Clients that submit jobs, read their results and end some of them.

use std::rc::Rc;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::client::ItemResult;
use platform_stub::client::NewItem;
use platform_stub::client::OutgoingRequest;
use platform_stub::client::ResultsPage;
use platform_stub::deployment::JOBS;
use platform_stub::replica::TOKENS_PER_EVENT;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::observation::JobObservation;
use crate::organisations::USUAL;
use crate::traffic::RunContext;

/// How often a client submits the same job before it gives up.
const MAX_SUBMISSIONS: usize = 6;
/// The pause between two submissions of the same job.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(300);
/// The pause between two reads, and after a read that failed.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// The client ends one job in this many, on average.
const JOBS_PER_END: u32 = 5;
/// How often a client asks to end a job before it gives up.
const MAX_END_REQUESTS: usize = 20;
/// The number of daemons at which each job is read again from the start at the end of a run.
const MAX_READERS: usize = 4;

/// Submits jobs until the run stops its clients; reads each accepted job and ends some of them.
pub async fn submit_jobs(context: Rc<RunContext>, client: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ 0x10b5 ^ ((client as u64) << 40));
    let mut count = 0;
    while !context.stopped.is_cancelled() {
        count += 1;
        let id = format!("job-{client}-{count}");
        let items = draw_items(&mut random, &id);
        let job = JobObservation {
            items: items
                .iter()
                .map(|item| (item.id.clone(), item.tokens / TOKENS_PER_EVENT))
                .collect(),
            organisation: context.organisation(client),
            ..JobObservation::default()
        };
        context.observation.borrow_mut().jobs.insert(id.clone(), job);
        if submit(&context, &mut random, &id, &items).await {
            let ends = random.gen_ratio(1, JOBS_PER_END);
            let reads = random.gen_range(2..6);
            read_random_pages(&context, &mut random, &id, reads).await;
            read_with_foreign_key(&context, &id).await;
            if ends {
                end_job(&context, &mut random, &id).await;
            }
        }
        sleep(Duration::from_millis(random.gen_range(100..900))).await;
    }
}

async fn submit(context: &RunContext, random: &mut StdRng, id: &str, items: &[NewItem]) -> bool {
    for _ in 0..MAX_SUBMISSIONS {
        let daemon = random.gen_range(0..context.fleet.len());
        let call = OutgoingRequest::job(JOBS, id, items);
        let ids = items.iter().map(|item| item.id.as_str());
        let call = context.sign(call, organisation_of(context, id), ids);
        let answer = Client.call(context.fleet.ingress(daemon), &call).await;
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        let now_ms = context.fleet.now_ms();
        update_job(context, id, |job| {
            job.submit_statuses.push(status);
            if status == 202 {
                job.accepted_ms = Some(now_ms);
            }
        });
        if status == 202 {
            return true;
        }
        sleep(SUBMISSION_INTERVAL).await;
    }
    false
}

async fn read_random_pages(context: &RunContext, random: &mut StdRng, id: &str, reads: usize) {
    for _ in 0..reads {
        let daemon = random.gen_range(0..context.fleet.len());
        let from = random.gen_range(0..=read_count(context, id));
        read_page(context, daemon, id, from).await;
        sleep(READ_INTERVAL).await;
    }
}

/// Reads one page of results from position `from` on, and returns it if the daemon gave one.
async fn read_page(
    context: &RunContext,
    daemon: usize,
    id: &str,
    from: usize,
) -> Option<Vec<ItemResult>> {
    let sent_ms = context.fleet.now_ms();
    let call = OutgoingRequest::results(id, from);
    let call = context.sign(call, organisation_of(context, id), []);
    let answer = Client.call(context.fleet.ingress(daemon), &call).await.ok()?;
    let status = answer.status;
    if status.as_u16() == 404 || status.as_u16() == 410 {
        let until_ms = context.fleet.now_ms();
        if context.fleet.timeline.borrow().is_undisturbed(sent_ms, until_ms) {
            let contradiction = format!("daemon-{daemon} answered {status} at {sent_ms} ms");
            update_job(context, id, |job| job.contradictions.push(contradiction));
        }
        return None;
    }
    if !status.is_success() {
        return None;
    }
    let page: ResultsPage = serde_json::from_slice(&answer.body).ok()?;
    let results = page.results;
    update_job(context, id, |job| {
        if page.total != job.items.len() {
            job.contradictions.push(format!(
                "the job has {} items, the answer says {}",
                job.items.len(),
                page.total
            ));
        }
        job.add_page(from, results.clone());
    });
    Some(results)
}

/// Reads a job with the key of another organisation, for which it must not exist.
async fn read_with_foreign_key(context: &RunContext, id: &str) {
    let Some(own) = organisation_of(context, id) else { return };
    let foreign = USUAL.into_iter().find(|name| *name != own);
    let daemon = id.len() % context.fleet.len();
    let call = context.sign(OutgoingRequest::results(id, 0), foreign, []);
    let answer = Client.call(context.fleet.ingress(daemon), &call).await;
    if answer.is_ok_and(|answer| answer.status.is_success()) {
        let contradiction = format!("daemon-{daemon} showed it to {foreign:?}");
        update_job(context, id, |job| job.contradictions.push(contradiction));
    }
}

async fn end_job(context: &RunContext, random: &mut StdRng, id: &str) {
    update_job(context, id, |job| job.is_end_requested = true);
    for _ in 0..MAX_END_REQUESTS {
        let daemon = random.gen_range(0..context.fleet.len());
        let call = OutgoingRequest::end_of_job(id);
        let call = context.sign(call, organisation_of(context, id), []);
        let answer = Client.call(context.fleet.ingress(daemon), &call).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            let now_ms = context.fleet.now_ms();
            return update_job(context, id, |job| job.ended_ms = Some(now_ms));
        }
        sleep(READ_INTERVAL).await;
    }
}

/// Reads every accepted job, at one daemon after another, until all its results are read or the
/// time is over; then reads it again from the start at some daemons.
pub async fn read_all_jobs(context: &RunContext, until_ms: u64) {
    let jobs: Vec<String> = {
        let observation = context.observation.borrow();
        let accepted = observation.jobs.iter().filter(|(_, job)| job.accepted_ms.is_some());
        accepted.map(|(id, _)| id.clone()).collect()
    };
    for (number, id) in jobs.iter().enumerate() {
        let mut daemon = number % context.fleet.len();
        while !is_reading_done(context, id) && context.fleet.now_ms() < until_ms {
            if read_page(context, daemon, id, read_count(context, id)).await.is_none() {
                sleep(READ_INTERVAL).await;
            }
            daemon = (daemon + 1) % context.fleet.len();
        }
        for daemon in (0..context.fleet.len()).take(MAX_READERS) {
            reread_job(context, daemon, id).await;
        }
    }
}

/// Reads a job from the start at one daemon, and records what contradicts earlier reads.
async fn reread_job(context: &RunContext, daemon: usize, id: &str) {
    let expected = read_count(context, id);
    let mut from = 0;
    while from < expected {
        match read_page(context, daemon, id, from).await {
            Some(page) if !page.is_empty() => from += page.len(),
            _ => {
                let contradiction = format!(
                    "daemon-{daemon} shows {from} of {expected} results at the end of the run"
                );
                return update_job(context, id, |job| job.contradictions.push(contradiction));
            }
        }
    }
}

fn is_reading_done(context: &RunContext, id: &str) -> bool {
    let observation = context.observation.borrow();
    observation
        .jobs
        .get(id)
        .is_none_or(|job| job.is_end_requested || job.results.len() >= job.items.len())
}

fn organisation_of(context: &RunContext, id: &str) -> Option<&'static str> {
    context.observation.borrow().jobs.get(id).and_then(|job| job.organisation)
}

fn read_count(context: &RunContext, id: &str) -> usize {
    context.observation.borrow().jobs.get(id).map_or(0, |job| job.results.len())
}

fn update_job(context: &RunContext, id: &str, change: impl FnOnce(&mut JobObservation)) {
    if let Some(job) = context.observation.borrow_mut().jobs.get_mut(id) {
        change(job);
    }
}

fn draw_items(random: &mut StdRng, job: &str) -> Vec<NewItem> {
    let item = |number: usize, events: u64| NewItem {
        id: format!("{job}-{number}"),
        path: format!("{JOBS}{job}/{number}"),
        tokens: events * TOKENS_PER_EVENT,
        prompt_prefix: None,
    };
    let count = random.gen_range(2..10);
    (0..count).map(|number| item(number, random.gen_range(20..300))).collect()
}
