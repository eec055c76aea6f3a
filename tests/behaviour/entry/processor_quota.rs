//! Processes that run for a part of each tenth of a second, as under a quota that they use up.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

const PERIOD: Duration = Duration::from_millis(100);

/// A process that runs for a part of each period until this value is dropped.
pub(crate) struct ProcessorQuota {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ProcessorQuota {
    /// Lets a process run for this time of each tenth of a second.
    pub(crate) fn impose(process_id: u32, run_time: Duration) -> Self {
        let id = i32::try_from(process_id).expect("a process identifier");
        let process = Pid::from_raw(id).expect("a process identifier");
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = Arc::clone(&is_over);
        let thread = thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                thread::sleep(run_time);
                let _ = kill_process(process, Signal::STOP);
                thread::sleep(PERIOD - run_time);
                let _ = kill_process(process, Signal::CONT);
            }
        });
        Self {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for ProcessorQuota {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the thread ends");
        }
    }
}
