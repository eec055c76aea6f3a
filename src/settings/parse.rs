//! Reads and checks settings.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use toml::Spanned;

use super::source_text::SourceText;
use super::wire::BoundsWire;
use super::wire::IntervalsWire;
use super::wire::LogFormatWire;
use super::wire::LogLevelWire;
use super::wire::LogWire;
use super::wire::PeersWire;
use super::wire::PlatformWire;
use super::wire::SettingsWire;
use super::wire::VmWire;
use super::BoundSettings;
use super::IntervalSettings;
use super::LogFormat;
use super::LogSettings;
use super::PeerSettings;
use super::PlatformSettings;
use super::Settings;
use super::SettingsError;
use crate::catalog::ServiceState;
use crate::catalog::VmSpec;
use crate::configuration::ConfigurationSettings;
use crate::configuration::VmIdentity;

const PLATFORM_TIMEOUT_MS: u64 = 3_000;
const TIMEOUT_MAX_MS: u64 = 60_000;
const INTERVAL_MAX_MS: u64 = 600_000;
const BODY_MAX_BYTES: u64 = 256 * 1024 * 1024;
const REQUESTS_MAX: u64 = 1_000_000;
const TOKENS_MAX: u64 = 1_000_000_000_000;

/// The least number of ticks in a lease, so that a late tick is not mistaken for a pause.
const TICKS_PER_LEASE_MIN: u64 = 4;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// Paths in the file are relative to its folder.
    ///
    /// # Errors
    ///
    /// Returns the first problem with file, line, field and what was expected.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        let mut settings = Self::parse(&file, &text)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        settings.peers.secret_file = folder.join(&settings.peers.secret_file);
        Ok(settings)
    }

    /// Checks the text of a settings file; `file` is its name in messages.
    ///
    /// # Errors
    ///
    /// Returns the first problem with file, line, field and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let source = SourceText { file, text };
        let wire = read(source)?;
        check_distinct(source, &wire)?;
        let settings = Self {
            vm: vm(source, "vm", &wire.vm)?,
            platform: platform(source, &wire.platform)?,
            peers: peers(source, &wire.peers)?,
            log: LogSettings::from(&wire.log),
            bounds: bounds(source, &wire.bounds)?,
            intervals: intervals(source, &wire.intervals)?,
        };
        Ok(settings)
    }
}

fn read(source: SourceText<'_>) -> Result<SettingsWire, SettingsError> {
    let deserializer = toml::Deserializer::parse(source.text)
        .map_err(|error| toml_error(source, "file", &error))?;
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let path = error.path().to_string();
        toml_error(source, field_of_path(&path), error.inner())
    })
}

/// Removes the segment that `Spanned` adds to a path.
fn field_of_path(path: &str) -> &str {
    path.split(".$__serde_spanned").next().unwrap_or(path)
}

fn toml_error(source: SourceText<'_>, field: &str, error: &toml::de::Error) -> SettingsError {
    let offset = error.span().map(|span| span.start).unwrap_or_default();
    source.error_at(field, offset, error.message())
}

fn vm(source: SourceText<'_>, at: &str, wire: &VmWire) -> Result<VmIdentity, SettingsError> {
    let field = |name: &str| format!("{at}.{name}");
    let name = source.name(&field("name"), &wire.name)?;
    let spec = VmSpec {
        region: source.name(&field("region"), &wire.region)?,
        availability_zone: source.name(&field("availability_zone"), &wire.availability_zone)?,
        caller_address: source.address(&field("caller_address"), &wire.caller_address)?,
        peer_address: source.address(&field("peer_address"), &wire.peer_address)?,
        operator_address: source.address(&field("operator_address"), &wire.operator_address)?,
        state: ServiceState::Active,
    };
    Ok(VmIdentity { name, spec })
}

fn platform(
    source: SourceText<'_>,
    wire: &PlatformWire,
) -> Result<PlatformSettings, SettingsError> {
    let address: SocketAddr = source.address("platform.address", &wire.address)?;
    let timeout_ms = source.number(
        "platform.timeout_ms",
        wire.timeout_ms.as_ref(),
        1..=TIMEOUT_MAX_MS,
        PLATFORM_TIMEOUT_MS,
    )?;
    Ok(PlatformSettings {
        address,
        timeout: Duration::from_millis(timeout_ms),
    })
}

fn peers(source: SourceText<'_>, wire: &PeersWire) -> Result<PeerSettings, SettingsError> {
    if wire.secret_file.get_ref().is_empty() {
        let problem = "expected the path of a file, got \"\"";
        return Err(source.error("peers.secret_file", &wire.secret_file, problem));
    }
    let seeds = wire
        .seeds
        .iter()
        .enumerate()
        .map(|(index, seed)| vm(source, &seed_field(index), seed))
        .collect::<Result<Vec<VmIdentity>, SettingsError>>()?;
    Ok(PeerSettings {
        secret_file: PathBuf::from(wire.secret_file.get_ref()),
        seeds,
    })
}

fn seed_field(index: usize) -> String {
    format!("peers.seeds[{index}]")
}

fn check_distinct(source: SourceText<'_>, wire: &SettingsWire) -> Result<(), SettingsError> {
    let local_vm = std::iter::once(("vm".to_owned(), &wire.vm));
    let seeds = wire.peers.seeds.iter().enumerate();
    let seeds = seeds.map(|(index, seed)| (seed_field(index), seed));
    let vms: Vec<(String, &VmWire)> = local_vm.chain(seeds).collect();
    let names = vms.iter().map(|(at, vm)| (format!("{at}.name"), &vm.name));
    source.distinct(names)?;
    let platform = ("platform.address".to_owned(), &wire.platform.address);
    let addresses = vms.iter().flat_map(|(at, vm)| addresses(at, vm));
    source.distinct(std::iter::once(platform).chain(addresses))
}

fn addresses<'w>(at: &str, vm: &'w VmWire) -> [(String, &'w Spanned<String>); 3] {
    [
        (format!("{at}.caller_address"), &vm.caller_address),
        (format!("{at}.peer_address"), &vm.peer_address),
        (format!("{at}.operator_address"), &vm.operator_address),
    ]
}

fn bounds(source: SourceText<'_>, wire: &BoundsWire) -> Result<BoundSettings, SettingsError> {
    let default = BoundSettings::default();
    let count = |field: &str, value: &Option<Spanned<u64>>, max: u64, default: usize| {
        let field = format!("bounds.{field}");
        let number = source.number(&field, value.as_ref(), 1..=max, default as u64)?;
        Ok(usize::try_from(number).unwrap_or(usize::MAX))
    };
    let queued_max_tokens = source.number(
        "bounds.queued_max_tokens",
        wire.queued_max_tokens.as_ref(),
        1..=TOKENS_MAX,
        default.queued_max_tokens,
    )?;
    Ok(BoundSettings {
        body_max_bytes: count(
            "body_max_bytes",
            &wire.body_max_bytes,
            BODY_MAX_BYTES,
            default.body_max_bytes,
        )?,
        queued_max_requests: count(
            "queued_max_requests",
            &wire.queued_max_requests,
            REQUESTS_MAX,
            default.queued_max_requests,
        )?,
        queued_max_tokens,
        running_max_requests: count(
            "running_max_requests",
            &wire.running_max_requests,
            REQUESTS_MAX,
            default.running_max_requests,
        )?,
        audit_max_entries: count(
            "audit_max_entries",
            &wire.audit_max_entries,
            REQUESTS_MAX,
            default.audit_max_entries,
        )?,
        explained_max_requests: count(
            "explained_max_requests",
            &wire.explained_max_requests,
            REQUESTS_MAX,
            default.explained_max_requests,
        )?,
    })
}

fn intervals(
    source: SourceText<'_>,
    wire: &IntervalsWire,
) -> Result<IntervalSettings, SettingsError> {
    let default = IntervalSettings::default();
    let propagation = default.configuration;
    let interval = |field: &str, value: &Option<Spanned<u64>>, default: Duration| {
        let field = format!("intervals.{field}");
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        let number = source.number(&field, value.as_ref(), 1..=INTERVAL_MAX_MS, default_ms)?;
        Ok::<Duration, SettingsError>(Duration::from_millis(number))
    };
    let tick = interval("tick_ms", &wire.tick_ms, default.tick)?;
    let lease = interval("lease_ms", &wire.lease_ms, default.lease)?;
    check_lease(source, wire, tick, lease)?;
    Ok(IntervalSettings {
        tick,
        lease,
        heartbeat: interval("heartbeat_ms", &wire.heartbeat_ms, default.heartbeat)?,
        load_report: interval("load_report_ms", &wire.load_report_ms, default.load_report)?,
        entries_ttl: interval("entries_ttl_ms", &wire.entries_ttl_ms, default.entries_ttl)?,
        drain_notice: interval(
            "drain_notice_ms",
            &wire.drain_notice_ms,
            default.drain_notice,
        )?,
        configuration: ConfigurationSettings {
            gossip_interval: interval("gossip_ms", &wire.gossip_ms, propagation.gossip_interval)?,
            boot_wait: interval("boot_wait_ms", &wire.boot_wait_ms, propagation.boot_wait)?,
            watch_wait: interval("watch_wait_ms", &wire.watch_wait_ms, propagation.watch_wait)?,
            poll_interval: interval("poll_ms", &wire.poll_ms, propagation.poll_interval)?,
            pause_limit: lease,
            ..propagation
        },
    })
}

fn check_lease(
    source: SourceText<'_>,
    wire: &IntervalsWire,
    tick: Duration,
    lease: Duration,
) -> Result<(), SettingsError> {
    let ticks_ms = tick.as_millis() * u128::from(TICKS_PER_LEASE_MIN);
    if lease.as_millis() >= ticks_ms {
        return Ok(());
    }
    let problem = format!(
        "expected at least {TICKS_PER_LEASE_MIN} ticks of {} ms, got {} ms",
        tick.as_millis(),
        lease.as_millis()
    );
    let (field, value) = match (&wire.lease_ms, &wire.tick_ms) {
        (Some(value), _) => ("intervals.lease_ms", value),
        (None, Some(value)) => ("intervals.tick_ms", value),
        (None, None) => return Ok(()),
    };
    Err(source.error(field, value, problem))
}

impl From<&LogWire> for LogSettings {
    fn from(wire: &LogWire) -> Self {
        Self {
            format: match wire.format {
                LogFormatWire::Text => LogFormat::Text,
                LogFormatWire::Json => LogFormat::Json,
            },
            level: match wire.level {
                LogLevelWire::Error => log::LevelFilter::Error,
                LogLevelWire::Warn => log::LevelFilter::Warn,
                LogLevelWire::Info => log::LevelFilter::Info,
                LogLevelWire::Debug => log::LevelFilter::Debug,
                LogLevelWire::Trace => log::LevelFilter::Trace,
            },
        }
    }
}
