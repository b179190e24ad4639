# What to build, test, check and run; `make` alone builds.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
RUN := $(shell sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: build test lint run lab fleetlog classes clean

build:
	$(BUILD)

test:
	mvn -B -ntp test

# The compiler's own warnings, as faults.
lint:
	mvn -q -B -ntp clean test-compile -Dmaven.compiler.failOnWarning=true -Dmaven.compiler.showWarnings=true

# One sidecar, with the configuration that LB_CONFIG names.
run: build
	$(RUN)

# A measurement in virtual time: make lab RUN_LAB="restarts --seeds 5".
RUN_LAB := restarts
lab: build
	java -cp "lab/target/classes:cli/target/lib/*" mulleinlever.lab.Lab $(RUN_LAB)

# The logs of a fleet added up by second, or one req's story: make fleetlog LOGS=folder [ID=0123456789abcdef].
fleetlog: build
	@java -cp "lab/target/classes:cli/target/lib/*" mulleinlever.lab.Lab fleetlog $(LOGS) $(ID)

# Anew after a change of libraries: the classes that start-up loads, which the build puts into a shared archive.
classes:
	mvn -q -B -ntp -DskipTests package
	mvn -q -B -ntp test -pl sidecar -am -DfailIfNoTests=false -Dsurefire.failIfNoSpecifiedTests=false \
	    -Dtest='SidecarProcessTest#gracefulShutdownFinishesReqs' \
	    -Dsidecar.classpath=$(CURDIR)/cli/target/mulleinlever.jar -Dsidecar.main=mulleinlever.cli.Main \
	    -Dsidecar.flags="-XX:+UseSerialGC -Dio.netty.jfr.enabled=false -XX:DumpLoadedClassList=$(CURDIR)/deploy/classes.lst"

clean:
	mvn -q -B -ntp clean
