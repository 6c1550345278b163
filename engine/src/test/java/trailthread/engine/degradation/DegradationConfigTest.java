package trailthread.engine.degradation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.Test;
import trailthread.api.DeduplicationScope;
import trailthread.api.Idempotency;
import trailthread.api.RequestClass;
import trailthread.degradation.DegradationPlan;

/** Tests the keys of the levels, and that the operators' page documents them all. */
public class DegradationConfigTest {
    private static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass(
                            "poll",
                            1,
                            0,
                            1,
                            Idempotency.IDEMPOTENT,
                            DeduplicationScope.ALL,
                            0,
                            1,
                            0));

    @Test
    public void docsNameEveryKeyAndNoOther() throws Exception {
        Set<String> known = new TreeSet<>();
        for (String key : DegradationConfig.knownKeys()) {
            known.add(
                    key.replaceFirst("^(lean|reduced|essential)\\.", "LEVEL.")
                            .replaceFirst("\\.[a-z_]+\\.", ".READING."));
        }
        assertTrue(known.toString(), known.contains("LEVEL.READING.hold_s"));
        Set<String> documented =
                Pattern.compile("(?m)^\\| `levels\\.([A-Za-z_.]+)` \\|")
                        .matcher(Files.readString(Path.of("../docs/levels.md")))
                        .results()
                        .map((MatchResult row) -> row.group(1))
                        .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(known, documented);
    }

    @Test
    public void missingKeysHaveDefaults() {
        DegradationConfig config =
                DegradationConfig.parse(Map.of("on", "true", "keep", "0.5"), CLASSES);
        assertEquals(DegradationPlan.defaults(), config.plan().levels);
        assertEquals(new DegradationPlan().riseNs, config.plan().riseNs);
        assertEquals(0.5, config.plan().keep, 0);
    }
}
