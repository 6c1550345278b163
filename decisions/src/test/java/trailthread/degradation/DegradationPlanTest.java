package trailthread.degradation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.Test;
import trailthread.degradation.DegradationLevel.Reach;

/** Errors name the field that is out of range, and docs/levels.md lists the defaults. */
public class DegradationPlanTest {
    private static final double NS_PER_SECOND = 1e9;

    private static DegradationLevel level(
            String name, double enter, double leave, long holdNs, double minShed) {
        List<Condition> failing = List.of(new Condition(Reading.FAILING, enter, leave, holdNs));
        return new DegradationLevel(name, failing, 1, 1, Reach.SAFE, minShed, 1);
    }

    @Test
    public void errorsNameTheFieldAndItsRange() {
        Map<String, Consumer<DegradationPlan>> table = new LinkedHashMap<>();
        table.put("gapNs: not in [1, 3600000000000] ns", p -> p.gapNs = 0);
        table.put("mostStayNs: not in [1, 3600000000000] ns", p -> p.maxStayNs = Long.MAX_VALUE);
        table.put(
                "levels.essential.leastStayNs: above mostStayNs",
                p -> p.maxStayNs = 25_000_000_000L);
        table.put("keep: not in (0, 1]", p -> p.keep = 0);
        table.put("levels: at least one is needed", p -> p.levels.clear());
        table.put("levels: a name is blank or twice there", p -> p.levels.set(1, p.levels.get(2)));
        table.put(
                "levels.lean: conditions are for all levels but the first, at least one for each",
                p -> p.levels.remove(0));
        table.put(
                "levels.x.failing.enter: not in (0, 1]",
                p -> p.levels.add(level("x", 1.1, 0.1, 0, 0)));
        table.put(
                "levels.x.failing.leave: not in (0, enter)",
                p -> p.levels.add(level("x", 0.1, 0.1, 0, 0)));
        table.put(
                "levels.x.failing.holdNs: not in [0, 3600000000000] ns",
                p -> p.levels.add(level("x", 0.2, 0.1, -1, 0)));
        table.put(
                "levels.x.leastShed: not in [0, 1]",
                p -> p.levels.add(level("x", 0.2, 0.1, 0, Double.NaN)));
        new DegradationPlan().check();
        table.forEach(
                (message, spoil) -> {
                    DegradationPlan plan = new DegradationPlan();
                    spoil.accept(plan);
                    assertEquals(
                            message,
                            assertThrows(IllegalArgumentException.class, plan::check).getMessage());
                });
    }

    @Test
    public void theDocumentationListsTheDefaults() throws IOException {
        List<String> expected = new ArrayList<>();
        for (DegradationLevel level : DegradationPlan.defaults()) {
            for (Condition condition : level.conditions()) {
                expected.add(row(level, condition));
            }
        }
        List<String> rows =
                Files.readAllLines(Path.of("../docs/levels.md")).stream()
                        .filter(line -> line.matches("\\| (lean|reduced|essential) \\|.*[0-9] \\|"))
                        .toList();
        assertEquals(String.join("\n", expected), String.join("\n", rows));
    }

    private static String row(DegradationLevel level, Condition condition) {
        double unit = condition.reading().isShare() ? 1 : NS_PER_SECOND;
        return String.format(
                "| %s | %s | %s | %s | %s |",
                level.name(),
                condition.reading().key(),
                condition.enter() / unit,
                condition.leave() / unit,
                condition.holdNs() / NS_PER_SECOND);
    }
}
