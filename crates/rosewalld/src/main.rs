//! The dispatcher on sockets.
fn main() -> std::process::ExitCode {
    rosewalld::daemon::run()
}
