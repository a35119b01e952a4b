//! Stand-ins for what an ingress meets, by the same public protocols: [`node`] is an intake node that can be told to
//! misbehave, [`client`] asks the rate limit service, [`mqtt`] publishes, [`billing`] is a
//! billing consumer, [`flood`] is too many of them, [`roster`] pushes
//! node lists, [`network`] has links that are cut, lossy, late and slow. What passed on their sockets goes into a [`journal`], which is
//! all that an auditor sees: no counter of an ingress is in it.

pub mod billing;
pub mod client;
pub mod flood;
pub mod journal;
pub mod mqtt;
pub mod network;
pub mod node;
pub mod rogue;
pub mod roster;
