package martenloom.common.settings;

/**
 * A range of ports.
 *
 * @param first the lowest port
 * @param last the highest port, included
 */
record PortRange(int first, int last) {
    private static final int MAX_PORT = 65535;

    /** Reads a field that is a list of two ports. */
    static PortRange read(SettingsFields fields, String field) {
        var ports = fields.list(field);
        if (ports.size() != 2
                || !(ports.get(0) instanceof Number first)
                || !(ports.get(1) instanceof Number last)) {
            throw SettingsFields.invalid(field, "must be two port numbers");
        }
        var range = new PortRange(first.intValue(), last.intValue());
        if (range.first < 1 || range.last > MAX_PORT || range.first > range.last) {
            throw SettingsFields.invalid(
                    field, "must run from a lower to a higher port below 65536");
        }
        return range;
    }
}
