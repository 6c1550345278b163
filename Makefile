# What there is to do here; deploy/balancer.toml holds the commands that the platform runs.
.PHONY: build test soak lint format run platform bench isolation jmh clean

MVN = mvn
RUN = $(shell sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)
LB_CONFIG ?= deploy/example.json

build:
	$(MVN) -q -DskipTests package

# What CI runs: every test, and the lint.
test:
	.ci/run

# The compiler's warnings are errors in every build; this is the format and the style.
lint:
	$(MVN) -q spotless:check checkstyle:check@lint

# Graceful shutdowns of the real program, one run a seed; each broken rule is printed.
SEEDS ?= 1-50
soak:
	$(MVN) -q -pl daemon -am test -Dtest=ShutdownSoakTest\#nothingIsLostUnderAnySeed -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.seeds=$(SEEDS)

# Formats all sources (google-java-format, AOSP style).
format:
	$(MVN) -q spotless:apply

# Two services behind one node, with a small stand-in worker for each; ends with it.
FILE ?= deploy/operator.example.toml
STANDINS ?= 8 20 9001 4 50 9002
run: build
	java -Xmx32m -cp benchmarks/target/classes trailthread.benchmark.ConcurrencyLimitedServers $(STANDINS) & \
	trap "kill $$!" EXIT; bin/trailthread serve $(FILE)

# The platform's node, as the platform starts it.
platform: build
	LB_CONFIG=$(LB_CONFIG) sh -c "$(RUN)"

# The node and Undertow's proxy before the same workers; docs/benchmarks.md says what the options are.
BENCH_ARGS ?= --rounds 1 --seconds 3 --warm-up 2
bench: build
	java -cp "benchmarks/target/classes:$$(cat benchmarks/target/classpath)" \
		trailthread.benchmark.ProxyComparison $(BENCH_ARGS)

# Whether one pool feels another's overload: docs/pools.md.
ISOLATION_ARGS ?= --rounds 1 --seconds 10
isolation: build
	java -cp "benchmarks/target/classes:$$(cat benchmarks/target/classpath)" \
		trailthread.benchmark.PoolIsolation $(ISOLATION_ARGS)

# Microbenchmarks; JMH_ARGS are JMH's own: a name, -f forks, -i iterations, -rf json.
JMH_ARGS ?= -f 1 -wi 3 -i 5 -w 1 -r 1
jmh: build
	java -cp "benchmarks/target/classes:$$(cat benchmarks/target/classpath)" org.openjdk.jmh.Main $(JMH_ARGS)

clean:
	$(MVN) -q clean
