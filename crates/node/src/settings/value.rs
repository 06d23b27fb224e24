//! Values that several sections of the settings have.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

/// The longest path in bytes.
const MAX_PATH_BYTES: usize = 256;

/// Reads an IP number with a port.
pub(super) fn addr(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("must be an IP number with a port, is {text:?}"))
}

/// Reads an address of this machine alone.
pub(super) fn loopback(text: &str) -> Result<SocketAddr, String> {
    let addr = addr(text)?;
    if !addr.ip().is_loopback() {
        return Err(format!("must be a loopback address, is {text:?}"));
    }
    Ok(addr)
}

/// Reads the path of an HTTP request.
pub(super) fn path(text: &str) -> Result<String, String> {
    let graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
    if !text.starts_with('/') || !graphic || text.len() > MAX_PATH_BYTES {
        return Err(format!(
            "must begin with / and have at most {MAX_PATH_BYTES} printable ASCII bytes, is {text:?}"
        ));
    }
    Ok(text.to_owned())
}

/// Reads a number with a fraction that the platform may leave empty.
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

/// Takes a number that fits 32 bits, or `default` if it is missing.
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

/// Takes a time in milliseconds, or `default` if it is missing.
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

/// Takes a size, or `default` if it is missing.
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
