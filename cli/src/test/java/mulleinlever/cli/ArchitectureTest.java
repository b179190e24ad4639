package mulleinlever.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks the dependencies between modules, and that the decision logic is deterministic. Guards
 * against decisions that read a clock, a file or a random number of their own, which the simulator
 * and the tests could not reproduce, and against cycles between modules.
 */
@AnalyzeClasses(packages = "mulleinlever", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] JDK_PACKAGES = {"java.lang..", "java.util..", "java.math.."};

    /**
     * The core uses neither files nor sockets nor threads nor clocks. Times and random seeds are
     * arguments.
     */
    @ArchTest
    static final ArchRule CORE_DEPENDS_ONLY_ON_JDK =
            classes()
                    .that()
                    .resideInAPackage("mulleinlever")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            "mulleinlever", JDK_PACKAGES[0], JDK_PACKAGES[1], JDK_PACKAGES[2]);

    @ArchTest
    static final ArchRule CORE_USES_NO_CONCURRENCY =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("java.util.concurrent..");

    @ArchTest
    static final ArchRule CORE_READS_NO_CLOCK_OR_RANDOM =
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
    static final ArchRule SETTINGS_DO_NOT_DEPEND_ON_FRONT_ENDS =
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

    /** The decision logic outside the core has no side effects either. */
    @ArchTest
    static final ArchRule STATE_LOGIC_DEPENDS_ONLY_ON_CORE =
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
                            "mulleinlever",
                            "mulleinlever.state",
                            JDK_PACKAGES[0],
                            JDK_PACKAGES[1],
                            JDK_PACKAGES[2]);

    @ArchTest
    static final ArchRule DISK_DEPENDS_ONLY_ON_JDK =
            classes()
                    .that()
                    .resideInAPackage("mulleinlever.disk..")
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage("mulleinlever.disk..", "java..");

    @ArchTest
    static final ArchRule STATE_DOES_NOT_DEPEND_ON_FRONT_ENDS =
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
    static final ArchRule SIDECAR_DOES_NOT_DEPEND_ON_DRILL_OR_CLI =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever.sidecar..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("mulleinlever.drill..", "mulleinlever.cli..");

    @ArchTest
    static final ArchRule DRILL_DOES_NOT_DEPEND_ON_SIDECAR_CLI_OR_NETTY =
            noClasses()
                    .that()
                    .resideInAPackage("mulleinlever.drill..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "mulleinlever.sidecar..", "mulleinlever.cli..", "io.netty..");
}
