package io.cranberryarch.decision;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "io.cranberryarch.decision", importOptions = ImportOption.DoNotIncludeTests.class)
class PurityTest {

    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_THREADS_SOCKETS_CLOCKS_OR_RANDOM_SOURCES = noClasses()
            .should()
            .dependOnClassesThat()
            .haveNameMatching("java\\.(net|nio|time|io)\\..*"
                    + "|java\\.util\\.concurrent\\..*"
                    + "|java\\.util\\.(Random|SplittableRandom|Timer).*"
                    + "|java\\.security\\.SecureRandom"
                    + "|java\\.lang\\.Thread.*"
                    + "|io\\.cranberryarch\\.base\\.(Clock|SystemClock)"
                    + "|org\\.(tinylog|eclipse).*");

    @ArchTest
    static final ArchRule DECISIONS_DO_NOT_READ_THE_TIME = noClasses()
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis");
}
