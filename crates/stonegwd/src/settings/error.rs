//! What can be wrong with the settings.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why the settings cannot be loaded.
#[derive(Debug, Error)]
pub(crate) enum SettingsError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file has a wrong content.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: InvalidSettings,
    },
}

/// What is wrong with the content of a settings file. Each text is one line and names the key.
#[derive(Debug, Error)]
pub(crate) enum InvalidSettings {
    /// The file is not TOML, or not HCL with the known fields.
    #[error("{message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// A field is missing or has the wrong type.
    #[error("{key}: {message}")]
    WrongField {
        /// The key, or the table in which it is missing.
        key: String,
        /// The parser's message.
        message: String,
    },
    /// A number is out of range.
    #[error("{key}: must be from {min} to {max}, not {value}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The least accepted value.
        min: f64,
        /// The greatest accepted value.
        max: f64,
        /// The value in the file.
        value: f64,
    },
    /// A text is empty or too long.
    #[error("{key}: must be {min} to {max} bytes")]
    WrongLength {
        /// The key.
        key: &'static str,
        /// The fewest accepted bytes.
        min: usize,
        /// The most accepted bytes.
        max: usize,
    },
    /// An address is not an IP address and port.
    #[error("{key}: must be an IP address and port, not {text:?}")]
    NotAnAddress {
        /// The key.
        key: &'static str,
        /// The text in the file.
        text: String,
    },
    /// A peer has no name, or the name of this node.
    #[error("known.node: must name another node, not {name:?}")]
    NotAPeer {
        /// The name in the file.
        name: String,
    },
    /// A team has no name, or the name of another team.
    #[error("deployment.teams.name: must be unique, not {name:?}")]
    DuplicateTeam {
        /// The name in the file.
        name: String,
    },
}

impl InvalidSettings {
    /// A parser's error on the file as a whole; its message may have several lines.
    pub(super) fn syntax(message: impl ToString) -> InvalidSettings {
        InvalidSettings::Syntax {
            message: to_one_line(&message.to_string()),
        }
    }

    /// A parser's error on one field; its message may have several lines.
    pub(super) fn wrong_field(key: impl ToString, message: &str) -> InvalidSettings {
        InvalidSettings::WrongField {
            key: key.to_string(),
            message: to_one_line(message),
        }
    }
}

fn to_one_line(text: &str) -> String {
    let lines = text.lines().map(str::trim);
    let non_empty: Vec<&str> = lines.filter(|line| !line.is_empty()).collect();
    non_empty.join(" ")
}
