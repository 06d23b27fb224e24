//! Parsers of values that are used by several sections of the settings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

/// The longest path, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// Parses an IP address with a port.
pub(super) fn addr(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("must be an IP number with a port, is {text:?}"))
}

/// Parses a loopback address with a port.
pub(super) fn loopback(text: &str) -> Result<SocketAddr, String> {
    let addr = addr(text)?;
    if !addr.ip().is_loopback() {
        return Err(format!("must be a loopback address, is {text:?}"));
    }
    Ok(addr)
}

/// Parses the path of an HTTP request.
pub(super) fn path(text: &str) -> Result<String, String> {
    let graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
    if !text.starts_with('/') || !graphic || text.len() > MAX_PATH_BYTES {
        return Err(format!(
            "must begin with / and have at most {MAX_PATH_BYTES} printable ASCII bytes, is {text:?}"
        ));
    }
    Ok(text.to_owned())
}

/// Parses a decimal number within `range`; `None` for an empty text, which a platform
/// gives if it doesn't provide the number.
pub(super) fn decimal(
    text: &str,
    range: &RangeInclusive<f64>,
    unit: &str,
) -> Result<Option<f64>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    let value = text.parse::<f64>().ok();
    let value = value.filter(|value| range.contains(value));
    let (min, max) = (range.start(), range.end());
    let value = value.ok_or_else(|| format!("must be {min} to {max}{unit}, is {text:?}"))?;
    Ok(Some(value))
}

/// Reads a number of at most 32 bits, or `default` if it is missing.
pub(super) fn u32_or(
    table: &mut Table<'_>,
    key: &str,
    range: RangeInclusive<u64>,
    default: u32,
    faults: &mut Faults,
) -> Option<u32> {
    let n = table.number_or(key, range, default.into(), faults)?;
    u32::try_from(n).ok()
}

/// Reads a time in milliseconds, or `default` if it is missing.
pub(super) fn millis_or(
    table: &mut Table<'_>,
    key: &str,
    range: RangeInclusive<u64>,
    default: Duration,
    faults: &mut Faults,
) -> Option<Duration> {
    let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
    let n = table.number_or(key, range, default, faults)?;
    Some(Duration::from_millis(n))
}

/// Reads a size or count, or `default` if it is missing.
pub(super) fn usize_or(
    table: &mut Table<'_>,
    key: &str,
    range: RangeInclusive<u64>,
    default: usize,
    faults: &mut Faults,
) -> Option<usize> {
    let n = table.number_or(key, range, default as u64, faults)?;
    usize::try_from(n).ok()
}
