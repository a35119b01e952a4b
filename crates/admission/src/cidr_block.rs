//! Blocks of addresses in CIDR notation. An IPv4 address and its IPv4-mapped IPv6 address are the same address: sockets
//! for both families report one client by either.

use std::net::IpAddr;

/// A block of addresses, such as `10.1.0.0/16`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CidrBlock {
    bits: u128,
    prefix_length: u32,
    family: Family,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Family {
    Ipv4,
    Ipv6,
}

impl Family {
    fn address_length(self) -> u32 {
        match self {
            Family::Ipv4 => 32,
            Family::Ipv6 => 128,
        }
    }
}

/// Why a text is no block.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CidrError {
    /// It is no address, or its prefix length is no number.
    #[error("{0:?}: expected an address, or one with a prefix length such as 10.1.0.0/16")]
    Syntax(String),
    /// The prefix is longer than the address.
    #[error("{text:?}: prefix length {length}, at most {max} for this kind of address")]
    PrefixLength {
        /// The text.
        text: String,
        /// The prefix length in it.
        length: u32,
        /// The length of its address.
        max: u32,
    },
    /// Bits beyond the prefix length are set.
    #[error("{0:?}: the address has bits beyond its prefix length")]
    HostBits(String),
}

/// The address without the mapping of IPv4 into IPv6.
pub(crate) fn canonical(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(v6) => v6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        v4 => v4,
    }
}

/// The bits of an address, at the upper end.
fn bits(address: IpAddr) -> (u128, Family) {
    match canonical(address) {
        IpAddr::V4(v4) => (u128::from(u32::from(v4)) << 96, Family::Ipv4),
        IpAddr::V6(v6) => (u128::from(v6), Family::Ipv6),
    }
}

fn mask(prefix_length: u32) -> u128 {
    if prefix_length == 0 {
        0
    } else {
        u128::MAX << (128 - prefix_length)
    }
}

impl CidrBlock {
    /// The block of the first `prefix_length` bits of an address, of all its bits if it has fewer.
    pub fn containing(address: IpAddr, prefix_length: u32) -> CidrBlock {
        let (bits, family) = bits(address);
        let prefix_length = prefix_length.min(family.address_length());
        CidrBlock { bits: bits & mask(prefix_length), prefix_length, family }
    }

    /// Parses `ADDRESS/LENGTH`, or an address alone.
    ///
    /// # Errors
    /// See [`CidrError`].
    pub fn parse(text: &str) -> Result<CidrBlock, CidrError> {
        let syntax_error = || CidrError::Syntax(text.to_owned());
        let (address, length) = match text.split_once('/') {
            Some((address, length)) => (address, Some(length)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().map_err(|_| syntax_error())?;
        let (address_bits, family) = bits(address);
        let max = family.address_length();
        let length: u32 = length.map_or(Ok(max), str::parse).map_err(|_| syntax_error())?;
        if length > max {
            return Err(CidrError::PrefixLength { text: text.to_owned(), length, max });
        }
        let block = CidrBlock::containing(address, length);
        if address_bits != block.bits {
            return Err(CidrError::HostBits(text.to_owned()));
        }
        Ok(block)
    }

    /// Whether an address is in it.
    pub fn contains(&self, address: IpAddr) -> bool {
        let (bits, family) = bits(address);
        family == self.family && bits & mask(self.prefix_length) == self.bits
    }
}
