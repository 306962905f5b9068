//! Names shared between parts as immutable strings, one type for each kind of thing.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta] $name:ident;)+) => {$(
        #[$doc]
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
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
    )+};
}

name_type! {
    /// Name of a VM that runs the system, unique in a deployment.
    VmId;
    /// Name of an availability zone.
    ZoneName;
    /// Name of a service that backend servers offer.
    ServiceName;
    /// Name of a customer.
    CustomerName;
    /// Name that a backend server gives itself, unique in its service.
    ServerId;
    /// Name of a model that an engine can load.
    ModelName;
}
