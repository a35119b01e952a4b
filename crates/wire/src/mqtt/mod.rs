//! MQTT 5.0 and 3.1.1 (OASIS Standards of 2019-03-07 and 2014-10-29), the parts that a server needs and a client uses.
//!
//! - [`packet`]: the control packets as types
//! - [`property`]: the properties of MQTT 5
//! - [`decode`], [`encode`]: packets from bytes and to bytes, with limits on everything before memory is taken
//! - [`server`]: a server's side of a connection, and the session that outlives it
//! - [`topic`]: names and filters
//! - [`reason`]: reason codes

mod decode;
mod encode;
mod error;
pub mod packet;
mod packet_type;
pub mod property;
mod reader;
pub mod reason;
pub mod server;
pub mod topic;

pub use decode::decode;
pub use encode::encode;
pub use error::Error;
pub use packet::{Packet, QoS, Version};
pub use property::{Properties, Property};
