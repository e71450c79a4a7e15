//! The stand-in engine keeps the promises that tests lean on.

use std::time::Duration;

use stub::Engine;
use stub::Fault;
use stub::engine::EngineModel;
use stub::engine::GenerateBody;
use stub::engine::expected_answer;
use tokio_util::sync::CancellationToken;

fn quick() -> EngineModel {
    EngineModel { step_us: 500, step_per_stream_us: 0, ..EngineModel::default() }
}

fn body(id: &str, prompt: &str, max_tokens: usize) -> GenerateBody {
    GenerateBody {
        model: "m".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        request_id: id.to_owned(),
        generated: Vec::new(),
    }
}

async fn text_of(mut chunks: kernel::http_server::BodyChunks) -> String {
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
async fn a_run_that_is_paused_resumes_without_a_second_run() {
    let engine = Engine::new(quick());
    engine.spawn(CancellationToken::new());
    let mut chunks = engine.generate(body("r", "hello", 20)).expect("the engine is up");
    let first = chunks.recv().await;
    assert!(first.is_some());
    engine.cancel("r", true).expect("the run is known");
    drop(chunks);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let chunks = engine.resume("r", 0).expect("the run is kept");
    assert_eq!(text_of(chunks).await, expected_answer("hello", 20));
    let hash = wire::rendezvous::hash(b"hello");
    assert_eq!(engine.record().runs.get(&hash), Some(&1));
}

#[tokio::test]
async fn a_silent_stream_can_be_read_again_on_a_new_one() {
    let engine = Engine::new(quick());
    engine.spawn(CancellationToken::new());
    let _silent = engine.generate(body("r", "hello", 8)).expect("the engine is up");
    engine.set_fault(&Fault::Silence);
    let chunks = engine.resume("r", 0).expect("the run goes on");
    assert_eq!(text_of(chunks).await, expected_answer("hello", 8));
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_only_where_it_is_checked() {
    let strict = Engine::new(quick());
    assert!(strict.order(5, "a".to_owned()).is_ok());
    assert!(strict.order(4, "b".to_owned()).is_err());
    let lenient = Engine::new(EngineModel { checks_fencing: false, ..quick() });
    assert!(lenient.order(5, "a".to_owned()).is_ok());
    assert!(lenient.order(4, "b".to_owned()).is_ok());
}
