package org.marjoramswitch.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.settings.LocalSettingsResult.Fault;
import org.marjoramswitch.daemon.settings.LocalSettingsResult.Invalid;
import org.marjoramswitch.daemon.settings.LocalSettingsResult.Valid;

class LocalSettingsReaderTest {
    private static final String MINIMAL = """
            {"instance": "entry-1", "dataCentre": "leith-a", "callers": "127.0.0.1:8080",
             "peers": "127.0.0.1:7070", "platform": ["127.0.0.1:2379"], "fleetKey": "0123456789abcdef"%s}
            """;

    @Test
    void absentMembersTakeDefaults() {
        LocalSettings settings = assertInstanceOf(Valid.class, LocalSettingsReader.parse(MINIMAL.formatted("")))
                .settings();
        assertEquals(HostPort.of("127.0.0.1", 8080), settings.callers());
        assertEquals(List.of(HostPort.of("127.0.0.1", 2379)), settings.platform());
        assertEquals(LocalSettings.DEFAULT_MAX_WAITING, settings.maxWaiting());
        assertEquals("INFO", settings.logLevel());
        assertEquals(null, settings.recordFile());
    }

    @Test
    void reportsEveryFaultWithItsPointer() {
        String text = """
                {"instance": "Entry 1", "callers": "localhost:8080", "peers": "10.0.0.300:70000",
                 "platform": ["10.0.0.1:2379", 7], "fleetKey": "short", "logLevel": "LOUD", "maxWaiting": 0,
                 "maxwaiting": 9}
                """;
        assertEquals(
                Set.of("", "/instance", "/callers", "/peers", "/platform/1", "/fleetKey", "/logLevel", "/maxWaiting"),
                pointers(text));
    }

    @Test
    void describesValidAddressForms() {
        Invalid invalid = assertInstanceOf(
                Invalid.class, LocalSettingsReader.parse(MINIMAL.formatted("").replace("127.0.0.1:8080", "::1:8080")));
        assertEquals(
                List.of(new Fault(
                        "/callers", "is not an IP address and a port, such as 10.0.0.1:8080 or [fd00::1]:8080")),
                invalid.faults());
    }

    @Test
    void rejectsNullAndDuplicateMembers() {
        assertEquals(Set.of("/recordFile"), pointers(MINIMAL.formatted(", \"recordFile\": null")));
        assertEquals(Set.of(""), pointers(MINIMAL.formatted(", \"instance\": \"entry-2\"")));
    }

    @Test
    void rejectsSameAddressForCallersAndPeers() {
        assertEquals(Set.of("/peers"), pointers(MINIMAL.formatted("").replace("7070", "8080")));
    }

    @Test
    void reportsMalformedOrMissingFileAsFaultOfWholeFile() {
        assertEquals(Set.of(""), pointers("{"));
        assertInstanceOf(Invalid.class, LocalSettingsReader.read(Path.of("/nonexistent/settings.json")));
    }

    private static Set<String> pointers(String text) {
        List<Fault> faults =
                assertInstanceOf(Invalid.class, LocalSettingsReader.parse(text)).faults();
        return faults.stream().map(Fault::pointer).collect(Collectors.toSet());
    }
}
