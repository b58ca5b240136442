//! The logger behind the `log` macros.
//!
//! Fields of the macros, as in `log::info!(service = name.as_str(); "text")`,
//! become members of the JSON object.

use {
    super::line_writer::LineWriter,
    crate::clock::wall_millis,
    log::{
        LevelFilter, Record,
        kv::{self, Key, Value, VisitSource},
    },
    serde_json::{Map, Value as Json},
    std::fmt::Arguments,
};

/// Who writes the log.
#[derive(Clone, Debug)]
pub struct LogSetup {
    /// Program's name.
    pub program: &'static str,
    /// Host or user, if there is one.
    pub host: Option<String>,
    /// Level at start.
    pub level: LevelFilter,
    /// Where the lines go.
    pub target: LogTarget,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error, written by the task that logs.
    StandardError,
    /// Standard output, written by a thread of its own; lines that it cannot write in
    /// time are dropped and counted, so that no task waits for a slow reader.
    BoundedOutput,
}

/// Starts logging; fails if the process has a logger already.
pub fn start(setup: LogSetup) -> Result<(), log::SetLoggerError> {
    let level = setup.level;
    let output: fern::Output = match setup.target {
        LogTarget::StandardError => std::io::stderr().into(),
        LogTarget::BoundedOutput => {
            let writer = LineWriter::start(setup.program);
            fern::Output::call(move |record| writer.send(record.args().to_string()))
        }
    };
    // The dispatcher passes everything; `log::set_max_level` alone filters, so
    // that the level can change while running.
    fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .level_for("h2", LevelFilter::Warn)
        .level_for("hyper", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", json_line(&setup, message, record)));
        })
        .chain(output)
        .apply()?;
    log::set_max_level(level);
    Ok(())
}

/// Changes the level while the program runs.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

fn json_line(setup: &LogSetup, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("time_ms".into(), wall_millis().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("program".into(), setup.program.into());
    if let Some(host) = &setup.host {
        line.insert("host".into(), host.as_str().into());
    }
    line.insert("module".into(), record.target().into());
    line.insert("message".into(), message.to_string().into());
    let mut fields = FieldVisitor(&mut line);
    let _ = record.key_values().visit(&mut fields);
    Json::Object(line).to_string()
}

struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        // A field never replaces one of the fixed members.
        self.0.entry(key.as_str()).or_insert(json);
        Ok(())
    }
}
