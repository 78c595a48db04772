# Daily commands.

# Formatter, linter, documentation and tests.
check:
    bash .ci/run

# All roles in one process.
run:
    cargo run --release --bin parsleyspool-standins -- run examples/jobs.yaml

# One experiment on a fresh deployment.
bench deployment="prizeleaf" experiment="steady":
    cargo build --release
    bench/run {{deployment}} {{experiment}}

# Many schedules of the decision part.
explore schedules="100000" seed="1":
    PARSLEYSPOOL_SCHEDULES={{schedules}} PARSLEYSPOOL_SEED={{seed}} cargo test --release -p parsleyspool-core --test explore no_schedule -- --nocapture
