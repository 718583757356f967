package org.marjoramswitch.tool.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.marjoramswitch.testkit.engine.EngineCounts;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;
import org.marjoramswitch.testkit.service.PlainService;

/** Stand-in targets of a site. */
final class DemoTargets implements AutoCloseable {
    /** Below an engine's usual batch size, so that the callers and the fleet can run in the same process. */
    static final int SLOTS = 8;

    private static final int STEP_MS = 4;
    private static final int FLUSH_STEPS = 4;
    private static final int SERVICE_SLOTS = 16;
    private static final int SERVICE_WORK_MS = 5;

    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<PlainService> services = new ArrayList<>();

    private DemoTargets() {}

    static DemoTargets start(DemoSite site) {
        DemoTargets targets = new DemoTargets();
        for (int i = 0; i < site.engines(); i++) {
            targets.engines.add(ModelEngine.start(engineOptions()));
        }
        for (int i = 0; i < site.services(); i++) {
            targets.services.add(PlainService.start(SERVICE_WORK_MS, 0));
        }
        return targets;
    }

    /** Returns the options of every engine, from which the text of its responses can be computed. */
    static EngineOptions engineOptions() {
        return EngineOptions.defaults().stepMs(STEP_MS).maxBatch(SLOTS).flushSteps(FLUSH_STEPS);
    }

    int slots() {
        return engines.size() * SLOTS;
    }

    /** Returns the settings document that defines these targets. */
    ObjectNode document(DemoSite site) {
        DocumentWriter document = DocumentWriter.create();
        document.enginePool(site.model());
        document.servicePool(site.service());
        for (int i = 0; i < engines.size(); i++) {
            String address = "127.0.0.1:" + engines.get(i).port();
            document.target("engine-" + (i + 1), site.model(), address, site.dataCentre(i), SLOTS);
        }
        for (int i = 0; i < services.size(); i++) {
            String address = "127.0.0.1:" + services.get(i).port();
            document.target("service-" + (i + 1), site.service(), address, site.dataCentre(i), SERVICE_SLOTS);
        }
        return document.document();
    }

    List<EngineCounts> counts() {
        return engines.stream().map(ModelEngine::counts).toList();
    }

    /** Returns the number of non-repeatable requests that were executed more than once. */
    long doubled() {
        return services.stream().mapToLong(PlainService::duplicateExecutions).sum();
    }

    /** Returns how many of these calls were executed. */
    long executed(Set<String> requestIds) {
        return services.stream()
                .flatMap(service -> service.executions().keySet().stream())
                .filter(requestIds::contains)
                .distinct()
                .count();
    }

    @Override
    public void close() {
        engines.forEach(ModelEngine::close);
        services.forEach(PlainService::close);
    }
}
