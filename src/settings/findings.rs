//! Findings in input that people write: collected with their place, reported together.

use derive_more::{Display, Error};

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{place}: {problem}")]
pub struct Finding {
    /// Key, line or object in which the problem stands.
    pub place: String,
    /// What is wrong, in words.
    pub problem: String,
}

/// All that is wrong with one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display, Error)]
#[display("{}", self.lines())]
pub struct Findings {
    /// The findings in the order in which the input has them.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Makes a list of a single finding.
    pub fn one(place: impl Into<String>, problem: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(place, problem);
        findings
    }

    /// Makes a finding of an error of the TOML reader, placed by line and column.
    pub fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let start = error.span().map_or(0, |span| span.start.min(text.len()));
        let before = text.get(..start).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        Self::one(format!("line {line}, column {column}"), error.message())
    }

    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, problem: impl Into<String>) {
        self.list.push(Finding { place: place.into(), problem: problem.into() });
    }

    /// Adds the findings of another list.
    pub fn extend(&mut self, more: Self) {
        self.list.extend(more.list);
    }

    /// Takes the value of a check, or notes its problem and gives nothing.
    pub fn check<T>(
        &mut self,
        place: impl Into<String>,
        result: Result<T, impl Into<String>>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(problem) => {
                self.add(place, problem);
                None
            }
        }
    }

    /// Gives the value if nothing was found.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any, or if the value is missing.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.list.is_empty() => Ok(value),
            _ => Err(self),
        }
    }

    fn lines(&self) -> String {
        self.list.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    }
}
