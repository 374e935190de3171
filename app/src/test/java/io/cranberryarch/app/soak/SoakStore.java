package io.cranberryarch.app.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An in-memory stand-in for the platform's store, with long polling for changes, refused calls and lost responses. */
final class SoakStore implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** How the store responds to calls. */
    enum Mode {
        /** All calls get a response. */
        UP,
        /** All calls are refused and have no effect. */
        DOWN,
        /** Writes take effect but get no response. */
        LOSING_RESPONSES
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TreeMap<String, ObjectNode> rows = new TreeMap<>();
    private final TreeMap<String, ObjectNode> copiedRows = new TreeMap<>();
    private long version = 1;
    private long copiedVersion;
    private String publishedDocument = "";
    private long era;
    private volatile Mode mode = Mode.UP;

    SoakStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    InetSocketAddress getAddress() {
        return server.getAddress();
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Writes the operators' document. */
    synchronized void publishRules(String document) {
        publishedDocument = document;
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        ObjectNode row = MAPPER.createObjectNode();
        row.put("table", "op").put("part", "").put("key", "config");
        putRow(row.put("value", Base64.getEncoder().encodeToString(bytes)));
        notifyAll();
    }

    /** Writes the operators' document again, as operators do once the store has returned from a copy. */
    synchronized void republishRules() {
        publishRules(publishedDocument);
    }

    /** Takes a copy of all rows. */
    synchronized void takeCopy() {
        copiedRows.clear();
        copiedRows.putAll(rows);
        copiedVersion = version;
    }

    /** Returns from the copy: what was written since is lost, and versions are given out again. */
    synchronized void returnFromCopy() {
        rows.clear();
        rows.putAll(copiedRows);
        version = copiedVersion;
        era++;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] request = exchange.getRequestBody().readAllBytes();
        if (mode == Mode.DOWN) {
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
            return;
        }
        ObjectNode body = MAPPER.createObjectNode();
        Map<String, String> query = parseQuery(exchange.getRequestURI().getRawQuery());
        switch (exchange.getRequestURI().getPath()) {
            case "/rows-get" -> select(body, query.get("table"), query.getOrDefault("from", ""), 0);
            case "/rows-feed" -> awaitChange(body, query);
            case "/rows-tx" -> commit(MAPPER.readTree(request));
            default -> {
                // Objects are accepted but not stored: no part of the soak test reads them.
            }
        }
        if (mode == Mode.LOSING_RESPONSES && !exchange.getRequestMethod().equals("GET")) {
            exchange.close();
            return;
        }
        body.put("schemaVer", readVersion());
        byte[] bytes = MAPPER.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Store-Era", String.valueOf(readEra()));
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized long readVersion() {
        return version;
    }

    private synchronized long readEra() {
        return era;
    }

    private synchronized void awaitChange(ObjectNode body, Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long endMs = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        try {
            while (version <= after && System.currentTimeMillis() < endMs) {
                wait(Math.max(1, endMs - System.currentTimeMillis()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        select(body, query.get("table"), "", after);
    }

    private synchronized void select(ObjectNode body, String table, String from, long after) {
        ArrayNode found = body.putArray("rows");
        for (ObjectNode row : rows.values()) {
            boolean isInRange = row.get("key").asText().compareTo(from) >= 0;
            if (row.get("table").asText().equals(table)
                    && isInRange
                    && row.get("schemaVer").asLong() > after) {
                found.add(row);
            }
        }
        body.put("hasMore", false);
    }

    private synchronized void commit(JsonNode change) {
        for (JsonNode write : change.path("writes")) {
            putRow((ObjectNode) write);
        }
        for (JsonNode key : change.path("deletes")) {
            rows.remove(key.get("table").asText() + "/" + key.get("key").asText());
        }
    }

    private void putRow(ObjectNode row) {
        version++;
        rows.put(row.get("table").asText() + "/" + row.get("key").asText(), row.put("schemaVer", version));
    }

    private static Map<String, String> parseQuery(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : (text == null ? "" : text).split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], pair.length > 1 ? pair[1] : "");
        }
        return query;
    }
}
