//! Names that are cheap to clone, one type for each kind of object that the operators' manifest
//! names.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `name` without validating it; the manifest's checks do that.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type! {
    /// Names an adapter of a model.
    AdapterName
}
name_type! {
    /// Names the sender of a request, for example a hotel, a desk or a committee.
    CallerName
}
name_type! {
    /// Names a data centre.
    CentreName
}
name_type! {
    /// Names one instance of the daemon.
    InstanceName
}
name_type! {
    /// Names a model, without its version.
    ModelName
}
name_type! {
    /// Names a region: a set of data centres that are close to each other.
    RegionName
}
name_type! {
    /// Names a service that callers use.
    ServiceName
}
name_type! {
    /// Names an upstream: a model engine or a server of plain services.
    UpstreamName
}
