package io.hemlockbend.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

class LayeringTest {
  private final JavaClasses core =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("io.hemlockbend.core");

  @Test
  void coreDependsOnlyOnAllowedJdkPackages() {
    ArchRule rule =
        classes()
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                "io.hemlockbend.core..",
                "java.lang..",
                "java.util",
                "java.util.function..",
                "java.util.random",
                "java.util.stream..",
                "java.util.regex..",
                "java.nio.charset..");
    rule.check(core);
  }

  @Test
  void coreStartsNoThreadAndReadsNoClock() {
    ArchRule rule =
        noClasses()
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.Thread")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime");
    rule.check(core);
  }

  @Test
  void ruleDetectsInputAndOutput() {
    JavaClasses violating = new ClassFileImporter().importClasses(java.io.FileInputStream.class);
    ArchRule rule = noClasses().should().dependOnClassesThat().resideInAnyPackage("java.io..");
    assertThat(rule.evaluate(violating).hasViolation()).isTrue();
  }
}
