//! Applies changes of the settings file while the daemon runs.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use log::info;
use log::warn;
use peers::Membership;
use store::ObjectClient;
use wire::NodeSettings;

/// Reloads the settings and applies changes to the components that support it.
pub struct SettingsReloader {
    /// The client of the store.
    pub store: Rc<ObjectClient>,
    /// The membership, if this daemon has one.
    pub membership: Option<Rc<RefCell<Membership>>>,
}

impl SettingsReloader {
    /// Reads the settings file and applies its changes; an invalid file changes nothing.
    ///
    /// Names, addresses and limits of the process itself stay as they were at its start.
    pub fn reload(&self, current: &mut Option<NodeSettings>, is_requested: bool) {
        let settings = match platform::settings::load() {
            Ok(settings) => settings,
            Err(error) => {
                warn!("event=reload_failed error=\"{error}\"");
                return;
            }
        };
        let is_first = current.is_none();
        if is_requested {
            info!("event=reload requested=true changed={}", current.as_ref() != Some(&settings));
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
