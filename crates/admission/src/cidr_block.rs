//! Address blocks in CIDR notation (RFC 4632). An IPv4 address and its IPv4-mapped IPv6 address (RFC 4291, section
//! 2.5.5.2) count as the same address: a dual-stack socket reports IPv4 clients by their mapped address.

use std::net::IpAddr;

/// An address block, such as `10.1.0.0/16`.
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

/// Why a text is not an address block.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CidrError {
    /// The text has no valid address, or its prefix length is not a number.
    #[error("{0:?}: expected an address, or one with a prefix length such as 10.1.0.0/16")]
    Syntax(String),
    /// The prefix length exceeds the length of the address.
    #[error("{text:?}: prefix length {length}, at most {max} for this kind of address")]
    PrefixLength {
        /// The text.
        text: String,
        /// The prefix length in the text, in bits.
        length: u32,
        /// The maximum prefix length: that of the address, in bits.
        max: u32,
    },
    /// The address has bits set beyond the prefix length.
    #[error("{0:?}: the address has bits beyond its prefix length")]
    HostBits(String),
}

/// Returns the IPv4 address of an IPv4-mapped IPv6 address, and any other address unchanged.
pub(crate) fn canonical(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(v6) => v6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        v4 => v4,
    }
}

/// Returns the bits of an address, left-aligned, and its family.
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
    /// Returns the block of addresses that share the first `prefix_length` bits of an address, or all bits if it has
    /// fewer.
    pub fn containing(address: IpAddr, prefix_length: u32) -> CidrBlock {
        let (bits, family) = bits(address);
        let prefix_length = prefix_length.min(family.address_length());
        CidrBlock { bits: bits & mask(prefix_length), prefix_length, family }
    }

    /// Parses `ADDRESS/LENGTH`, or a single address.
    ///
    /// # Errors
    /// The text is not an address block, see [`CidrError`].
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

    /// Returns whether the block contains an address.
    pub fn contains(&self, address: IpAddr) -> bool {
        let (bits, family) = bits(address);
        family == self.family && bits & mask(self.prefix_length) == self.bits
    }
}
