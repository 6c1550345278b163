package trailthread.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.LoadReportSource;
import trailthread.api.RequestClass;
import trailthread.api.Settings;
import trailthread.api.Tenant;
import trailthread.api.WeightMeaning;

/** Settings parsed from pairs, and the errors for pairs that cannot be read. */
class SettingsParserTest {
    private static SettingsParser parser(String... pairs) {
        SettingsParser parser = new SettingsParser("here");
        for (String pair : pairs) {
            parser.add(pair);
        }
        return parser;
    }

    @Test
    void withoutPairsEverySettingKeepsItsDefault() {
        Settings settings = parser("unknown.path=7").parse();
        assertEquals(new Settings().maxAttempts, settings.maxAttempts);
        assertEquals(WeightMeaning.NONE, settings.weights);
        assertTrue(settings.classes.isEmpty());
    }

    @Test
    void classesAndTenantsAreReadByNumber() {
        Settings settings =
                parser(
                                "categories.count=2",
                                "categories.0.name=get",
                                "categories.0.semantics=retryable",
                                "categories.0.aim_ns=5",
                                "categories.1.name=put",
                                "categories.1.semantics=dedup",
                                "categories.1.group=zone",
                                "categories.1.window_ns=9",
                                "categories.1.gain=2.5",
                                "tenants.count=1",
                                "tenants.0.name=t",
                                "tenants.0.quota_per_s=3")
                        .parse();
        assertEquals(2, settings.classes.size());
        assertEquals(
                new RequestClass(
                        "get", 5, 0, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 1, 0),
                settings.classes.get(0));
        assertEquals(
                new RequestClass(
                        "put",
                        0,
                        0,
                        0,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ZONE,
                        9,
                        2.5,
                        0),
                settings.classes.get(1));
        assertEquals(new Tenant("t", 3, 1), settings.tenants.get(0));
    }

    @Test
    void wordsAndFlagsAreRead() {
        Settings settings =
                parser(
                                "discovery=on_request",
                                "weights=rough",
                                "report.how=pull",
                                "limits.probes=1",
                                "limits.may_cancel=true",
                                "limits.second_copies=0")
                        .parse();
        assertTrue(settings.listIsPolled);
        assertEquals(WeightMeaning.ROUGH, settings.weights);
        assertEquals(LoadReportSource.HEALTH_CHECKS, settings.reports);
        assertTrue(settings.mayCheckHealth);
        assertTrue(settings.mayCancel);
        assertFalse(settings.mayHedge);
    }

    @Test
    void wholeNumbersMayBeWrittenWithDecimals() {
        assertEquals(5, parser("a=5.0").wholeNumber("a", 1));
        assertEquals(1, parser().wholeNumber("a", 1));
        assertThrows(SettingException.class, () -> parser("a=5.5").wholeNumber("a", 1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "me=x | me | a whole number",
                "over_share_worth=x | over_share_worth | a number",
                "limits.peers=yes | limits.peers | true or false",
                "categories.count=1 | categories.0.name | a value",
            })
    void errorsNameTheSettingAndWhatWasExpected(String pair, String setting, String expected) {
        SettingException e = assertThrows(SettingException.class, () -> parser(pair).parse());
        assertEquals(setting, e.setting());
        assertEquals(expected, e.expected());
        assertEquals("here: " + setting + ": expected " + expected, e.getMessage());
    }

    @Test
    void aPairHasAPath() {
        assertThrows(SettingException.class, () -> parser("=5"));
        assertThrows(SettingException.class, () -> parser("path"));
    }
}
