# Commands for development.

# Check formatting, lints and documentation, and run all tests.
check:
    bash .ci/run

# Run all roles in one process with the example jobs.
run:
    cargo run --release --bin parsleyspool-standins -- run examples/jobs.yaml

# Run one experiment on a newly started deployment.
bench deployment="prizeleaf" experiment="steady":
    cargo build --release
    bench/run {{deployment}} {{experiment}}

# Explore many random schedules of the core state machines.
explore schedules="100000" seed="1":
    PARSLEYSPOOL_SCHEDULES={{schedules}} PARSLEYSPOOL_SEED={{seed}} cargo test --release -p parsleyspool-core --test explore no_schedule -- --nocapture
