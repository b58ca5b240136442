//! Parses the metrics page of a daemon.

/// Values of one metrics page by name with labels.
#[derive(Clone, Debug, Default)]
pub struct MetricValues(Vec<(String, f64)>);

impl MetricValues {
    pub fn parse(text: &str) -> Self {
        let mut values = Vec::new();
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            if let Ok(value) = value.parse() {
                values.push((name.to_owned(), value));
            }
        }
        Self(values)
    }

    /// Value of a metric; `name` includes the labels but not the prefix `camphorcove_`.
    pub fn get(&self, name: &str) -> Option<f64> {
        let name = format!("camphorcove_{name}");
        let mut values = self.0.iter();
        values.find(|entry| entry.0 == name).map(|entry| entry.1)
    }
}
