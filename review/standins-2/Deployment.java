/** The operator's configuration of the deployment in the cases: one tenant, a plain service and a service of model engines. */
final class Deployment {
    static final String HOST = "ficu95.example";
    static final String KEY = "asnmgkcuyj8pjbvk9m68";
    static final String TENANT = "hule930";
    static final String SERVICE = "xano55b";
    static final String ENGINES = "dele69a";
    /** The path of the route whose requests may run once at most, as estop-ack. */
    static final String ONCE = "/cuti104/lo19/";
    /** The path of the route whose requests may be repeated, as interlock-status. */
    static final String REPEATABLE = "/cuti104/lo20/";

    /** The path of the route whose answers are streams that may not be resumed, as checklist-review. */
    static final String STREAM = "/pufi791/";
    /** The path of the route whose answers are streams that may be resumed, as commissioning-report. */
    static final String RESUMABLE = "/lohu930/";

    private Deployment() {}

    static String configuration(long version) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("estop-ack", ONCE, "non_idempotent") + "," + route("interlock-status", REPEATABLE, "idempotent") + ","
                + stream("checklist-review", STREAM, false) + "," + stream("commissioning-report", RESUMABLE, true)
                + "],\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"" + Replica.HEALTH + "\"},{\"name\":\"" + ENGINES
                + "\",\"health_path\":\"" + Replica.HEALTH + "\",\"max_connections\":300,\"engine\":{\"slots\":48,"
                + "\"kv_capacity\":986267,\"kv_token_bytes\":18432,\"link_mbps\":370000.0,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":5000,"
                + "\"idle_timeout_ms\":10000},\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + KEY
                + "\"]}]}";
    }

    private static String route(String name, String prefix, String type) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"route_type\":\"" + type + "\",\"attempts\":2,\"timeout_ms\":3000,\"target_latency_ms\":386,"
                + "\"priority\":1,\"service\":\"" + SERVICE + "\"}";
    }

    private static String stream(String name, String prefix, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"route_type\":\"streaming\",\"attempts\":" + (resumable ? 2 : 1)
                + ",\"timeout_ms\":12000,\"target_latency_ms\":250,\"gap_target_ms\":200,\"resumable\":" + resumable
                + ",\"sticky\":true,\"priority\":1,\"service\":\"" + ENGINES + "\"}";
    }
}
