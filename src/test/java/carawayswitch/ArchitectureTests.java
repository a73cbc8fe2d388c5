package carawayswitch;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/**
 * Tests that packages that decide do no I/O and read no clock.
 */
class ArchitectureTests {

	private static final String[] DECIDING = { "carawayswitch.schedule..", "carawayswitch.guard..",
			"carawayswitch.membership..", "carawayswitch.config..", "carawayswitch.audit.." };

	private final JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("carawayswitch");

	@Test
	void decidingPackagesDoNoInputOrOutput() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(DECIDING)
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.activej..", "java.net..", "java.nio.channels..", "carawayswitch.transport..",
					"carawayswitch.http..", "carawayswitch.entry..", "carawayswitch.dispatch..", "carawayswitch.host..")
			.check(this.classes);
	}

	@Test
	void decidingPackagesReadNoClock() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(DECIDING)
			.should()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.check(this.classes);
	}

}
