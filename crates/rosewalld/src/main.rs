//! Entry point of the dispatcher daemon.
fn main() -> std::process::ExitCode {
    rosewalld::daemon::run()
}
