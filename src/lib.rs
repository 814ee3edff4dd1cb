//! Programs of dragonflyfront. Each binary under `bin` only calls its module in `cmd`.

pub mod cmd;
