//! Load reports of backends, whose values are named in the settings.

use chalkgap_core::LoadReport;

/// Builds a load report from its values, named as in the setting `reporting.fields`. Unknown names are skipped.
pub fn report<'n>(values: impl IntoIterator<Item = (&'n str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values {
        let field = match name {
            "concurrent" => &mut report.in_flight,
            "depth" => &mut report.queued,
            "load_share" => &mut report.utilization,
            "mean_ms" => &mut report.latency_ms,
            "tps" => &mut report.requests_per_second,
            "err_ps" => &mut report.errors_per_second,
            _ => continue,
        };
        *field = Some(value);
    }
    report
}
