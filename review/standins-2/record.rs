//! Record of what was sent, answered and run, in the order in which it happened.

use std::fs::File;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Run of a task at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub number: u64,
    pub started: Duration,
    pub ended: Option<Duration>,
    pub how: &'static str,
}

#[derive(Debug)]
struct State {
    file: File,
    runs: Vec<Run>,
}

/// Record of one case.
#[derive(Debug)]
pub struct Record {
    began: Instant,
    state: Mutex<State>,
}

impl Record {
    pub fn create(directory: &str) -> std::io::Result<Self> {
        let file = File::create(format!("{directory}/record.txt"))?;
        let state = Mutex::new(State { file, runs: Vec::new() });
        Ok(Self { began: Instant::now(), state })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line with the time since the beginning.
    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{:9.3} s  {text}", now.as_secs_f64());
        let _ = state.file.flush();
    }

    pub fn run_started(&self, worker: &str, task: &str, number: u64) {
        let started = self.now();
        let run = Run {
            worker: worker.to_owned(),
            task: task.to_owned(),
            number,
            started,
            ended: None,
            how: "in progress",
        };
        self.state.lock().unwrap().runs.push(run);
        self.line(&format!("run {task} #{number} starts at {worker}"));
    }

    pub fn run_ended(&self, worker: &str, task: &str, number: u64, how: &'static str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        let open = state.runs.iter_mut().find(|run| {
            run.worker == worker && run.task == task && run.number == number && run.ended.is_none()
        });
        if let Some(run) = open {
            run.ended = Some(now);
            run.how = how;
        }
        drop(state);
        self.line(&format!("run {task} #{number} ends at {worker}: {how}"));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Pairs of runs of one task that were in progress at the same time, with the time in common.
    pub fn overlaps(&self) -> Vec<(Run, Run, Duration)> {
        let now = self.now();
        let runs = self.runs();
        let mut pairs = Vec::new();
        for (index, first) in runs.iter().enumerate() {
            for second in &runs[index + 1..] {
                if first.task != second.task {
                    continue;
                }
                let from = first.started.max(second.started);
                let to = first.ended.unwrap_or(now).min(second.ended.unwrap_or(now));
                if to > from {
                    pairs.push((first.clone(), second.clone(), to - from));
                }
            }
        }
        pairs
    }
}
