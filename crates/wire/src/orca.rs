//! Load reports of nodes in the text form of ORCA's trailer `endpoint-load-metrics` (xds.data.orca.v3.OrcaLoadReport,
//! gRFC A51): `TEXT cpu_utilization=0.3,named_metrics.queue=2`. The binary and JSON forms are passed over.

/// The trailer's name.
pub const TRAILER: &str = "endpoint-load-metrics";

/// The values of a report that have a use here. Absent ones are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of the processors in use.
    pub cpu_utilization: Option<f64>,
    /// Share of the application's own measure of full.
    pub application_utilization: Option<f64>,
    /// Requests served a second.
    pub rps: Option<f64>,
    /// Errors a second.
    pub eps: Option<f64>,
    /// `named_metrics.queue`: requests waiting.
    pub queue: Option<f64>,
    /// `named_metrics.in_flight`: requests in work.
    pub in_flight: Option<f64>,
    /// `named_metrics.latency_ms`: recent service time in milliseconds.
    pub latency_ms: Option<f64>,
}

/// Bytes of a report that are looked at: those of nodes have one or two values.
const MOST: usize = 1024;

/// Reads a report. Unknown keys are passed over; none where the form is unknown, the report is too long, or a value
/// is no finite number of nought or more.
pub fn parse(value: &[u8]) -> Option<Load> {
    let text = std::str::from_utf8(value).ok().filter(|t| t.len() <= MOST)?;
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

/// Writes a report that [`parse`] reads.
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
