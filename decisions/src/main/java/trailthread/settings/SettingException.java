package trailthread.settings;

/** A setting that is missing or has a value that it must not have. */
public final class SettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String setting;
    private final String expected;

    /**
     * Describes a problem; the message is {@code source: setting: expected ...}.
     *
     * @param source where the setting was read
     * @param setting path of the setting
     * @param expected what its value should be
     */
    SettingException(String source, String setting, String expected) {
        super(source + ": " + setting + ": expected " + expected);
        this.setting = setting;
        this.expected = expected;
    }

    /** Path of the setting. */
    public String setting() {
        return setting;
    }

    /** What its value should be. */
    public String expected() {
        return expected;
    }
}
