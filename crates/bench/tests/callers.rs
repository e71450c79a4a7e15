//! Answers and refusals of a real daemon to callers and operators, for valid and invalid input.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bench::ClusterConfig;
use bench::TestCluster;
use bench::matrix::BUNDLE;
use bench::matrix::TOKEN;
use bench::workload;
use bytes::Bytes;
use cli::CliError;
use cli::Client;
use cli::client::Call;
use http::Request;
use http::Response;
use kernel::http_client::HttpClient;
use kernel::http_client::get_request;
use kernel::http_server::Body;
use kernel::http_server::Handler;
use kernel::http_server::Server;
use kernel::http_server::bytes_response;
use kernel::settings::TlsFiles;
use kernel::tls;
use serde_json::json;
use stub::Fault;
use wire::Ran;
use wire::Reason;
use wire::Refusal;

async fn start_cluster() -> TestCluster {
    TestCluster::start_with_bundle(ClusterConfig::new(1, BUNDLE)).await.expect("the cluster starts")
}

async fn refusal_at(client: &Client, url: &str, call: Call) -> Refusal {
    match client.call_at(url, &call).await {
        Err(CliError::Refused(refusal)) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn completion(body: serde_json::Value) -> Call {
    Call::post_json("/v1/completions", &body)
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_not_run() {
    let cluster = start_cluster().await;
    let client = cluster.client(TOKEN);
    let unknown_client = cluster.client("no such token");
    let url = cluster.caller_url(0);
    let valid = json!({"model": "depot", "prompt": "p", "max_tokens": 4});
    let long = "x".repeat(70_000);
    let cases = [
        (&client, Call::post("/v1/completions", "{"), Reason::BadRequest),
        (&client, completion(json!({"model": "depot"})), Reason::BadRequest),
        (&client, completion(json!({"model": "depot", "prompt": 7})), Reason::BadRequest),
        (&client, completion(json!({"model": "none", "prompt": "p"})), Reason::UnknownModel),
        (&client, completion(json!({"model": "depot:none", "prompt": "p"})), Reason::UnknownModel),
        (&client, completion(json!({"model": "depot", "prompt": long})), Reason::TooLarge),
        (
            &client,
            completion(json!({"model": "depot", "prompt": "p", "max_tokens": 99_999})),
            Reason::BadRequest,
        ),
        (&client, completion(valid.clone()).header("x-deadline-ms", "soon"), Reason::BadRequest),
        (&client, completion(valid.clone()).header("x-deadline-ms", "0"), Reason::Deadline),
        (&unknown_client, completion(valid.clone()), Reason::Unauthenticated),
        (&client, Call::post("/v1/services/meter/none", "x"), Reason::UnknownModel),
        (&client, Call::post("/v1/lots", "not json\n"), Reason::BadRequest),
        (&client, Call::post("/v1/lots", ""), Reason::BadRequest),
        (&client, Call::get("/v1/jobs/none"), Reason::NotFound),
        (&client, Call::get("/v1/nothing"), Reason::NotFound),
        (
            &client,
            completion(json!({"model": "depot", "prompt": "REFUSED"})),
            Reason::BackendRefused,
        ),
    ];
    for (client, call, reason) in cases {
        let refusal = refusal_at(client, &url, call).await;
        assert_eq!(refusal.reason, reason, "{refusal}");
        assert_eq!(refusal.ran, Ran::No, "{refusal}");
        let counter = format!("refused{{reason=\"{}\"}}", reason.as_str());
        assert!(cluster.counter(&counter) > 0, "{counter}");
    }
    let is_expected = workload::check_completion(&client, "depot", "after all that", 4).await;
    assert!(matches!(is_expected, Ok(true)), "{is_expected:?}");
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_replays_answer_and_refuses_other_body() {
    let cluster = start_cluster().await;
    let client = cluster.client(TOKEN);
    let url = cluster.caller_url(0);
    let call = |prompt: &str| {
        completion(json!({"model": "depot", "prompt": prompt, "max_tokens": 4}))
            .header("idempotency-key", "k")
    };
    let text = |answer: Response<Bytes>| {
        let value: serde_json::Value =
            serde_json::from_slice(answer.body()).expect("the answer is JSON");
        value["choices"][0]["text"].clone()
    };
    let first = text(client.call_at(&url, &call("draft")).await.expect("the request is answered"));
    let again = text(client.call_at(&url, &call("draft")).await.expect("the request is answered"));
    assert_eq!(first, again);
    assert_eq!(cluster.stubs.run_count("draft"), 1);
    let other = refusal_at(&client, &url, call("another draft")).await;
    assert_eq!(other.reason, Reason::KeyReused);
    assert_eq!(cluster.stubs.run_count("another draft"), 0);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_of_keyed_call_gets_a_binary_answer_unchanged() {
    let cluster = start_cluster().await;
    let client = cluster.client(TOKEN);
    let url = cluster.caller_url(0);
    let body = Bytes::from_static(b"\xff\x00\xfe read \x80");
    let call = || {
        Call::post("/v1/services/meter/dispute", body.clone()).header("idempotency-key", "binary")
    };
    let first = client.call_at(&url, &call()).await.expect("the call is answered");
    let again = client.call_at(&url, &call()).await.expect("the resend is answered");
    assert_eq!(first.body(), again.body());
    assert_eq!(cluster.stubs.services["meter-1"].run_count(&body), 1);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn two_lost_calls_of_an_idempotent_service_eject_no_replica() {
    let replica = "  - {name: meter-1, runs: meter, data_centre: a}\n";
    let second = replica.replace("meter-1", "meter-2");
    let bundle = BUNDLE.replace(replica, &format!("{replica}{second}"));
    let cluster = TestCluster::start_with_bundle(ClusterConfig::new(1, &bundle)).await;
    let cluster = cluster.expect("the cluster starts");
    let client = cluster.client(TOKEN);
    let url = cluster.caller_url(0);
    let meter = &cluster.stubs.services["meter-1"];
    meter.set_fault(&Fault::DropAnswers { count: 2 });
    let call = || Call::post("/v1/services/meter/read", "lost");
    while meter.run_count(b"lost") < 2 {
        // Whether a lost call is retried depends on the retry budget.
        let _ = client.call_at(&url, &call()).await;
    }
    for _ in 0..20 {
        client.call_at(&url, &call()).await.expect("the call is answered");
    }
    assert!(meter.run_count(b"lost") > 2, "the replica gets further calls");
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_need_their_token_and_enough_signatures() {
    let cluster = start_cluster().await;
    let admin = cluster.admin_url(0);
    let caller = cluster.client(TOKEN);
    let call = Call::get("/admin/v1/bundle/status");
    assert_eq!(refusal_at(&caller, &admin, call).await.reason, Reason::Unauthenticated);
    let mut forged = cluster.sign(BUNDLE);
    forged.document.push_str("# changed\n");
    let body = json!({"bundle": forged});
    let call = Call::post_json("/admin/v1/bundle/roll", &body);
    assert_eq!(refusal_at(&cluster.operator_client(), &admin, call).await.reason, Reason::Unsigned);
    let stale = json!({"bundle": cluster.sign(BUNDLE), "expected_number": 7});
    let call = Call::post_json("/admin/v1/bundle/roll", &stale);
    assert_eq!(refusal_at(&cluster.operator_client(), &admin, call).await.reason, Reason::Conflict);
    assert_eq!(cluster.bundle_numbers(), vec![1]);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_the_same_models_gives_no_new_orders() {
    let cluster = start_cluster().await;
    let order_count =
        |cluster: &TestCluster, name: &str| cluster.stubs.engines[name].record().orders.len();
    cluster
        .wait_until("the orders", || {
            cluster.stubs.engines.keys().all(|name| order_count(&cluster, name) == 2)
        })
        .await
        .expect("every engine gets its load and its role");
    let number = cluster
        .roll(&format!("{BUNDLE}# the same models\n"), 0)
        .await
        .expect("the roll is accepted");
    cluster.wait_until_in_force(number).await.expect("the bundle reaches every daemon");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(cluster.stubs.engines.keys().all(|name| order_count(&cluster, name) == 2));
    cluster.shut_down();
}

struct HelloHandler;

#[async_trait]
impl Handler for HelloHandler {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Body> {
        bytes_response(200, "text/plain", Bytes::from_static(b"hello"))
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn server_presents_the_configured_certificate() {
    let folder = std::env::temp_dir().join(format!("crocus-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    cli::keys::generate_certificate("127.0.0.1", &folder).expect("the certificate is generated");
    tls::install_crypto_provider();
    let files = TlsFiles { cert_file: folder.join("cert.pem"), key_file: folder.join("key.pem") };
    let config = tls::server_config(&files).expect("the keys are valid");
    // Below the range of ephemeral ports, which outgoing connections may occupy.
    let address = ([127, 0, 0, 1], 20_000 + (std::process::id() % 12_000) as u16).into();
    let server =
        Server::bind(address, Some(config), Arc::new(HelloHandler)).expect("the port is free");
    let url = format!("https://{address}/");
    let timeout = Duration::from_secs(5);
    let client_with_ca = HttpClient::new(Some(&files.cert_file)).expect("the client is created");
    let answer = client_with_ca.call(get_request(&url).expect("the URL is valid"), timeout).await;
    assert_eq!(answer.expect("the request is answered").body().as_ref(), b"hello");
    let client_without_ca = HttpClient::new(None).expect("the client is created");
    assert!(
        client_without_ca
            .call(get_request(&url).expect("the URL is valid"), timeout)
            .await
            .is_err()
    );
    server.stop();
    let _ = std::fs::remove_dir_all(&folder);
}
