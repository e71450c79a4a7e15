//! The stand-in model engine: continuous batching in real time, with no priorities.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use kernel::http_server::BodyChunks;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::rendezvous::hash;

use crate::fault::Fault;

/// How an engine spends its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModel {
    /// Streams in one batch; the others wait in order of arrival.
    pub slots: usize,
    /// The time of one step with an empty batch, in microseconds.
    pub step_us: u64,
    /// The time that each stream adds to a step, in microseconds.
    pub step_per_stream_us: u64,
    /// The time that each prompt token adds to a step, in microseconds.
    pub step_per_prompt_token_us: u64,
    /// Prompt tokens taken up in one step.
    pub prompt_tokens_per_step: usize,
    /// Prompt tokens kept in the prefix cache; the least lately used prefix goes first.
    pub cached_tokens: usize,
    /// How long a run that nobody reads is kept.
    pub keep_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How old the load report is.
    pub load_lag_ms: u64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 32,
            step_us: 20_000,
            step_per_stream_us: 100,
            step_per_prompt_token_us: 50,
            prompt_tokens_per_step: 512,
            cached_tokens: 8_192,
            keep_ms: 30_000,
            checks_fencing: true,
            load_lag_ms: 500,
        }
    }
}

/// One request to generate.
#[derive(Clone, Debug, Deserialize)]
pub struct GenerateBody {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens, those of `generated` included.
    pub max_tokens: usize,
    /// The id of the run.
    #[serde(default)]
    pub request_id: String,
    /// Tokens generated elsewhere.
    #[serde(default)]
    pub generated: Vec<String>,
}

struct Reader {
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
    next: usize,
    is_silent: bool,
}

struct Run {
    prompt_hash: u64,
    max_tokens: usize,
    tokens: Vec<String>,
    prompt_left: usize,
    reader: Option<Reader>,
    is_paused: bool,
    is_poison: bool,
    unread_since: Option<Instant>,
}

impl Run {
    fn is_finished(&self) -> bool {
        self.tokens.len() >= self.max_tokens
    }

    fn wants_slot(&self) -> bool {
        !self.is_paused && !self.is_finished()
    }
}

/// What an engine has run, for checks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Runs started from the first token, by the hash of the prompt.
    pub runs: HashMap<u64, u32>,
    /// Tokens generated.
    pub tokens: u64,
    /// Runs cancelled for good.
    pub cancelled: u64,
    /// When the last run was started, in milliseconds since the engine's start.
    pub last_started_ms: u64,
    /// Orders taken, as JSON with their fencing numbers.
    pub orders: Vec<String>,
    /// Deaths brought about by poison prompts.
    pub poisoned: u64,
}

struct State {
    runs: HashMap<String, Run>,
    /// Runs that hold or want a slot, in order of arrival.
    order: VecDeque<String>,
    prefixes: VecDeque<Prefix>,
    record: EngineRecord,
    fencing_number: u64,
    is_down: bool,
    is_frozen: bool,
    reported: (Instant, usize),
    started_at: Instant,
    wait: Duration,
}

/// The stand-in engine.
pub struct Engine {
    model: EngineModel,
    state: Mutex<State>,
    work: tokio::sync::Notify,
}

/// Why the engine does not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRefusal {
    /// The engine is down.
    Down,
    /// The request cannot be run here or anywhere.
    Refused,
    /// There is no such run.
    UnknownRun,
    /// The order's fencing number is old.
    Fenced,
}

/// A prompt with this text makes the engine die.
pub const POISON: &str = "POISON";
/// A prompt with this text is refused by every engine.
pub const REFUSED: &str = "REFUSED";
/// The bytes of a prompt that make its cached prefix.
const PREFIX_BYTES: usize = 256;
/// The bytes of a prompt that make one token.
const BYTES_PER_TOKEN: usize = 4;
/// The part of a cached prompt that is computed all the same, as a divisor.
const CACHED_DIVISOR: usize = 10;

impl Engine {
    /// Creates an engine; `spawn` starts its steps.
    pub fn new(model: EngineModel) -> Arc<Self> {
        let now = Instant::now();
        let state = State {
            runs: HashMap::new(),
            order: VecDeque::new(),
            prefixes: VecDeque::new(),
            record: EngineRecord::default(),
            fencing_number: 0,
            is_down: false,
            is_frozen: false,
            reported: (now, 0),
            started_at: now,
            wait: Duration::ZERO,
        };
        Arc::new(Self { model, state: Mutex::new(state), work: tokio::sync::Notify::new() })
    }

    /// Starts the steps.
    pub fn spawn(self: &Arc<Self>, stopped: CancellationToken) {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = engine.run_steps() => {}
            }
        });
    }

    /// Starts a run and returns its stream.
    pub fn generate(&self, body: GenerateBody) -> Result<BodyChunks, EngineRefusal> {
        let mut state = self.live_state()?;
        if body.prompt.contains(REFUSED) {
            return Err(EngineRefusal::Refused);
        }
        let prompt_hash = hash(body.prompt.as_bytes());
        if body.generated.is_empty() {
            *state.record.runs.entry(prompt_hash).or_default() += 1;
        }
        state.record.last_started_ms = state.started_at.elapsed().as_millis() as u64;
        let prompt_left = prompt_cost(&mut state.prefixes, &body.prompt, self.model.cached_tokens);
        let id = if body.request_id.is_empty() {
            format!("anonymous-{}", state.record.last_started_ms)
        } else {
            body.request_id
        };
        let (sender, chunks) = mpsc::channel(body.max_tokens + 2);
        let next = body.generated.len();
        let run = Run {
            prompt_hash,
            max_tokens: body.max_tokens,
            tokens: body.generated,
            prompt_left,
            reader: Some(Reader { sender, next, is_silent: false }),
            is_paused: false,
            is_poison: body.prompt.contains(POISON),
            unread_since: None,
        };
        state.order.retain(|known| *known != id);
        state.order.push_back(id.clone());
        state.runs.insert(id, run);
        drop(state);
        self.work.notify_one();
        Ok(chunks)
    }

    /// Reads on in a run; an earlier reader is cut off.
    pub fn resume(&self, id: &str, from_index: usize) -> Result<BodyChunks, EngineRefusal> {
        let mut state = self.live_state()?;
        let run = state.runs.get_mut(id).ok_or(EngineRefusal::UnknownRun)?;
        if from_index > run.tokens.len() {
            return Err(EngineRefusal::UnknownRun);
        }
        let (sender, chunks) = mpsc::channel(run.max_tokens + 2);
        run.reader = Some(Reader { sender, next: from_index, is_silent: false });
        run.is_paused = false;
        run.unread_since = None;
        flush(id, run);
        if !run.is_finished() && !state.order.iter().any(|known| known == id) {
            state.order.push_back(id.to_owned());
        }
        drop(state);
        self.work.notify_one();
        Ok(chunks)
    }

    /// Stops a run; `keep` leaves it ready to be resumed.
    pub fn cancel(&self, id: &str, keep: bool) -> Result<(), EngineRefusal> {
        let mut state = self.live_state()?;
        if !state.runs.contains_key(id) {
            return Err(EngineRefusal::UnknownRun);
        }
        state.order.retain(|known| known != id);
        if keep {
            if let Some(run) = state.runs.get_mut(id) {
                pause(run);
            }
        } else {
            state.runs.remove(id);
            state.record.cancelled += 1;
        }
        Ok(())
    }

    /// Takes an order.
    pub fn order(&self, fencing_number: u64, order: String) -> Result<(), EngineRefusal> {
        let mut state = self.live_state()?;
        if self.model.checks_fencing && fencing_number < state.fencing_number {
            return Err(EngineRefusal::Fenced);
        }
        state.fencing_number = state.fencing_number.max(fencing_number);
        state.record.orders.push(order);
        Ok(())
    }

    /// Returns the streams in the batch now.
    pub fn running(&self) -> usize {
        let state = self.state();
        state.order.len().min(self.model.slots)
    }

    /// Returns the streams as an old report tells them.
    pub fn reported_load(&self) -> usize {
        let now = self.running();
        let mut state = self.state();
        if state.reported.0.elapsed() >= Duration::from_millis(self.model.load_lag_ms) {
            state.reported = (Instant::now(), now);
        }
        state.reported.1
    }

    /// Returns what was run.
    pub fn record(&self) -> EngineRecord {
        self.state().record.clone()
    }

    /// Returns the tokens generated so far.
    pub fn tokens(&self) -> u64 {
        self.state().record.tokens
    }

    /// Returns how often a prompt was started.
    pub fn runs_of(&self, prompt: &str) -> u32 {
        let key = hash(prompt.as_bytes());
        self.state().record.runs.get(&key).copied().unwrap_or(0)
    }

    /// Returns how long ago the last run was started.
    pub fn since_last_start(&self) -> Duration {
        let state = self.state();
        let now_ms = state.started_at.elapsed().as_millis() as u64;
        Duration::from_millis(now_ms - state.record.last_started_ms)
    }

    /// Returns how long the engine waits before each answer, and whether it answers at all.
    pub fn delays(&self) -> (Duration, bool) {
        let state = self.state();
        (state.wait, state.is_frozen)
    }

    /// Shows a fault, or ends all.
    pub fn set_fault(&self, fault: &Fault) {
        let mut state = self.state();
        match fault {
            Fault::Restart => forget(&mut state),
            Fault::Down => {
                forget(&mut state);
                state.is_down = true;
            }
            Fault::Freeze => state.is_frozen = true,
            Fault::Silence => {
                let readers = state.runs.values_mut().filter_map(|run| run.reader.as_mut());
                readers.for_each(|reader| reader.is_silent = true);
            }
            Fault::Slow { wait_ms } => state.wait = Duration::from_millis(*wait_ms),
            Fault::DropAnswers { .. } => {}
            Fault::Heal => {
                state.is_down = false;
                state.is_frozen = false;
                state.wait = Duration::ZERO;
            }
        }
        drop(state);
        self.work.notify_one();
    }

    async fn run_steps(&self) {
        // Steps end at set times, so that the timer's coarse grain does not add up.
        let mut next_end = tokio::time::Instant::now();
        loop {
            let Some(step) = self.begin_step() else {
                self.work.notified().await;
                next_end = tokio::time::Instant::now();
                continue;
            };
            next_end += step;
            tokio::time::sleep_until(next_end).await;
            self.end_step();
        }
    }

    /// Chooses the batch of the next step and returns the step's length, `None` when idle.
    fn begin_step(&self) -> Option<Duration> {
        let mut state = self.state();
        if state.is_frozen || state.is_down || state.order.is_empty() {
            return None;
        }
        let state = &mut *state;
        let mut prompt_tokens = 0;
        let mut streams = 0;
        for id in state.order.iter().take(self.model.slots) {
            streams += 1;
            if let Some(run) = state.runs.get(id) {
                let room = self.model.prompt_tokens_per_step - prompt_tokens;
                prompt_tokens += run.prompt_left.min(room);
            }
        }
        let us = self.model.step_us
            + streams * self.model.step_per_stream_us
            + prompt_tokens as u64 * self.model.step_per_prompt_token_us;
        Some(Duration::from_micros(us) + state.wait)
    }

    fn end_step(&self) {
        let mut guard = self.state();
        let state = &mut *guard;
        if state.is_frozen || state.is_down {
            return;
        }
        let batch: Vec<String> = state.order.iter().take(self.model.slots).cloned().collect();
        let mut prompt_room = self.model.prompt_tokens_per_step;
        let mut is_poisoned = false;
        for id in &batch {
            let Some(run) = state.runs.get_mut(id) else {
                continue;
            };
            if run.prompt_left > 0 {
                let taken = run.prompt_left.min(prompt_room);
                run.prompt_left -= taken;
                prompt_room -= taken;
                continue;
            }
            is_poisoned |= run.is_poison;
            let index = run.tokens.len();
            run.tokens.push(token_text(run.prompt_hash, index));
            state.record.tokens += 1;
            flush(id, run);
        }
        if is_poisoned {
            state.record.poisoned += 1;
            forget(state);
        }
        let runs = &mut state.runs;
        state.order.retain(|id| runs.get(id).is_some_and(Run::wants_slot));
        let keep = Duration::from_millis(self.model.keep_ms);
        runs.retain(|_, run| run.unread_since.is_none_or(|since| since.elapsed() < keep));
    }

    fn live_state(&self) -> Result<MutexGuard<'_, State>, EngineRefusal> {
        let state = self.state();
        if state.is_down { Err(EngineRefusal::Down) } else { Ok(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the text that every engine generates for a prompt's token.
pub fn token_text(prompt_hash: u64, index: usize) -> String {
    let mixed = hash(&(prompt_hash.wrapping_add(index as u64)).to_le_bytes());
    format!("{:03x} ", mixed & 0xfff)
}

/// Returns the whole answer that every engine generates for a prompt.
pub fn expected_answer(prompt: &str, max_tokens: usize) -> String {
    let prompt_hash = hash(prompt.as_bytes());
    (0..max_tokens).map(|index| token_text(prompt_hash, index)).collect()
}

/// Forgets all runs; dropping their readers cuts the streams off.
fn forget(state: &mut State) {
    for run in state.runs.values_mut() {
        if let Some(reader) = run.reader.take() {
            let _ = reader.sender.try_send(Err(std::io::Error::other("the engine died")));
        }
    }
    state.runs.clear();
    state.order.clear();
    state.prefixes.clear();
}

fn pause(run: &mut Run) {
    run.is_paused = true;
    run.reader = None;
    run.unread_since = Some(Instant::now());
}

/// Sends the tokens that the reader has not had; a run whose reader is gone is paused.
fn flush(id: &str, run: &mut Run) {
    let Some(reader) = run.reader.as_mut() else {
        return;
    };
    if reader.is_silent {
        return;
    }
    while reader.next < run.tokens.len() {
        let chunk = json!({
            "id": id,
            "object": "text_completion",
            "token_index": reader.next,
            "choices": [{"index": 0, "text": run.tokens[reader.next], "finish_reason": null}],
        });
        let bytes = Bytes::from(format!("data: {chunk}\n\n"));
        if reader.sender.try_send(Ok(bytes)).is_err() {
            pause(run);
            return;
        }
        reader.next += 1;
    }
    if run.tokens.len() >= run.max_tokens {
        let _ = reader.sender.try_send(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        run.reader = None;
        run.unread_since = Some(Instant::now());
    }
}

/// Returns the prompt tokens to compute; a cached prefix makes them few.
fn prompt_cost(prefixes: &mut VecDeque<Prefix>, prompt: &str, capacity: usize) -> usize {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    let entry = Prefix { hash: hash(prefix), tokens: (prefix.len() / BYTES_PER_TOKEN).max(1) };
    let is_cached = prefixes.iter().any(|known| known.hash == entry.hash);
    prefixes.retain(|known| known.hash != entry.hash);
    prefixes.push_back(entry);
    while prefixes.iter().map(|known| known.tokens).sum::<usize>() > capacity {
        prefixes.pop_front();
    }
    let tokens = (bytes.len() / BYTES_PER_TOKEN).max(1);
    if is_cached { tokens.div_ceil(CACHED_DIVISOR) } else { tokens }
}

/// One cached prompt prefix.
#[derive(Clone, Copy, Debug)]
struct Prefix {
    hash: u64,
    tokens: usize,
}
