package io.cranberryarch.app;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "io.cranberryarch", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleGraphTest {

    @ArchTest
    static final ArchRule LAYERS_ARE_RESPECTED = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("base")
            .definedBy("io.cranberryarch.base..")
            .layer("settings")
            .definedBy("io.cranberryarch.settings..")
            .layer("context")
            .definedBy("io.cranberryarch.context..")
            .layer("decision")
            .definedBy("io.cranberryarch.decision..")
            .layer("wire")
            .definedBy("io.cranberryarch.wire..")
            .layer("store")
            .definedBy("io.cranberryarch.store..")
            .layer("net")
            .definedBy("io.cranberryarch.net..")
            .layer("mesh")
            .definedBy("io.cranberryarch.mesh..")
            .layer("platform")
            .definedBy("io.cranberryarch.platform..")
            .layer("api")
            .definedBy("io.cranberryarch.api..")
            .layer("counts")
            .definedBy("io.cranberryarch.counts..")
            .layer("node")
            .definedBy("io.cranberryarch.node..")
            .layer("operator")
            .definedBy("io.cranberryarch.operator..")
            .layer("standin")
            .definedBy("io.cranberryarch.standin..")
            .optionalLayer("experiment")
            .definedBy("io.cranberryarch.experiment..")
            .layer("app")
            .definedBy("io.cranberryarch.app..")
            .whereLayer("decision")
            .mayOnlyBeAccessedByLayers("node", "mesh", "experiment")
            .whereLayer("wire")
            .mayOnlyBeAccessedByLayers("node", "mesh")
            .whereLayer("net")
            .mayOnlyBeAccessedByLayers("mesh", "platform", "app")
            .whereLayer("mesh")
            .mayOnlyBeAccessedByLayers("platform", "app")
            .whereLayer("platform")
            .mayOnlyBeAccessedByLayers("app")
            .whereLayer("store")
            .mayOnlyBeAccessedByLayers("counts", "node", "operator", "standin", "app")
            .whereLayer("counts")
            .mayOnlyBeAccessedByLayers("node", "mesh", "app")
            .whereLayer("node")
            .mayOnlyBeAccessedByLayers("app")
            .whereLayer("operator")
            .mayOnlyBeAccessedByLayers("app")
            .whereLayer("experiment")
            .mayOnlyBeAccessedByLayers("app")
            .whereLayer("standin")
            .mayOnlyBeAccessedByLayers("app")
            .whereLayer("app")
            .mayNotBeAccessedByAnyLayer();
}
