package trailthread.daemon;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.Test;

/** The dependencies between modules, and the packages that must not do I/O. */
public class ArchitectureTest {
    private static final JavaClasses PRODUCT =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("trailthread")
                    .that(DescribedPredicate.not(resideInAPackage("trailthread.testkit")));

    /** Prevents the other tests from passing because no class was imported. */
    @Test
    public void allModulesAreChecked() {
        for (String name :
                new String[] {
                    "trailthread.Balancer",
                    "trailthread.api.BalancerEvents",
                    "trailthread.degradation.DegradationController",
                    "trailthread.adapter.Adapter",
                    "trailthread.engine.request.ActiveRequest",
                    "trailthread.engine.routes.Route",
                    "trailthread.daemon.services.ServiceNode",
                    "trailthread.daemon.Main"
                }) {
            PRODUCT.get(name);
        }
    }

    @Test
    public void modulesDependOneWay() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("decisions")
                .definedBy(
                        "trailthread",
                        "trailthread.api..",
                        "trailthread.degradation..",
                        "trailthread.settings..")
                .layer("adapter")
                .definedBy("trailthread.adapter..")
                .layer("engine")
                .definedBy("trailthread.engine..")
                .layer("configuration")
                .definedBy("trailthread.configuration..")
                .layer("daemon")
                .definedBy("trailthread.daemon..")
                .whereLayer("daemon")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("adapter")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("engine")
                .mayOnlyBeAccessedByLayers("configuration", "daemon")
                .whereLayer("configuration")
                .mayOnlyBeAccessedByLayers("daemon")
                .check(PRODUCT);
    }

    @Test
    public void decisionsDependOnNothingAndDoNoInputOrOutput() {
        classes()
                .that()
                .resideInAnyPackage(
                        "trailthread",
                        "trailthread.api..",
                        "trailthread.degradation..",
                        "trailthread.settings..")
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage(
                                        "trailthread",
                                        "trailthread.api..",
                                        "trailthread.degradation..",
                                        "trailthread.settings..",
                                        "java.lang..",
                                        "java.util")
                                .or(resideInAPackage("java.util.function"))
                                .or(resideInAPackage("java.util.stream")))
                .check(PRODUCT);
    }

    /** A platform node must not load the classes that only operators' files need. */
    @Test
    public void onlyServicesDependOnTheOperatorsFile() {
        noClasses()
                .that()
                .resideInAPackage("trailthread.daemon..")
                .and()
                .resideOutsideOfPackage("trailthread.daemon.services..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("trailthread.configuration..", "org.tomlj..")
                .check(PRODUCT);
    }

    @Test
    public void routesAndQuotasDoNoInputOrOutput() {
        classes()
                .that()
                .resideInAnyPackage("trailthread.engine.routes..", "trailthread.engine.quota..")
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage(
                                "trailthread.engine.routes..",
                                "trailthread.engine.quota..",
                                "java.lang..",
                                "java.util",
                                "java.util.function",
                                "java.util.stream"))
                .check(PRODUCT);
    }

    @Test
    public void theEngineDoesNotDependOnTheServerSide() {
        noClasses()
                .that()
                .resideInAPackage("trailthread.engine..")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("io.undertow.server..")
                                .and(
                                        new DescribedPredicate<>("not the buffer pool") {
                                            @Override
                                            public boolean test(JavaClass c) {
                                                return !c.getSimpleName()
                                                        .equals("DefaultByteBufferPool");
                                            }
                                        }))
                .check(PRODUCT);
    }

    @Test
    public void packagesHaveNoCycles() {
        slices().matching("trailthread.engine.(*)..").should().beFreeOfCycles().check(PRODUCT);
        slices().matching("trailthread.daemon.(*)..").should().beFreeOfCycles().check(PRODUCT);
    }
}
