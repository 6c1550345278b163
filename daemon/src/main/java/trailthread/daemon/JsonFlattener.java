package trailthread.daemon;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Flattens a JSON value into the dotted paths that the simulator's wire uses. For example, {@code
 * {"a":{"b":[1,2]}}} gives {@code a.b=1,2} and {@code a.b.count=0}.
 */
final class JsonFlattener {
    /**
     * One value.
     *
     * @param path the dotted path
     * @param text the value as the wire writes it
     * @param type the value's type in the file
     */
    record Value(String path, String text, JsonToken type) {}

    private JsonFlattener() {}

    /**
     * Passes each value but null to the consumer. A list gives its plain items joined by commas,
     * the number of its objects under {@code .count}, and each object under its index.
     *
     * @param in positioned before the value
     * @throws IOException if it can't be read or is not JSON
     */
    static void flatten(JsonReader in, Consumer<Value> consumer) throws IOException {
        flatten("", in, consumer);
    }

    private static void flatten(String path, JsonReader in, Consumer<Value> consumer)
            throws IOException {
        JsonToken type = in.peek();
        switch (type) {
            case BEGIN_OBJECT -> flattenObject(path, in, consumer);
            case BEGIN_ARRAY -> flattenArray(path, in, consumer);
            case BOOLEAN ->
                    consumer.accept(new Value(path, Boolean.toString(in.nextBoolean()), type));
            case NULL -> in.nextNull();
            default -> consumer.accept(new Value(path, in.nextString(), type));
        }
    }

    private static void flattenObject(String path, JsonReader in, Consumer<Value> consumer)
            throws IOException {
        in.beginObject();
        while (in.hasNext()) {
            String name = in.nextName();
            flatten(path.isEmpty() ? name : path + "." + name, in, consumer);
        }
        in.endObject();
    }

    private static void flattenArray(String path, JsonReader in, Consumer<Value> consumer)
            throws IOException {
        List<String> plainItems = new ArrayList<>();
        int objects = 0;
        in.beginArray();
        while (in.hasNext()) {
            if (in.peek() == JsonToken.BEGIN_OBJECT) {
                flatten(path + "." + objects++, in, consumer);
            } else {
                plainItems.add(in.nextString());
            }
        }
        in.endArray();
        consumer.accept(new Value(path + ".count", Integer.toString(objects), JsonToken.NUMBER));
        consumer.accept(new Value(path, String.join(",", plainItems), JsonToken.BEGIN_ARRAY));
    }
}
