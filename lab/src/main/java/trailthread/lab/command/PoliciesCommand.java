package trailthread.lab.command;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import trailthread.lab.baseline.Policies;

/** Lists the load balancing policies. */
@Command(
        name = "policies",
        description = "Lists the load balancing policies that can be simulated.",
        mixinStandardHelpOptions = true)
final class PoliciesCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        Policies.all()
                .forEach(
                        p ->
                                spec.commandLine()
                                        .getOut()
                                        .printf("%-18s %s%n", p.name(), p.description()));
        return Lab.SUCCESS;
    }
}
