//! MQTT 5.0 and 3.1.1 (OASIS Standards of 2019-03-07 and 2014-10-29): packets of clients and servers, and a server's
//! side of a connection. Sections and statements such as `MQTT-3.1.0-1` are those of MQTT 5.0 unless stated otherwise.
//!
//! - [`packet`]: control packets
//! - [`property`]: properties of MQTT 5.0
//! - [`decode`], [`encode`]: conversion of packets from and to bytes; limits are checked before memory is allocated
//! - [`server`]: a server's side of a connection, and its session
//! - [`topic`]: topic names and filters
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
