//! Who is known: addresses whose requests were lately served within quota, and blocks that the settings name.
//!
//! The table has a fixed number of places. Only a served request takes one, so a flood that is refused cannot push
//! anybody out; a client that is served can, but each account holds a limited number of places and takes its own
//! oldest first. Where all are taken the one served longest ago goes.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A block of addresses, such as `10.1.0.0/16`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    bits: u128,
    length: u32,
    v6: bool,
}

fn bits(address: IpAddr) -> (u128, u32, bool) {
    match address {
        IpAddr::V4(a) => (u128::from(u32::from(a)) << 96, 32, false),
        IpAddr::V6(a) => match a.to_ipv4_mapped() {
            // A socket for both kinds tells one client by two names: it is one client.
            Some(v4) => (u128::from(u32::from(v4)) << 96, 32, false),
            None => (u128::from(a), 128, true),
        },
    }
}

fn mask(length: u32) -> u128 {
    if length == 0 {
        0
    } else {
        u128::MAX << (128 - length)
    }
}

impl Block {
    /// The block of the first `length` bits of an address.
    pub fn of(address: IpAddr, length: u32) -> Block {
        let (bits, most, v6) = bits(address);
        let length = length.min(most);
        Block { bits: bits & mask(length), length, v6 }
    }

    /// Reads `ADDRESS/LENGTH`, or an address alone.
    ///
    /// # Errors
    /// What was found and what is expected.
    pub fn parse(text: &str) -> Result<Block, String> {
        let expected =
            || format!("{text:?}: expected an address, or one with a prefix length such as 10.1.0.0/16");
        let (address, length) = text.split_once('/').map_or((text, None), |(a, l)| (a, Some(l)));
        let address: IpAddr = address.parse().map_err(|_| expected())?;
        let most = bits(address).1;
        let length: u32 = length.map_or(Ok(most), str::parse).map_err(|_| expected())?;
        if length > most {
            return Err(format!("{text:?}: prefix length {length}, at most {most} for this kind of address"));
        }
        let block = Block::of(address, length);
        if bits(address).0 != block.bits {
            return Err(format!("{text:?}: the address has bits beyond its prefix length"));
        }
        Ok(block)
    }

    /// Whether an address is in it.
    pub fn holds(&self, address: IpAddr) -> bool {
        let (bits, _, v6) = bits(address);
        v6 == self.v6 && bits & mask(self.length) == self.bits
    }

    /// A number for tables: unlike blocks have unlike numbers.
    pub(crate) fn key(&self) -> (u128, u32, bool) {
        (self.bits, self.length, self.v6)
    }
}

/// An address under the one name that it has in all tables.
pub(crate) fn plain(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(a) => a.to_ipv4_mapped().map_or(address, IpAddr::V4),
        v4 => v4,
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    address: IpAddr,
    served: Micros,
    account: u64,
    preferred: bool,
}

/// Limits of the table.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    /// Addresses that are remembered.
    pub most: usize,
    /// Addresses that one account can make known.
    pub per_account: usize,
    /// How long after its last served request an address stays known.
    pub lasts: Micros,
}

/// The table.
pub struct Known {
    places: Places,
    named: Vec<Block>,
    entries: BTreeMap<IpAddr, Entry>,
    /// By time of the last served request, oldest first; by account the same.
    order: BTreeSet<(Micros, IpAddr)>,
    accounts: BTreeMap<u64, BTreeSet<(Micros, IpAddr)>>,
}

/// Why a snapshot is not taken.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum SnapshotError {
    #[error("the file is torn or changed: its checksum differs")]
    Checksum,
    #[error("the file is of another form or version")]
    Form,
}

const MAGIC: &[u8] = b"chalkgap known 1\n";
const HASH: usize = 32;

impl Known {
    /// An empty table; `named` are known whatever they did.
    pub fn new(places: Places, named: Vec<Block>) -> Self {
        let (entries, order, accounts) = Default::default();
        Known { places, named, entries, order, accounts }
    }

    /// A request of this address was served within quota.
    pub fn served(&mut self, now: Micros, address: IpAddr, account: u64, preferred: bool) {
        let address = plain(address);
        if let Some(e) = self.entries.get(&address) {
            // Written anew once a second at most: the table is not touched by every request.
            if e.account == account && e.preferred >= preferred && now < e.served + 1_000_000 {
                return;
            }
        }
        self.forget(address);
        let own = self.accounts.get(&account).filter(|l| l.len() >= self.places.per_account);
        if let Some((_, oldest)) = own.and_then(BTreeSet::first).copied() {
            self.forget(oldest);
        }
        if self.entries.len() >= self.places.most {
            if let Some((_, oldest)) = self.order.first().copied() {
                self.forget(oldest);
            }
        }
        if self.places.most == 0 || self.places.per_account == 0 {
            return;
        }
        self.entries.insert(address, Entry { address, served: now, account, preferred });
        self.order.insert((now, address));
        self.accounts.entry(account).or_default().insert((now, address));
    }

    fn forget(&mut self, address: IpAddr) {
        let Some(e) = self.entries.remove(&address) else { return };
        self.order.remove(&(e.served, address));
        if let Some(list) = self.accounts.get_mut(&e.account) {
            list.remove(&(e.served, address));
            if list.is_empty() {
                self.accounts.remove(&e.account);
            }
        }
    }

    /// Whether an address is known, and if so whether by a dearest plan.
    pub fn look(&self, now: Micros, address: IpAddr) -> Option<bool> {
        let entry = self.entries.get(&plain(address));
        let fresh = entry.filter(|e| now <= e.served.saturating_add(self.places.lasts));
        match fresh {
            Some(e) => Some(e.preferred),
            None => self.named.iter().any(|b| b.holds(address)).then_some(false),
        }
    }

    /// Addresses that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The table as bytes: a line of form and version, the entries as JSON, a checksum of all before it.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        let list: Vec<&Entry> = self.order.iter().filter_map(|(_, a)| self.entries.get(a)).collect();
        // Plain data in memory: it always has a form, and a vector takes any length.
        let _ = serde_json::to_writer(&mut bytes, &list);
        let hash = blake3::hash(&bytes);
        bytes.extend_from_slice(hash.as_bytes());
        bytes
    }

    /// Takes a snapshot's entries, but those that are too old by now or lie in the future.
    ///
    /// # Errors
    /// See [`SnapshotError`]; the table stays as it was.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<usize, SnapshotError> {
        let (body, hash) =
            bytes.split_at_checked(bytes.len().saturating_sub(HASH)).ok_or(SnapshotError::Form)?;
        let list = body.strip_prefix(MAGIC).ok_or(SnapshotError::Form)?;
        if blake3::hash(body).as_bytes() != hash {
            return Err(SnapshotError::Checksum);
        }
        let list: Vec<Entry> = serde_json::from_slice(list).map_err(|_| SnapshotError::Form)?;
        let fresh = |e: &Entry| e.served <= now && now <= e.served.saturating_add(self.places.lasts);
        let list: Vec<Entry> = list.into_iter().filter(fresh).collect();
        for e in &list {
            self.served(e.served, e.address, e.account, e.preferred);
        }
        Ok(self.entries.len())
    }
}
