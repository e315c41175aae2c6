//! IPv4 prefixes.

use std::net::Ipv4Addr;

use derive_more::Display;

/// An IPv4 prefix such as `10.1.0.0/16`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{}/{len}", Ipv4Addr::from(*first))]
pub struct Prefix {
    first: u32,
    len: u32,
}

impl Prefix {
    /// Returns the first address of the prefix.
    pub fn first(&self) -> Ipv4Addr {
        self.first.into()
    }

    /// Returns whether an address is in the prefix.
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        u32::from(address) & mask(self.len) == self.first
    }

    /// Returns whether some address is in both prefixes.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.contains(other.first()) || other.contains(self.first())
    }
}

impl TryFrom<&str> for Prefix {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        let malformed = || format!("{text:?} is not an IPv4 prefix such as 10.1.0.0/16");
        let (ip, len) = text.split_once('/').ok_or_else(malformed)?;
        let ip: Ipv4Addr = ip.parse().map_err(|_| malformed())?;
        let len: u32 = len.parse().map_err(|_| malformed())?;
        if len > u32::BITS {
            return Err(format!("{text:?} is longer than {} bits", u32::BITS));
        }
        let first = u32::from(ip) & mask(len);
        if first != u32::from(ip) {
            return Err(format!(
                "{text:?} has bits after the prefix; did you mean {}/{len}?",
                Ipv4Addr::from(first)
            ));
        }
        Ok(Self { first, len })
    }
}

fn mask(len: u32) -> u32 {
    u32::MAX.checked_shl(u32::BITS - len).unwrap_or(0)
}
