//! Heartbeats, suspicion and incarnations of the instances in one data centre, as a pure step
//! function.
//!
//! [`MemberTable`] combines the platform's lagging list with probes of its own: each period it
//! probes one other member of its data centre, through others if that fails, and piggybacks changes
//! on the messages that are sent anyway. The cost is the same for 3 members as for 60.
//! [`MemberView`] is what the rest of the system reads, and [`OwnerMap`] determines which instance
//! owns an engine.

mod contact_list;
mod instance_address;
mod listed_instance;
mod member_entry;
mod member_input;
mod member_message;
mod member_output;
mod member_record;
mod member_roster;
mod member_settings;
mod member_table;
mod member_update;
mod member_view;
mod own_member;
mod owner_map;
mod probe_state;
mod seeded_random;
mod update_queue;

pub use instance_address::InstanceAddress;
pub use listed_instance::ListedInstance;
pub use member_input::MemberInput;
pub use member_message::{MemberMessage, MessageKind};
pub use member_output::MemberOutput;
pub use member_record::MemberRecord;
pub use member_settings::MemberSettings;
pub use member_table::MemberTable;
pub use member_update::{MemberUpdate, UpdateKind};
pub use member_view::{LiveMember, MemberView};
pub use owner_map::OwnerMap;
