# Development tasks; the commands that the platform runs are in deploy/balancer.toml.
.PHONY: build test soak soak-faults soak-responses lint format run platform bench isolation jmh clean

MVN = mvn
RUN = $(shell sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)
LB_CONFIG ?= deploy/example.json

build:
	$(MVN) -q -DskipTests package

# All tests and lint checks, as in CI.
test:
	.ci/run

# Checks format and style; compiler warnings are errors in every build.
lint:
	$(MVN) -q spotless:check checkstyle:check@lint

# Graceful shutdowns of the real program, one run per seed; prints each violated rule.
SEEDS ?= 1-50
soak:
	$(MVN) -q -pl daemon -am test -Dtest=ShutdownSoakTest\#nothingIsLostUnderAnySeed -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.seeds=$(SEEDS)

# The same while system calls of the program fail.
soak-faults:
	$(MVN) -q -pl daemon -am test -Dtest=SystemCallFaultSoakTest -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.seeds=$(SEEDS)

# Real nodes between emulated servers that send responses without a request, one run per seed.
soak-responses:
	$(MVN) -q -pl lab -am test -Dtest=EmulationTest\#strayResponsesBreakNoInvariant -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.seeds=$(SEEDS)

# Formats all sources (google-java-format, AOSP style).
format:
	$(MVN) -q spotless:apply

# Two services behind one node, with a stub server for each that stops with the node.
FILE ?= deploy/operator.example.toml
STANDINS ?= 8 20 9001 4 50 9002
run: build
	java -Xmx32m -cp benchmarks/target/classes trailthread.benchmark.ConcurrencyLimitedServers $(STANDINS) & \
	trap "kill $$!" EXIT; bin/trailthread serve $(FILE)

# The node, started with the platform's command.
platform: build
	LB_CONFIG=$(LB_CONFIG) sh -c "$(RUN)"

# Compares the node with Undertow's proxy in front of the same servers; options: docs/benchmarks.md.
BENCH_ARGS ?= --rounds 1 --seconds 3 --warm-up 2
bench: build
	java -cp "benchmarks/target/classes:$$(cat benchmarks/target/classpath)" \
		trailthread.benchmark.ProxyComparison $(BENCH_ARGS)

# Measures whether overload of one pool affects another: docs/pools.md.
ISOLATION_ARGS ?= --rounds 1 --seconds 10
isolation: build
	java -cp "benchmarks/target/classes:$$(cat benchmarks/target/classpath)" \
		trailthread.benchmark.PoolIsolation $(ISOLATION_ARGS)

# Microbenchmarks; JMH_ARGS are JMH options: benchmark name, -f forks, -i iterations, -rf json.
JMH_ARGS ?= -f 1 -wi 3 -i 5 -w 1 -r 1
jmh: build
	java -cp "benchmarks/target/classes:$$(cat benchmarks/target/classpath)" org.openjdk.jmh.Main $(JMH_ARGS)

clean:
	$(MVN) -q clean
