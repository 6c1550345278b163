package trailthread.lab;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.Test;

/** Dependencies between the packages of the lab. */
public class LabArchitectureTest {
    private static final JavaClasses LAB =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("trailthread.lab");

    @Test
    public void packagesHaveNoCyclicDependencies() {
        slices().matching("trailthread.lab.(*)..").should().beFreeOfCycles().check(LAB);
    }

    /**
     * The model and the checker run in virtual and in real time, so they must not read a clock.
     * They don't depend on each other either.
     */
    @Test
    public void modelAndCheckerUseNoClock() {
        classes()
                .that()
                .resideInAnyPackage("trailthread.lab.model..")
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage(
                                "trailthread.lab.model..",
                                "java.lang..",
                                "java.util",
                                "java.util.function"))
                .check(LAB);
        classes()
                .that()
                .resideInAnyPackage("trailthread.lab.invariant..")
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage(
                                "trailthread.lab.invariant..",
                                "trailthread.api",
                                "java.lang..",
                                "java.util",
                                "java.util.function"))
                .check(LAB);
    }
}
