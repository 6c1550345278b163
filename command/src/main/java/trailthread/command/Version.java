package trailthread.command;

import picocli.CommandLine.IVersionProvider;
import trailthread.daemon.Main;

/** Provides the version that the build wrote into the jar's manifest. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Main.class.getPackage().getImplementationVersion();
        return new String[] {"trailthread " + (version == null ? "unknown" : version)};
    }
}
