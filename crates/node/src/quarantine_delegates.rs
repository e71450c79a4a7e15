//! Chooses the daemons that act for all others in the quarantine of prompt parts.

use std::cell::RefCell;
use std::rc::Rc;

use peers::Membership;
use quarantine::Delegates;
use quarantine::PromptPart;
use wire::rendezvous;

/// The number of daemons that act first on a part.
const REPORTERS: usize = 3;

/// Chooses among the ready daemons by rendezvous hash.
pub struct QuarantineDelegates {
    /// The membership view of the daemon.
    pub membership: Rc<RefCell<Membership>>,
}

impl QuarantineDelegates {
    fn is_among_first(&self, part: PromptPart, count: usize) -> bool {
        let membership = self.membership.borrow();
        let ready = membership.ready_daemons();
        let own = &membership.own().name;
        let is_ready = ready.iter().any(|identity| identity.name == *own);
        let others = ready.iter().map(|identity| &identity.name).filter(|name| *name != own);
        is_ready && rendezvous::is_among_highest(&format!("part/{part}"), own, others, count)
    }
}

impl Delegates for QuarantineDelegates {
    fn is_trial_owner(&self, part: PromptPart) -> bool {
        self.is_among_first(part, 1)
    }

    fn is_reporter(&self, part: PromptPart) -> bool {
        self.is_among_first(part, REPORTERS)
    }
}
