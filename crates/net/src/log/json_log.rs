//! Logger for the `log` macros that writes JSON.
//!
//! Structured fields of the macros, as in `log::info!(service = name.as_str(); "text")`,
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

/// Most bytes of a message or field. Names in the store may have any length, and a host keeps lines in memory
/// until they are written.
const TEXT_LIMIT: usize = 1_024;

/// Configuration of a program's logger.
#[derive(Clone, Debug)]
pub struct LogSetup {
    /// Name of the program, written to every line.
    pub program: &'static str,
    /// Host or user, written to every line if given.
    pub host: Option<String>,
    /// Initial level; [`set_level`] changes it.
    pub level: LevelFilter,
    /// Output that the lines are written to.
    pub target: LogTarget,
}

/// Output of the logger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error, written synchronously by the task that logs.
    StandardError,
    /// Standard output, written by a separate thread behind a bounded queue. Lines that
    /// do not fit into the queue are dropped and counted, so that a slow reader of the
    /// output never blocks a task.
    BoundedOutput,
}

/// Installs the process-wide logger; fails if one is installed already.
pub fn start(setup: LogSetup) -> Result<(), log::SetLoggerError> {
    let level = setup.level;
    let output: fern::Output = match setup.target {
        LogTarget::StandardError => std::io::stderr().into(),
        LogTarget::BoundedOutput => {
            let writer = LineWriter::start(setup.program);
            fern::Output::call(move |record| writer.send(record.args().to_string()))
        }
    };
    // The dispatcher filters only the HTTP libraries. For everything else,
    // `log::set_max_level` filters, because it can change the level at run time.
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

/// Changes the level at run time.
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
    line.insert("message".into(), shortened(message.to_string()).into());
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
            _ => shortened(value.to_string()).into(),
        };
        // A field with the name of a fixed member, such as `level`, must not replace it.
        self.0.entry(key.as_str()).or_insert(json);
        Ok(())
    }
}

/// The text, cut off after [`TEXT_LIMIT`] bytes, with its length if it is longer.
fn shortened(text: String) -> String {
    if text.len() <= TEXT_LIMIT {
        return text;
    }
    let end = text.floor_char_boundary(TEXT_LIMIT);
    format!("{}... ({} bytes)", &text[..end], text.len())
}
