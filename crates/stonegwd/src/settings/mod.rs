//! Reads and checks the platform's settings file (TOML) and the operators' tuning file (HCL).
mod check;
mod error;
mod platform;
mod platform_file;
#[cfg(test)]
mod tests;
mod tuning;

pub(crate) use error::SettingsError;

use error::InvalidSettings;
use platform::parse_platform_settings;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use stonegw_control::settings::{Settings, Tuning};
use tuning::parse_tuning;

/// All settings of the daemon, after the checks.
pub(crate) struct LoadedSettings {
    /// Settings of the controller.
    pub(crate) settings: Settings,
    /// Address at which the daemon accepts connections of users and workers.
    pub(crate) client_listen: SocketAddr,
    /// Address at which the daemon accepts connections of the other controllers.
    pub(crate) cluster_listen: SocketAddr,
    /// IP address and port of each other controller, in the order of `settings.peers`.
    pub(crate) peer_endpoints: Vec<String>,
    /// IP address and port of the cloud.
    pub(crate) cloud_endpoint: String,
    /// IP address and port of the key-value store.
    pub(crate) store_endpoint: String,
}

/// Reads and checks the platform's settings file and, if there is one, the operators' tuning file.
pub(crate) fn load_settings(
    config: &Path,
    tuning: Option<&Path>,
) -> Result<LoadedSettings, SettingsError> {
    let tuning = match tuning {
        Some(path) => load_file(path, parse_tuning)?,
        None => Tuning::default(),
    };
    load_file(config, |text| parse_platform_settings(text, tuning))
}

fn load_file<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, InvalidSettings>,
) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|source| SettingsError::Invalid {
        path: path.to_owned(),
        source,
    })
}
