//! Formats tables as text and as HTML.

use std::fmt::Write;

/// Table of text cells.
///
/// Invariant: each row has as many cells as the header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Title of the table.
    pub title: String,
    /// Names of the columns.
    pub head: Vec<String>,
    /// Rows of the table, without the header.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: &str, head: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            head: head.iter().map(|name| (*name).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Returns the table as text with columns padded by spaces: the first three columns are
    /// left-aligned, the others, which hold figures, right-aligned.
    pub fn to_text(&self) -> String {
        let widths: Vec<usize> =
            (0..self.head.len()).map(|column| self.column_width(column)).collect();
        let mut text = format!("{}\n", self.title);
        for row in std::iter::once(&self.head).chain(&self.rows) {
            let cells = row.iter().zip(&widths).enumerate();
            let cells = cells.map(|(column, (cell, width))| match column {
                0..NAME_COLUMNS => format!("{cell:<width$}"),
                _ => format!("{cell:>width$}"),
            });
            let line = cells.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn column_width(&self, column: usize) -> usize {
        let rows = std::iter::once(&self.head).chain(&self.rows);
        rows.map(|row| row[column].chars().count()).max().unwrap_or(0)
    }

    /// Returns the table as an HTML fragment.
    pub fn to_html(&self) -> String {
        let mut html = format!("<h2>{}</h2>\n<table>\n", escape(&self.title));
        push_row(&mut html, "th", &self.head);
        for row in &self.rows {
            push_row(&mut html, "td", row);
        }
        html.push_str("</table>\n");
        html
    }
}

/// Number of leading columns that hold names and are left-aligned.
const NAME_COLUMNS: usize = 3;

fn push_row(html: &mut String, tag: &str, cells: &[String]) {
    html.push_str("<tr>");
    for cell in cells {
        // Writing to a string cannot fail.
        let _ = write!(html, "<{tag}>{}</{tag}>", escape(cell));
    }
    html.push_str("</tr>\n");
}

/// Escapes the characters that have a meaning in HTML.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
