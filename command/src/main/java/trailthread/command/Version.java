package trailthread.command;

import picocli.CommandLine.IVersionProvider;
import trailthread.daemon.Main;

/** The version, as the build has written it into the jar. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Main.class.getPackage().getImplementationVersion();
        return new String[] {"trailthread " + (version == null ? "unknown" : version)};
    }
}
