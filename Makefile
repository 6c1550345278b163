# What there is to do here; deploy/balancer.toml holds the commands that the platform runs.
.PHONY: build test lint run bench clean

MVN = mvn
RUN = $(shell sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)
LB_CONFIG ?= deploy/example.json

build:
	$(MVN) -q -DskipTests package

# What CI runs: every test, and the lint.
test:
	.ci/run

# The compiler's warnings are errors in every build; this is the style.
lint:
	$(MVN) -q checkstyle:check@lint

run: build
	LB_CONFIG=$(LB_CONFIG) sh -c "$(RUN)"

# The node and Undertow's proxy before the same workers; docs/benchmarks.md says what the options are.
BENCH_ARGS ?= --rounds 1 --seconds 3 --warm-up 2
bench: build
	$(MVN) -q -pl benchmarks dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp "benchmarks/target/classes:$$(cat benchmarks/target/classpath)" \
		trailthread.benchmark.Comparison $(BENCH_ARGS)

clean:
	$(MVN) -q clean
