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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as far as the nodes use it: rows without a part, the feed of changes, and objects. */
final class Store implements AutoCloseable {

    private static final Pattern ROW = Pattern.compile("\\{[^{}]*\\}");
    private static final Pattern FIELD = Pattern.compile("\"(table|key|value)\"\\s*:\\s*\"([^\"]*)\"");

    private record Row(String table, String key, String value, long version) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version = 1;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 100);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    synchronized void putConfig(String document) {
        put("op", "config", Base64.getEncoder().encodeToString(document.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void put(String table, String key, String value) {
        version++;
        rows.put(table + "/" + key, new Row(table, key, value, version));
    }

    private void handle(HttpExchange exchange) throws IOException {
        String request = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getQuery();
        for (String part : (raw == null ? "" : raw).split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], pair.length > 1 ? pair[1] : "");
        }
        String found = switch (exchange.getRequestURI().getPath()) {
            case "/rows-get" -> select(query.get("table"), query.getOrDefault("from", ""), 0, query.get("limit"));
            case "/rows-feed" -> await(query);
            case "/rows-tx" -> commit(request);
            default -> "";
        };
        byte[] body = ("{" + found + "\"schemaVer\":" + readVersion() + ",\"nowS\":" + System.nanoTime() / 1e9 + "}")
                .getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private synchronized long readVersion() {
        return version;
    }

    private synchronized String select(String table, String from, long after, String limit) {
        int left = limit == null ? 500 : Integer.parseInt(limit);
        StringBuilder found = new StringBuilder();
        for (Row row : rows.values()) {
            if (row.table.equals(table) && row.key.compareTo(from) >= 0 && row.version > after && left-- > 0) {
                found.append(found.length() == 0 ? "" : ",")
                        .append("{\"table\":\"" + row.table + "\",\"part\":\"\",\"key\":\"" + row.key + "\",\"value\":\""
                                + row.value + "\",\"schemaVer\":" + row.version + "}");
            }
        }
        return "\"rows\":[" + found + "],\"hasMore\":false,";
    }

    private synchronized String await(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long endMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
        try {
            String found = select(query.get("table"), "", after, null);
            for (long leftMs = endMs - System.nanoTime() / 1_000_000;
                    found.startsWith("\"rows\":[]") && leftMs > 0;
                    leftMs = endMs - System.nanoTime() / 1_000_000) {
                wait(leftMs);
                found = select(query.get("table"), "", after, null);
            }
            return found;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "\"rows\":[],";
        }
    }

    private synchronized String commit(String body) {
        int deletes = body.indexOf("\"deletes\"");
        Matcher row = ROW.matcher(body);
        while (row.find()) {
            Map<String, String> fields = new HashMap<>();
            Matcher field = FIELD.matcher(row.group());
            while (field.find()) {
                fields.put(field.group(1), field.group(2));
            }
            if (row.start() > deletes) {
                rows.remove(fields.get("table") + "/" + fields.get("key"));
            } else if (fields.containsKey("value")) {
                put(fields.get("table"), fields.get("key"), fields.get("value"));
            }
        }
        return "";
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
