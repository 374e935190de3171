package io.cranberryarch.settings;

import java.io.IOException;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Reads and validates the values of an INI file. Faults are collected and thrown together.
 *
 * <pre>
 * IniFile ini = IniFile.read(file);
 * int port = ini.readInt("listen", "entry-port", Optional.empty(), 0, 65535);
 * ini.rejectUnknown();
 * ini.throwFaults();
 * </pre>
 */
public final class IniFile {

    private static final Pattern IPV4 =
            Pattern.compile("(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}");
    private static final Pattern IPV6 = Pattern.compile("(?=.*:)[0-9a-fA-F.:\\[\\]]{2,41}");
    private static final int MAX_PORT = 65_535;

    /** Platforms write numbers with all their decimals, and small ones with an exponent. */
    private static final String DECIMAL = "\\d+(\\.\\d+)?([eE][+-]?\\d{1,3})?";

    private static final URI PLACEHOLDER_URI = URI.create("http://127.0.0.1");

    private final Path file;
    private final List<String> lines;
    private final INIConfiguration ini;
    private final Set<String> readKeys = new HashSet<>();
    private final List<String> faults = new ArrayList<>();

    private IniFile(Path file, List<String> lines, INIConfiguration ini) {
        this.file = file;
        this.lines = lines;
        this.ini = ini;
    }

    /**
     * Parses a file.
     *
     * @param file the file, not {@code null}
     * @return the values, not yet validated
     * @throws IOException if the file cannot be read
     * @throws SettingsException if the file is not a valid INI file
     */
    public static IniFile read(Path file) throws IOException, SettingsException {
        List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(String.join("\n", lines)));
        } catch (ConfigurationException e) {
            throw new SettingsException(List.of(file + ": not an INI file: " + e.getMessage()));
        }
        return new IniFile(file, lines, ini);
    }

    /**
     * Reads a text.
     *
     * @param section the section
     * @param key the key
     * @param fallback the value if none is set, or empty if the key is required
     * @param pattern the regular expression that the whole value must match
     * @return the value; unspecified after a fault
     */
    public String readText(String section, String key, Optional<String> fallback, String pattern) {
        Optional<String> value = find(section, key);
        if (value.isEmpty() && fallback.isEmpty()) {
            addFault(section, key, "a value, the key is required");
        }
        String text = value.or(() -> fallback).orElse("");
        if (value.isPresent() && !text.matches(pattern)) {
            addFault(section, key, "text matching " + pattern);
        }
        return text;
    }

    /**
     * Reads an optional text.
     *
     * @param section the section
     * @param key the key
     * @param pattern the regular expression that the whole value must match
     * @return the value, or empty if none is set
     */
    public Optional<String> readOptional(String section, String key, String pattern) {
        String text = readText(section, key, Optional.of(""), pattern);
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }

    /**
     * Reads one of several names.
     *
     * @param section the section
     * @param key the key
     * @param fallback the value if none is set
     * @param choices the allowed values
     * @return the value; unspecified after a fault
     */
    public String readChoice(String section, String key, String fallback, List<String> choices) {
        String text = find(section, key).orElse(fallback);
        if (!choices.contains(text)) {
            addFault(section, key, "one of " + choices);
        }
        return text;
    }

    /**
     * Reads an integer.
     *
     * @param section the section
     * @param key the key
     * @param fallback the value if none is set, or empty if the key is required
     * @param min the minimum value
     * @param max the maximum value
     * @return the value; unspecified after a fault
     */
    public int readInt(String section, String key, Optional<Integer> fallback, int min, int max) {
        String text = readText(section, key, fallback.map(String::valueOf), ".*");
        if (text.isEmpty()) {
            return min;
        }
        try {
            int value = Integer.parseInt(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of range.
        }
        addFault(section, key, "a whole number from " + min + " to " + max);
        return min;
    }

    /**
     * Reads an HTTP or HTTPS URL.
     *
     * @param section the section
     * @param key the key
     * @return the value; unspecified after a fault
     */
    public URI readUri(String section, String key) {
        String text = readText(section, key, Optional.empty(), "https?://[^ ]+");
        try {
            return text.isEmpty() ? PLACEHOLDER_URI : URI.create(text);
        } catch (IllegalArgumentException e) {
            addFault(section, key, "an HTTP URL");
            return PLACEHOLDER_URI;
        }
    }

    /**
     * Reads a list of names separated by commas.
     *
     * @param section the section
     * @param key the key
     * @param pattern the regular expression that each name must match
     * @return the names, not empty unless there is a fault
     */
    public List<String> readNames(String section, String key, String pattern) {
        List<String> names = toList(readText(section, key, Optional.empty(), ".*"));
        for (String name : names) {
            if (!name.matches(pattern)) {
                addFault(section, key, "names matching " + pattern + " separated by commas");
            }
        }
        return names;
    }

    /**
     * Reads a list of addresses {@code IP:PORT} separated by commas.
     *
     * @param section the section
     * @param key the key
     * @return the addresses, may be empty
     */
    public List<InetSocketAddress> readAddresses(String section, String key) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : toList(readText(section, key, Optional.of(""), ".*"))) {
            Optional<InetSocketAddress> address = toAddress(text);
            if (address.isEmpty()) {
                addFault(section, key, "addresses IP:PORT separated by commas");
            }
            address.ifPresent(addresses::add);
        }
        return addresses;
    }

    /**
     * Reads an address {@code IP:PORT}.
     *
     * @param section the section
     * @param key the key
     * @return the address; unspecified after a fault
     */
    public InetSocketAddress readAddress(String section, String key) {
        Optional<InetSocketAddress> address = toAddress(readText(section, key, Optional.empty(), ".*"));
        if (address.isEmpty()) {
            addFault(section, key, "an address IP:PORT");
        }
        return address.orElse(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /**
     * Reads an address under which other processes reach this process.
     *
     * @param section the section
     * @param key the key
     * @return the address; unspecified after a fault
     */
    public InetSocketAddress readReachableAddress(String section, String key) {
        InetSocketAddress address = readAddress(section, key);
        if (address.getAddress().isAnyLocalAddress()) {
            addFault(section, key, "the IP:PORT under which others reach this process, not a wildcard");
        }
        return address;
    }

    /**
     * Parses an address.
     *
     * @param text {@code IP:PORT}, not {@code null}
     * @return the address, or empty if the text is not an address
     */
    public static Optional<InetSocketAddress> toAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        String host = text.substring(0, colon);
        // Other texts would be looked up as names, which blocks the caller.
        boolean isNumeric = IPV4.matcher(host).matches() || IPV6.matcher(host).matches();
        if (port > MAX_PORT || !isNumeric) {
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(host, port)).filter(address -> !address.isUnresolved());
    }

    /**
     * Formats an address, the inverse of {@link #toAddress}.
     *
     * @param address the resolved address, not {@code null}
     * @return {@code IP:PORT}
     */
    public static String toText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Adds a fault for every key that was not read. */
    public void rejectUnknown() {
        for (String section : ini.getSections()) {
            if (section == null) {
                continue;
            }
            SubnodeConfiguration values = ini.getSection(section);
            for (Iterator<String> keys = values.getKeys(); keys.hasNext(); ) {
                String key = keys.next().replace("..", ".");
                if (!readKeys.contains(section + "/" + key)) {
                    faults.add(toLocation(section, key) + "unknown key");
                }
            }
        }
    }

    /**
     * Returns the sections of a kind, which are named {@code KIND NAME}.
     *
     * @param kind the first word of the section's title
     * @return the names without the kind, in the order of the file
     */
    public List<String> findSections(String kind) {
        List<String> names = new ArrayList<>();
        for (String section : ini.getSections()) {
            if (section != null && section.startsWith(kind + " ")) {
                names.add(section.substring(kind.length() + 1));
            }
        }
        return names;
    }

    /**
     * Reads a decimal number that is not negative.
     *
     * @param section the section
     * @param key the key
     * @param fallback the value if none is set or the text is blank, or empty if the key is required
     * @param max the maximum value
     * @return the value; unspecified after a fault
     */
    public double readDecimal(String section, String key, Optional<Double> fallback, double max) {
        // A template that renders an absent value leaves a blank one.
        Optional<String> text = find(section, key).filter(value -> !value.isBlank());
        if (text.isEmpty() && fallback.isPresent()) {
            return fallback.get();
        }
        if (text.isPresent() && text.get().matches(DECIMAL)) {
            double value = Double.parseDouble(text.get());
            if (value <= max) {
                return value;
            }
        }
        addFault(section, key, "a decimal number from 0 to " + max);
        return 0;
    }

    /**
     * Adds a fault for a key.
     *
     * @param section the section
     * @param key the key
     * @param allowed a description of the allowed values
     */
    public void addFault(String section, String key, String allowed) {
        String found = find(section, key)
                .map(value -> ", found '" + mask(key, value) + "'")
                .orElse("");
        faults.add(toLocation(section, key) + "expected " + allowed + found);
    }

    /**
     * Throws the collected faults, if any.
     *
     * @throws SettingsException if there are faults; lists all of them
     */
    public void throwFaults() throws SettingsException {
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
    }

    private Optional<String> find(String section, String key) {
        readKeys.add(section + "/" + key);
        if (!ini.getSections().contains(section)) {
            return Optional.empty();
        }
        return Optional.ofNullable(ini.getSection(section).getString(key.replace(".", ".."), null));
    }

    private String toLocation(String section, String key) {
        return file + ":" + findLine(section, key) + ": [" + section + "] " + key + ": ";
    }

    private int findLine(String section, String key) {
        boolean isInSection = false;
        int sectionLine = 1;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).trim();
            if (line.startsWith("[")) {
                isInSection = line.equals("[" + section + "]");
                sectionLine = isInSection ? i + 1 : sectionLine;
            }
            if (isInSection && line.split("[=:]", 2)[0].trim().equals(key)) {
                return i + 1;
            }
        }
        return sectionLine;
    }

    private static String mask(String key, String value) {
        return key.equals("secret") ? "***" : value;
    }

    private static List<String> toList(String text) {
        List<String> items = new ArrayList<>();
        for (String item : text.split(",")) {
            if (!item.isBlank()) {
                items.add(item.trim());
            }
        }
        return items;
    }
}
