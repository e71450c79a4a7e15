//! Assembly of one answer over several connections as a pure state machine.
//!
//! Tokens carry their index, so a resumed stream neither repeats nor loses one, and the id of their
//! run, so tokens of another answer are discarded.

use wire::RequestId;

use crate::backend::Token;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token arrived.
    Token(Token),
    /// The backend server reported the end of the run.
    End,
    /// The connection was lost, timed out or carried invalid data.
    Lost,
    /// The backend server no longer knows the run.
    UnknownRun,
}

/// An output of the state machine, carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends the text of a token to the caller.
    Emit(String),
    /// Resumes the run over a new connection to the same backend server.
    Resume {
        /// The index of the next token needed.
        from_index: u32,
    },
    /// Starts a new run on another backend server after the received tokens.
    ContinueElsewhere,
    /// The answer is complete.
    Finish,
    /// The answer cannot be completed; the request may have run.
    Fail,
    /// Ignores a token that belongs to another run or was already received, and counts it.
    Discard,
}

/// The most resumes of one run without a new token before the backend server is given up.
const MAX_RESUMES: u32 = 3;
/// The most runs started for one idempotent request.
const MAX_RUNS: u32 = 3;

/// Assembles one answer from the tokens of one or more runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AnswerAssembler {
    request_id: RequestId,
    idempotent: bool,
    tokens: Vec<String>,
    resumes: u32,
    runs: u32,
}

impl AnswerAssembler {
    /// Starts an answer; `idempotent` allows new runs after a loss.
    pub fn new(request_id: RequestId, idempotent: bool) -> Self {
        Self { request_id, idempotent, tokens: Vec::new(), resumes: 0, runs: 1 }
    }

    /// Returns the id of the current run.
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Returns the tokens received so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Returns the index of the next token.
    pub fn next_index(&self) -> u32 {
        self.tokens.len() as u32
    }

    /// Switches to a new run, which continues the answer.
    pub fn start_new_run(&mut self, request_id: RequestId) {
        self.request_id = request_id;
        self.resumes = 0;
        self.runs += 1;
    }

    /// Handles one event and returns the action to carry out.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Token(token) => self.on_token(token),
            Event::End => Action::Finish,
            Event::Lost => self.on_lost(),
            Event::UnknownRun => self.continue_or_fail(),
        }
    }

    fn on_token(&mut self, token: Token) -> Action {
        if token.request_id != self.request_id || token.index < self.next_index() {
            return Action::Discard;
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
        self.continue_or_fail()
    }

    fn continue_or_fail(&self) -> Action {
        if self.idempotent && self.runs < MAX_RUNS {
            Action::ContinueElsewhere
        } else {
            Action::Fail
        }
    }
}
