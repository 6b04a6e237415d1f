//! Printing of tables and documents.

use {
    crate::error::Error,
    std::io::{self, Write},
};

/// Writes a text to standard output.
///
/// # Errors
///
/// Returns an error when standard output cannot be written; a closed pipe is not an error.
pub fn print(text: &str) -> Result<(), Error> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(source) if source.kind() != io::ErrorKind::BrokenPipe => Err(Error::Output { source }),
        _ => Ok(()),
    }
}

/// A table with left-aligned columns.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table with its column titles.
    #[must_use]
    pub fn new(titles: &[&str]) -> Self {
        Self {
            rows: vec![titles.iter().map(|&title| title.to_owned()).collect()],
        }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as text, one line a row.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"));
            text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
