//! The dispatcher on sockets: `ground` is what its drivers stand on, `life` its start, signals, log and end.
mod ground;
mod life;

fn main() -> std::process::ExitCode {
    life::run()
}
