//! Sets up the logger of the process.

use flexi_logger::DeferredNow;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use log::Record;
use serde_json::json;

use super::CliError;
use crate::settings::LogFormat;
use crate::settings::LogSettings;
use crate::telemetry::BoundedLog;

/// Starts logging to standard error; it stops when the handle is dropped.
pub(super) fn start(settings: LogSettings) -> Result<LoggerHandle, CliError> {
    let mut specification = LogSpecification::builder();
    specification
        .default(log::LevelFilter::Warn)
        .module("rocket", log::LevelFilter::Error)
        .module("figramp", settings.level);
    let format = match settings.format {
        LogFormat::Text => write_text,
        LogFormat::Json => write_json,
    };
    Logger::with(specification.build())
        .log_to_stderr()
        .format(format)
        .start()
        .map_err(|error| CliError::Failed(format!("starting the logger failed: {error}")))
}

/// Starts logging for an entry VM; the returned log buffers lines until they are written.
pub(super) fn start_bounded() -> Result<(LoggerHandle, BoundedLog), CliError> {
    let bounded = BoundedLog::new(write_json);
    let mut specification = LogSpecification::builder();
    specification
        .default(log::LevelFilter::Warn)
        .module("figramp", log::LevelFilter::Info);
    let handle = Logger::with(specification.build())
        .log_to_writer(Box::new(bounded.clone()))
        .start()
        .map_err(|error| CliError::Failed(format!("starting the logger failed: {error}")))?;
    Ok((handle, bounded))
}

fn write_text(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.now().format("%Y-%m-%dT%H:%M:%S%.3f");
    write!(writer, "{time} {:5} {}", record.level(), record.args())?;
    for (key, value) in fields(record) {
        write!(writer, " {key}={value}")?;
    }
    Ok(())
}

fn write_json(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let mut line = fields(record);
    line.insert(
        "time".to_owned(),
        json!(now.now().format("%Y-%m-%dT%H:%M:%S%.3f%:z").to_string()),
    );
    line.insert("level".to_owned(), json!(record.level().as_str()));
    line.insert("module".to_owned(), json!(record.module_path()));
    line.insert("message".to_owned(), json!(record.args().to_string()));
    write!(writer, "{}", serde_json::Value::Object(line))
}

#[derive(Default)]
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match value.to_u64() {
            Some(number) => json!(number),
            None => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> serde_json::Map<String, serde_json::Value> {
    let mut fields = Fields::default();
    let _ = record.key_values().visit(&mut fields);
    fields.0
}
