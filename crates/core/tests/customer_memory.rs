//! Memory of a customer's record. It has a process of its own, as it reads the memory of the whole process. Guards against a
//! limit on the number of records that does not keep the memory limit.

use chalkgap_core::CUSTOMER_RECORD_BYTES;
use common::harness::Fleet;

mod common;

/// Memory of this process without the pages of files, in bytes.
fn anonymous_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

/// A record, with what two peers report of it, takes no more memory than the limit on their number assumes.
#[test]
fn a_record_takes_no_more_memory_than_stated() {
    const CUSTOMERS: u64 = 2_700; // those of 18 s, as records are kept for 20 s
    const GATEWAYS: usize = 3;
    let mut fleet = Fleet::without_hedging(GATEWAYS as u16, 4);
    let before = anonymous_memory();
    for customer in 0..CUSTOMERS {
        let at = customer as usize % GATEWAYS;
        let (_, actions) = fleet.gateways[at].request_over(0, 0, customer, 1.0, GATEWAYS as f64);
        fleet.execute(at, actions, 0);
        if at == 0 {
            for at in 0..GATEWAYS {
                let actions = fleet.gateways[at].advance(20_000);
                fleet.execute(at, actions, 0);
            }
        }
    }
    let records = GATEWAYS * CUSTOMERS as usize;
    let bytes = (anonymous_memory() - before) / records;
    println!("{bytes} bytes a record");
    assert!(bytes <= CUSTOMER_RECORD_BYTES, "{bytes} bytes a record");
}
