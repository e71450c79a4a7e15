//! Immutable shared strings for names; a clone only increments a reference count.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// An organisation whose callers are served.
    OrgName
);
name_type!(
    /// A model or a plain service that callers name as the target of a request.
    ModelName
);
name_type!(
    /// One backend server.
    ReplicaName
);
name_type!(
    /// One daemon; its settings name it.
    DaemonName
);
name_type!(
    /// A data centre.
    DataCentre
);
name_type!(
    /// A job, derived from its organisation and the caller's job key.
    JobId
);
name_type!(
    /// One request to a backend server; a resumed stream keeps it.
    RequestId
);

name_type!(
    /// A route of the configuration.
    RouteName
);
name_type!(
    /// A service of the configuration: replicas that run the same requests.
    ServiceName
);

/// Returns whether `text` may be used as a name in settings, bundles and keys.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
