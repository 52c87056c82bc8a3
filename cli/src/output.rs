//! Output formats of the commands: tables for people and JSON for programs.

use clap::ValueEnum;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Table for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Prints a value as indented JSON.
pub fn print_json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints a table without borders, trimming the padding of each line.
pub fn print_table(header: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header.iter().copied()).add_rows(rows);
    for line in table.to_string().lines() {
        println!("{}", line.trim());
    }
}
