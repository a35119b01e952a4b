//! Drills: a day's script says traffic, troubles and when; real ingresses, in this process or in processes of their
//! own, go through it against stand-ins; an auditor judges the five rules from what passed on the sockets.
//!
//! - [`day`]: the script's form
//! - [`drill`]: plays a day
//! - [`fleet`]: judges what ingresses know of each other, from their own journals
//! - [`audit`]: judges a journal, and trusts no counter of an ingress

pub mod audit;
pub mod day;
pub mod drill;
pub mod fleet;
pub mod ledger;
