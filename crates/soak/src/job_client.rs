//! Clients that hand jobs in, read them and end some of them.

use std::rc::Rc;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::client::ItemResult;
use platform_stub::client::NewItem;
use platform_stub::deployment::JOBS;
use platform_stub::replica::TOKENS_PER_EVENT;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::observation::JobSeen;
use crate::traffic::World;

/// How often a client hands the same job in before it gives up.
const HAND_INS: usize = 6;
/// The pause between two hand-ins of the same job.
const HAND_IN_PAUSE: Duration = Duration::from_millis(300);
/// The pause between two reads, and after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(250);
/// One in so many jobs is ended by its client.
const ENDERS: u32 = 5;
/// The longest a client goes on to ask for the end of a job.
const END_TRIES: usize = 20;
/// The daemons at which each job is read from the start at the end.
const MAX_READERS: usize = 4;

/// Hands jobs in until told to stop; each is read and perhaps ended.
pub async fn send_jobs(world: Rc<World>, client: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ 0x10b5 ^ ((client as u64) << 40));
    let mut count = 0;
    while !world.stopped.is_cancelled() {
        count += 1;
        let id = format!("job-{client}-{count}");
        let items = draw_items(&mut random, &id);
        let seen = JobSeen {
            items: items
                .iter()
                .map(|item| (item.id.clone(), item.tokens / TOKENS_PER_EVENT))
                .collect(),
            ..JobSeen::default()
        };
        world.seen.borrow_mut().jobs.insert(id.clone(), seen);
        if hand_in(&world, &mut random, &id, &items).await {
            let ends = random.gen_ratio(1, ENDERS);
            let reads = random.gen_range(2..6);
            follow(&world, &mut random, &id, reads).await;
            if ends {
                end(&world, &mut random, &id).await;
            }
        }
        sleep(Duration::from_millis(random.gen_range(100..900))).await;
    }
}

async fn hand_in(world: &World, random: &mut StdRng, id: &str, items: &[NewItem]) -> bool {
    for _ in 0..HAND_INS {
        let daemon = random.gen_range(0..world.fleet.len());
        let answer = Client.submit(world.fleet.ingress(daemon), JOBS, id, items).await;
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        let now_ms = world.fleet.now_ms();
        with_job(world, id, |job| {
            job.statuses.push(status);
            if status == 202 {
                job.accepted_ms = Some(now_ms);
            }
        });
        if status == 202 {
            return true;
        }
        sleep(HAND_IN_PAUSE).await;
    }
    false
}

async fn follow(world: &World, random: &mut StdRng, id: &str, reads: usize) {
    for _ in 0..reads {
        let daemon = random.gen_range(0..world.fleet.len());
        let from = random.gen_range(0..=listed(world, id));
        read(world, daemon, id, from).await;
        sleep(READ_PAUSE).await;
    }
}

/// Reads a job once; returns the results from `from` on.
async fn read(world: &World, daemon: usize, id: &str, from: usize) -> Option<Vec<ItemResult>> {
    let sent_ms = world.fleet.now_ms();
    let answer = Client.results(world.fleet.ingress(daemon), id, from).await;
    let (status, page) = answer.ok()?;
    if status.as_u16() == 404 || status.as_u16() == 410 {
        let until_ms = world.fleet.now_ms();
        if world.fleet.timeline.borrow().is_calm(sent_ms, until_ms) {
            let what = format!("daemon-{daemon} answered {status} at {sent_ms} ms");
            with_job(world, id, |job| job.contradictions.push(what));
        }
        return None;
    }
    let page = page.filter(|_| status.is_success())?;
    let results = page.results;
    with_job(world, id, |job| {
        if page.total != job.items.len() {
            job.contradictions.push(format!("{} items in all are {}", job.items.len(), page.total));
        }
        job.read(from, results.clone());
    });
    Some(results)
}

async fn end(world: &World, random: &mut StdRng, id: &str) {
    with_job(world, id, |job| job.is_end_asked = true);
    for _ in 0..END_TRIES {
        let daemon = random.gen_range(0..world.fleet.len());
        let status = Client.end(world.fleet.ingress(daemon), id).await;
        if status.is_ok_and(|status| status.is_success()) {
            let now_ms = world.fleet.now_ms();
            return with_job(world, id, |job| job.ended_ms = Some(now_ms));
        }
        sleep(READ_PAUSE).await;
    }
}

/// Reads every accepted job at every daemon until it is whole or the time is over.
pub async fn read_all(world: &World, until_ms: u64) {
    let jobs: Vec<String> = {
        let seen = world.seen.borrow();
        let accepted = seen.jobs.iter().filter(|(_, job)| job.accepted_ms.is_some());
        accepted.map(|(id, _)| id.clone()).collect()
    };
    for (number, id) in jobs.iter().enumerate() {
        let mut daemon = number % world.fleet.len();
        while !is_whole(world, id) && world.fleet.now_ms() < until_ms {
            if read(world, daemon, id, listed(world, id)).await.is_none() {
                sleep(READ_PAUSE).await;
            }
            daemon = (daemon + 1) % world.fleet.len();
        }
        for daemon in (0..world.fleet.len()).take(MAX_READERS) {
            read_whole(world, daemon, id).await;
        }
    }
}

/// Reads a job from the start at one daemon; what differs from earlier reads is noted.
async fn read_whole(world: &World, daemon: usize, id: &str) {
    let expected = listed(world, id);
    let mut from = 0;
    while from < expected {
        match read(world, daemon, id, from).await {
            Some(page) if !page.is_empty() => from += page.len(),
            _ => {
                let what = format!("daemon-{daemon} shows {from} of {expected} results at the end");
                return with_job(world, id, |job| job.contradictions.push(what));
            }
        }
    }
}

fn is_whole(world: &World, id: &str) -> bool {
    let seen = world.seen.borrow();
    seen.jobs.get(id).is_none_or(|job| job.is_end_asked || job.listed.len() >= job.items.len())
}

fn listed(world: &World, id: &str) -> usize {
    world.seen.borrow().jobs.get(id).map_or(0, |job| job.listed.len())
}

fn with_job(world: &World, id: &str, change: impl FnOnce(&mut JobSeen)) {
    if let Some(job) = world.seen.borrow_mut().jobs.get_mut(id) {
        change(job);
    }
}

fn draw_items(random: &mut StdRng, job: &str) -> Vec<NewItem> {
    let item = |number: usize, events: u64| NewItem {
        id: format!("{job}-{number}"),
        path: format!("{JOBS}{job}/{number}"),
        tokens: events * TOKENS_PER_EVENT,
    };
    let count = random.gen_range(2..10);
    (0..count).map(|number| item(number, random.gen_range(20..300))).collect()
}
