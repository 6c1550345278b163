package trailthread.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import trailthread.Balancer;
import trailthread.adapter.WireException.Problem;
import trailthread.api.Settings;
import trailthread.settings.SettingException;
import trailthread.settings.SettingsParser;

/**
 * Runs balancers under the simulator: reads batches of messages, passes each event to the balancer
 * of its instance, and writes the actions of a batch as one reply. Makes no decisions of its own.
 */
public final class Adapter {
    private final WireReader reader;
    private final WireWriter writer;
    private final EndpointPages pages;
    private final EventDispatcher events;
    private final Map<String, Balancer> balancers = new HashMap<>();

    /** The instance that messages are for; null until a message of the batch selects one. */
    private String instance;

    /** The balancer of that instance; null where it has not been started. */
    private Balancer balancer;

    /** Time of the current batch, ns of the simulator's clock. */
    private long now;

    Adapter(InputStream in, OutputStream out) {
        reader = new WireReader(in);
        writer = new WireWriter(out);
        WireCodec codec = new WireCodec(reader);
        pages = new EndpointPages(reader, codec);
        events = new EventDispatcher(reader, codec, pages);
    }

    /**
     * Answers batches until the input ends. If the input cannot be read, prints why to standard
     * error.
     *
     * @return the exit status: 0 at the end of the input, 1 if it could not be read
     * @throws IOException if a stream fails
     */
    public static int serve(InputStream in, OutputStream out) throws IOException {
        try {
            new Adapter(in, out).run();
            return 0;
        } catch (WireException e) {
            System.err.println("trailthread: " + e.getMessage());
            return 1;
        }
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws WireException if the input cannot be read
     */
    void run() throws IOException {
        while (reader.nextLine()) {
            readFrame();
            readBatch();
            writer.endReply();
        }
    }

    private void readFrame() {
        String message = reader.name(0, "message");
        if (!message.equals(WireMessages.FRAME)) {
            throw unexpected("message", "frame, got '" + message + "'");
        }
        reader.requireFieldCount(2, 2, message);
        now = reader.number(1, message);
        instance = null;
        balancer = null;
    }

    private void readBatch() throws IOException {
        while (reader.nextLine()) {
            String message = reader.name(0, "message");
            if (message.equals(WireMessages.END_OF_BATCH)) {
                reader.requireFieldCount(1, 1, message);
                return;
            }
            handle(message);
        }
        throw new WireException(
                Problem.TRUNCATED_INPUT,
                reader.lineNumber() + 1,
                "message",
                "end before the end of the input");
    }

    private void handle(String message) throws IOException {
        switch (message) {
            case WireMessages.SELECT_INSTANCE -> selectInstance();
            case WireMessages.ENDPOINT_PAGE -> pages.readPage();
            case WireMessages.START_INSTANCE -> startInstance();
            case WireMessages.STOP_INSTANCE -> stopInstance();
            default -> handleEvent(message);
        }
    }

    private void selectInstance() {
        reader.requireFieldCount(2, 2, WireMessages.SELECT_INSTANCE);
        instance = reader.name(1, "instance");
        balancer = balancers.get(instance);
    }

    private void startInstance() {
        requireInstance(WireMessages.START_INSTANCE);
        reader.requireFieldCount(2, Integer.MAX_VALUE, WireMessages.START_INSTANCE);
        long seed = reader.number(1, "rng_seed");
        Settings settings = readSettings();
        try {
            balancer = new Balancer(settings, seed, now, new WireActions(instance, writer));
        } catch (IllegalArgumentException e) {
            throw invalidSettings("options", "usable settings: " + e.getMessage());
        }
        balancers.put(instance, balancer);
    }

    /** Reads the settings, a {@code path=value} pair in each field after the seed. */
    private Settings readSettings() {
        SettingsParser parser = new SettingsParser("line " + reader.lineNumber());
        try {
            for (int i = 2; i < reader.fieldCount(); i++) {
                if (!reader.isAbsent(i)) {
                    parser.add(reader.text(i));
                }
            }
            return parser.parse();
        } catch (SettingException e) {
            throw invalidSettings(e.setting(), e.expected());
        }
    }

    private void stopInstance() {
        reader.requireFieldCount(1, 1, WireMessages.STOP_INSTANCE);
        requireInstance(WireMessages.STOP_INSTANCE);
        balancers.remove(instance);
        balancer = null;
    }

    private void handleEvent(String message) {
        requireInstance(message);
        if (balancer == null) {
            throw unexpected(message, "begin before it");
        }
        try {
            events.dispatch(message, balancer, now);
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            System.err.println("trailthread: line " + reader.lineNumber() + ": " + e);
            writer.internalError(instance, e.toString());
        }
    }

    private void requireInstance(String message) {
        if (instance == null) {
            throw unexpected(message, "switch_to before it");
        }
    }

    private WireException unexpected(String field, String expected) {
        return new WireException(Problem.UNEXPECTED_MESSAGE, reader.lineNumber(), field, expected);
    }

    private WireException invalidSettings(String field, String expected) {
        return new WireException(Problem.INVALID_SETTINGS, reader.lineNumber(), field, expected);
    }
}
