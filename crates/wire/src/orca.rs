//! ORCA load reports (`xds.data.orca.v3.OrcaLoadReport`, gRFC A51) in the text format of the trailer
//! `endpoint-load-metrics`: `TEXT cpu_utilization=0.3,named_metrics.queue=2`. The binary and JSON formats are not
//! supported.

/// Name of the trailer.
pub const TRAILER: &str = "endpoint-load-metrics";

/// Values of a load report that the gateway uses. `None`: the report does not contain the value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// CPU utilization, 1.0 for all cores.
    pub cpu_utilization: Option<f64>,
    /// Utilization by the application's own measure, 1.0 at its capacity.
    pub application_utilization: Option<f64>,
    /// Requests served per second.
    pub rps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// `named_metrics.queue`: number of queued requests.
    pub queue: Option<f64>,
    /// `named_metrics.in_flight`: number of requests that the node is processing.
    pub in_flight: Option<f64>,
    /// `named_metrics.latency_ms`: recent service time in milliseconds.
    pub latency_ms: Option<f64>,
}

/// Maximum size of a report. Reports of nodes have one or two values.
const MAX_REPORT_BYTES: usize = 1024;

/// Parses a load report and ignores unknown keys.
///
/// Returns `None` if the report is not in the text format or too long, or if a value is negative or not a finite
/// number.
pub fn parse(value: &[u8]) -> Option<Load> {
    let text = std::str::from_utf8(value).ok().filter(|t| t.len() <= MAX_REPORT_BYTES)?;
    let list = text.strip_prefix("TEXT").map(|t| t.strip_prefix(':').unwrap_or(t))?;
    let mut load = Load::default();
    for pair in list.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let (key, number) = pair.split_once('=').or_else(|| pair.split_once(':'))?;
        let number = number.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)?;
        let slot = match key.trim() {
            "cpu_utilization" => &mut load.cpu_utilization,
            "application_utilization" => &mut load.application_utilization,
            "rps_fractional" | "rps" => &mut load.rps,
            "eps" => &mut load.eps,
            "named_metrics.queue" => &mut load.queue,
            "named_metrics.in_flight" => &mut load.in_flight,
            "named_metrics.latency_ms" => &mut load.latency_ms,
            _ => continue,
        };
        *slot = Some(number);
    }
    Some(load)
}

/// Formats a load report in the text format.
pub fn format(load: &Load) -> String {
    let pairs = [
        ("cpu_utilization", load.cpu_utilization),
        ("application_utilization", load.application_utilization),
        ("rps_fractional", load.rps),
        ("eps", load.eps),
        ("named_metrics.queue", load.queue),
        ("named_metrics.in_flight", load.in_flight),
        ("named_metrics.latency_ms", load.latency_ms),
    ];
    let list = pairs.iter().filter_map(|(k, v)| v.map(|v| format!("{k}={v}")));
    format!("TEXT {}", list.collect::<Vec<_>>().join(","))
}
