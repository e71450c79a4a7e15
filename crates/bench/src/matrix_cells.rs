//! The cells of the fault matrix: a path, a step on it, and one or two faults.

use std::fmt;

/// A path through the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Online requests, with and without a key, and calls that may not be repeated.
    Online,
    /// The items of a job.
    Item,
    /// A bundle that is rolled.
    Roll,
    /// A daemon that is stopped.
    Stop,
}

/// A step on a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Before anything of the path has begun.
    Before,
    /// When the first part was accepted or sent.
    Accepted,
    /// While the first answers are made.
    Running,
    /// In the middle.
    Middle,
    /// Shortly before the end.
    Ending,
}

/// One fault of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// An engine forgets everything.
    EngineRestart,
    /// An engine is gone for a while.
    EngineDown,
    /// An engine answers nothing for a while.
    EngineFreeze,
    /// Open connections to an engine go silent for good.
    EngineSilence,
    /// An engine is slow.
    EngineSlow,
    /// An engine's host leaves.
    HostLeaves,
    /// The daemon that owns the work is killed and started again.
    OwnerKilled,
    /// Another daemon is killed and started again.
    OtherKilled,
    /// A daemon is stopped gracefully and started again.
    OtherRestarted,
    /// Links between daemons go silent for good.
    LinksSilent,
    /// The platform is down for a while.
    StoreDown,
    /// The platform is slow for a while.
    StoreSlow,
    /// The platform answers nothing for a while.
    StoreFreeze,
    /// Answers of the platform are lost after the effect.
    AnswersLost,
    /// The client sends again what it has sent.
    ClientResends,
    /// Two operators change the same thing.
    OperatorsRace,
}

/// One cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The path.
    pub path: Path,
    /// The step.
    pub step: Step,
    /// The faults, shown at once.
    pub faults: Vec<CellFault>,
    /// Whether the job's items may run again.
    pub idempotent: bool,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(|fault| format!("{fault:?}")).collect();
        let kind = if self.idempotent { "idempotent" } else { "once" };
        write!(f, "{:?}/{:?}/{}/{kind}", self.path, self.step, faults.join("+"))
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

/// Returns all cells.
pub fn all() -> Vec<Cell> {
    use Step::Accepted;
    use Step::Before;
    use Step::Ending;
    use Step::Middle;
    use Step::Running;
    let mut cells = Vec::new();
    add(&mut cells, Path::Item, &[Before, Accepted, Running, Middle, Ending], &CellFault::ITEM);
    add(&mut cells, Path::Online, &[Before, Accepted, Running, Ending], &CellFault::ONLINE);
    add(&mut cells, Path::Roll, &[Before, Accepted, Running], &CellFault::ROLL);
    add(&mut cells, Path::Stop, &[Accepted, Running], &CellFault::STOP);
    let pairs = CellFault::PAIRS.iter().enumerate().flat_map(|(index, pair)| {
        let step = if index % 2 == 0 { Running } else { Middle };
        let cell = |path, idempotent| Cell { path, step, faults: pair.to_vec(), idempotent };
        [cell(Path::Item, false), cell(Path::Online, true)]
    });
    cells.extend(pairs);
    cells
}

fn add(cells: &mut Vec<Cell>, path: Path, steps: &[Step], faults: &[CellFault]) {
    for (place, step) in steps.iter().enumerate() {
        for (number, fault) in faults.iter().enumerate() {
            let idempotent = (place + number) % 3 == 0;
            cells.push(Cell { path, step: *step, faults: vec![*fault], idempotent });
        }
    }
}
