package org.marjoramswitch.kernel.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;

class SettingsMergerTest {
    private static final String HASH = "ab".repeat(32);

    @Test
    void teamDefaultsApplyOnlyToOwnCustomers() {
        FleetSettings settings = merged(Map.of(
                "settings/floor/base",
                "{'defaults':{'weight':3},'customers':{'acme':{'apiKeysSha256':[]},"
                        + "'bolt':{'weight':5,'maxQueued':7,'apiKeysSha256':['" + HASH + "']}}}",
                "settings/port/base",
                "{'customers':{'clyde':{'apiKeysSha256':[]}}}"));
        assertEquals(3, settings.customers().get(CustomerId.of("acme")).weight());
        assertEquals(200, settings.customers().get(CustomerId.of("acme")).maxQueued());
        assertEquals(5, settings.customers().get(CustomerId.of("bolt")).weight());
        assertEquals(7, settings.customers().get(CustomerId.of("bolt")).maxQueued());
        assertEquals(1, settings.customers().get(CustomerId.of("clyde")).weight());
    }

    @Test
    void poolsTakeDefaultsOfTheirKindAndTargetsMayUseOtherTeamsPools() {
        FleetSettings settings = merged(Map.of(
                "settings/models/pools",
                "{'pools':{'llm':{'kind':'model-engine','cellTargets':8},'notes':{'kind':'plain-service'}}}",
                "settings/halls/hall-soudure",
                "{'targets':{'llm-1':{'pool':'llm','address':'[::1]:9000','dataCentre':'hall-soudure','slots':16}}}"));
        assertEquals(
                PoolSettings.modelEngines(PoolId.of("llm")).withCellTargets(8),
                settings.pools().get(PoolId.of("llm")));
        assertEquals(
                PoolSettings.plainServices(PoolId.of("notes")), settings.pools().get(PoolId.of("notes")));
        assertEquals("::1", settings.targets().get(TargetId.of("llm-1")).host());
        assertEquals(9000, settings.targets().get(TargetId.of("llm-1")).port());
    }

    @Test
    void reportsAllFaultsWithTheirLocations() {
        List<String> messages = faultMessages(Map.of(
                "settings/floor/base",
                "{'customers':{'acme':{'weight':0,'apiKeysSha256':['xyz'],'colour':1}},'pool':{}}",
                "settings/halls/a",
                "{'targets':{'t':{'pool':'nowhere','address':'localhost:1','dataCentre':'a','slots':0}}}",
                "settings/halls/b",
                "{'customers':{},'customers':{}}",
                "settings/alone",
                "{}"));
        assertStarts(messages, "settings/floor/base#/pool: ");
        assertStarts(messages, "settings/floor/base#/customers/acme/weight: ");
        assertStarts(messages, "settings/floor/base#/customers/acme/colour: ");
        assertStarts(messages, "settings/floor/base#/customers/acme/apiKeysSha256/0: ");
        assertStarts(messages, "settings/halls/a#/targets/t/address: ");
        assertStarts(messages, "settings/halls/a#/targets/t/slots: ");
        assertStarts(messages, "settings/halls/b#: ");
        assertTrue(messages.stream().anyMatch(message -> message.contains("settings/alone")), messages.toString());
        assertEquals(8, messages.size(), messages.toString());
    }

    @Test
    void reportsConflictToBothTeams() {
        List<String> messages = faultMessages(Map.of(
                "settings/floor/base",
                "{'customers':{'acme':{'apiKeysSha256':['" + HASH + "']}}}",
                "settings/port/base",
                "{'customers':{'bolt':{'apiKeysSha256':['" + HASH + "']}},"
                        + "'targets':{'t':{'pool':'llm','address':'10.0.0.1:80','dataCentre':'a','slots':1}}}"));
        assertEquals(
                List.of(
                        "settings/floor/base#/customers/acme/apiKeysSha256/0: Two teams define the same name: API key"
                                + " hash " + HASH + ", also in settings/port/base",
                        "settings/port/base#/customers/bolt/apiKeysSha256/0: Two teams define the same name: API key"
                                + " hash " + HASH + ", also in settings/floor/base",
                        "settings/port/base#/targets/t: A target names a pool that no team defines: llm"),
                messages);
    }

    private static void assertStarts(List<String> messages, String start) {
        assertTrue(messages.stream().anyMatch(message -> message.startsWith(start)), start + " in " + messages);
    }

    private static FleetSettings merged(Map<String, String> drafts) {
        SettingsMerger.Result result = SettingsMerger.merge(quoted(drafts), 1);
        return ((SettingsMerger.Merged) result).settings();
    }

    private static List<String> faultMessages(Map<String, String> drafts) {
        SettingsMerger.Result result = SettingsMerger.merge(quoted(drafts), 1);
        return ((SettingsMerger.Refused) result)
                .faults().stream().map(SettingsFault::message).toList();
    }

    private static Map<String, String> quoted(Map<String, String> drafts) {
        return drafts.entrySet().stream()
                .collect(java.util.stream.Collectors.toMap(
                        Map.Entry::getKey, draft -> draft.getValue().replace('\'', '"')));
    }
}
