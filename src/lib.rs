//! chalkgap decides for an admission gateway of a service sold by plan.
mod control;
mod gossip;
mod interface;

pub use control::Gateway;
pub use interface::*;
