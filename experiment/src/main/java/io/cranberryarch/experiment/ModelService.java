package io.cranberryarch.experiment;

import java.util.ArrayList;
import java.util.List;

/** A service of the model with its instances. */
final class ModelService {

    private final ServiceSpec spec;
    private final List<ModelInstance> instances = new ArrayList<>();

    ModelService(ServiceSpec spec, int index, CallGraph graph) {
        this.spec = spec;
        for (int i = 0; i < spec.instances(); i++) {
            instances.add(new ModelInstance(spec, index, graph));
        }
    }

    String getName() {
        return spec.name();
    }

    ModelInstance pick(int randomBits) {
        return instances.get(Math.floorMod(randomBits, instances.size()));
    }
}
