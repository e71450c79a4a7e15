//! Behaviour of the stub engine that other tests rely on.

use std::time::Duration;

use stub::Engine;
use stub::Fault;
use stub::engine::EngineParameters;
use stub::engine::GenerateBody;
use stub::engine::expected_answer;
use tokio_util::sync::CancellationToken;

fn fast_engine() -> EngineParameters {
    EngineParameters { step_us: 500, step_per_stream_us: 0, ..EngineParameters::default() }
}

fn generate_body(id: &str, prompt: &str, max_tokens: usize) -> GenerateBody {
    GenerateBody {
        model: "m".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        request_id: id.to_owned(),
        generated: Vec::new(),
    }
}

async fn collect_text(mut chunks: kernel::http_server::BodyChunks) -> String {
    let mut text = String::new();
    while let Some(Ok(bytes)) = chunks.recv().await {
        let event = String::from_utf8_lossy(&bytes).into_owned();
        let data = event.trim().strip_prefix("data: ").unwrap_or_default();
        if let Ok(value) = serde_json::from_str::<serde_json::Value>(data) {
            text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    text
}

#[tokio::test]
async fn paused_run_resumes_without_a_second_run() {
    let engine = Engine::new(fast_engine());
    engine.spawn(CancellationToken::new());
    let mut chunks = engine.generate(generate_body("r", "hello", 20)).expect("the engine is up");
    let first = chunks.recv().await;
    assert!(first.is_some());
    engine.cancel("r", true).expect("the run is known");
    drop(chunks);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let chunks = engine.resume("r", 0).expect("the run is kept");
    assert_eq!(collect_text(chunks).await, expected_answer("hello", 20));
    let hash = wire::rendezvous::hash(b"hello");
    assert_eq!(engine.record().runs.get(&hash), Some(&1));
}

#[tokio::test]
async fn silenced_stream_can_be_resumed() {
    let engine = Engine::new(fast_engine());
    engine.spawn(CancellationToken::new());
    let _silent = engine.generate(generate_body("r", "hello", 8)).expect("the engine is up");
    engine.set_fault(&Fault::Silence);
    let chunks = engine.resume("r", 0).expect("the run continues");
    assert_eq!(collect_text(chunks).await, expected_answer("hello", 8));
}

#[tokio::test]
async fn outdated_fencing_number_is_refused_only_where_checked() {
    let strict = Engine::new(fast_engine());
    assert!(strict.apply_order(5, "a".to_owned()).is_ok());
    assert!(strict.apply_order(4, "b".to_owned()).is_err());
    let lenient = Engine::new(EngineParameters { checks_fencing: false, ..fast_engine() });
    assert!(lenient.apply_order(5, "a".to_owned()).is_ok());
    assert!(lenient.apply_order(4, "b".to_owned()).is_ok());
}
