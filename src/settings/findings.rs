//! Findings of the validation of operators' input: collected with their location and reported
//! together.

use derive_more::{Display, Error};

/// One problem and its location.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{location}: {problem}")]
pub struct Finding {
    /// Key, line, file or object that has the problem.
    pub location: String,
    /// Description of the problem.
    pub problem: String,
}

/// All problems of one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display, Error)]
#[display("{}", self.lines())]
pub struct Findings {
    /// The findings in the order in which they were found.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Creates a list with a single finding.
    pub fn single(location: impl Into<String>, problem: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(location, problem);
        findings
    }

    /// Creates a finding from an error of the TOML parser, located by line and column.
    pub fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let start = error.span().map_or(0, |span| span.start.min(text.len()));
        let before = text.get(..start).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        Self::single(format!("line {line}, column {column}"), error.message())
    }

    /// Adds a finding.
    pub fn add(&mut self, location: impl Into<String>, problem: impl Into<String>) {
        self.list.push(Finding { location: location.into(), problem: problem.into() });
    }

    /// Adds the findings of another list.
    pub fn extend(&mut self, more: Self) {
        self.list.extend(more.list);
    }

    /// Returns the value of a check, or adds its error as a finding and returns `None`.
    pub fn ok_or_add<T>(
        &mut self,
        location: impl Into<String>,
        result: Result<T, impl Into<String>>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(problem) => {
                self.add(location, problem);
                None
            }
        }
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any, or if the value is missing.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.list.is_empty() => Ok(value),
            _ => Err(self),
        }
    }

    fn lines(&self) -> String {
        self.list.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    }
}
