//! `limpetctl services`.

use std::net::SocketAddr;
use std::path::Path;

use super::CtlError;
use crate::platform::{Call, HttpPlatform, Platform, PlatformError, Reply};
use crate::services::{OBJECT_NAME, RawServices, Services};
use crate::settings::Findings;

/// Shows the services in force, as TOML.
pub(super) fn show(platform: SocketAddr) -> Result<(), CtlError> {
    let call = Call::Get { name: OBJECT_NAME.to_owned() };
    let reply = smol::block_on(HttpPlatform::new(platform).call(call))?;
    let Reply::Object(object) = reply else {
        return Err(PlatformError::NoAnswer("the answer is no object".to_owned()).into());
    };
    let raw: RawServices = serde_json::from_value(object.value)
        .map_err(|e| Findings::one(OBJECT_NAME, e.to_string()))?;
    let text = toml::to_string(&raw).map_err(|e| Findings::one(OBJECT_NAME, e.to_string()))?;
    print!("# version {}\n{text}", object.version);
    Ok(())
}

/// Puts the services of a file in force.
pub(super) fn apply(file: &Path, platform: SocketAddr) -> Result<(), CtlError> {
    let raw = read(file)?;
    let services = Services::try_from(raw.clone())?;
    let value = serde_json::to_value(&raw)
        .map_err(|e| Findings::one(file.display().to_string(), e.to_string()))?;
    let platform = HttpPlatform::new(platform);
    let if_version = Some(version(&platform)?);
    let call = Call::Put { name: OBJECT_NAME.to_owned(), if_version, value };
    if let Reply::Written(version) = smol::block_on(platform.call(call))? {
        println!("version {version}: {} services in force", services.list().len());
    }
    Ok(())
}

fn read(file: &Path) -> Result<RawServices, Findings> {
    let place = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Findings::one(place, e.to_string()))?;
    toml::from_str(&text).map_err(|e| Findings::from_toml(&text, &e))
}

fn version(platform: &HttpPlatform) -> Result<u64, PlatformError> {
    let call = Call::Get { name: OBJECT_NAME.to_owned() };
    match smol::block_on(platform.call(call)) {
        Ok(Reply::Object(object)) => Ok(object.version),
        Ok(_) | Err(PlatformError::NotFound) => Ok(0),
        Err(e) => Err(e),
    }
}
