//! One answer put together over several connections, as a pure core.
//!
//! Tokens carry their place, so a resumed stream neither repeats nor loses one, and the run's
//! id, so a crossed answer is dropped.

use wire::RequestId;

use crate::backend::Token;

/// What the adapter saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token arrived.
    Token(Token),
    /// The backend server said that the run has ended.
    End,
    /// The connection was lost, silent or carried something wrong.
    Lost,
    /// The backend server does not know the run any more.
    UnknownRun,
}

/// What the adapter does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Passes a token's text on to the caller.
    Emit(String),
    /// Reads on from this place over a new connection to the same backend server.
    Resume {
        /// The next token needed.
        from_index: u32,
    },
    /// Starts a new run on another backend server, after the tokens that are there.
    Continue,
    /// The answer is whole.
    Finish,
    /// The answer cannot be completed; whether it ran is not known.
    Fail,
    /// Counts a token of another run or a repeated one.
    Drop,
}

/// Resumes of one run over new connections before the backend server is given up.
const MAX_RESUMES: u32 = 3;
/// Runs started for one idempotent request.
const MAX_RUNS: u32 = 3;

/// The state of one answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Assembly {
    request_id: RequestId,
    idempotent: bool,
    tokens: Vec<String>,
    resumes: u32,
    runs: u32,
}

impl Assembly {
    /// Starts an answer; `idempotent` allows new runs after a loss.
    pub fn new(request_id: RequestId, idempotent: bool) -> Self {
        Self { request_id, idempotent, tokens: Vec::new(), resumes: 0, runs: 1 }
    }

    /// Returns the id of the current run.
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Returns the tokens so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Returns the place of the next token.
    pub fn next_index(&self) -> u32 {
        self.tokens.len() as u32
    }

    /// Sets the id of a new run that continues the answer.
    pub fn on_new_run(&mut self, request_id: RequestId) {
        self.request_id = request_id;
        self.resumes = 0;
        self.runs += 1;
    }

    /// Takes one event and returns what to do.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Token(token) => self.on_token(token),
            Event::End => Action::Finish,
            Event::Lost => self.on_lost(),
            Event::UnknownRun => self.on_unknown_run(),
        }
    }

    fn on_token(&mut self, token: Token) -> Action {
        if token.request_id != self.request_id || token.index < self.next_index() {
            return Action::Drop;
        }
        if token.index > self.next_index() {
            return self.on_lost();
        }
        self.resumes = 0;
        self.tokens.push(token.text.clone());
        Action::Emit(token.text)
    }

    fn on_lost(&mut self) -> Action {
        if self.resumes < MAX_RESUMES {
            self.resumes += 1;
            return Action::Resume { from_index: self.next_index() };
        }
        self.on_unknown_run()
    }

    fn on_unknown_run(&self) -> Action {
        if self.idempotent && self.runs < MAX_RUNS { Action::Continue } else { Action::Fail }
    }
}
