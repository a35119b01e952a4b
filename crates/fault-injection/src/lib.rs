//! Fault-injection drills. A script defines a day: the traffic, the faults and their times. The drill runs real
//! ingresses, in this process or in processes of their own, against simulated clients, nodes and a registry. An auditor
//! then checks the five rules against the traffic that was recorded on the sockets.
//!
//! - [`day`]: the values of a script
//! - [`drill`]: runs a day
//! - [`audit`]: checks the rules, without using the ingresses' counters
//! - [`fleet`]: checks the ingresses' membership views, as their logs show them
//! - [`ledger`]: compares billed units with the units that nodes counted

pub mod audit;
pub mod day;
pub mod drill;
pub mod fleet;
pub mod ledger;
