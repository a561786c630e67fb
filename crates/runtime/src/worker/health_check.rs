//! Runs one health check of a worker.
use super::connect::connect;
use super::send_permit::SendPermit;
use crate::context::Context;
use crate::event::EngineEvent;
use crate::traits::{Runtime, sleep};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::types::{HealthChecked, Nanos, Outcome, Report, WorkerId};
use rosewall_protocol::worker::{
    HealthCheckReader, HealthCheckResult, HealthCheckTarget, encode_health_check,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Size of one read: larger than most load reports.
const READ_BUFFER_BYTES: usize = 1024;

/// Checks the health of a worker and reports the outcome, which is a time-out once `limit` has
/// passed.
pub async fn check_health<R: Runtime>(
    context: Rc<Context<R>>,
    worker: WorkerId,
    address: SocketAddr,
    host: String,
    limit: Nanos,
) {
    let limit = Duration::from_nanos(limit);
    let timeout = async {
        sleep(&context.runtime, limit).await;
        (Outcome::TimedOut, Report::default())
    };
    let (outcome, report) = query(&context, worker, address, &host, limit)
        .or(timeout)
        .await;
    context.report(EngineEvent::HealthChecked(HealthChecked {
        worker,
        outcome,
        report,
    }));
}

async fn query<R: Runtime>(
    context: &Context<R>,
    worker: WorkerId,
    address: SocketAddr,
    host: &str,
    limit: Duration,
) -> (Outcome, Report) {
    let no_report = Report::default();
    let mut connection = match context.take_idle_connection(worker) {
        Some(pooled) => pooled.connection,
        None => {
            // The caller limits the time of the whole health check.
            let permit = SendPermit::new(Nanos::MAX);
            match connect(context, address, limit, &permit).await {
                Ok(connection) => connection,
                Err(outcome) => return (outcome, no_report),
            }
        }
    };
    let target = if context.report_fields.is_empty() {
        HealthCheckTarget::Health
    } else {
        HealthCheckTarget::Load
    };
    let request = encode_health_check(host, target);
    if connection.stream.write_all(&request).await.is_err() {
        return (Outcome::ConnectFailed, no_report);
    }
    let mut reader = HealthCheckReader::new(&context.report_fields);
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let count = connection.stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return (Outcome::ConnectionLost, no_report);
        }
        if let Some(result) = reader.feed(&buffer[..count]) {
            let HealthCheckResult {
                outcome,
                report,
                reusable,
            } = result;
            if reusable {
                context.report(EngineEvent::ConnectionIdle { worker, connection });
            }
            return (outcome, report);
        }
    }
}
