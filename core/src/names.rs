//! Names as immutable strings that are cheap to clone, with one type for each kind of object.

use std::borrow::Borrow;
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

        /// Finds a name in a map by its text.
        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
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
    /// Name of a VM that runs merlinrudder, unique in a deployment.
    VmId;
    /// Name of an availability zone.
    ZoneName;
    /// Name of a service that backend servers offer.
    ServiceName;
    /// Name of a customer.
    CustomerName;
    /// Name that a backend server chooses for itself, unique within its service.
    ServerId;
    /// Name of a language model that an engine can load.
    ModelName;
}
