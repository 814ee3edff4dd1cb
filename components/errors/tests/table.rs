//! Compares the table of result codes in `docs/ERRORS.md` with the code.

use errors::ResultCode;

const TABLE: &str = include_str!("../../../docs/ERRORS.md");

fn format_row(code: ResultCode) -> String {
    format!(
        "| {} | `{}` | {} | {} |",
        code.number(),
        code.name(),
        code.http_status(),
        code.description()
    )
}

#[test]
fn documented_table_matches_result_codes() {
    let rows: Vec<String> = ResultCode::ALL.iter().map(|code| format_row(*code)).collect();
    let documented: Vec<&str> = TABLE
        .lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .collect();
    assert_eq!(documented, rows, "the table should read:\n{}", rows.join("\n"));
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
