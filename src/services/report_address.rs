//! Address of a target's load report.

use std::net::SocketAddr;

use derive_more::Display;
use hyper::http::uri::PathAndQuery;

/// Address and path of a target's load report, which is read over HTTP.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{address}{path}")]
pub struct ReportAddress {
    /// TCP address.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
}

impl TryFrom<&str> for ReportAddress {
    type Error = String;

    fn try_from(text: &str) -> Result<Self, String> {
        let invalid = || format!("{text:?} is not an IP address with a port and a path");
        let slash = text.find('/').ok_or_else(invalid)?;
        let (address, path) = text.split_at(slash);
        let address: SocketAddr = address.parse().map_err(|_| invalid())?;
        let path: PathAndQuery = path.parse().map_err(|_| invalid())?;
        if address.port() == 0 {
            return Err(format!("{text:?} has port 0"));
        }
        Ok(Self { address, path: path.to_string() })
    }
}
