//! The table in the docs and the codes are the same.

use errors::ResultCode;

const TABLE: &str = include_str!("../../../docs/ERRORS.md");

fn row(code: ResultCode) -> String {
    format!(
        "| {} | `{}` | {} | {} |",
        code.number(),
        code.name(),
        code.http_status(),
        code.description()
    )
}

#[test]
fn every_code_has_its_row_and_no_row_is_left_over() {
    let rows: Vec<String> = ResultCode::ALL.iter().map(|code| row(*code)).collect();
    let written: Vec<&str> = TABLE
        .lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .collect();
    assert_eq!(written, rows, "the table should read:\n{}", rows.join("\n"));
}

#[test]
fn numbers_and_names_are_unique() {
    let mut numbers: Vec<u32> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let mut names: Vec<&str> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    let count = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    names.sort_unstable();
    names.dedup();
    assert_eq!((numbers.len(), names.len()), (count, count));
}
