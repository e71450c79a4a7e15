//! Follows changes of the settings file while the daemon runs.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use log::info;
use log::warn;
use peers::Membership;
use store::ObjectClient;
use wire::NodeSettings;

/// The parts of the daemon that a change of the settings reaches.
pub struct Reload {
    /// The store.
    pub store: Rc<ObjectClient>,
    /// The other daemons, where this one takes part.
    pub membership: Option<Rc<RefCell<Membership>>>,
}

impl Reload {
    /// Reads the settings file and applies what changed; a bad file changes nothing.
    ///
    /// Names, addresses and limits of the process itself stay as they were at its start.
    pub fn look(&self, current: &mut Option<NodeSettings>, is_asked: bool) {
        let settings = match platform::boot::load() {
            Ok(settings) => settings,
            Err(error) => {
                warn!("event=reload_failed error=\"{error}\"");
                return;
            }
        };
        let is_first = current.is_none();
        if is_asked {
            info!("event=reload asked=true changed={}", current.as_ref() != Some(&settings));
        }
        if current.as_ref() == Some(&settings) {
            return;
        }
        if !is_first {
            info!(
                "event=settings_changed store={} seeds={}",
                settings.store.address,
                settings.seeds.len()
            );
            self.apply(&settings);
        }
        *current = Some(settings);
    }

    fn apply(&self, settings: &NodeSettings) {
        let store = &settings.store;
        self.store.reconfigure(store.address, store.writes_per_s, store.reads_per_s);
        if let Some(membership) = &self.membership {
            let seeds: Vec<IpAddr> = settings.seeds.iter().map(SocketAddr::ip).collect();
            membership.borrow_mut().set_seeds(seeds);
        }
    }
}
