//! The cells of the fault matrix: an operation, a phase of it, and one or two faults.

use std::fmt;

/// The operation that runs while the faults are active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Online requests with and without an idempotency key, and non-idempotent service calls.
    Online,
    /// The items of a job.
    Item,
    /// The roll of a bundle.
    Roll,
    /// The graceful stop of a daemon.
    Stop,
}

/// The phase of the operation in which the faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Before the operation starts.
    Before,
    /// Once the first request is sent or accepted.
    Accepted,
    /// While the first answers are generated.
    Running,
    /// About halfway.
    Middle,
    /// Shortly before the operation ends.
    Ending,
}

/// A fault that the users' brief names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// An engine restarts and loses its state.
    EngineRestart,
    /// An engine is down for a while.
    EngineDown,
    /// An engine stops answering for a while.
    EngineFreeze,
    /// Open connections to an engine stay open but carry no more data.
    EngineSilence,
    /// An engine answers slowly.
    EngineSlow,
    /// The platform marks an engine's host as leaving.
    HostLeaves,
    /// The daemon that owns the job is killed and started again.
    OwnerKilled,
    /// Another daemon is killed and started again.
    OtherKilled,
    /// A daemon is stopped gracefully and started again.
    OtherRestarted,
    /// Open links between daemons stay open but carry no more data.
    LinksSilent,
    /// The platform is down for a while.
    StoreDown,
    /// The platform is slow for a while.
    StoreSlow,
    /// The platform stops answering for a while.
    StoreFreeze,
    /// The platform carries out requests, but its answers are lost.
    AnswersLost,
    /// The client sends the same request again.
    ClientResends,
    /// Two operators roll different bundles at the same time.
    OperatorsRace,
}

/// One cell of the matrix.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The operation under test.
    pub operation: Operation,
    /// The phase in which the faults are injected.
    pub phase: Phase,
    /// The faults, injected together.
    pub faults: Vec<CellFault>,
    /// Whether the job's items may run more than once.
    pub idempotent: bool,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(|fault| format!("{fault:?}")).collect();
        let kind = if self.idempotent { "idempotent" } else { "once" };
        write!(f, "{:?}/{:?}/{}/{kind}", self.operation, self.phase, faults.join("+"))
    }
}

impl CellFault {
    const ITEM: [Self; 15] = [
        Self::EngineRestart,
        Self::EngineDown,
        Self::EngineFreeze,
        Self::EngineSilence,
        Self::EngineSlow,
        Self::HostLeaves,
        Self::OwnerKilled,
        Self::OtherKilled,
        Self::OtherRestarted,
        Self::LinksSilent,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreFreeze,
        Self::AnswersLost,
        Self::ClientResends,
    ];
    const ONLINE: [Self; 12] = [
        Self::EngineRestart,
        Self::EngineDown,
        Self::EngineFreeze,
        Self::EngineSilence,
        Self::EngineSlow,
        Self::HostLeaves,
        Self::OwnerKilled,
        Self::OtherRestarted,
        Self::StoreDown,
        Self::StoreFreeze,
        Self::AnswersLost,
        Self::ClientResends,
    ];
    const ROLL: [Self; 8] = [
        Self::OwnerKilled,
        Self::OtherKilled,
        Self::LinksSilent,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreFreeze,
        Self::AnswersLost,
        Self::OperatorsRace,
    ];
    const STOP: [Self; 7] = [
        Self::EngineRestart,
        Self::EngineSilence,
        Self::OtherKilled,
        Self::LinksSilent,
        Self::StoreDown,
        Self::AnswersLost,
        Self::HostLeaves,
    ];
    const PAIRS: [[Self; 2]; 14] = [
        [Self::OwnerKilled, Self::StoreDown],
        [Self::OwnerKilled, Self::AnswersLost],
        [Self::OwnerKilled, Self::EngineRestart],
        [Self::OwnerKilled, Self::OtherKilled],
        [Self::OwnerKilled, Self::LinksSilent],
        [Self::EngineDown, Self::StoreDown],
        [Self::EngineSilence, Self::LinksSilent],
        [Self::EngineRestart, Self::AnswersLost],
        [Self::OtherRestarted, Self::AnswersLost],
        [Self::OtherRestarted, Self::EngineSilence],
        [Self::HostLeaves, Self::OwnerKilled],
        [Self::ClientResends, Self::AnswersLost],
        [Self::ClientResends, Self::OwnerKilled],
        [Self::StoreFreeze, Self::LinksSilent],
    ];
}

/// Returns all cells of the matrix.
pub fn all() -> Vec<Cell> {
    use Phase::Accepted;
    use Phase::Before;
    use Phase::Ending;
    use Phase::Middle;
    use Phase::Running;
    let mut cells = Vec::new();
    add(
        &mut cells,
        Operation::Item,
        &[Before, Accepted, Running, Middle, Ending],
        &CellFault::ITEM,
    );
    add(&mut cells, Operation::Online, &[Before, Accepted, Running, Ending], &CellFault::ONLINE);
    add(&mut cells, Operation::Roll, &[Before, Accepted, Running], &CellFault::ROLL);
    add(&mut cells, Operation::Stop, &[Accepted, Running], &CellFault::STOP);
    let pairs = CellFault::PAIRS.iter().enumerate().flat_map(|(index, pair)| {
        let phase = if index % 2 == 0 { Running } else { Middle };
        let cell =
            |operation, idempotent| Cell { operation, phase, faults: pair.to_vec(), idempotent };
        [cell(Operation::Item, false), cell(Operation::Online, true)]
    });
    cells.extend(pairs);
    cells
}

fn add(cells: &mut Vec<Cell>, operation: Operation, phases: &[Phase], faults: &[CellFault]) {
    for (phase_index, phase) in phases.iter().enumerate() {
        for (fault_index, fault) in faults.iter().enumerate() {
            let idempotent = (phase_index + fault_index) % 3 == 0;
            cells.push(Cell { operation, phase: *phase, faults: vec![*fault], idempotent });
        }
    }
}
