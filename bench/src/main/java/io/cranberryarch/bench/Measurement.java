package io.cranberryarch.bench;

import java.util.Locale;
import java.util.OptionalDouble;

/**
 * A measured value with an optional upper bound.
 *
 * @param name the name, unique in the run
 * @param unit the unit
 * @param value the measured value
 * @param bound the maximum allowed value, or empty
 */
public record Measurement(String name, String unit, double value, OptionalDouble bound) {

    static Measurement of(String name, String unit, double value) {
        return new Measurement(name, unit, value, OptionalDouble.empty());
    }

    static Measurement ofBounded(String name, String unit, double value, double bound) {
        return new Measurement(name, unit, value, OptionalDouble.of(bound));
    }

    /**
     * Checks whether the value exceeds the bound.
     *
     * @return whether the value is greater than its bound, {@code false} without a bound
     */
    public boolean isExceeded() {
        return bound.isPresent() && value > bound.getAsDouble();
    }

    String toCsv() {
        String boundText = bound.isPresent() ? String.valueOf(bound.getAsDouble()) : "";
        return String.format(Locale.ROOT, "%s,%s,%.4f,%s", name, unit, value, boundText);
    }
}
