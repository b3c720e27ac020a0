//! Checks of single values. Their errors name the key of the value.
use super::error::InvalidSettings;
use std::net::SocketAddr;

/// Parses an IP address and port.
pub(super) fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, InvalidSettings> {
    text.parse().map_err(|_| InvalidSettings::NotAnAddress {
        key,
        text: text.to_owned(),
    })
}

/// Returns the value if it is from `min` to `max`, both included.
pub(super) fn check_range(
    key: &str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<f64, InvalidSettings> {
    // The range contains neither NaN nor an infinity.
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(InvalidSettings::OutOfRange {
            key: key.to_owned(),
            min,
            max,
            value,
        })
    }
}

/// Checks a limit and the upcoming limit that will replace it, and returns the lower of the two.
/// The lower limit applies from the start, since the time of the change is not known.
pub(super) fn check_lower_limit(
    name: &str,
    current: f64,
    upcoming: Option<f64>,
    max: f64,
) -> Result<f64, InvalidSettings> {
    let current = check_range(&format!("deployment.state.{name}"), current, 1.0, max)?;
    let Some(upcoming) = upcoming else {
        return Ok(current);
    };
    let upcoming = check_range(&format!("deployment.state.next.{name}"), upcoming, 1.0, max)?;
    Ok(if upcoming < current {
        upcoming
    } else {
        current
    })
}
