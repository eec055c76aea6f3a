//! Runs the demo and prints its outcome.

use indicatif::ProgressBar;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use super::run_load;
use super::DemoError;
use super::Deployment;
use super::DeploymentPlan;

const LOAD_CONCURRENCY: usize = 64;

/// The options of a demo.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemoOptions {
    /// The number of requests to send; `None` sends none and runs until stopped.
    pub requests: Option<u64>,
}

/// Runs a demo and returns whether no call failed and no booking had a wrong run count.
///
/// Without a number of requests, it runs until the process gets `SIGINT` or `SIGTERM`.
///
/// # Errors
///
/// Returns a [`DemoError`] if a part does not start.
pub async fn run_demo(options: DemoOptions) -> Result<bool, DemoError> {
    println!("Starting three regions on loopback ...");
    let deployment = Deployment::launch(&DeploymentPlan::three_regions()).await?;
    for vm in &deployment.vms {
        println!(
            "{:<18} callers http://{}  operators http://{}/",
            vm.name,
            vm.daemon.caller_address(),
            vm.daemon.operator_address(),
        );
    }
    print_hint(&deployment);
    let Some(requests) = options.requests else {
        wait_for_signal().await;
        return Ok(true);
    };
    let progress = ProgressBar::new(requests);
    let summary = run_load(&deployment, requests, LOAD_CONCURRENCY, &progress).await?;
    progress.finish();
    println!("{summary}");
    Ok(summary.is_clean())
}

/// Waits for `SIGINT` or `SIGTERM`; returns at once if signals cannot be caught.
async fn wait_for_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}

fn print_hint(deployment: &Deployment) {
    let vm = &deployment.vms[0].daemon;
    println!("\nThe operators' page: http://{}/", vm.operator_address());
    println!("Ask a model:");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer key-bloomplan' \\",
        vm.caller_address()
    );
    println!(
        "    -d '{{\"model\":\"plant-tips\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Which fern?\"}}]}}'\n"
    );
}
