//! Handovers of a job whose answers are late or lost.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use budget::Limits;
use bytes::Bytes;
use catalog::ConfigurationInForce;
use catalog::ReplicaSet;
use gate::ApiKey;
use gate::Caller;
use gate::CrashGuard;
use gate::IngressCodec;
use gate::JobCall;
use gate::codec::AnswerMeta;
use gate::codec::ForwardMeta;
use gate::codec::InvalidHead;
use gate::codec::RequestMeta;
use gate::gateway::JobCallHandler;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use jobs::adoption::LoadedJob;
use jobs::codec::InvalidSubmission;
use jobs::codec::JobCodec;
use jobs::item::Item;
use jobs::item::ItemResult;
use jobs::item::Submission;
use jobs::job::ItemRunEnd;
use jobs::job::Job;
use jobs::job::JobLimits;
use jobs::manager::Dependencies;
use jobs::manager::JobLocation;
use jobs::manager::JobManager;
use jobs::message::HeartbeatJobs;
use jobs::message::JobSummary;
use jobs::progress::Progress;
use jobs::record;
use jobs::record::Home;
use jobs::record::JobRecord;
use kernel::BootClock;
use kernel::Counters;
use kernel::local_server::LocalBody;
use peers::ControlClient;
use peers::Membership;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Heartbeat;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use peers::transport::decode;
use peers::transport::encode;
use quarantine::Delegates;
use quarantine::PromptPart;
use quarantine::Suspect;
use slots::Slots;
use store::Call;
use store::ObjectClient;
use store::Reply;
use store::StoreError;
use store::call::EncodedCall;
use store::call::ObjectCodec;
use store::call::StoredObject;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use upstream::ConnectionPool;
use upstream::RequestWriter;
use wire::Configuration;
use wire::JobId;
use wire::Route;
use wire::RouteKind;
use wire::route::IngressLimits;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const INCARNATION: u64 = 7;
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Codecs for a manager that gets no requests of clients.
struct UnusedCodec;

impl JobCodec for UnusedCodec {
    fn decode_submission(&self, _body: &Bytes) -> Result<Submission, InvalidSubmission> {
        Err(InvalidSubmission { message: "not used".to_owned() })
    }

    fn encode_results(&self, _total: usize, _next: usize, _results: &[ItemResult]) -> Bytes {
        Bytes::new()
    }

    fn encode_item_headers(&self, _item: &Item, _host: &str) -> HeaderMap {
        HeaderMap::new()
    }
}

impl IngressCodec for UnusedCodec {
    fn decode_request_head(&self, _headers: &HeaderMap) -> Result<RequestMeta, InvalidHead> {
        Err(InvalidHead { message: "not used" })
    }

    fn decode_key(&self, _headers: &HeaderMap) -> Option<ApiKey> {
        None
    }

    fn decode_prompt_parts(&self, _headers: &HeaderMap) -> Vec<PromptPart> {
        Vec::new()
    }

    fn write_forwarded_headers(
        &self,
        _writer: &mut RequestWriter,
        _headers: &HeaderMap,
        _meta: &ForwardMeta,
    ) {
    }

    fn decode_answer_head(&self, _status: StatusCode, _headers: &HeaderMap) -> AnswerMeta {
        panic!("no replica is called")
    }

    fn decode_job_call(&self, _parts: &Parts) -> Option<JobCall> {
        None
    }

    fn encode_refusal(&self, _message: &str) -> Bytes {
        Bytes::new()
    }
}

/// Delegates nothing to this daemon.
struct NoDelegates;

impl Delegates for NoDelegates {
    fn trial_rank(&self, _suspect: Suspect) -> Option<usize> {
        None
    }

    fn is_reporter(&self, _suspect: Suspect) -> bool {
        false
    }
}

/// A store with one object, which applies a call when its answer is decoded.
struct OneObject {
    object: RefCell<StoredObject>,
    answers_to_lose: Cell<u32>,
}

impl ObjectCodec for OneObject {
    fn encode(&self, _call: &Call) -> EncodedCall {
        EncodedCall { method: Method::PUT, target: "/".to_owned(), body: Bytes::new() }
    }

    fn decode(&self, call: &Call, _status: StatusCode, _body: &Bytes) -> Result<Reply, StoreError> {
        let mut object = self.object.borrow_mut();
        let Call::SetStatus { revision, status, .. } = call else {
            return Ok(Reply::Object(object.clone()));
        };
        if *revision != Some(object.revision) {
            return Ok(Reply::Conflict(Some(object.clone())));
        }
        object.revision += 1;
        object.status = status.clone();
        if self.answers_to_lose.get() > 0 {
            self.answers_to_lose.set(self.answers_to_lose.get() - 1);
            return Err(StoreError::Unknown("the answer was lost".to_owned()));
        }
        Ok(Reply::Object(object.clone()))
    }
}

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind((LOOPBACK, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let mut buffer = vec![0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).await.expect("the client reads");
                }
            });
        }
    });
    address
}

fn identity(name: &str, control: Option<SocketAddr>) -> Identity {
    Identity {
        name: name.into(),
        incarnation: INCARNATION,
        ip: LOOPBACK,
        data_centre: "dc".into(),
        ingress: None,
        control,
        cpu_millis: 1000,
    }
}

fn home(name: &str) -> Home {
    Home { daemon: name.into(), incarnation: INCARNATION }
}

/// Returns a job of one item without results, and the store with its record.
fn recorded_job(id: &JobId, home: Home) -> (Job, Rc<OneObject>) {
    let item = Item {
        id: "i".into(),
        path: "/i".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        tokens: 1,
    };
    let submission = Submission { items: vec![item] };
    let value = JobRecord {
        home,
        host: "host".to_owned(),
        path: "/jobs/".to_owned(),
        submitted_unix_ms: 0,
        input: record::encode_input(&submission).expect("the input is encoded"),
        input_parts: 0,
        organisation: None,
    };
    let value = record::to_json(&value).expect("the record is encoded");
    let mut job = Job::new(id.clone(), "host", "/jobs/", 0, submission.items, Vec::new());
    job.revision = 1;
    job.value_bytes = value.len();
    let object = StoredObject { name: id.to_string(), revision: 1, value, status: Bytes::new() };
    let store = OneObject { object: RefCell::new(object), answers_to_lose: Cell::new(0) };
    (job, Rc::new(store))
}

async fn manager(name: &str, codec: Rc<OneObject>, peers: &[Identity]) -> Rc<JobManager> {
    manager_with_configuration(name, codec, peers, ConfigurationInForce::default()).await
}

async fn manager_with_configuration(
    name: &str,
    codec: Rc<OneObject>,
    peers: &[Identity],
    in_force: ConfigurationInForce,
) -> Rc<JobManager> {
    manager_with_budget(name, codec, peers, in_force, Budget::unlimited()).await
}

async fn manager_with_budget(
    name: &str,
    codec: Rc<OneObject>,
    peers: &[Identity],
    in_force: ConfigurationInForce,
    budget: Arc<Budget>,
) -> Rc<JobManager> {
    let clock = BootClock::start();
    let counters = Counters::new(None).expect("counters without an address");
    let own = identity(name, None);
    let transport = Transport::bind(LOOPBACK, 0, own.name.clone(), INCARNATION, counters.clone());
    let transport = Rc::new(transport.await.expect("a port is free"));
    let mut membership = Membership::new(own, Vec::new());
    for peer in peers {
        let heartbeat = Heartbeat {
            identity: peer.clone(),
            readiness: Readiness::Ready,
            reaches_store: true,
            configuration_version: 1,
            replicas_revision: 1,
            attachments: Vec::new(),
        };
        membership.handle_heartbeat(0, &heartbeat);
    }
    let membership = Rc::new(RefCell::new(membership));
    let replicas = Rc::new(RefCell::new(ReplicaSet::default()));
    let slots =
        Slots::start(clock, counters.clone(), transport.clone(), membership.clone(), replicas);
    let address = start_server().await;
    let store = ObjectClient::new(codec, address, 1e3, 1e3, counters.clone());
    JobManager::new(Dependencies {
        crash_guard: Rc::new(CrashGuard::new(clock, counters.clone(), Box::new(NoDelegates))),
        job_codec: Rc::new(UnusedCodec),
        ingress_codec: Rc::new(UnusedCodec),
        clock,
        counters,
        in_force: Rc::new(RefCell::new(in_force)),
        slots,
        pool: Rc::new(ConnectionPool::new(TIME_LIMIT, TIME_LIMIT)),
        store: Rc::new(store),
        membership,
        control: Rc::new(ControlClient::default()),
        max_object_bytes: 1 << 20,
        transport,
        keep_jobs_ms: 60_000,
        budget,
    })
}

#[tokio::test]
async fn job_read_while_its_handover_is_unanswered_keeps_one_state() {
    let run = async {
        let id = JobId::from("j");
        let (job, store) = recorded_job(&id, home("former"));
        store.answers_to_lose.set(1);
        let body = postcard::to_allocvec(&job.to_handover(0)).expect("the job is encoded");
        let manager = manager("successor", store, &[]).await;
        let read = async {
            // The handover has written the status and waits to ask again for the answer.
            tokio::time::sleep(Duration::from_millis(15)).await;
            match manager.load(&id, TIME_LIMIT).await {
                Ok(LoadedJob::Local(handle)) => handle,
                _ => panic!("the job is not adopted"),
            }
        };
        let (status, adopted) = tokio::join!(manager.accept_handover(&body), read);
        assert_eq!(status, StatusCode::OK);
        let JobLocation::Local(held) = manager.locate(&id) else { panic!("the job is not held") };
        assert!(Rc::ptr_eq(&held, &adopted), "the job has two states, and both run its items");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn job_whose_handover_was_accepted_without_an_answer_is_not_served() {
    let run = async {
        let id = JobId::from("j");
        let (job, store) = recorded_job(&id, home("former"));
        let listener = TcpListener::bind((LOOPBACK, 0)).await.expect("a port is free");
        let control = listener.local_addr().expect("the listener has an address");
        let peers = [identity("successor", Some(control))];
        let manager = manager("former", store.clone(), &peers).await;
        let handle = manager.add_job(job);
        let status = handle.job.borrow().status(&home("successor"), 1 << 20);
        manager.hand_over_jobs();
        let (_unanswered, _) = listener.accept().await.expect("the job is handed over");
        store.object.borrow_mut().revision += 1;
        store.object.borrow_mut().status = record::to_json(&status).expect("a status");
        // The handover waits for 1.5 s for the answer of the successor.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert!(handle.is_deposed.get(), "an old list of results is served");
        let JobLocation::Remote(found) = manager.locate(&id) else { panic!("no home is known") };
        assert_eq!(found, home("successor"));
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn adopted_job_keeps_results_written_before_another_claim_of_its_home() {
    let run = async {
        let id = JobId::from("j");
        let (mut job, store) = recorded_job(&id, home("successor"));
        store.answers_to_lose.set(1);
        let manager = manager("successor", store.clone(), &[]).await;
        let write = async {
            // The first claim has taken effect and waits to ask again for the answer.
            tokio::time::sleep(Duration::from_millis(15)).await;
            let limits = JobLimits { due_ms: 1, retention_ms: 1, max_attempts: 1 };
            let next = job.start_next(0).expect("an item is ready");
            job.end_run(0, next.index, ItemRunEnd::Completed, Progress::default(), &limits);
            let status = job.status(&home("successor"), 1 << 20);
            store.object.borrow_mut().revision += 1;
            store.object.borrow_mut().status = record::to_json(&status).expect("a status");
        };
        let (loaded, ()) = tokio::join!(manager.load(&id, TIME_LIMIT), write);
        let Ok(LoadedJob::Local(handle)) = loaded else { panic!("the job is not adopted") };
        assert_eq!(handle.job.borrow().written_results().len(), 1, "a result is forgotten");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn late_write_adds_no_result_to_an_ended_job_that_is_held() {
    let run = async {
        let id = JobId::from("j");
        let (mut job, store) = recorded_job(&id, Home { daemon: "here".into(), incarnation: 1 });
        job.end();
        let status = job.status(&Home { daemon: "here".into(), incarnation: 1 }, 1 << 20);
        store.object.borrow_mut().status = record::to_json(&status).expect("a status");
        let former_revision = store.object.borrow().revision;
        let manager = manager("here", store.clone(), &[]).await;
        let loaded = manager.load(&id, TIME_LIMIT).await;
        assert!(matches!(loaded, Ok(LoadedJob::Local(_))), "the home is gone");
        assert!(store.object.borrow().revision > former_revision, "a late write still applies");
    };
    LocalSet::new().run_until(run).await;
}

/// Makes "successor" the home of the stored job, without the old home's knowledge.
fn replace_home(job: &Job, store: &OneObject) {
    let status = job.status(&home("successor"), 1 << 20);
    let mut object = store.object.borrow_mut();
    object.revision += 1;
    object.status = record::to_json(&status).expect("a status");
}

fn listed_jobs(manager: &Rc<JobManager>) -> usize {
    let attachment = manager.encode_jobs();
    let jobs = decode::<HeartbeatJobs>(Topic::Jobs, &attachment.payload).expect("a list of jobs");
    jobs.jobs.len()
}

// Guards against a replaced home that goes on with a job that its successor has finished or ended.
#[tokio::test]
async fn home_whose_successor_has_finished_the_job_gives_it_up() {
    let run = async {
        let id = JobId::from("j");
        let (job, store) = recorded_job(&id, home("former"));
        let manager = manager("former", store.clone(), &[]).await;
        replace_home(&job, &store);
        let handle = manager.add_job(job);
        let summary = JobSummary { job: id.clone(), is_open: false };
        let listed = HeartbeatJobs { jobs: vec![summary], waiting: Vec::new() };
        let payload = encode(Topic::Jobs, &listed);
        manager.apply_jobs(&"successor".into(), INCARNATION, &payload);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(handle.is_deposed.get(), "the former home still runs the job's items");
    };
    LocalSet::new().run_until(run).await;
}

// Guards against a home that acts on its jobs after a pause before it has asked the store.
#[tokio::test]
async fn home_that_was_paused_claims_no_job_before_the_store_has_confirmed_it() {
    let run = async {
        let id = JobId::from("j");
        let (job, store) = recorded_job(&id, home("former"));
        let manager = manager("former", store.clone(), &[]).await;
        let handle = manager.add_job(job.clone());
        assert_eq!(listed_jobs(&manager), 1);
        // Nothing of this daemon runs while its only thread sleeps.
        std::thread::sleep(Duration::from_millis(1_100));
        replace_home(&job, &store);
        assert_eq!(listed_jobs(&manager), 0, "peers would forward calls to the former home");
        assert!(handle.is_unconfirmed.get(), "items would be sent");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(handle.is_deposed.get());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn home_that_was_paused_goes_on_once_the_store_has_confirmed_it() {
    let run = async {
        let id = JobId::from("j");
        let (job, store) = recorded_job(&id, home("former"));
        let manager = manager("former", store, &[]).await;
        let handle = manager.add_job(job);
        assert_eq!(listed_jobs(&manager), 1);
        std::thread::sleep(Duration::from_millis(1_100));
        assert_eq!(listed_jobs(&manager), 0);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(!handle.is_deposed.get() && !handle.is_unconfirmed.get());
        assert_eq!(listed_jobs(&manager), 1);
    };
    LocalSet::new().run_until(run).await;
}

// Guards against items that are given up since their route is in a configuration on its way here.
#[tokio::test]
async fn items_without_a_route_are_kept_while_a_newer_configuration_exists() {
    let run = async {
        let limits = IngressLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
        let configuration = Configuration::new(5, limits, Vec::new(), Vec::new());
        for (reported, is_kept) in [(5, false), (9, true)] {
            let (job, store) = recorded_job(&JobId::from("j"), home("here"));
            let mut in_force = ConfigurationInForce::default();
            in_force.update_if_newer(0, Arc::new(configuration.clone()));
            in_force.record_reported(reported);
            let manager = manager_with_configuration("here", store, &[], in_force).await;
            assert_eq!(manager.limits_of(&job).is_some(), is_kept, "version {reported} reported");
        }
    };
    LocalSet::new().run_until(run).await;
}

// Guards against jobs that take memory without a limit, and against a refusal of a new job that ends one
// that was accepted.
#[tokio::test]
async fn held_jobs_count_and_keep_new_ones_out() {
    let run = async {
        let (mut job, store) = recorded_job(&JobId::from("j"), home("here"));
        let item = Item {
            id: "large".into(),
            path: "/i".to_owned(),
            headers: vec![("x".to_owned(), "y".repeat(1_000))],
            body: Bytes::from(vec![b'x'; 60_000]),
            tokens: 1,
        };
        job = Job::new(job.id, "host", "/jobs/", 0, vec![item], Vec::new());
        let budget = Budget::new(Limits { jobs_bytes: 50_000, ..Limits::unlimited() });
        let in_force = ConfigurationInForce::default();
        let manager = manager_with_budget("here", store, &[], in_force, budget.clone()).await;
        let handle = manager.add_job(job);
        let held_bytes = budget.used_bytes(Kind::Jobs);
        assert!((61_000..64_000).contains(&held_bytes), "{held_bytes}");

        let refused = submit(&manager, 1_000).await;
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers().contains_key("retry-after"));
        assert!(matches!(manager.locate(&JobId::from("new")), JobLocation::Unknown));
        manager.drop_deposed_job(&JobId::from("j"), None);
        drop(handle);
        assert_eq!(budget.total_used_bytes(), 0);
        // The codec of this test decodes nothing.
        let decoded = submit(&manager, 1_000).await;
        assert_eq!(decoded.status(), StatusCode::BAD_REQUEST);
        assert_eq!(budget.total_used_bytes(), 0, "a refused submission keeps memory");
    };
    LocalSet::new().run_until(run).await;
}

async fn submit(manager: &Rc<JobManager>, body_bytes: usize) -> Response<LocalBody> {
    let meta = RequestMeta {
        id: "new".into(),
        deadline_ms: None,
        last_event: None,
        max_output_tokens: None,
        prompt_parts: Vec::new(),
        key: None,
    };
    let (parts, ()) = Request::new(()).into_parts();
    let body = Bytes::from(vec![b'x'; body_bytes]);
    manager.clone().submit(Arc::new(batch_route()), Caller::Unchecked, meta, parts, body).await
}

fn batch_route() -> Route {
    Route {
        name: "r".into(),
        host: "host".into(),
        path_prefix: "/jobs/".into(),
        kind: RouteKind::Batch,
        timeout_ms: None,
        objective_ms: None,
        gap_objective_ms: None,
        priority: 1,
        targets: Vec::new(),
        max_attempts: 1,
        is_resumable: true,
        due_ms: None,
        retention_ms: None,
        max_waiting_tokens: None,
        is_open: false,
    }
}
