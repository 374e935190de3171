package io.cranberryarch.net;

import io.cranberryarch.context.HeaderField;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Serializes HTTP/1.1 messages. Header values are not checked for line breaks: they come from the parser or from the
 * node's own code and contain none.
 */
final class HttpWriter {

    private static final int INITIAL_HEAD_CHARS = 512;

    private HttpWriter() {}

    static ByteBuffer toBytes(HttpRequestMessage request) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);
        head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
        appendHeaders(head, request);
        if (request.hasBody()) {
            appendContentLength(head, request.body().length);
        }
        return toBuffer(head, request.body());
    }

    private static void appendHeaders(StringBuilder head, HttpRequestMessage request) {
        for (HeaderField header : request.headers()) {
            append(head, header);
        }
    }

    static ByteBuffer toBytes(HttpResponseMessage response, boolean isResponseToHead, boolean isClosing) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);
        head.append("HTTP/1.1 ").append(response.status()).append(' ');
        head.append(toReasonPhrase(response.status())).append("\r\n");
        for (HeaderField header : response.headers()) {
            append(head, header);
        }
        boolean isBodyless = response.status() == 204 || response.status() == 304;
        if (!isBodyless && !isResponseToHead) {
            appendContentLength(head, response.body().length);
        }
        if (isClosing) {
            head.append("Connection: close\r\n");
        }
        return toBuffer(head, isResponseToHead || isBodyless ? new byte[0] : response.body());
    }

    private static void append(StringBuilder head, HeaderField header) {
        head.append(header.name()).append(": ").append(header.value()).append("\r\n");
    }

    private static void appendContentLength(StringBuilder head, int length) {
        head.append("Content-Length: ").append(length).append("\r\n");
    }

    private static ByteBuffer toBuffer(StringBuilder head, byte[] body) {
        byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer buffer = ByteBuffer.allocate(bytes.length + body.length);
        return buffer.put(bytes).put(body).flip();
    }

    private static String toReasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 401 -> "Unauthorized";
            case 404 -> "Not Found";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
    }
}
