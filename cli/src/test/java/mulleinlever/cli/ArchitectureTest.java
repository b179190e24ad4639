package mulleinlever.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Arrows point down only, and what decides touches nothing outside. */
@AnalyzeClasses(packages = "mulleinlever", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] JDK = {"java.lang..", "java.util..", "java.math.."};

    /** Neither files, sockets, threads nor a clock: time and chance are arguments. */
    @ArchTest
    static final ArchRule DECISIONS_ARE_PURE =
            classes()
                    .that()
                    .resideInAPackage("mulleinlever")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("mulleinlever", JDK[0], JDK[1], JDK[2]);

    @ArchTest
    static final ArchRule DECISIONS_SHARE_NO_THREADS =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("java.util.concurrent..");

    @ArchTest
    static final ArchRule DECISIONS_READ_NO_CLOCK =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever")
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule SETTINGS_KNOW_ONLY_DECISIONS =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever.settings..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "mulleinlever.drill..",
                            "mulleinlever.sidecar..",
                            "mulleinlever.cli..",
                            "io.netty..");

    /** What subsystems decide is as pure as what the policy does, wherever it lies. */
    @ArchTest
    static final ArchRule SUBSYSTEMS_DECIDE_PURELY =
            classes()
                    .that()
                    .haveFullyQualifiedName("mulleinlever.state.StateDecay")
                    .or()
                    .haveFullyQualifiedName("mulleinlever.state.SnapshotFilter")
                    .or()
                    .haveFullyQualifiedName("mulleinlever.state.SnapshotBuilder")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            "mulleinlever", "mulleinlever.state", JDK[0], JDK[1], JDK[2]);

    @ArchTest
    static final ArchRule FOLDERS_KNOW_NOBODY =
            classes()
                    .that()
                    .resideInAPackage("mulleinlever.disk..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("mulleinlever.disk..", "java..");

    @ArchTest
    static final ArchRule STATE_KNOWS_NO_FRONT =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever.state..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "mulleinlever.settings..",
                            "mulleinlever.sidecar..",
                            "mulleinlever.drill..",
                            "mulleinlever.cli..",
                            "io.netty..");

    @ArchTest
    static final ArchRule FRONTS_ARE_PEERS =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever.sidecar..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("mulleinlever.drill..", "mulleinlever.cli..");

    @ArchTest
    static final ArchRule THE_BENCH_KNOWS_NO_SOCKETS =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever.drill..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "mulleinlever.sidecar..", "mulleinlever.cli..", "io.netty..");
}
