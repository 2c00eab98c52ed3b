//! The operator file, which describes an installation in S-expressions. `tree` parses the text, `form` checks it against the
//! known forms and gives each value its type, `file` defines the forms and reads the settings, and `logs` sets up logging.
//! All errors of a file are reported with line and column, not only the first.

pub mod file;
pub mod form;
pub mod logs;
pub mod tree;

pub use file::OperatorFile;
pub use tree::FileError;

/// Reads and checks a whole file.
///
/// # Errors
/// All errors, in the order of the text.
pub fn read(text: &str) -> Result<OperatorFile, Vec<FileError>> {
    let (trees, mut errors) = tree::read(text);
    let checked = form::check(&file::FILE, &trees, &mut errors);
    let file = OperatorFile::from_form(&checked, &mut errors);
    errors.sort_by_key(|error| (error.at.line, error.at.column));
    if errors.is_empty() { Ok(file) } else { Err(errors) }
}
