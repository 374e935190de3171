package io.cranberryarch.bench;

import java.util.Locale;
import java.util.OptionalDouble;

/**
 * One figure, and the bound that it must not pass, if there is one.
 *
 * @param name the name, unique in the run
 * @param unit the unit
 * @param value the figure
 * @param bound the greatest figure allowed, or empty
 */
public record Measurement(String name, String unit, double value, OptionalDouble bound) {

    static Measurement of(String name, String unit, double value) {
        return new Measurement(name, unit, value, OptionalDouble.empty());
    }

    static Measurement ofBounded(String name, String unit, double value, double bound) {
        return new Measurement(name, unit, value, OptionalDouble.of(bound));
    }

    /**
     * Checks the bound.
     *
     * @return whether the figure is greater than its bound
     */
    public boolean isExceeded() {
        return bound.isPresent() && value > bound.getAsDouble();
    }

    String toCsv() {
        String limit = bound.isPresent() ? String.valueOf(bound.getAsDouble()) : "";
        return String.format(Locale.ROOT, "%s,%s,%.4f,%s", name, unit, value, limit);
    }
}
