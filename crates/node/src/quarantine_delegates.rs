//! Chooses the daemons that act for all others in the quarantine.

use std::cell::RefCell;
use std::rc::Rc;

use peers::Membership;
use quarantine::Delegates;
use quarantine::Suspect;
use wire::rendezvous;

/// The number of daemons that act first on a suspect.
const REPORTERS: usize = 3;

/// Chooses among the ready daemons by rendezvous hash.
pub struct QuarantineDelegates {
    /// The membership view of the daemon.
    pub membership: Rc<RefCell<Membership>>,
}

impl Delegates for QuarantineDelegates {
    fn trial_rank(&self, suspect: Suspect) -> Option<usize> {
        let membership = self.membership.borrow();
        let ready = membership.ready_daemons();
        let own = &membership.own().name;
        let is_ready = ready.iter().any(|identity| identity.name == *own);
        let others = ready.iter().map(|identity| &identity.name).filter(|name| *name != own);
        let key = match suspect {
            Suspect::Part(part) => format!("part/{part}"),
            Suspect::Request(fingerprint) => format!("request/{fingerprint}"),
        };
        is_ready.then(|| rendezvous::rank(&key, own, others))
    }

    fn is_reporter(&self, suspect: Suspect) -> bool {
        self.trial_rank(suspect).is_some_and(|rank| rank < REPORTERS)
    }
}
