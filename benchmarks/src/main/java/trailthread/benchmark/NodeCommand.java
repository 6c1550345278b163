package trailthread.benchmark;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command with which the platform starts a node, from the text of deploy/balancer.toml. */
final class NodeCommand {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"exec (.*)\"$");

    private NodeCommand() {}

    /**
     * The command and its arguments.
     *
     * @throws IllegalArgumentException if the text has no run command
     */
    static List<String> parse(String toml) {
        Matcher run = RUN.matcher(toml);
        if (!run.find()) {
            throw new IllegalArgumentException("no run command in " + toml);
        }
        return Arrays.asList(run.group(1).split(" +"));
    }

    /**
     * Command of another program with the node's JVM options, except for the class archive, which
     * contains only the node's classes.
     */
    static List<String> forProgram(String toml, String classPath, String... program) {
        List<String> nodeCommand = parse(toml);
        List<String> command = new ArrayList<>(nodeCommand.subList(0, nodeCommand.indexOf("-jar")));
        command.removeIf(argument -> argument.startsWith("-XX:SharedArchiveFile="));
        command.addAll(List.of("-cp", classPath));
        command.addAll(List.of(program));
        return command;
    }
}
