//! Writing to standard output and formatting of tables.

use {
    crate::error::Error,
    std::io::{self, Write},
};

/// Writes `text` to standard output without a newline at the end.
///
/// # Errors
///
/// Returns an error if writing fails; a closed pipe is ignored.
pub fn print(text: &str) -> Result<(), Error> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(source) if source.kind() != io::ErrorKind::BrokenPipe => Err(Error::Output { source }),
        _ => Ok(()),
    }
}

/// Text table with left-aligned columns.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table whose first row holds the column titles.
    #[must_use]
    pub fn new(titles: &[&str]) -> Self {
        Self {
            rows: vec![titles.iter().map(|&title| title.to_owned()).collect()],
        }
    }

    /// Appends a row with one text per column.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the table with one line per row and two spaces between columns.
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
