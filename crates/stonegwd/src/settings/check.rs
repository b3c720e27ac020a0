//! Checks of single values, which name the key in their errors.
use super::error::InvalidSettings;
use std::net::SocketAddr;

/// An IP address and port.
pub(super) fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, InvalidSettings> {
    text.parse().map_err(|_| InvalidSettings::NotAnAddress {
        key,
        text: text.to_owned(),
    })
}

/// A number from `min` to `max`, both included.
pub(super) fn check_range(
    key: &str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<f64, InvalidSettings> {
    // Neither NaN nor an infinity is in a range.
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

/// A limit and the one that will replace it: the lower of both holds from the start, since the time
/// of the change is not known.
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
