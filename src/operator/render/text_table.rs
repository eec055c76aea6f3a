//! Tables as text for terminals.

/// A table with aligned columns: the first one to the left, the others to the right.
#[derive(Debug, Default)]
pub(super) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header.
    pub(super) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(ToString::to_string).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub(super) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns the lines, each indented by two spaces.
    pub(super) fn to_text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::from(" ");
            for (index, cell) in row.iter().enumerate() {
                let padding = " ".repeat(widths[index] - cell.chars().count());
                line.push(' ');
                if index == 0 {
                    line.push_str(cell);
                    line.push_str(&padding);
                } else {
                    line.push(' ');
                    line.push_str(&padding);
                    line.push_str(cell);
                }
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}
