//! Errors in the settings.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why the settings cannot be loaded.
#[derive(Debug, Error)]
pub(crate) enum SettingsError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// The content of a file is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The error in the content.
        source: InvalidSettings,
    },
}

/// An error in the content of a settings file. Each text is one line. It names the key, unless the
/// file as a whole cannot be parsed.
#[derive(Debug, Error)]
pub(crate) enum InvalidSettings {
    /// The file is not valid TOML, or not valid HCL that contains only known keys.
    #[error("{message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// A key is missing or its value has the wrong type.
    #[error("{key}: {message}")]
    WrongField {
        /// The key, or the table in which a key is missing.
        key: String,
        /// The parser's message.
        message: String,
    },
    /// A number is out of range.
    #[error("{key}: must be from {min} to {max}, not {value}")]
    OutOfRange {
        /// The key.
        key: String,
        /// Minimum accepted value.
        min: f64,
        /// Maximum accepted value.
        max: f64,
        /// The value in the file.
        value: f64,
    },
    /// A text is empty or too long.
    #[error("{key}: must be {min} to {max} bytes")]
    WrongLength {
        /// The key.
        key: &'static str,
        /// Minimum accepted number of bytes.
        min: usize,
        /// Maximum accepted number of bytes.
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
    /// The name of a peer is empty or is the name of this node.
    #[error("known.node: must name another node, not {name:?}")]
    NotAPeer {
        /// The name in the file.
        name: String,
    },
    /// The name of a team is empty or is the name of another team.
    #[error("deployment.teams.name: must be unique, not {name:?}")]
    DuplicateTeam {
        /// The name in the file.
        name: String,
    },
}

impl InvalidSettings {
    /// Creates an error from a parser's message about the file as a whole. The message may have
    /// several lines.
    pub(super) fn syntax(message: impl ToString) -> InvalidSettings {
        InvalidSettings::Syntax {
            message: to_one_line(&message.to_string()),
        }
    }

    /// Creates an error from a parser's message about one key. The message may have several lines.
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
