//! What a participant with an empty folder waits for.

use std::fmt;

use wheel_types::InstanceName;

/// What a participant with an empty folder waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartWait {
    /// Configured voters that report an empty folder, to form a group, or any that belongs to one.
    Voters {
        /// How many more are needed.
        more: usize,
        /// Those that haven't reported one.
        of: Vec<InstanceName>,
    },
    /// A group that takes it in; this folder may not form one.
    Group {
        /// The leader, if any is known.
        leader: Option<InstanceName>,
    },
}

impl fmt::Display for StartWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Voters { more, of } => {
                let names: Vec<&str> = of.iter().map(InstanceName::as_str).collect();
                let names = names.join(", ");
                write!(f, "{more} more of {names} to report an empty first folder or a group")
            }
            Self::Group { leader: Some(leader) } => write!(f, "the leader {leader} to let it join"),
            Self::Group { leader: None } => {
                f.write_str("a group to join, since this folder may not form one")
            }
        }
    }
}
