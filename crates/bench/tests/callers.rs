//! What callers and operators get back for good and for bad input, on a real daemon.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bench::Lab;
use bench::LabPlan;
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
use wire::Ran;
use wire::Reason;
use wire::Refusal;

async fn lab() -> Lab {
    Lab::start_rolled(LabPlan::new(1, BUNDLE)).await.expect("the lab starts")
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
async fn bad_input_is_refused_by_its_reason_and_not_run() {
    let lab = lab().await;
    let client = lab.client(TOKEN);
    let stranger = lab.client("no such token");
    let url = lab.caller_url(0);
    let good = json!({"model": "depot", "prompt": "p", "max_tokens": 4});
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
        (&client, completion(good.clone()).header("x-deadline-ms", "soon"), Reason::BadRequest),
        (&client, completion(good.clone()).header("x-deadline-ms", "0"), Reason::Deadline),
        (&stranger, completion(good.clone()), Reason::Unauthenticated),
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
        assert!(lab.counter(&counter) > 0, "{counter}");
    }
    let answered = workload::ask(&client, "depot", "after all that", 4).await;
    assert!(matches!(answered, Ok(true)), "{answered:?}");
    lab.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_gives_the_first_answer_and_refuses_another_body() {
    let lab = lab().await;
    let client = lab.client(TOKEN);
    let url = lab.caller_url(0);
    let call = |prompt: &str| {
        completion(json!({"model": "depot", "prompt": prompt, "max_tokens": 4}))
            .header("idempotency-key", "k")
    };
    let text = |answer: Response<Bytes>| {
        let value: serde_json::Value = serde_json::from_slice(answer.body()).expect("JSON");
        value["choices"][0]["text"].clone()
    };
    let first = text(client.call_at(&url, &call("draft")).await.expect("an answer"));
    let again = text(client.call_at(&url, &call("draft")).await.expect("an answer"));
    assert_eq!(first, again);
    assert_eq!(lab.stubs.run_count("draft"), 1);
    let other = refusal_at(&client, &url, call("another draft")).await;
    assert_eq!(other.reason, Reason::KeyReused);
    assert_eq!(lab.stubs.run_count("another draft"), 0);
    lab.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_need_their_token_and_enough_signatures() {
    let lab = lab().await;
    let admin = lab.admin_url(0);
    let caller = lab.client(TOKEN);
    let call = Call::get("/admin/v1/bundle/status");
    assert_eq!(refusal_at(&caller, &admin, call).await.reason, Reason::Unauthenticated);
    let mut forged = lab.sign(BUNDLE);
    forged.document.push_str("# changed\n");
    let body = json!({"bundle": forged});
    let call = Call::post_json("/admin/v1/bundle/roll", &body);
    assert_eq!(refusal_at(&lab.operator(), &admin, call).await.reason, Reason::Unsigned);
    let stale = json!({"bundle": lab.sign(BUNDLE), "expected_number": 7});
    let call = Call::post_json("/admin/v1/bundle/roll", &stale);
    assert_eq!(refusal_at(&lab.operator(), &admin, call).await.reason, Reason::Conflict);
    assert_eq!(lab.numbers(), vec![1]);
    lab.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_are_ordered_to_run_the_bundle_once() {
    let lab = lab().await;
    let orders_of = |lab: &Lab, name: &str| lab.stubs.engines[name].record().orders.len();
    lab.wait_until("the orders", || {
        lab.stubs.engines.keys().all(|name| orders_of(&lab, name) == 2)
    })
    .await
    .expect("every engine gets its load and its role");
    let number = lab.roll(&format!("{BUNDLE}# the same models\n"), 0).await.expect("a roll");
    lab.wait_in_force(number).await.expect("the roll spreads");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(lab.stubs.engines.keys().all(|name| orders_of(&lab, name) == 2));
    lab.shut_down();
}

struct Hello;

#[async_trait]
impl Handler for Hello {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Body> {
        bytes_response(200, "text/plain", Bytes::from_static(b"hello"))
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ports_speak_tls_with_the_operators_keys() {
    let folder = std::env::temp_dir().join(format!("crocus-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    cli::keys::generate_certificate("127.0.0.1", &folder).expect("a certificate");
    tls::install_crypto_provider();
    let files = TlsFiles { cert_file: folder.join("cert.pem"), key_file: folder.join("key.pem") };
    let config = tls::server_config(&files).expect("the keys are good");
    // Below the ports that the system gives to outgoing connections.
    let address = ([127, 0, 0, 1], 20_000 + (std::process::id() % 12_000) as u16).into();
    let server = Server::bind(address, Some(config), Arc::new(Hello)).expect("a free port");
    let url = format!("https://{address}/");
    let wait = Duration::from_secs(5);
    let trusting = HttpClient::new(Some(&files.cert_file)).expect("a client");
    let answer = trusting.call(get_request(&url).expect("a request"), wait).await;
    assert_eq!(answer.expect("an answer").body().as_ref(), b"hello");
    let doubting = HttpClient::new(None).expect("a client");
    assert!(doubting.call(get_request(&url).expect("a request"), wait).await.is_err());
    server.stop();
    let _ = std::fs::remove_dir_all(&folder);
}
