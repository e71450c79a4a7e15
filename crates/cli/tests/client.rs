//! The outcome that the client reports after several attempts at one call.

use cli::CliError;
use cli::Client;
use cli::client::Call;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use wire::Ran;
use wire::Reason;
use wire::Refusal;

/// Accepts one connection, reads the request and closes the connection without an answer.
async fn lose_one_answer(listener: &TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("the client connects");
    let mut buffer = vec![0; 4096];
    let count = stream.read(&mut buffer).await.expect("the request is received");
    assert!(count > 0);
}

async fn listen() -> (TcpListener, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let client = Client::new(Vec::new(), "token".to_owned(), None, None).expect("a client");
    client.pin(format!("http://{address}"));
    (listener, client)
}

#[tokio::test]
async fn lost_answer_before_failed_connects_is_not_reported_as_not_run() {
    let (listener, client) = listen().await;
    let server = async move {
        lose_one_answer(&listener).await;
    };
    let call = Call::post("/v1/jobs", "{}").idempotent();
    let (result, ()) = tokio::join!(client.call(&call), server);
    assert!(matches!(result, Err(CliError::OutcomeUnknown(_))), "{result:?}");
}

#[tokio::test]
async fn lost_answer_before_refusals_is_not_reported_as_not_run() {
    let (listener, client) = listen().await;
    let refusal = Refusal::not_run(Reason::Overload, "no room").with_retry_after(1);
    let body = json!({ "error": refusal }).to_string();
    let server = tokio::spawn(async move {
        lose_one_answer(&listener).await;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4096];
            while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                let length = body.len();
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: {length}\r\n\r\n{body}"
                );
                stream.write_all(answer.as_bytes()).await.expect("the client reads");
            }
        }
    });
    let result = client.call(&Call::post("/v1/jobs", "{}").idempotent()).await;
    let Err(CliError::Refused(refusal)) = &result else { panic!("{result:?}") };
    assert_eq!((refusal.reason, refusal.ran), (Reason::Overload, Ran::Unknown));
    server.abort();
}
