package trailthread.benchmark;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command that the platform runs a node with, as deploy/balancer.toml has it; pure. */
final class NodeCommand {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"exec (.*)\"$");

    private NodeCommand() {}

    /**
     * The words of the command.
     *
     * @throws IllegalArgumentException if there is none
     */
    static List<String> node(String toml) {
        Matcher run = RUN.matcher(toml);
        if (!run.find()) {
            throw new IllegalArgumentException("no run command in " + toml);
        }
        return Arrays.asList(run.group(1).split(" +"));
    }

    /**
     * Another program with the node's flags, but for the archive, which holds the node's classes
     * alone.
     */
    static List<String> other(String toml, String classPath, String... program) {
        List<String> node = node(toml);
        List<String> words = new ArrayList<>(node.subList(0, node.indexOf("-jar")));
        words.removeIf(word -> word.startsWith("-XX:SharedArchiveFile="));
        words.addAll(List.of("-cp", classPath));
        words.addAll(List.of(program));
        return words;
    }
}
