package org.marjoramswitch.tool.demo;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Layout of a deployment.
 *
 * @param name also the name of the scenario that is run against it
 * @param model the pool of model engines, {@code engines} of them
 * @param service the pool of plain services, {@code services} of them
 */
public record DemoSite(
        String name, List<String> dataCentres, int instances, String model, int engines, String service, int services) {
    static final List<DemoSite> ALL = List.of(
            new DemoSite(
                    "thies",
                    List.of("hall-soudure", "hall-palette", "salle-controle"),
                    9,
                    "atelier-llm",
                    8,
                    "cell-gateway",
                    3),
            new DemoSite("leith", List.of("leith-a", "leith-b", "leith-c"), 9, "manifest-lm", 6, "harbour-app", 3));

    /** Returns the site of this name; null if there is none. */
    public static @Nullable DemoSite named(String name) {
        return ALL.stream().filter(site -> site.name().equals(name)).findFirst().orElse(null);
    }

    /** Returns the data centre of the n-th instance or target, assigned round-robin. */
    String dataCentre(int index) {
        return dataCentres.get(index % dataCentres.size());
    }
}
