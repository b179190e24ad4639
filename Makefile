# Builds, tests, checks and runs the program; `make` without a target builds it.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
RUN := $(shell sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: build test lint run lab fleetlog classes clean

build:
	$(BUILD)

test:
	mvn -B -ntp test

# Compiles with all warnings as errors.
lint:
	mvn -q -B -ntp clean test-compile -Dmaven.compiler.failOnWarning=true -Dmaven.compiler.showWarnings=true

# Runs one sidecar with the configuration file that LB_CONFIG names.
run: build
	$(RUN)

# Runs a benchmark in virtual time: make lab RUN_LAB="restarts --seeds 5".
RUN_LAB := restarts
lab: build
	java -cp "lab/target/classes:cli/target/lib/*" mulleinlever.lab.Lab $(RUN_LAB)

# Sums the logs of a fleet by second, or lists all log lines of one req:
# make fleetlog LOGS=folder [ID=0123456789abcdef].
fleetlog: build
	@java -cp "lab/target/classes:cli/target/lib/*" mulleinlever.lab.Lab fleetlog $(LOGS) $(ID)

# Lists the classes that start-up loads, which the build puts into a class data sharing archive.
# Needed after a change of libraries.
classes:
	mvn -q -B -ntp -DskipTests package
	mvn -q -B -ntp test -pl sidecar -am -DfailIfNoTests=false -Dsurefire.failIfNoSpecifiedTests=false \
	    -Dtest='SidecarProcessTest#gracefulShutdownFinishesReqs' \
	    -Dsidecar.classpath=$(CURDIR)/cli/target/mulleinlever.jar -Dsidecar.main=mulleinlever.cli.Main \
	    -Dsidecar.flags="-XX:+UseSerialGC -Dio.netty.jfr.enabled=false -XX:DumpLoadedClassList=$(CURDIR)/deploy/classes.lst"

clean:
	mvn -q -B -ntp clean
