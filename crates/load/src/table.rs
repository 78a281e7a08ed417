//! Tables as text and as HTML.

use std::fmt::Write;

/// A table of strings.
///
/// Invariant: each row has as many cells as the head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// What it shows.
    pub title: String,
    /// Names of the columns.
    pub head: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(title: &str, head: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            head: head.iter().map(|name| (*name).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// The table with columns aligned by blanks: the first three to the left, figures to the right.
    pub fn to_text(&self) -> String {
        let widths: Vec<usize> = (0..self.head.len()).map(|at| self.width(at)).collect();
        let mut text = format!("{}\n", self.title);
        for row in std::iter::once(&self.head).chain(&self.rows) {
            let cells = row.iter().zip(&widths).enumerate();
            let cells = cells.map(|(at, (cell, width))| match at {
                0..LEFT => format!("{cell:<width$}"),
                _ => format!("{cell:>width$}"),
            });
            let line = cells.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn width(&self, at: usize) -> usize {
        let rows = std::iter::once(&self.head).chain(&self.rows);
        rows.map(|row| row[at].chars().count()).max().unwrap_or(0)
    }

    /// The table as an HTML fragment.
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

/// Columns of names.
const LEFT: usize = 3;

fn push_row(html: &mut String, tag: &str, cells: &[String]) {
    html.push_str("<tr>");
    for cell in cells {
        // Writing to a string does not fail.
        let _ = write!(html, "<{tag}>{}</{tag}>", escape(cell));
    }
    html.push_str("</tr>\n");
}

/// Text with the characters that HTML gives a meaning replaced.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
